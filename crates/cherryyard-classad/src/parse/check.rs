//! The check before the grammar sees a text: the grammar recurses into it.

use super::error::{ParseError, ParseErrorKind};
use super::limits::{MAX_DEPTH, MAX_GRAMMAR_STEPS, MAX_TEXT};
use std::sync::Once;

/// Refuses a text that is too long or nests too deep, before the grammar recurses into it.
pub(super) fn check(text: &str) -> Result<(), ParseError> {
    static CALL_LIMIT: Once = Once::new();
    CALL_LIMIT.call_once(|| pest::set_call_limit(Some(MAX_GRAMMAR_STEPS)));
    if text.len() > MAX_TEXT {
        return Err(ParseError::at(text, MAX_TEXT, ParseErrorKind::TooLong));
    }
    let mut nesting = Nesting::default();
    let mut chars = text.char_indices();
    let mut quote = None;
    while let Some((offset, c)) = chars.next() {
        if quote.is_some() {
            if c == '\\' {
                chars.next();
            } else if quote == Some(c) {
                quote = None;
            }
            continue;
        }
        if matches!(c, '"' | '\'') {
            quote = Some(c);
        }
        nesting.see(c);
        if nesting.is_too_deep() {
            return Err(ParseError::at(text, offset, ParseErrorKind::TooDeep));
        }
    }
    Ok(())
}

/// How deep a text nests at a point, outside of quotes.
#[derive(Default)]
struct Nesting {
    brackets: usize,
    /// Signs in a row, each of which applies to what follows it.
    signs: usize,
    /// Conditionals so far, which nest without brackets.
    conditionals: usize,
}

impl Nesting {
    fn see(&mut self, c: char) {
        if matches!(c, '-' | '+' | '!' | '~') {
            self.signs += 1;
        } else if !c.is_whitespace() {
            self.signs = 0;
        }
        match c {
            '(' | '[' | '{' => self.brackets += 1,
            ')' | ']' | '}' => self.brackets = self.brackets.saturating_sub(1),
            '?' => self.conditionals += 1,
            _ => {}
        }
    }

    fn is_too_deep(&self) -> bool {
        self.brackets > MAX_DEPTH || self.signs > MAX_DEPTH || self.conditionals > MAX_DEPTH
    }
}
