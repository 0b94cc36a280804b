//! Defines the operators: their symbols, their precedence, and their results.

use crate::value::{NumericPair, Value};
use std::cmp::Ordering;

/// An operator with one operand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnaryOp {
    /// `-`
    Minus,
    /// `+`
    Plus,
    /// `!`
    Not,
    /// `~`
    Invert,
}

impl UnaryOp {
    /// Returns the operator's symbol.
    pub fn symbol(self) -> char {
        match self {
            Self::Minus => '-',
            Self::Plus => '+',
            Self::Not => '!',
            Self::Invert => '~',
        }
    }

    /// Computes the result for an evaluated operand.
    pub(crate) fn apply(self, operand: &Value) -> Value {
        match (self, operand) {
            (_, Value::Undefined) => Value::Undefined,
            (Self::Not, operand) => operand
                .truth()
                .map_or(Value::Error, |truth| Value::Bool(!truth)),
            (Self::Plus, Value::Int(_) | Value::Real(_)) => operand.clone(),
            (Self::Minus, Value::Int(n)) => Value::Int(n.wrapping_neg()),
            (Self::Minus, Value::Real(x)) => Value::Real(-x),
            (Self::Invert, Value::Int(n)) => Value::Int(!n),
            _ => Value::Error,
        }
    }
}

/// An operator with two operands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BinaryOp {
    /// `||`
    Or,
    /// `&&`
    And,
    /// `|`
    BitOr,
    /// `^`
    BitXor,
    /// `&`
    BitAnd,
    /// `==`
    Eq,
    /// `!=`
    Ne,
    /// `=?=`, also written `is`
    Is,
    /// `=!=`, also written `isnt`
    Isnt,
    /// `<`
    Lt,
    /// `<=`
    Le,
    /// `>`
    Gt,
    /// `>=`
    Ge,
    /// `<<`
    Shl,
    /// `>>`, which keeps the sign
    Shr,
    /// `>>>`, which fills with zeros
    Ushr,
    /// `+`
    Add,
    /// `-`
    Sub,
    /// `*`
    Mul,
    /// `/`
    Div,
    /// `%`
    Rem,
}

impl BinaryOp {
    /// Returns the operator's symbol and its precedence: a higher precedence binds more
    /// tightly.
    pub fn symbol_and_precedence(self) -> (&'static str, u8) {
        match self {
            Self::Or => ("||", 1),
            Self::And => ("&&", 2),
            Self::BitOr => ("|", 3),
            Self::BitXor => ("^", 4),
            Self::BitAnd => ("&", 5),
            Self::Eq => ("==", 6),
            Self::Ne => ("!=", 6),
            Self::Is => ("=?=", 6),
            Self::Isnt => ("=!=", 6),
            Self::Lt => ("<", 7),
            Self::Le => ("<=", 7),
            Self::Gt => (">", 7),
            Self::Ge => (">=", 7),
            Self::Shl => ("<<", 8),
            Self::Shr => (">>", 8),
            Self::Ushr => (">>>", 8),
            Self::Add => ("+", 9),
            Self::Sub => ("-", 9),
            Self::Mul => ("*", 10),
            Self::Div => ("/", 10),
            Self::Rem => ("%", 10),
        }
    }

    /// Returns the comparison with this symbol, as written in arguments of `anyCompare` and
    /// `allCompare`.
    pub(crate) fn comparison(symbol: &str) -> Option<Self> {
        Some(match symbol {
            "<" => Self::Lt,
            "<=" => Self::Le,
            ">" => Self::Gt,
            ">=" => Self::Ge,
            "==" => Self::Eq,
            "!=" => Self::Ne,
            "is" | "=?=" => Self::Is,
            "isnt" | "=!=" => Self::Isnt,
            _ => return None,
        })
    }

    /// Computes the result for two evaluated operands.
    pub(crate) fn apply(self, left: &Value, right: &Value) -> Value {
        match self {
            Self::Is => return Value::Bool(left.identical(right)),
            Self::Isnt => return Value::Bool(!left.identical(right)),
            _ => {}
        }
        if let Some(value) = left.exceptional_with(right) {
            return value;
        }
        match self {
            Self::Eq => compare(left, right, Ordering::is_eq),
            Self::Ne => compare(left, right, Ordering::is_ne),
            Self::Lt => compare(left, right, Ordering::is_lt),
            Self::Le => compare(left, right, Ordering::is_le),
            Self::Gt => compare(left, right, Ordering::is_gt),
            Self::Ge => compare(left, right, Ordering::is_ge),
            Self::Add => arithmetic(left, right, wrapping(i64::wrapping_add), |a, b| a + b),
            Self::Sub => arithmetic(left, right, wrapping(i64::wrapping_sub), |a, b| a - b),
            Self::Mul => arithmetic(left, right, wrapping(i64::wrapping_mul), |a, b| a * b),
            Self::Div => arithmetic(left, right, i64::checked_div, |a, b| a / b),
            Self::Rem => arithmetic(left, right, i64::checked_rem, |a, b| a % b),
            Self::BitOr => bitwise(left, right, |a, b| a | b, |a, b| a | b),
            Self::BitXor => bitwise(left, right, |a, b| a ^ b, |a, b| a ^ b),
            Self::BitAnd => bitwise(left, right, |a, b| a & b, |a, b| a & b),
            Self::Shl => shift(left, right, i64::wrapping_shl),
            Self::Shr => shift(left, right, i64::wrapping_shr),
            Self::Ushr => shift(left, right, |n, by| (n as u64).wrapping_shr(by) as i64),
            // The evaluator handles `&&` and `||`, which do not need both operands; `is`
            // and `isnt` are handled above.
            Self::And | Self::Or | Self::Is | Self::Isnt => Value::Error,
        }
    }
}

fn compare(left: &Value, right: &Value, holds: impl Fn(Ordering) -> bool) -> Value {
    let ordering = left.compare(right);
    ordering.map_or(Value::Error, |ordering| Value::Bool(holds(ordering)))
}

/// Converts an integer operation that wraps on overflow to the type of one that may fail.
fn wrapping(operation: impl Fn(i64, i64) -> i64) -> impl Fn(i64, i64) -> Option<i64> {
    move |a, b| Some(operation(a, b))
}

fn arithmetic(
    left: &Value,
    right: &Value,
    on_ints: impl Fn(i64, i64) -> Option<i64>,
    on_reals: impl Fn(f64, f64) -> f64,
) -> Value {
    match left.numeric_pair(right) {
        Some(NumericPair::Ints(a, b)) => on_ints(a, b).map_or(Value::Error, Value::Int),
        Some(NumericPair::Reals(a, b)) => Value::Real(on_reals(a, b)),
        None => Value::Error,
    }
}

fn bitwise(
    left: &Value,
    right: &Value,
    on_ints: impl Fn(i64, i64) -> i64,
    on_bools: impl Fn(bool, bool) -> bool,
) -> Value {
    match (left, right) {
        (Value::Int(a), Value::Int(b)) => Value::Int(on_ints(*a, *b)),
        (Value::Bool(a), Value::Bool(b)) => Value::Bool(on_bools(*a, *b)),
        _ => Value::Error,
    }
}

/// Shifts by the lowest six bits of the right operand.
fn shift(left: &Value, right: &Value, operation: impl Fn(i64, u32) -> i64) -> Value {
    match (left, right) {
        (Value::Int(n), Value::Int(by)) => Value::Int(operation(*n, (*by & 63) as u32)),
        _ => Value::Error,
    }
}
