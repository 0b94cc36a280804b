//! Represents expressions as flat lists of nodes.

use crate::function::Function;
use crate::names::NameId;
use crate::operator::{BinaryOp, UnaryOp};
use crate::value::Value;

/// The ad in which an attribute is looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// No scope is written: the ad that the expression belongs to, or the other ad of the
    /// match if the first has no such attribute.
    Any,
    /// `MY.`: the ad that the expression belongs to.
    My,
    /// `TARGET.`: the other ad of the match.
    Target,
}

/// The position of a node within its expression.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeId(pub(crate) u32);

impl NodeId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// One node of an expression; its operands precede it in the list of nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A literal or computed value.
    Constant(Value),
    /// An attribute reference.
    Attribute(Side, NameId),
    /// An operator with one operand.
    Unary(UnaryOp, NodeId),
    /// An operator with two operands.
    Binary(BinaryOp, NodeId, NodeId),
    /// `condition ? yes : no`.
    Conditional(NodeId, NodeId, NodeId),
    /// `a ?: b`: `a` unless it is undefined.
    Elvis(NodeId, NodeId),
    /// A function call.
    Call(Function, Box<[NodeId]>),
    /// A list.
    List(Box<[NodeId]>),
    /// A nested ad.
    Ad(Box<[(NameId, NodeId)]>),
    /// `list[index]`.
    Index(NodeId, NodeId),
    /// `ad.name`.
    Select(NodeId, NameId),
}

/// An expression: each node follows its operands, and the last node is the root.
#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    pub(crate) nodes: Vec<Node>,
}

impl Expr {
    /// Creates an expression that is a constant.
    pub fn constant(value: Value) -> Self {
        Self {
            nodes: vec![Node::Constant(value)],
        }
    }

    /// Returns the nodes, each of which follows its operands.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    pub(crate) fn node(&self, id: NodeId) -> &Node {
        &self.nodes[id.index()]
    }

    /// Returns the position of the root.
    pub(crate) fn root(&self) -> NodeId {
        NodeId(self.nodes.len() as u32 - 1)
    }

    /// Returns the value if the expression is a constant.
    pub fn as_constant(&self) -> Option<&Value> {
        match self.nodes.as_slice() {
            [Node::Constant(value)] => Some(value),
            _ => None,
        }
    }

    /// Returns the operands of the outermost `&&` operators, all of which must be true for
    /// the expression to be true; the expression itself if it is not a conjunction.
    pub fn clauses(&self) -> Vec<Self> {
        let mut pending = vec![self.root()];
        let mut clauses = Vec::new();
        while let Some(id) = pending.pop() {
            match self.node(id) {
                Node::Binary(BinaryOp::And, left, right) => pending.extend([*right, *left]),
                _ => clauses.push(Self {
                    nodes: self.nodes[..=id.index()].to_vec(),
                }),
            }
        }
        clauses
    }

    /// Returns whether all attribute references are to the other ad of a match; an
    /// expression with nested ads does not count as such.
    pub fn refers_only_to_target(&self) -> bool {
        let refers_only_to_target =
            |node: &Node| !matches!(node, Node::Attribute(Side::My | Side::Any, _) | Node::Ad(_));
        self.nodes.iter().all(refers_only_to_target)
    }

    /// Returns the names of the attributes of the other ad that the expression may refer
    /// to, each once, in the order in which they appear.
    pub fn attributes(&self) -> Vec<NameId> {
        let mut pending = vec![self.root()];
        let mut names = Vec::new();
        while let Some(id) = pending.pop() {
            match self.node(id) {
                Node::Constant(_) | Node::Attribute(Side::My, _) => {}
                Node::Attribute(Side::Any | Side::Target, name) => {
                    if !names.contains(name) {
                        names.push(*name);
                    }
                }
                Node::Unary(_, operand) | Node::Select(operand, _) => pending.push(*operand),
                Node::Binary(_, left, right)
                | Node::Elvis(left, right)
                | Node::Index(left, right) => pending.extend([*right, *left]),
                Node::Conditional(condition, yes, no) => pending.extend([*no, *yes, *condition]),
                Node::Call(_, items) | Node::List(items) => pending.extend(items.iter().rev()),
                Node::Ad(attributes) => {
                    pending.extend(attributes.iter().rev().map(|(_, expr)| *expr));
                }
            }
        }
        names
    }
}
