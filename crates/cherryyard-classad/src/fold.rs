//! Folds constants: evaluates once the parts of an expression that depend on one ad alone.

use crate::ad::Ad;
use crate::eval::Scope;
use crate::expr::{Expr, Node, NodeId, Side};
use crate::function::Function;
use crate::operator::BinaryOp;
use crate::value::Value;

/// Largest nesting depth of nodes and attribute references; an expression beyond it is
/// returned unchanged.
const MAX_DEPTH: u32 = 60;
/// Largest number of nodes of a folded expression; an expression beyond it is returned
/// unchanged.
const MAX_NODES: usize = 20_000;

/// Returns an expression of `my` in which all parts that `my` alone decides are replaced by
/// their values, and the other attributes of `my` by their expressions. Evaluated against
/// any target, with the same `my` or an empty one, the result yields the same value.
/// `time()` is not folded.
///
/// An expression that is too large to fold, or contains nested ads, is returned unchanged.
pub fn fold(expr: &Expr, my: &Ad) -> Expr {
    let mut folder = Folder {
        my,
        nodes: Vec::new(),
        depth: 0,
    };
    match folder.fold_node(expr, expr.root()) {
        Some(Folded::Value(value)) => Expr::constant(value),
        Some(Folded::Node(_)) => Expr {
            nodes: folder.nodes,
        },
        None => expr.clone(),
    }
}

/// The result of folding a node.
enum Folded {
    /// The value of a node that does not depend on the target.
    Value(Value),
    /// The position, among the new nodes, of a node that depends on the target.
    Node(NodeId),
}

/// Folds an expression; its methods return `None` for an expression that has to stay
/// unchanged.
struct Folder<'a> {
    my: &'a Ad,
    /// The nodes of the folded expression.
    nodes: Vec<Node>,
    depth: u32,
}

