//! Represents positions in submit files.

use crate::error::{SubmitError, SubmitErrorKind, Warning};
use miette::NamedSource;
use std::sync::Arc;

/// A submit file or an included file.
#[derive(Clone, Debug)]
pub(crate) struct File {
    pub(crate) name: Arc<str>,
    pub(crate) text: Arc<str>,
}

/// A span of text in a file.
#[derive(Clone, Debug)]
pub(crate) struct Location {
    pub(crate) file: File,
    /// The offset of the span's beginning, in bytes.
    pub(crate) start: usize,
    /// The length of the span, in bytes.
    pub(crate) len: usize,
}

impl Location {
    /// Returns the end of a file's text, without trailing blanks.
    pub(crate) fn end_of(file: &File) -> Self {
        Self {
            file: file.clone(),
            start: file.text.trim_end().len(),
            len: 0,
        }
    }

    /// Returns the line and column of the beginning, both from 1; the column counts
    /// characters.
    fn line_and_column(&self) -> (usize, usize) {
        let text = &self.file.text;
        let before = text.get(..self.start).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }

    pub(crate) fn error(&self, kind: impl Into<SubmitErrorKind>) -> Box<SubmitError> {
        let (line, column) = self.line_and_column();
        Box::new(SubmitError {
            kind: kind.into(),
            text: NamedSource::new(&self.file.name, self.file.text.clone()),
            at: (self.start, self.len).into(),
            line,
            column,
            help: None,
        })
    }

    pub(crate) fn warning(&self, message: impl Into<String>) -> Warning {
        Warning {
            file: self.file.name.to_string(),
            line: self.line_and_column().0,
            message: message.into(),
        }
    }
}
