//! What is wrong with a submit file, and where.

use miette::{Diagnostic, NamedSource, SourceSpan};
use std::sync::Arc;

/// What is wrong with a submit file.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{what}")]
pub struct SubmitError {
    /// What is wrong.
    pub what: String,
    /// The file, and its text.
    #[source_code]
    pub text: NamedSource<Arc<str>>,
    /// Where in it.
    #[label("here")]
    pub at: SourceSpan,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What could be done.
    #[help]
    pub help: Option<String>,
}

/// A file that is read, or was included.
#[derive(Clone, Debug)]
pub(crate) struct File {
    pub(crate) name: Arc<str>,
    pub(crate) text: Arc<str>,
}

/// A place in a file.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) file: File,
    pub(crate) at: usize,
    pub(crate) len: usize,
}

impl Place {
    /// Line and column, from 1.
    pub(crate) fn line(&self) -> (usize, usize) {
        let before = self.file.text.get(..self.at).unwrap_or(&self.file.text);
        let start = before.rfind('\n').map_or(0, |i| i + 1);
        let line = before.bytes().filter(|b| *b == b'\n').count() + 1;
        (line, before[start..].chars().count() + 1)
    }

    pub(crate) fn error(&self, what: impl Into<String>) -> Box<SubmitError> {
        let (line, column) = self.line();
        Box::new(SubmitError {
            what: what.into(),
            text: NamedSource::new(&self.file.name, self.file.text.clone()),
            at: (self.at, self.len).into(),
            line,
            column,
            help: None,
        })
    }

    pub(crate) fn warning(&self, what: impl Into<String>) -> Warning {
        Warning {
            file: self.file.name.to_string(),
            line: self.line().0,
            what: what.into(),
        }
    }
}

impl SubmitError {
    pub(crate) fn with_help(mut self: Box<Self>, help: impl Into<String>) -> Box<Self> {
        self.help = Some(help.into());
        self
    }
}

/// What is accepted, but not as HTCondor would take it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Warning {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What has no effect, or another.
    pub what: String,
}
