//! Implements the functions of numbers, and conversions to numbers and booleans.

use super::arguments::Arguments;
use crate::value::Value;

/// Exclusive bound on the magnitude of reals that are converted to integers, just below
/// 2^63.
const INT_BOUND: f64 = 9.2e18;

/// Converts a number to an integer; `error` if it is out of range.
pub(super) fn int_or_error(x: f64) -> Value {
    if x.is_finite() && x.abs() < INT_BOUND {
        Value::Int(x as i64)
    } else {
        Value::Error
    }
}

/// Returns a number as an integer if it was computed from integers alone, else as a real.
pub(super) fn number(x: f64, from_ints: bool) -> Value {
    if from_ints {
        int_or_error(x)
    } else {
        Value::Real(x)
    }
}

/// Evaluates `int`, `floor`, `ceiling` and `round`, which differ in the rounding function.
pub(super) fn round_by(arguments: Arguments<'_>, round: impl Fn(f64) -> f64) -> Option<Value> {
    Some(match arguments.value(0)? {
        Value::Int(n) => Value::Int(*n),
        Value::Bool(b) => Value::Int(i64::from(*b)),
        Value::Real(x) => int_or_error(round(*x)),
        Value::Str(text) => int_or_error(round(text.trim().parse().ok()?)),
        _ => return None,
    })
}

pub(super) fn real(arguments: Arguments<'_>) -> Option<Value> {
    let x = match arguments.value(0)? {
        Value::Str(text) => match text.trim() {
            "NaN" => f64::NAN,
            "INF" => f64::INFINITY,
            "-INF" => f64::NEG_INFINITY,
            text => text.parse().ok()?,
        },
        value => value.real()?,
    };
    Some(Value::Real(x))
}

pub(super) fn bool(arguments: Arguments<'_>) -> Option<Value> {
    let truth = match arguments.value(0)? {
        Value::Str(text) if text.eq_ignore_ascii_case("true") => true,
        Value::Str(text) if text.eq_ignore_ascii_case("false") => false,
        value => value.truth()?,
    };
    Some(Value::Bool(truth))
}

pub(super) fn pow(arguments: Arguments<'_>) -> Option<Value> {
    match (arguments.value(0)?, arguments.value(1)?) {
        (Value::Int(base), Value::Int(exponent)) if *exponent >= 0 => {
            let exponent = u32::try_from(*exponent).ok()?;
            base.checked_pow(exponent).map(Value::Int)
        }
        (base, exponent) => Some(Value::Real(base.real()?.powf(exponent.real()?))),
    }
}

/// Evaluates `quantize(x, step)`, the next multiple of `step`, and
/// `quantize(x, {a, b, ...})`, the first item that is not less than `x`, or else the next
/// multiple of the last item.
pub(super) fn quantize(arguments: Arguments<'_>) -> Option<Value> {
    let steps = match arguments.value(1)? {
        Value::List(items) => items,
        step => std::slice::from_ref(step),
    };
    let x = arguments.value(0)?.real()?;
    let large_enough = |step: &&Value| step.real().is_some_and(|step| step >= x);
    if let Some(step) = steps.iter().find(large_enough) {
        return Some(step.clone());
    }
    let last = steps.last()?;
    let step = last.real().filter(|step| *step > 0.0)?;
    Some(number((x / step).ceil() * step, last.int().is_some()))
}

/// A function that reduces a sequence of numbers to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Aggregate {
    Sum,
    Avg,
    Min,
    Max,
}

impl Aggregate {
    /// Returns the result for `numbers`: an integer if all of them are integers
    /// (`all_ints`), except for the average. An empty sequence has the sum and average 0,
    /// and an undefined minimum and maximum.
    pub(super) fn apply(self, numbers: &[f64], all_ints: bool) -> Value {
        let sum = || numbers.iter().sum::<f64>();
        let extreme = |worst: f64, better: fn(f64, f64) -> f64| match numbers {
            [] => Value::Undefined,
            _ => number(numbers.iter().copied().fold(worst, better), all_ints),
        };
        match self {
            Self::Sum => number(sum(), all_ints),
            Self::Avg if numbers.is_empty() => Value::Real(0.0),
            Self::Avg => Value::Real(sum() / numbers.len() as f64),
            Self::Min => extreme(f64::INFINITY, f64::min),
            Self::Max => extreme(f64::NEG_INFINITY, f64::max),
        }
    }
}
