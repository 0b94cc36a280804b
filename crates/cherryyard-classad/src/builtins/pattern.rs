//! Implements the functions of regular expressions.

use super::arguments::Arguments;
use super::text::bounded_string;
use crate::value::Value;
use lru::LruCache;
use regex::{Captures, Regex, RegexBuilder};
use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;

/// Largest size of a compiled pattern, in bytes.
const MAX_PATTERN_BYTES: usize = 1024 * 1024;
/// Number of compiled patterns that each thread caches.
const CACHED_PATTERNS: NonZeroUsize = NonZeroUsize::new(64).expect("64 is not 0");

/// Compiled patterns by text and options; `None` for a pattern that does not compile.
type PatternCache = LruCache<(String, String), Option<Rc<Regex>>>;

thread_local! {
    /// Recently used patterns: a match over many machines uses the same pattern each time,
    /// and compiling takes longer than the rest of the match. The patterns are shared, not
    /// cloned, because a clone has to allocate scratch memory of its own.
    static PATTERN_CACHE: RefCell<PatternCache> = RefCell::new(LruCache::new(CACHED_PATTERNS));
}

/// Returns the compiled pattern, from the cache if it was used recently.
fn cached_pattern(pattern: &str, options: &str) -> Option<Rc<Regex>> {
    PATTERN_CACHE.with_borrow_mut(|patterns| {
        let key = (pattern.to_string(), options.to_string());
        let compile = || compile(pattern, options).map(Rc::new);
        patterns.get_or_insert(key, compile).clone()
    })
}

fn compile(pattern: &str, options: &str) -> Option<Regex> {
    let has = |option: char| options.contains([option, option.to_ascii_uppercase()]);
    RegexBuilder::new(pattern)
        .case_insensitive(has('i'))
        .multi_line(has('m'))
        .dot_matches_new_line(has('s'))
        .ignore_whitespace(has('x'))
        .size_limit(MAX_PATTERN_BYTES)
        .build()
        .ok()
}

/// Evaluates `regexp(pattern, text [, options])`.
pub(super) fn regexp(arguments: Arguments<'_>) -> Option<Value> {
    let pattern = cached_pattern(arguments.text(0)?, arguments.text_or(2, "")?)?;
    Some(Value::Bool(pattern.is_match(arguments.text(1)?)))
}

/// Evaluates `regexps(pattern, text, replacement [, options])`: the replacement with the
/// groups of the first match inserted; empty if nothing matches.
pub(super) fn regexps(arguments: Arguments<'_>) -> Option<Value> {
    let pattern = cached_pattern(arguments.text(0)?, arguments.text_or(3, "")?)?;
    let Some(captures) = pattern.captures(arguments.text(1)?) else {
        return Some(Value::text(""));
    };
    Some(bounded_string(&expand_replacement(
        arguments.text(2)?,
        &captures,
    )))
}

/// Returns the replacement text, in which `\1` stands for the text that the first group has
/// matched, and so on to `\9`; `\0` stands for the whole match.
fn expand_replacement(replacement: &str, captures: &Captures<'_>) -> String {
    let mut out = String::new();
    let mut chars = replacement.chars();
    while let Some(c) = chars.next() {
        if c != '\\' {
            out.push(c);
            continue;
        }
        match chars.next() {
            Some(digit) if digit.is_ascii_digit() => {
                let group = digit as usize - '0' as usize;
                out.push_str(captures.get(group).map_or("", |group| group.as_str()));
            }
            Some(other) => out.push(other),
            None => {}
        }
    }
    out
}

/// Evaluates `regexpMember(pattern, list [, options])`: whether the pattern matches any
/// string of the list.
pub(super) fn regexp_member(arguments: Arguments<'_>) -> Option<Value> {
    let pattern = cached_pattern(arguments.text(0)?, arguments.text_or(2, "")?)?;
    let matches = |item: &Value| matches!(item, Value::Str(text) if pattern.is_match(text));
    Some(Value::Bool(arguments.list(1)?.iter().any(matches)))
}