impl Folder<'_> {
    fn push(&mut self, node: Node) -> Option<NodeId> {
        self.nodes.push(node);
        (self.nodes.len() <= MAX_NODES).then_some(NodeId(self.nodes.len() as u32 - 1))
    }

    fn push_folded(&mut self, node: Node) -> Option<Folded> {
        self.push(node).map(Folded::Node)
    }

    /// Returns the position of a folded operand, and adds a node for the operand if it is a
    /// value.
    fn node_id(&mut self, folded: Folded) -> Option<NodeId> {
        match folded {
            Folded::Node(id) => Some(id),
            Folded::Value(value) => self.push(Node::Constant(value)),
        }
    }

    fn fold_node(&mut self, expr: &Expr, id: NodeId) -> Option<Folded> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return None;
        }
        let folded = self.fold_node_unbounded(expr, expr.nodes().get(id.index())?);
        self.depth -= 1;
        folded
    }

    fn fold_operands(&mut self, expr: &Expr, operands: &[NodeId]) -> Option<Vec<Folded>> {
        operands
            .iter()
            .map(|&id| self.fold_node(expr, id))
            .collect()
    }

    fn fold_node_unbounded(&mut self, expr: &Expr, node: &Node) -> Option<Folded> {
        match node {
            Node::Constant(value) => Some(Folded::Value(value.clone())),
            Node::Attribute(side, name) => match self.my.get(*name) {
                Some(own) if *side != Side::Target => self.fold_node(own, own.root()),
                _ if *side == Side::My => Some(Folded::Value(Value::Undefined)),
                _ => self.push_folded(Node::Attribute(Side::Target, *name)),
            },
            Node::Unary(op, operand) => {
                let operands = self.fold_operands(expr, &[*operand])?;
                self.rebuild(operands, |ids| Node::Unary(*op, ids[0]))
            }
            Node::Binary(op, left, right) => self.fold_binary(expr, *op, *left, *right),
            Node::Conditional(condition, yes, no) => {
                self.fold_conditional(expr, *condition, *yes, *no)
            }
            Node::Elvis(value, default) => self.fold_elvis(expr, *value, *default),
            Node::Call(Function::Time, _) => {
                self.push_folded(Node::Call(Function::Time, Box::new([])))
            }
            Node::Call(function, arguments) => {
                let arguments = self.fold_operands(expr, arguments)?;
                self.rebuild(arguments, |ids| Node::Call(*function, ids.into()))
            }
            Node::List(items) => {
                let items = self.fold_operands(expr, items)?;
                self.rebuild(items, |ids| Node::List(ids.into()))
            }
            // Names inside a nested ad refer to that ad's own attributes first.
            Node::Ad(_) => None,
            Node::Index(list, index) => {
                let operands = self.fold_operands(expr, &[*list, *index])?;
                self.rebuild(operands, |ids| Node::Index(ids[0], ids[1]))
            }
            Node::Select(ad, name) => {
                let operands = self.fold_operands(expr, &[*ad])?;
                self.rebuild(operands, |ids| Node::Select(ids[0], *name))
            }
        }
    }

    fn fold_binary(
        &mut self,
        expr: &Expr,
        op: BinaryOp,
        left: NodeId,
        right: NodeId,
    ) -> Option<Folded> {
        let left = self.fold_node(expr, left)?;
        if let Folded::Value(value) = &left
            && let Some(result) = decided_by_first(op, value)
        {
            return Some(Folded::Value(result));
        }
        let right = self.fold_node(expr, right)?;
        self.rebuild(vec![left, right], |ids| Node::Binary(op, ids[0], ids[1]))
    }

    fn fold_conditional(
        &mut self,
        expr: &Expr,
        condition: NodeId,
        yes: NodeId,
        no: NodeId,
    ) -> Option<Folded> {
        match self.fold_node(expr, condition)? {
            Folded::Value(Value::Undefined) => Some(Folded::Value(Value::Undefined)),
            Folded::Value(value) => match value.truth() {
                Some(true) => self.fold_node(expr, yes),
                Some(false) => self.fold_node(expr, no),
                None => Some(Folded::Value(Value::Error)),
            },
            condition @ Folded::Node(_) => {
                let (yes, no) = (self.fold_node(expr, yes)?, self.fold_node(expr, no)?);
                self.rebuild(vec![condition, yes, no], |ids| {
                    Node::Conditional(ids[0], ids[1], ids[2])
                })
            }
        }
    }

    fn fold_elvis(&mut self, expr: &Expr, value: NodeId, default: NodeId) -> Option<Folded> {
        match self.fold_node(expr, value)? {
            Folded::Value(Value::Undefined) => self.fold_node(expr, default),
            Folded::Value(value) => Some(Folded::Value(value)),
            value @ Folded::Node(_) => {
                let default = self.fold_node(expr, default)?;
                self.rebuild(vec![value, default], |ids| Node::Elvis(ids[0], ids[1]))
            }
        }
    }

    /// Returns the node that `build` creates from these operands' positions, or its value
    /// if all of the operands are values.
    fn rebuild(
        &mut self,
        operands: Vec<Folded>,
        build: impl Fn(&[NodeId]) -> Node,
    ) -> Option<Folded> {
        let depends_on_target = operands
            .iter()
            .any(|operand| matches!(operand, Folded::Node(_)));
        if depends_on_target {
            let ids: Option<Vec<NodeId>> = operands
                .into_iter()
                .map(|operand| self.node_id(operand))
                .collect();
            return self.push_folded(build(&ids?));
        }
        let mut nodes: Vec<Node> = operands
            .into_iter()
            .filter_map(|operand| match operand {
                Folded::Value(value) => Some(Node::Constant(value)),
                Folded::Node(_) => None,
            })
            .collect();
        let ids: Vec<NodeId> = (0..nodes.len() as u32).map(NodeId).collect();
        nodes.push(build(&ids));
        let no_ad = Ad::default();
        let scope = Scope {
            my: &no_ad,
            target: None,
            now: 0,
        };
        Some(Folded::Value(scope.evaluate(&Expr { nodes })))
    }
}

/// Returns the result of `&&` or `||` if the first operand alone decides it.
fn decided_by_first(op: BinaryOp, first: &Value) -> Option<Value> {
    let decisive = match op {
        BinaryOp::And => false,
        BinaryOp::Or => true,
        _ => return None,
    };
    match (first, first.truth()) {
        (Value::Undefined, _) => None,
        (_, Some(truth)) if truth != decisive => None,
        (_, Some(truth)) => Some(Value::Bool(truth)),
        (_, None) => Some(Value::Error),
    }
}
