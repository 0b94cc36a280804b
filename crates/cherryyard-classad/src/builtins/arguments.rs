//! Provides typed access to the arguments of a call.

use crate::value::Value;

/// The evaluated arguments of a call; none is `error` or `undefined`.
#[derive(Clone, Copy)]
pub(super) struct Arguments<'a> {
    values: &'a [Value],
}

impl<'a> Arguments<'a> {
    pub(super) fn new(values: &'a [Value]) -> Self {
        Self { values }
    }

    pub(super) fn all(self) -> &'a [Value] {
        self.values
    }

    /// Returns the argument at `index`, from 0.
    pub(super) fn value(self, index: usize) -> Option<&'a Value> {
        self.values.get(index)
    }

    /// Returns the argument at `index`, if it is a string.
    pub(super) fn text(self, index: usize) -> Option<&'a str> {
        match self.values.get(index) {
            Some(Value::Str(text)) => Some(text),
            _ => None,
        }
    }

    /// Returns the optional argument at `index`: `default` if it is not given, `None` if it
    /// is not a string.
    pub(super) fn text_or(self, index: usize, default: &'static str) -> Option<&'a str> {
        match self.values.get(index) {
            None => Some(default),
            Some(_) => self.text(index),
        }
    }

    /// Returns the argument at `index`, if it is a list.
    pub(super) fn list(self, index: usize) -> Option<&'a [Value]> {
        match self.values.get(index) {
            Some(Value::List(items)) => Some(items),
            _ => None,
        }
    }
}
