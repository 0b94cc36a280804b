//! Defines ads: sets of named expressions that describe a job or a machine.

use crate::expr::Expr;
use crate::names::NameId;
use crate::value::Value;
use indexmap::IndexMap;

/// A set of named expressions, which are called attributes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ad {
    attributes: IndexMap<NameId, Expr>,
}

impl Ad {
    /// Sets an attribute to an expression.
    pub fn set(&mut self, name: NameId, expr: Expr) {
        self.attributes.insert(name, expr);
    }

    /// Sets an attribute to a value.
    pub fn set_value(&mut self, name: NameId, value: Value) {
        self.set(name, Expr::constant(value));
    }

    /// Returns an attribute's expression, if the ad has the attribute.
    pub fn get(&self, name: NameId) -> Option<&Expr> {
        self.attributes.get(&name)
    }

    /// Returns all attributes, in the order in which they were first set.
    pub fn iter(&self) -> impl Iterator<Item = (NameId, &Expr)> {
        self.attributes.iter().map(|(&name, expr)| (name, expr))
    }
}
