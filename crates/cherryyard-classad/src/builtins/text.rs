//! Implements the functions of strings.

use super::arguments::Arguments;
use crate::value::Value;

/// Largest length of a string that a function returns, in bytes.
const MAX_TEXT: usize = 1024 * 1024;

/// Creates a string value; `error` if the text is too long.
pub(super) fn bounded_string(text: &str) -> Value {
    if text.len() <= MAX_TEXT {
        Value::text(text)
    } else {
        Value::Error
    }
}

/// Converts a value to text for the functions that take strings; `None` for `undefined` and
/// `error`.
fn to_text(value: &Value) -> Option<String> {
    match value {
        Value::Str(text) => Some(text.to_string()),
        Value::Undefined | Value::Error => None,
        other => Some(other.to_string()),
    }
}

fn argument_as_text(arguments: Arguments<'_>, index: usize) -> Option<String> {
    to_text(arguments.value(index)?)
}

pub(super) fn string(arguments: Arguments<'_>) -> Option<Value> {
    Some(bounded_string(&argument_as_text(arguments, 0)?))
}

pub(super) fn strcat(arguments: Arguments<'_>) -> Option<Value> {
    let texts: Option<Vec<String>> = arguments.all().iter().map(to_text).collect();
    Some(bounded_string(&texts?.concat()))
}

/// Evaluates `join(separator, a, b, ...)` or `join(separator, list)`; undefined items are
/// omitted.
pub(super) fn join(arguments: Arguments<'_>) -> Option<Value> {
    let separator = arguments.text(0)?;
    let items = match arguments.all() {
        [_, Value::List(items)] => items,
        all => all.get(1..)?,
    };
    let texts: Vec<String> = items.iter().filter_map(to_text).collect();
    Some(bounded_string(&texts.join(separator)))
}

/// Evaluates `substr(text, start [, length])`, which counts in characters; a negative start
/// counts from the end, a negative length omits that many characters at the end.
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
    let (a, b) = (
        argument_as_text(arguments, 0)?,
        argument_as_text(arguments, 1)?,
    );
    Some(Value::Int(a.cmp(&b) as i64))
}

pub(super) fn stricmp(arguments: Arguments<'_>) -> Option<Value> {
    let a = argument_as_text(arguments, 0)?.to_ascii_lowercase();
    let b = argument_as_text(arguments, 1)?.to_ascii_lowercase();
    Some(Value::Int(a.cmp(&b) as i64))
}

pub(super) fn to_upper(arguments: Arguments<'_>) -> Option<Value> {
    Some(bounded_string(
        &argument_as_text(arguments, 0)?.to_ascii_uppercase(),
    ))
}

pub(super) fn to_lower(arguments: Arguments<'_>) -> Option<Value> {
    Some(bounded_string(
        &argument_as_text(arguments, 0)?.to_ascii_lowercase(),
    ))
}

/// Splits `user@domain` into a list of both; a name without `@` is the user.
pub(super) fn split_user_name(arguments: Arguments<'_>) -> Option<Value> {
    let name = arguments.text(0)?;
    Some(pair(name.split_once('@').unwrap_or((name, ""))))
}

/// Splits `slot@machine` into a list of both; a name without `@` is the machine.
pub(super) fn split_slot_name(arguments: Arguments<'_>) -> Option<Value> {
    let name = arguments.text(0)?;
    Some(pair(name.split_once('@').unwrap_or(("", name))))
}

fn pair((first, second): (&str, &str)) -> Value {
    Value::List([Value::text(first), Value::text(second)].into())
}
