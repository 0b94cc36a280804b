//! Constant folding: what depends on one ad alone is evaluated once.

use crate::ad::Ad;
use crate::eval::Scope;
use crate::expr::{Expr, Node, NodeId, Side};
use crate::function::Function;
use crate::operator::BinaryOp;
use crate::value::Value;

/// Most nodes and attribute references that may be nested; an expression beyond it stays
/// as it is.
const MAX_DEPTH: u32 = 60;
/// Most nodes of a folded expression; one beyond it stays as it is.
const MAX_NODES: usize = 20_000;

/// An expression of `my` in which all that `my` alone decides is replaced by its value,
/// and the other attributes of `my` by their expressions. Evaluated against any target,
/// with the same `my` or an empty one, it yields the same value. `time()` is not folded.
///
/// An expression that is too large to fold, or has nested ads, is returned as it is.
pub fn fold(expr: &Expr, my: &Ad) -> Expr {
    let mut folder = Folder {
        my,
        nodes: Vec::new(),
        depth: 0,
    };
    match folder.node(expr, expr.root()) {
        Some(Folded::Value(value)) => Expr::constant(value),
        Some(Folded::Node(_)) => Expr {
            nodes: folder.nodes,
        },
        None => expr.clone(),
    }
}

/// What a node is folded to.
enum Folded {
    /// It does not depend on the target.
    Value(Value),
    /// It does; its position among the new nodes.
    Node(NodeId),
}

/// Folds an expression; its methods return `None` for one that has to stay as it is.
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

    /// The position of a folded operand, whose value becomes a node if it is one.
    fn position(&mut self, folded: Folded) -> Option<NodeId> {
        match folded {
            Folded::Node(id) => Some(id),
            Folded::Value(value) => self.push(Node::Constant(value)),
        }
    }

    fn node(&mut self, expr: &Expr, id: NodeId) -> Option<Folded> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return None;
        }
        let folded = self.unbounded(expr, expr.nodes().get(id.index())?);
        self.depth -= 1;
        folded
    }

    fn operands(&mut self, expr: &Expr, operands: &[NodeId]) -> Option<Vec<Folded>> {
        operands.iter().map(|&id| self.node(expr, id)).collect()
    }

    fn unbounded(&mut self, expr: &Expr, node: &Node) -> Option<Folded> {
        match node {
            Node::Constant(value) => Some(Folded::Value(value.clone())),
            Node::Attribute(side, name) => match self.my.get(*name) {
                Some(own) if *side != Side::Target => self.node(own, own.root()),
                _ if *side == Side::My => Some(Folded::Value(Value::Undefined)),
                _ => self.push_folded(Node::Attribute(Side::Target, *name)),
            },
            Node::Unary(op, operand) => {
                let operands = self.operands(expr, &[*operand])?;
                self.join(operands, |ids| Node::Unary(*op, ids[0]))
            }
            Node::Binary(op, left, right) => self.binary(expr, *op, *left, *right),
            Node::Conditional(condition, yes, no) => self.conditional(expr, *condition, *yes, *no),
            Node::Elvis(value, default) => self.elvis(expr, *value, *default),
            Node::Call(Function::Time, _) => {
                self.push_folded(Node::Call(Function::Time, Box::new([])))
            }
            Node::Call(function, arguments) => {
                let arguments = self.operands(expr, arguments)?;
                self.join(arguments, |ids| Node::Call(*function, ids.into()))
            }
            Node::List(items) => {
                let items = self.operands(expr, items)?;
                self.join(items, |ids| Node::List(ids.into()))
            }
            // The names in it refer to its own attributes first.
            Node::Ad(_) => None,
            Node::Index(list, index) => {
                let operands = self.operands(expr, &[*list, *index])?;
                self.join(operands, |ids| Node::Index(ids[0], ids[1]))
            }
            Node::Select(ad, name) => {
                let operands = self.operands(expr, &[*ad])?;
                self.join(operands, |ids| Node::Select(ids[0], *name))
            }
        }
    }

    fn binary(&mut self, expr: &Expr, op: BinaryOp, left: NodeId, right: NodeId) -> Option<Folded> {
        let left = self.node(expr, left)?;
        if let Folded::Value(value) = &left
            && let Some(result) = decided_by_first(op, value)
        {
            return Some(Folded::Value(result));
        }
        let right = self.node(expr, right)?;
        self.join(vec![left, right], |ids| Node::Binary(op, ids[0], ids[1]))
    }

    fn conditional(
        &mut self,
        expr: &Expr,
        condition: NodeId,
        yes: NodeId,
        no: NodeId,
    ) -> Option<Folded> {
        match self.node(expr, condition)? {
            Folded::Value(Value::Undefined) => Some(Folded::Value(Value::Undefined)),
            Folded::Value(value) => match value.truth() {
                Some(true) => self.node(expr, yes),
                Some(false) => self.node(expr, no),
                None => Some(Folded::Value(Value::Error)),
            },
            condition @ Folded::Node(_) => {
                let (yes, no) = (self.node(expr, yes)?, self.node(expr, no)?);
                self.join(vec![condition, yes, no], |ids| {
                    Node::Conditional(ids[0], ids[1], ids[2])
                })
            }
        }
    }

    fn elvis(&mut self, expr: &Expr, value: NodeId, default: NodeId) -> Option<Folded> {
        match self.node(expr, value)? {
            Folded::Value(Value::Undefined) => self.node(expr, default),
            Folded::Value(value) => Some(Folded::Value(value)),
            value @ Folded::Node(_) => {
                let default = self.node(expr, default)?;
                self.join(vec![value, default], |ids| Node::Elvis(ids[0], ids[1]))
            }
        }
    }

    /// The node that `build` makes of these operands' positions; its value if all of the
    /// operands are values.
    fn join(&mut self, operands: Vec<Folded>, build: impl Fn(&[NodeId]) -> Node) -> Option<Folded> {
        let depends_on_target = operands
            .iter()
            .any(|operand| matches!(operand, Folded::Node(_)));
        if depends_on_target {
            let ids: Option<Vec<NodeId>> = operands
                .into_iter()
                .map(|operand| self.position(operand))
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

/// The result of `&&` or `||` if its first operand alone decides it.
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
