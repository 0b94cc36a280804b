//! Compiles texts that contain macros.

use super::error::MacroError;
use crate::grammar::{Grammar, Rule};
use crate::limits::{MAX_MACRO_DEPTH, MAX_TEXT};
use pest::Parser;
use pest::iterators::{Pair, Pairs};

/// A part of a text with macros.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Piece {
    /// Text without macros.
    Literal(String),
    /// `$(name)` or `$(name:default)`, with the name in lower case.
    Macro {
        name: String,
        default: Option<Vec<Piece>>,
    },
    /// `$FUNCTION(a, b)`.
    Call {
        function: String,
        arguments: Vec<Vec<Piece>>,
    },
    /// `$$(name)`, as written; HTCondor replaces it with an attribute of the chosen
    /// machine, which this scheduler does not.
    MachineAttribute(String),
}

/// A text whose macros have been parsed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MacroText {
    pub(super) pieces: Vec<Piece>,
}

impl MacroText {
    /// Compiles a text, within bounds on its length and on the nesting of its brackets.
    pub(crate) fn compile(text: &str) -> Result<Self, MacroError> {
        if !text.contains('$') {
            let pieces = vec![Piece::Literal(text.to_string())];
            return Ok(Self { pieces });
        }
        if deepest_nesting(text) > MAX_MACRO_DEPTH || text.len() > MAX_TEXT {
            return Err(MacroError::TextTooLarge);
        }
        match Grammar::parse(Rule::text, text) {
            Ok(pairs) => Ok(Self {
                pieces: parse_pieces(pairs),
            }),
            Err(_) => Err(MacroError::NotClosed),
        }
    }

    /// Returns whether the text itself refers to this macro; the name is in lower case.
    pub(crate) fn refers_to(&self, name: &str) -> bool {
        any_refers_to(&self.pieces, name)
    }

    /// Returns the text with references to one macro replaced by the macro's previous
    /// definition, as in `a = $(a) b`.
    pub(crate) fn with_definition(self, name: &str, definition: &Self) -> Self {
        let replaced = self.pieces.into_iter().flat_map(|piece| match piece {
            Piece::Macro { name: own, .. } if own == name => definition.pieces.clone(),
            other => vec![other],
        });
        Self {
            pieces: replaced.collect(),
        }
    }
}

fn deepest_nesting(text: &str) -> usize {
    let (mut depth, mut deepest) = (0usize, 0usize);
    for byte in text.bytes() {
        match byte {
            b'(' => depth += 1,
            b')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

fn any_refers_to(pieces: &[Piece], name: &str) -> bool {
    pieces.iter().any(|piece| match piece {
        Piece::Macro { name: own, default } => {
            own == name
                || default
                    .as_ref()
                    .is_some_and(|default| any_refers_to(default, name))
        }
        Piece::Call { arguments, .. } => arguments
            .iter()
            .any(|argument| any_refers_to(argument, name)),
        Piece::Literal(_) | Piece::MachineAttribute(_) => false,
    })
}

fn parse_pieces(pairs: Pairs<'_, Rule>) -> Vec<Piece> {
    let mut all = Vec::new();
    for pair in pairs {
        match pair.as_rule() {
            Rule::EOI => {}
            Rule::macro_ => all.push(macro_reference(pair)),
            Rule::call => all.push(function_call(pair)),
            Rule::machine_attribute => all.push(Piece::MachineAttribute(pair.as_str().to_string())),
            Rule::group => {
                all.push(Piece::Literal("(".into()));
                all.extend(parse_pieces(pair.into_inner()));
                all.push(Piece::Literal(")".into()));
            }
            _ => all.push(Piece::Literal(pair.as_str().to_string())),
        }
    }
    all
}

fn macro_reference(pair: Pair<'_, Rule>) -> Piece {
    let mut inner = pair.into_inner();
    let name = inner.next().map_or("", |name| name.as_str());
    Piece::Macro {
        name: name.to_ascii_lowercase(),
        default: inner
            .next()
            .map(|default| parse_pieces(default.into_inner())),
    }
}

fn function_call(pair: Pair<'_, Rule>) -> Piece {
    let mut inner = pair.into_inner();
    let function = inner.next().map_or("", |name| name.as_str()).to_string();
    let arguments = inner.map(|argument| parse_pieces(argument.into_inner()));
    Piece::Call {
        function,
        arguments: arguments.collect(),
    }
}
