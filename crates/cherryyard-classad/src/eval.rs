//! Evaluates expressions, with three-valued logic.

use crate::ad::Ad;
use crate::builtins;
use crate::expr::{Expr, Node, NodeId, Side};
use crate::function::Function;
use crate::names::NameId;
use crate::operator::BinaryOp;
use crate::value::Value;

/// Largest nesting depth of nodes and attribute references in one evaluation.
const MAX_DEPTH: u32 = 400;
/// Largest number of nodes that one evaluation may visit.
const MAX_STEPS: u32 = 200_000;

/// The ads that an expression is evaluated against, and the current time.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// The ad that the expression belongs to.
    pub my: &'a Ad,
    /// The other ad of a match, if there is one.
    pub target: Option<&'a Ad>,
    /// The value of `time()`, in seconds since 1970-01-01.
    pub now: i64,
}

impl<'a> Scope<'a> {
    /// Evaluates an expression of `my`; the value is `error` if the expression is nested
    /// too deep, refers to itself or takes too many steps.
    pub fn evaluate(self, expr: &'a Expr) -> Value {
        let mut evaluator = Evaluator {
            scope: self,
            depth: 0,
            steps: 0,
            enclosing_ads: Vec::new(),
        };
        evaluator.evaluate_node(expr, expr.root())
    }

    /// Evaluates an attribute of `my`; the value is `undefined` if the ad has no attribute
    /// with that name.
    pub fn attribute(self, name: NameId) -> Value {
        self.my
            .get(name)
            .map_or(Value::Undefined, |expr| self.evaluate(expr))
    }

    /// Returns whether an expression is true; `undefined` and `error` are not true.
    pub fn holds(self, expr: &'a Expr) -> bool {
        self.evaluate(expr).truth() == Some(true)
    }
}

/// A nested ad under evaluation: the expression that contains it, and the ad's attributes.
type EnclosingAd<'a> = (&'a Expr, &'a [(NameId, NodeId)]);

/// The state of one evaluation.
struct Evaluator<'a> {
    scope: Scope<'a>,
    depth: u32,
    steps: u32,
    /// Nested ads that enclose the current node, the innermost last.
    enclosing_ads: Vec<EnclosingAd<'a>>,
}

impl<'a> Evaluator<'a> {
    /// Evaluates a node, within the bounds on depth and steps.
    fn evaluate_node(&mut self, expr: &'a Expr, id: NodeId) -> Value {
        self.steps += 1;
        if self.steps > MAX_STEPS || self.depth > MAX_DEPTH {
            // Cyclic references exceed these bounds too.
            return Value::Error;
        }
        self.depth += 1;
        let value = self.evaluate_node_unbounded(expr, id);
        self.depth -= 1;
        value
    }

    fn evaluate_node_unbounded(&mut self, expr: &'a Expr, id: NodeId) -> Value {
        let Some(node) = expr.nodes().get(id.index()) else {
            return Value::Error;
        };
        match node {
            Node::Constant(value) => value.clone(),
            Node::Attribute(side, name) => self.attribute(*side, *name),
            Node::Unary(op, operand) => op.apply(&self.evaluate_node(expr, *operand)),
            Node::Binary(BinaryOp::And, left, right) => {
                self.evaluate_logic(expr, *left, *right, false)
            }
            Node::Binary(BinaryOp::Or, left, right) => {
                self.evaluate_logic(expr, *left, *right, true)
            }
            Node::Binary(op, left, right) => {
                let left = self.evaluate_node(expr, *left);
                op.apply(&left, &self.evaluate_node(expr, *right))
            }
            Node::Conditional(condition, yes, no) => self.conditional(expr, *condition, *yes, *no),
            Node::Elvis(value, default) => match self.evaluate_node(expr, *value) {
                Value::Undefined => self.evaluate_node(expr, *default),
                value => value,
            },
            Node::Call(function, arguments) => self.call(*function, expr, arguments),
            Node::List(items) => {
                let items = items.iter().map(|&item| self.evaluate_node(expr, item));
                Value::List(items.collect())
            }
            Node::Ad(attributes) => self.nested_ad(expr, attributes),
            Node::Index(list, index) => {
                let list = self.evaluate_node(expr, *list);
                item_at(&list, &self.evaluate_node(expr, *index))
            }
            Node::Select(ad, name) => select(&self.evaluate_node(expr, *ad), *name),
        }
    }

    fn conditional(&mut self, expr: &'a Expr, condition: NodeId, yes: NodeId, no: NodeId) -> Value {
        match self.evaluate_node(expr, condition) {
            Value::Undefined => Value::Undefined,
            condition => match condition.truth() {
                Some(true) => self.evaluate_node(expr, yes),
                Some(false) => self.evaluate_node(expr, no),
                None => Value::Error,
            },
        }
    }

    fn nested_ad(&mut self, expr: &'a Expr, attributes: &'a [(NameId, NodeId)]) -> Value {
        self.enclosing_ads.push((expr, attributes));
        let values: Vec<(NameId, Value)> = attributes
            .iter()
            .map(|&(name, attribute)| (name, self.evaluate_node(expr, attribute)))
            .collect();
        self.enclosing_ads.pop();
        Value::Ad(values.into())
    }

