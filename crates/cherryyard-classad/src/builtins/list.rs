//! Implements the functions of lists.

use super::arguments::Arguments;
use super::numeric::Aggregate;
use crate::operator::BinaryOp;
use crate::value::Value;
use std::cmp::Ordering;

/// Evaluates `min`, `max`, `sum` and `avg` of a list; undefined items are ignored.
pub(super) fn aggregate(arguments: Arguments<'_>, aggregate: Aggregate) -> Option<Value> {
    let items = arguments.list(0)?;
    if items.contains(&Value::Error) {
        return None;
    }
    let defined = || items.iter().filter(|item| **item != Value::Undefined);
    let numbers: Vec<f64> = defined().map(Value::real).collect::<Option<_>>()?;
    let all_ints = defined().all(|item| item.int().is_some());
    Some(aggregate.apply(&numbers, all_ints))
}

/// Returns the length of a list, of a string in characters, or of an ad in attributes.
pub(super) fn size(arguments: Arguments<'_>) -> Option<Value> {
    let size = match arguments.value(0)? {
        Value::Str(text) => text.chars().count(),
        Value::List(items) => items.len(),
        Value::Ad(attributes) => attributes.len(),
        _ => return None,
    };
    Some(Value::Int(size as i64))
}

pub(super) fn member(arguments: Arguments<'_>) -> Option<Value> {
    let wanted = arguments.value(0)?;
    let is_wanted = |item: &Value| item.compare(wanted) == Some(Ordering::Equal);
    Some(Value::Bool(arguments.list(1)?.iter().any(is_wanted)))
}

pub(super) fn identical_member(arguments: Arguments<'_>) -> Option<Value> {
    let wanted = arguments.value(0)?;
    let mut items = arguments.list(1)?.iter();
    Some(Value::Bool(items.any(|item| item.identical(wanted))))
}

/// Evaluates `anyCompare(symbol, list, value)`: whether the comparison is true for any
/// item.
pub(super) fn any_compare(arguments: Arguments<'_>) -> Option<Value> {
    let (holds, items) = comparison(arguments)?;
    Some(Value::Bool(items.iter().any(holds)))
}

/// Evaluates `allCompare(symbol, list, value)`: whether the comparison is true for all
/// items.
pub(super) fn all_compare(arguments: Arguments<'_>) -> Option<Value> {
    let (holds, items) = comparison(arguments)?;
    Some(Value::Bool(items.iter().all(holds)))
}

/// Returns the comparison that the arguments name, and the list to apply it to.
fn comparison<'a>(arguments: Arguments<'a>) -> Option<(impl Fn(&'a Value) -> bool, &'a [Value])> {
    let operator = BinaryOp::comparison(arguments.text(0)?)?;
    let items = arguments.list(1)?;
    let other = arguments.value(2)?;
    let holds = move |item: &Value| operator.apply(item, other) == Value::Bool(true);
    Some((holds, items))
}
