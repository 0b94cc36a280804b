//! Reads a file's statements in order, with conditions and included files.

use crate::conditions::{Conditions, holds};
use crate::error::{SubmitErrorKind, SubmitResult};
use crate::grammar::{Grammar, Rule};
use crate::limits::{MAX_FILE, MAX_NESTED, MAX_STATEMENTS};
use crate::location::{File, Location};
use crate::logical_lines::{LogicalLine, logical_lines};
use crate::macros::{Bindings, Definitions, Expander, MacroText, Variables};
use pest::Parser;
use pest::iterators::Pair;
use std::collections::HashSet;

/// A statement that is neither an `include` nor a condition.
#[derive(Debug)]
pub(crate) enum Statement {
    /// `name = value`.
    Set { name: String, value: String },
    /// `+name = value` or `MY.name = value`.
    SetAttribute { name: String, value: String },
    /// `queue ...`.
    Queue {
        arguments: String,
        /// The lines of the list in brackets after the arguments, if there is one.
        inline_list: Option<String>,
    },
}

/// Receives the statements of a file in order.
pub(crate) trait StatementHandler {
    /// Carries out one statement.
    fn handle(
        &mut self,
        statement: Statement,
        location: &Location,
        expander: &mut Expander<'_>,
    ) -> SubmitResult<()>;

    /// Returns the definitions made so far.
    fn definitions(&self) -> &Definitions;
}

/// Reads files and passes their statements to a handler.
pub(crate) struct Reader<'a, 's> {
    expander: Expander<'s>,
    handler: &'a mut dyn StatementHandler,
    /// Number of statements read so far.
    statements: usize,
    /// Names of the current file and of the files that include it.
    open_files: HashSet<String>,
}

impl<'a, 's> Reader<'a, 's> {
    pub(crate) fn new(expander: Expander<'s>, handler: &'a mut dyn StatementHandler) -> Self {
        Self {
            expander,
            handler,
            statements: 0,
            open_files: HashSet::new(),
        }
    }

    /// Reads the statements of a file and of the files that it includes.
    pub(crate) fn read_file(&mut self, file: &File) -> SubmitResult<()> {
        let beginning = Location {
            file: file.clone(),
            start: 0,
            len: 0,
        };
        if file.text.len() > MAX_FILE {
            return Err(beginning.error(SubmitErrorKind::FileTooLarge));
        }
        let is_new = self.open_files.insert(file.name.to_string());
        if !is_new || self.open_files.len() > MAX_NESTED {
            return Err(beginning.error(SubmitErrorKind::IncludedTooDeep));
        }
        let mut conditions = Conditions::default();
        for line in logical_lines(file)? {
            let len = line.text.trim_end().len();
            let location = Location {
                file: file.clone(),
                start: line.start,
                len: len.min(file.text.len() - line.start).max(1),
            };
            self.statements += 1;
            if self.statements > MAX_STATEMENTS {
                return Err(location.error(SubmitErrorKind::TooManyStatements));
            }
            self.read_line(&line, &location, &mut conditions)?;
        }
        if !conditions.all_closed() {
            return Err(Location::end_of(file).error(SubmitErrorKind::MissingEndif));
        }
        self.open_files.remove(&*file.name);
        Ok(())
    }

