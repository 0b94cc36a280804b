//! Functions of strings.

use super::arguments::Arguments;
use crate::value::Value;

/// Longest string that a function returns, in bytes.
const MAX_TEXT: usize = 1024 * 1024;

/// A string value; `error` if it is too long.
pub(super) fn bounded(text: &str) -> Value {
    if text.len() <= MAX_TEXT {
        Value::text(text)
    } else {
        Value::Error
    }
}

/// A value as the functions that take strings convert it.
fn converted(value: &Value) -> Option<String> {
    match value {
        Value::Str(text) => Some(text.to_string()),
        Value::Undefined | Value::Error => None,
        other => Some(other.to_string()),
    }
}

fn converted_at(arguments: Arguments<'_>, index: usize) -> Option<String> {
    converted(arguments.value(index)?)
}

pub(super) fn string(arguments: Arguments<'_>) -> Option<Value> {
    Some(bounded(&converted_at(arguments, 0)?))
}

pub(super) fn strcat(arguments: Arguments<'_>) -> Option<Value> {
    let texts: Option<Vec<String>> = arguments.all().iter().map(converted).collect();
    Some(bounded(&texts?.concat()))
}

/// `join(separator, a, b, ...)` or `join(separator, list)`; undefined items are left out.
pub(super) fn join(arguments: Arguments<'_>) -> Option<Value> {
    let separator = arguments.text(0)?;
    let items = match arguments.all() {
        [_, Value::List(items)] => items,
        all => all.get(1..)?,
    };
    let texts: Vec<String> = items.iter().filter_map(converted).collect();
    Some(bounded(&texts.join(separator)))
}

/// `substr(text, start [, length])`, in characters; a negative start counts from the end,
/// a negative length leaves that many characters out at the end.
pub(super) fn substr(arguments: Arguments<'_>) -> Option<Value> {
    let length = match arguments.value(2) {
        Some(length) => Some(length.int()?),
        None => None,
    };
    let chars: Vec<char> = arguments.text(0)?.chars().collect();
    let start = arguments.value(1)?.int()?;
    let count = chars.len() as i64;
    let start = if start < 0 {
        (count + start).max(0)
    } else {
        start.min(count)
    };
    let end = match length {
        None => count,
        Some(length) if length < 0 => (count + length).max(start),
        Some(length) => start.saturating_add(length).min(count),
    };
    let part: String = chars[start as usize..end as usize].iter().collect();
    Some(Value::text(&part))
}

pub(super) fn strcmp(arguments: Arguments<'_>) -> Option<Value> {
    let (a, b) = (converted_at(arguments, 0)?, converted_at(arguments, 1)?);
    Some(Value::Int(a.cmp(&b) as i64))
}

pub(super) fn stricmp(arguments: Arguments<'_>) -> Option<Value> {
    let a = converted_at(arguments, 0)?.to_ascii_lowercase();
    let b = converted_at(arguments, 1)?.to_ascii_lowercase();
    Some(Value::Int(a.cmp(&b) as i64))
}

pub(super) fn to_upper(arguments: Arguments<'_>) -> Option<Value> {
    Some(bounded(&converted_at(arguments, 0)?.to_ascii_uppercase()))
}

pub(super) fn to_lower(arguments: Arguments<'_>) -> Option<Value> {
    Some(bounded(&converted_at(arguments, 0)?.to_ascii_lowercase()))
}

/// `user@domain` as a list of both; without `@` all of it is the user.
pub(super) fn split_user_name(arguments: Arguments<'_>) -> Option<Value> {
    let name = arguments.text(0)?;
    Some(pair(name.split_once('@').unwrap_or((name, ""))))
}

/// `slot@machine` as a list of both; without `@` all of it is the machine.
pub(super) fn split_slot_name(arguments: Arguments<'_>) -> Option<Value> {
    let name = arguments.text(0)?;
    Some(pair(name.split_once('@').unwrap_or(("", name))))
}

fn pair((first, second): (&str, &str)) -> Value {
    Value::List([Value::text(first), Value::text(second)].into())
}
