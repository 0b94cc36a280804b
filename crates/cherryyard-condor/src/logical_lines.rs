//! Splits a file into logical lines: joins continuations, drops comments, and separates
//! inline lists.

use crate::error::{SubmitErrorKind, SubmitResult};
use crate::limits::MAX_LINE;
use crate::location::{File, Location};

/// Largest number of bytes of a line that an error marks.
const MAX_MARKED: usize = 60;

/// A line with its continuations joined.
#[derive(Debug)]
pub(crate) struct LogicalLine {
    pub(crate) text: String,
    /// The offset in the file at which the line begins, in bytes.
    pub(crate) start: usize,
    /// The lines of the list in brackets that begins at the end of this line.
    pub(crate) inline_list: Option<String>,
}

/// Splits a file into its logical lines.
pub(crate) fn logical_lines(file: &File) -> SubmitResult<Vec<LogicalLine>> {
    let mut lines: Vec<LogicalLine> = Vec::new();
    let mut continued: Option<LogicalLine> = None;
    let mut in_list = false;
    let mut next_start = 0;
    for physical in file.text.split_inclusive('\n') {
        let start = next_start;
        next_start += physical.len();
        let text = physical.trim_end_matches(['\n', '\r']);
        if in_list {
            in_list = text.trim() != ")";
            if in_list && let Some(list) = inline_list(&mut lines) {
                list.push_str(text);
                list.push('\n');
            }
            continue;
        }
        let trimmed = text.trim_start();
        if continued.is_none() && (trimmed.is_empty() || trimmed.starts_with('#')) {
            continue;
        }
        let mut line = continued.take().unwrap_or(LogicalLine {
            text: String::new(),
            start: start + text.len() - trimmed.len(),
            inline_list: None,
        });
        let without_backslash = trimmed.strip_suffix('\\');
        line.text.push_str(without_backslash.unwrap_or(trimmed));
        if line.text.len() > MAX_LINE {
            let location = beginning_at(file, start, text.len());
            return Err(location.error(SubmitErrorKind::LineTooLong));
        }
        if without_backslash.is_some() {
            continued = Some(line);
            continue;
        }
        if begins_list(&line.text) {
            in_list = true;
            line.inline_list = Some(String::new());
        }
        lines.push(line);
    }
    lines.extend(continued);
    match lines.last() {
        Some(line) if in_list => {
            let location = beginning_at(file, line.start, line.text.len());
            Err(location.error(SubmitErrorKind::ListNotClosed))
        }
        _ => Ok(lines),
    }
}

fn inline_list(lines: &mut [LogicalLine]) -> Option<&mut String> {
    lines.last_mut()?.inline_list.as_mut()
}

fn begins_list(line: &str) -> bool {
    let line = line.trim();
    let is_queue = line
        .get(..5)
        .is_some_and(|word| word.eq_ignore_ascii_case("queue"));
    is_queue && line.ends_with('(')
}

fn beginning_at(file: &File, start: usize, len: usize) -> Location {
    Location {
        file: file.clone(),
        start,
        len: len.min(MAX_MARKED),
    }
}
