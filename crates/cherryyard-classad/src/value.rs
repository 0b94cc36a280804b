//! Defines the values of expressions and how they are converted and compared.

use crate::names::NameId;
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// The result of evaluating an expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// The value of a missing attribute, and of most expressions that depend on one.
    Undefined,
    /// The result of an operation that does not apply to its operands.
    Error,
    /// A boolean.
    Bool(bool),
    /// An integer.
    Int(i64),
    /// A floating-point number.
    Real(f64),
    /// A string.
    Str(Arc<str>),
    /// A list.
    List(Arc<[Value]>),
    /// A nested ad whose attributes have been evaluated.
    Ad(Arc<[(NameId, Value)]>),
}

/// Two operands converted to a common numeric type.
pub(crate) enum NumericPair {
    Ints(i64, i64),
    Reals(f64, f64),
}

impl Value {
    /// Creates a string value.
    pub fn text(text: &str) -> Self {
        Self::Str(text.into())
    }

    /// Returns the result of a strict operator with an exceptional operand: `error` if
    /// either operand is `error`, else `undefined` if either is `undefined`; `None` if both
    /// are ordinary values.
    pub(crate) fn exceptional_with(&self, other: &Self) -> Option<Self> {
        match (self, other) {
            (Self::Error, _) | (_, Self::Error) => Some(Self::Error),
            (Self::Undefined, _) | (_, Self::Undefined) => Some(Self::Undefined),
            _ => None,
        }
    }

    /// Returns the value as a condition: numbers are true unless they are 0; `None` for
    /// values that cannot be a condition.
    pub fn truth(&self) -> Option<bool> {
        match self {
            Self::Bool(b) => Some(*b),
            Self::Int(n) => Some(*n != 0),
            Self::Real(x) => Some(*x != 0.0),
            _ => None,
        }
    }

    /// Returns the value as an integer, if it is an integer or a boolean; booleans are 0
    /// and 1.
    pub fn int(&self) -> Option<i64> {
        match self {
            Self::Bool(b) => Some(i64::from(*b)),
            Self::Int(n) => Some(*n),
            _ => None,
        }
    }

    /// Returns the value as a number, if it is a number or a boolean; booleans are 0 and 1.
    pub fn real(&self) -> Option<f64> {
        match self {
            Self::Real(x) => Some(*x),
            other => other.int().map(|n| n as f64),
        }
    }

    /// Converts both operands to numbers of one type: integers if both are integers, reals
    /// otherwise.
    pub(crate) fn numeric_pair(&self, other: &Self) -> Option<NumericPair> {
        match (self.int(), other.int()) {
            (Some(a), Some(b)) => Some(NumericPair::Ints(a, b)),
            _ => Some(NumericPair::Reals(self.real()?, other.real()?)),
        }
    }

    /// Returns the order that `<` and the other comparisons use: numbers by size, strings
    /// ignoring case; `None` if the two values cannot be compared.
    pub(crate) fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Str(a), Self::Str(b)) => Some(compare_ignoring_case(a, b)),
            _ => match self.numeric_pair(other)? {
                NumericPair::Ints(a, b) => Some(a.cmp(&b)),
                NumericPair::Reals(a, b) => a.partial_cmp(&b),
            },
        }
    }

    /// Returns whether both have the same type and value; strings are compared with case
    /// (`=?=`).
    pub fn identical(&self, other: &Self) -> bool {
        match (self, other) {
            // NaN is not identical to itself.
            (Self::Real(a), Self::Real(b)) => a == b,
            _ => self == other,
        }
    }
}

fn compare_ignoring_case(a: &str, b: &str) -> Ordering {
    let lower_case = |text: &str| -> Vec<u8> {
        let bytes = text.bytes();
        bytes.map(|byte| byte.to_ascii_lowercase()).collect()
    };
    // Most comparisons are for equality, which needs no copies in lower case.
    if a.eq_ignore_ascii_case(b) {
        Ordering::Equal
    } else {
        lower_case(a).cmp(&lower_case(b))
    }
}

impl fmt::Display for Value {
    /// Writes an expression that evaluates to the value. The value does not contain the
    /// names of a nested ad's attributes, so they are written as numbers.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Undefined => write!(f, "undefined"),
            Self::Error => write!(f, "error"),
            Self::Bool(b) => write!(f, "{b}"),
            Self::Int(n) if *n == i64::MIN => write!(f, "(-9223372036854775807 - 1)"),
            Self::Int(n) => write!(f, "{n}"),
            Self::Real(x) if x.is_nan() => write!(f, "real(\"NaN\")"),
            Self::Real(x) if x.is_infinite() => {
                write!(f, "real(\"{}INF\")", if *x < 0.0 { "-" } else { "" })
            }
            Self::Real(x) => write!(f, "{x:?}"),
            Self::Str(text) => write_quoted(f, text, '"'),
            Self::List(items) => {
                write!(f, "{{")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i > 0 { ", " } else { "" })?;
                }
                write!(f, "}}")
            }
            Self::Ad(attributes) => {
                write!(f, "[")?;
                for (i, (name, value)) in attributes.iter().enumerate() {
                    let separator = if i > 0 { "; " } else { "" };
                    write!(f, "{separator}a{} = {value}", name.0)?;
                }
                write!(f, "]")
            }
        }
    }
}

/// Writes a text between quotes, with the escapes that the language requires.
pub(crate) fn write_quoted(out: &mut impl fmt::Write, text: &str, quote: char) -> fmt::Result {
    write!(out, "{quote}")?;
    for c in text.chars() {
        match c {
            '\n' => write!(out, "\\n")?,
            '\t' => write!(out, "\\t")?,
            '\r' => write!(out, "\\r")?,
            c if c == quote || c == '\\' => write!(out, "\\{c}")?,
            c if (c as u32) < 32 => write!(out, "\\{:03o}", c as u32)?,
            c => write!(out, "{c}")?,
        }
    }
    write!(out, "{quote}")
}
