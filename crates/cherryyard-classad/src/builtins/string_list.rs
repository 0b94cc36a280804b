//! Implements the functions of string lists: strings that contain items between separators.

use super::arguments::Arguments;
use super::numeric::Aggregate;
use crate::value::Value;

/// Separators of a string list if the call names none.
const DEFAULT_SEPARATORS: &str = ", ";
/// Largest number of items of a string list; further items are ignored.
const MAX_ITEMS: usize = 100_000;

/// Returns the items between any of the separators, without surrounding blanks; empty items
/// are skipped.
fn items<'t>(list: &'t str, separators: &str) -> impl Iterator<Item = &'t str> {
    let separators: Vec<char> = separators.chars().collect();
    list.split(move |c| separators.contains(&c))
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .take(MAX_ITEMS)
}

/// Returns the items of the argument at index `list`, with the separators in the argument
/// at index `separators`.
fn items_at(
    arguments: Arguments<'_>,
    list: usize,
    separators: usize,
) -> Option<impl Iterator<Item = &str>> {
    let separators = arguments.text_or(separators, DEFAULT_SEPARATORS)?;
    Some(items(arguments.text(list)?, separators))
}

pub(super) fn split(arguments: Arguments<'_>) -> Option<Value> {
    let items = items_at(arguments, 0, 1)?;
    Some(Value::List(items.map(Value::text).collect()))
}

pub(super) fn member(arguments: Arguments<'_>) -> Option<Value> {
    let wanted = arguments.text(0)?;
    let mut items = items_at(arguments, 1, 2)?;
    Some(Value::Bool(items.any(|item| item == wanted)))
}

pub(super) fn member_ignoring_case(arguments: Arguments<'_>) -> Option<Value> {
    let wanted = arguments.text(0)?;
    let mut items = items_at(arguments, 1, 2)?;
    Some(Value::Bool(
        items.any(|item| item.eq_ignore_ascii_case(wanted)),
    ))
}

pub(super) fn size(arguments: Arguments<'_>) -> Option<Value> {
    Some(Value::Int(items_at(arguments, 0, 1)?.count() as i64))
}

/// Evaluates `stringListSum` and similar functions; the value is an integer if all items
/// are integers, except for the average.
pub(super) fn aggregate(arguments: Arguments<'_>, aggregate: Aggregate) -> Option<Value> {
    let mut numbers = Vec::new();
    let mut all_ints = true;
    for item in items_at(arguments, 0, 1)? {
        all_ints &= item.parse::<i64>().is_ok();
        numbers.push(item.parse::<f64>().ok()?);
    }
    Some(aggregate.apply(&numbers, all_ints))
}

/// Evaluates `stringListsIntersect`: whether two string lists have an item in common.
pub(super) fn intersect(arguments: Arguments<'_>) -> Option<Value> {
    let second: Vec<&str> = items_at(arguments, 1, 2)?.collect();
    let mut first = items_at(arguments, 0, 2)?;
    Some(Value::Bool(first.any(|item| second.contains(&item))))
}
