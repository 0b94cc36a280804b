//! Defines the errors of the parser, with their position in the text.

use super::grammar::Rule;
use super::limits::MAX_CHAIN;
use pest::error::{ErrorVariant, LineColLocation};

/// An error in a text, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {kind}")]
pub struct ParseError {
    /// The line of the error, from 1.
    pub line: usize,
    /// The column of the error, in characters from 1.
    pub column: usize,
    /// The kind of the error.
    pub kind: ParseErrorKind,
}

/// The kinds of errors in texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseErrorKind {
    /// The text is longer than the limit.
    #[error("longer than 64 KiB")]
    TooLong,
    /// Brackets, signs or conditionals are nested too deep.
    #[error("nested too deep")]
    TooDeep,
    /// There are too many operators between two brackets.
    #[error("more than {MAX_CHAIN} operators in a row")]
    TooManyOperators,
    /// An integer does not fit into 64 bits.
    #[error("too large a number")]
    NumberTooLarge,
    /// A real cannot be parsed.
    #[error("a bad number")]
    BadNumber,
    /// No function has this name.
    #[error("no function `{0}`")]
    UnknownFunction(String),
    /// A function is called with too few or too many arguments.
    #[error("`{function}` does not take {given} arguments")]
    ArgumentCount {
        /// The function's name, as spelled in the text.
        function: String,
        /// The number of arguments in the call.
        given: usize,
    },
    /// The text does not continue with any of the elements that the grammar expects.
    #[error("expected {}", .0.join(" or "))]
    Expected(Vec<&'static str>),
    /// The text does not match the grammar, and no expected element can be named.
    #[error("this is not an expression")]
    NotAnExpression,
    /// The grammar stopped for another reason, which is given.
    #[error("{0}")]
    Grammar(String),
}

impl ParseError {
    /// Creates an error at a position of the text, in bytes.
    pub(super) fn at(text: &str, offset: usize, kind: ParseErrorKind) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            kind,
        }
    }
}

impl From<pest::error::Error<Rule>> for ParseError {
    fn from(error: pest::error::Error<Rule>) -> Self {
        let (line, column) = match error.line_col {
            LineColLocation::Pos(start) | LineColLocation::Span(start, _) => start,
        };
        let kind = match error.variant {
            ErrorVariant::ParsingError { positives, .. } => expected(&positives),
            ErrorVariant::CustomError { message } => ParseErrorKind::Grammar(message),
        };
        Self { line, column, kind }
    }
}

fn expected(rules: &[Rule]) -> ParseErrorKind {
    let mut expected: Vec<&str> = rules.iter().filter_map(name_in_messages).collect();
    expected.sort_unstable();
    expected.dedup();
    if expected.is_empty() {
        ParseErrorKind::NotAnExpression
    } else {
        ParseErrorKind::Expected(expected)
    }
}

/// Returns the name of a grammar rule in messages; `None` if messages do not mention the
/// rule.
fn name_in_messages(rule: &Rule) -> Option<&'static str> {
    Some(match rule {
        Rule::EOI => "the end",
        Rule::expr | Rule::unary | Rule::sign | Rule::postfix | Rule::binary => "a value",
        Rule::index | Rule::select => "`[` or `.`",
        Rule::conditional | Rule::elvis => "`?`",
        Rule::name | Rule::pair | Rule::plain => "a name",
        Rule::ad => "`[`",
        Rule::or | Rule::and | Rule::eq | Rule::add | Rule::mul => "an operator",
        Rule::integer | Rule::real | Rule::string | Rule::keyword | Rule::call => "a value",
        _ => return None,
    })
}