    /// Evaluates a function call. Functions that accept exceptional values or need not
    /// evaluate all of their arguments are handled here; all others are strict.
    fn call(&mut self, function: Function, expr: &'a Expr, arguments: &[NodeId]) -> Value {
        if let (Function::IfThenElse, &[condition, yes, no]) = (function, arguments) {
            return self.conditional(expr, condition, yes, no);
        }
        let type_test: Option<fn(&Value) -> bool> = match function {
            Function::Time => return Value::Int(self.scope.now),
            Function::IsUndefined => Some(|value| *value == Value::Undefined),
            Function::IsError => Some(|value| *value == Value::Error),
            Function::IsString => Some(|value| matches!(value, Value::Str(_))),
            Function::IsInteger => Some(|value| matches!(value, Value::Int(_))),
            Function::IsReal => Some(|value| matches!(value, Value::Real(_))),
            Function::IsBoolean => Some(|value| matches!(value, Value::Bool(_))),
            Function::IsList => Some(|value| matches!(value, Value::List(_))),
            Function::IsClassad => Some(|value| matches!(value, Value::Ad(_))),
            _ => None,
        };
        if let (Some(type_test), &[argument]) = (type_test, arguments) {
            return Value::Bool(type_test(&self.evaluate_node(expr, argument)));
        }
        let arguments: Vec<Value> = arguments
            .iter()
            .map(|&id| self.evaluate_node(expr, id))
            .collect();
        builtins::call(function, &arguments)
    }

    /// Evaluates an attribute reference. The name is looked up in the enclosing nested ads,
    /// then in `my`, then in the target, as far as the scope of the reference allows.
    fn attribute(&mut self, side: Side, name: NameId) -> Value {
        if side == Side::Any
            && let Some(value) = self.attribute_of_enclosing_ad(name)
        {
            return value;
        }
        let Scope { my, target, now } = self.scope;
        let own = my.get(name).filter(|_| side != Side::Target);
        if let Some(expr) = own {
            return self.evaluate_in_scope(expr, self.scope);
        }
        let Some(target) = target.filter(|_| side != Side::My) else {
            return Value::Undefined;
        };
        match target.get(name) {
            // An expression of the target is evaluated with the target as its own ad.
            Some(expr) => {
                let reversed = Scope {
                    my: target,
                    target: Some(my),
                    now,
                };
                self.evaluate_in_scope(expr, reversed)
            }
            None => Value::Undefined,
        }
    }

    fn attribute_of_enclosing_ad(&mut self, name: NameId) -> Option<Value> {
        for level in (0..self.enclosing_ads.len()).rev() {
            let (expr, attributes) = self.enclosing_ads[level];
            if let Some(&(_, attribute)) = attributes.iter().find(|(n, _)| *n == name) {
                // The attribute's expression is outside of the ads that are nested further
                // inside.
                let inner_ads = self.enclosing_ads.split_off(level + 1);
                let value = self.evaluate_node(expr, attribute);
                self.enclosing_ads.extend(inner_ads);
                return Some(value);
            }
        }
        None
    }

    /// Evaluates an attribute's expression, which is outside of all nested ads.
    fn evaluate_in_scope(&mut self, expr: &'a Expr, scope: Scope<'a>) -> Value {
        let outer_scope = std::mem::replace(&mut self.scope, scope);
        let enclosing_ads = std::mem::take(&mut self.enclosing_ads);
        let value = self.evaluate_node(expr, expr.root());
        self.enclosing_ads = enclosing_ads;
        self.scope = outer_scope;
        value
    }

    /// Evaluates `&&`, whose result a `false` operand decides, or `||`, whose result a
    /// `true` operand decides: `decisive` is that truth value. After a decisive first
    /// operand the second is not evaluated; a decisive second operand takes precedence over
    /// an `undefined` first one.
    fn evaluate_logic(
        &mut self,
        expr: &'a Expr,
        left: NodeId,
        right: NodeId,
        decisive: bool,
    ) -> Value {
        let left = match self.evaluate_node(expr, left) {
            Value::Undefined => None,
            value => match value.truth() {
                Some(truth) if truth == decisive => return Value::Bool(decisive),
                Some(truth) => Some(truth),
                None => return Value::Error,
            },
        };
        match self.evaluate_node(expr, right) {
            Value::Undefined => Value::Undefined,
            value => match (value.truth(), left) {
                (Some(truth), _) if truth == decisive => Value::Bool(decisive),
                (Some(truth), Some(_)) => Value::Bool(truth),
                (Some(_), None) => Value::Undefined,
                (None, _) => Value::Error,
            },
        }
    }
}

/// Evaluates `list[index]`; the value is `error` for an index out of bounds.
fn item_at(list: &Value, index: &Value) -> Value {
    if let Some(value) = list.exceptional_with(index) {
        return value;
    }
    let Value::List(items) = list else {
        return Value::Error;
    };
    let index = index.int().and_then(|i| usize::try_from(i).ok());
    let item = index.and_then(|i| items.get(i));
    item.cloned().unwrap_or(Value::Error)
}

/// Evaluates `ad.name`; the value is `undefined` if the ad has no such attribute.
fn select(ad: &Value, name: NameId) -> Value {
    match ad {
        Value::Ad(attributes) => {
            let found = attributes.iter().find(|(n, _)| *n == name);
            found.map_or(Value::Undefined, |(_, value)| value.clone())
        }
        Value::Undefined => Value::Undefined,
        _ => Value::Error,
    }
}
