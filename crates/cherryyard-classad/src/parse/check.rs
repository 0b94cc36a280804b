//! Checks the size and nesting of a text before the recursive grammar parses it.

use super::error::{ParseError, ParseErrorKind};
use super::limits::{MAX_DEPTH, MAX_GRAMMAR_STEPS, MAX_TEXT};
use std::sync::Once;

/// Refuses a text that is too long or nested too deep, before the grammar recurses into it.
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
        nesting.advance(c);
        if nesting.is_too_deep() {
            return Err(ParseError::at(text, offset, ParseErrorKind::TooDeep));
        }
    }
    Ok(())
}

/// The nesting depth at a position of a text, outside of quotes.
#[derive(Default)]
struct Nesting {
    open_brackets: usize,
    /// The number of consecutive signs, each of which applies to the text after it.
    consecutive_signs: usize,
    /// The number of conditionals so far, which nest without brackets.
    conditionals: usize,
}

impl Nesting {
    fn advance(&mut self, c: char) {
        if matches!(c, '-' | '+' | '!' | '~') {
            self.consecutive_signs += 1;
        } else if !c.is_whitespace() {
            self.consecutive_signs = 0;
        }
        match c {
            '(' | '[' | '{' => self.open_brackets += 1,
            ')' | ']' | '}' => self.open_brackets = self.open_brackets.saturating_sub(1),
            '?' => self.conditionals += 1,
            _ => {}
        }
    }

    fn is_too_deep(&self) -> bool {
        self.open_brackets > MAX_DEPTH
            || self.consecutive_signs > MAX_DEPTH
            || self.conditionals > MAX_DEPTH
    }
}