    fn read_line(
        &mut self,
        line: &LogicalLine,
        location: &Location,
        conditions: &mut Conditions,
    ) -> SubmitResult<()> {
        let pairs = Grammar::parse(Rule::statement, &line.text)
            .map_err(|error| location_of(&error, location).error(SubmitErrorKind::NotAStatement))?;
        for pair in pairs {
            match pair.as_rule() {
                Rule::if_ | Rule::elif | Rule::else_ | Rule::endif => {
                    self.handle_condition(pair, location, conditions)?;
                }
                _ if !conditions.active() => {}
                Rule::include => self.read_included_file(pair, location)?,
                _ => {
                    if let Some(statement) = statement(pair, line) {
                        self.handler
                            .handle(statement, location, &mut self.expander)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn handle_condition(
        &mut self,
        pair: Pair<'_, Rule>,
        location: &Location,
        conditions: &mut Conditions,
    ) -> SubmitResult<()> {
        let rule = pair.as_rule();
        let text = pair.into_inner().next().map_or("", |inner| inner.as_str());
        match rule {
            Rule::if_ => {
                let may_hold = conditions
                    .check_new_if()
                    .map_err(|kind| location.error(kind))?;
                conditions.begin_if(may_hold && self.holds(text, location)?);
            }
            Rule::elif | Rule::else_ => {
                let may_hold = conditions
                    .check_new_branch()
                    .map_err(|kind| location.error(kind))?;
                let is_else = rule == Rule::else_;
                let holds = may_hold && (is_else || self.holds(text, location)?);
                conditions.begin_branch(holds, is_else);
            }
            _ => conditions.end_if().map_err(|kind| location.error(kind))?,
        }
        Ok(())
    }

    fn holds(&mut self, condition: &str, location: &Location) -> SubmitResult<bool> {
        let expanded = self.expand(condition, location)?;
        holds(condition, &expanded, self.handler.definitions()).map_err(|kind| {
            let is_unknown = matches!(kind, SubmitErrorKind::UnknownCondition(_));
            let error = location.error(kind);
            if is_unknown {
                error.with_help("`defined NAME`, `version >= X`, true, false or a number")
            } else {
                error
            }
        })
    }

    fn read_included_file(
        &mut self,
        pair: Pair<'_, Rule>,
        location: &Location,
    ) -> SubmitResult<()> {
        let mut words = pair.into_inner().map(|word| word.as_str());
        let first = words.next().unwrap_or("");
        let optional = first.eq_ignore_ascii_case("ifexist");
        let named = if optional {
            words.next().unwrap_or("")
        } else {
            first
        };
        let name = self.expand(named, location)?;
        let name = name.trim().trim_matches('"');
        if name.ends_with('|') {
            return Err(location.error(SubmitErrorKind::ProgramIncluded));
        }
        match self.expander.source.file(name) {
            Ok(text) => self.read_file(&File {
                name: name.into(),
                text: text.into(),
            }),
            Err(_) if optional => Ok(()),
            Err(error) => Err(location.error(error)),
        }
    }

    fn expand(&mut self, text: &str, location: &Location) -> SubmitResult<String> {
        let bindings = Bindings {
            definitions: self.handler.definitions(),
            variables: &Variables::new(),
        };
        let compiled = MacroText::compile(text).map_err(|error| location.error(error))?;
        let expanded = self.expander.expand(&compiled, bindings);
        expanded.map_err(|error| location.error(error))
    }
}

/// Converts an assignment or a `queue` into a statement; `None` for the end of the line.
fn statement(pair: Pair<'_, Rule>, line: &LogicalLine) -> Option<Statement> {
    let rule = pair.as_rule();
    let mut words = pair.into_inner();
    let mut next = || {
        let word = words.next().map_or("", |word| word.as_str());
        word.to_string()
    };
    Some(match rule {
        Rule::assign => Statement::Set {
            name: next(),
            value: next(),
        },
        Rule::attribute => Statement::SetAttribute {
            name: next(),
            value: next(),
        },
        Rule::queue => Statement::Queue {
            arguments: next(),
            inline_list: line.inline_list.clone(),
        },
        _ => return None,
    })
}

/// Returns the location at which the grammar found an error, within a line at `location`.
fn location_of(error: &pest::error::Error<Rule>, location: &Location) -> Location {
    let offset = match error.location {
        pest::error::InputLocation::Pos(start) | pest::error::InputLocation::Span((start, _)) => {
            start
        }
    };
    Location {
        file: location.file.clone(),
        start: (location.start + offset).min(location.file.text.len()),
        len: 1,
    }
}
