//! Parses the arguments of `queue`: the number of procs and the items.

use crate::grammar::{Grammar, Rule};
use crate::limits::MAX_ITEMS;
use crate::source::{Source, SourceError};
use pest::Parser;
use pest::iterators::Pair;

/// Name of the variable that an item sets if the statement names none.
const DEFAULT_VARIABLE: &str = "item";

/// The reason why the arguments of `queue` are refused.
#[derive(Clone, Debug, thiserror::Error)]
pub enum QueueError {
    /// The arguments do not have the form of a `queue` statement.
    #[error("expected `queue [n] [variables in|from|matching ...]`")]
    Syntax,
    /// The number of procs does not fit into its type.
    #[error("{0}: too many")]
    CountTooLarge(String),
    /// A bound of a slice does not fit into its type.
    #[error("{0}: too large a number")]
    BoundTooLarge(String),
    /// A slice has neither a bound nor a colon.
    #[error("an empty slice")]
    EmptySlice,
    /// The step of a slice is 0 or negative.
    #[error("a slice's step must be 1 or more")]
    SliceStep,
    /// A list has no closing bracket.
    #[error("a list is not closed")]
    ListNotClosed,
    /// The items are the output of a program.
    #[error("programs are not run for their items")]
    ProgramItems,
    /// `from` names no file.
    #[error("from which file?")]
    MissingFile,
    /// There are too many items.
    #[error("more than {MAX_ITEMS} items")]
    TooManyItems,
    /// A file of items, or names of files, cannot be read.
    #[error(transparent)]
    Source(#[from] SourceError),
}

/// The parsed arguments of a `queue` statement.
#[derive(Debug)]
pub(crate) struct Queue {
    /// The number of procs for each item.
    pub(crate) count: u32,
    /// The variables that an item sets, in lower case.
    pub(crate) variables: Vec<String>,
    /// The items; a single empty item if there is no list.
    pub(crate) items: Vec<String>,
    /// Whether the statement has a list.
    pub(crate) has_list: bool,
}

impl Queue {
    /// Parses the arguments. `inline_list` contains the lines of a list in brackets that
    /// spans several lines.
    pub(crate) fn parse(
        arguments: &str,
        inline_list: Option<&str>,
        source: &mut dyn Source,
    ) -> Result<Self, QueueError> {
        let mut queue = Self {
            count: 1,
            variables: Vec::new(),
            items: vec![String::new()],
            has_list: false,
        };
        let pairs = Grammar::parse(Rule::queue_args, arguments).map_err(|_| QueueError::Syntax)?;
        for pair in pairs {
            match pair.as_rule() {
                Rule::count => {
                    let text = pair.as_str();
                    let count = text.parse();
                    queue.count = count.map_err(|_| QueueError::CountTooLarge(text.into()))?;
                }
                Rule::foreach => queue.read_list(pair, inline_list, source)?,
                _ => {}
            }
        }
        if queue.items.len() > MAX_ITEMS {
            return Err(QueueError::TooManyItems);
        }
        Ok(queue)
    }

    /// Reads the variables and items of `[variables] in|from|matching ...`.
    fn read_list(
        &mut self,
        pair: Pair<'_, Rule>,
        inline_list: Option<&str>,
        source: &mut dyn Source,
    ) -> Result<(), QueueError> {
        self.has_list = true;
        for part in pair.into_inner() {
            if part.as_rule() == Rule::vars {
                let names = part.into_inner();
                self.variables = names
                    .map(|name| name.as_str().to_ascii_lowercase())
                    .collect();
            } else {
                let list = ItemList::new(part);
                let items = list.items(inline_list, source)?;
                self.items = match &list.slice {
                    Some(bounds) => slice(items, bounds)?,
                    None => items,
                };
            }
        }
        if self.variables.is_empty() {
            self.variables.push(DEFAULT_VARIABLE.into());
        }
        Ok(())
    }

    /// Returns the value of each variable for an item; the last variable takes the rest of
    /// the item.
    pub(crate) fn values<'a>(&'a self, item: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let mut rest = item.trim();
        let last = self.variables.len().saturating_sub(1);
        self.variables.iter().enumerate().map(move |(i, name)| {
            if i == last {
                return (name.as_str(), rest);
            }
            let end = rest.find(|c: char| c == ',' || c.is_whitespace());
            let (value, after) = rest.split_at(end.unwrap_or(rest.len()));
            let after = after.trim_start();
            rest = after.strip_prefix(',').unwrap_or(after).trim_start();
            (name.as_str(), value)
        })
    }
}

/// A clause `in`, `from` or `matching`, with the text after it.
struct ItemList<'i> {
    rule: Rule,
    slice: Option<Pair<'i, Rule>>,
    /// The type of directory entries to match: `files`, `dirs` or `any`; for `matching`
    /// only.
    file_type: String,
    rest: &'i str,
}

impl<'i> ItemList<'i> {
    fn new(pair: Pair<'i, Rule>) -> Self {
        let mut list = Self {
            rule: pair.as_rule(),
            slice: None,
            file_type: "any".to_string(),
            rest: "",
        };
        for part in pair.into_inner() {
            match part.as_rule() {
                Rule::slice => list.slice = Some(part),
                Rule::file_type => list.file_type = part.as_str().to_ascii_lowercase(),
                _ => list.rest = part.as_str().trim(),
            }
        }
        list
    }

    /// Returns the items before the slice is applied.
    fn items(
        &self,
        inline_list: Option<&str>,
        source: &mut dyn Source,
    ) -> Result<Vec<String>, QueueError> {
        let bracketed = match (inline_list, self.rest.strip_prefix('(')) {
            (Some(lines), _) => Some(lines),
            (None, Some(rest)) => Some(rest.strip_suffix(')').ok_or(QueueError::ListNotClosed)?),
            (None, None) => None,
        };
        match (self.rule, bracketed) {
            (Rule::in_, text) => Ok(words(text.unwrap_or(self.rest))),
            (Rule::from, Some(text)) => Ok(lines(text)),
            (Rule::from, None) => self.items_of_file(source),
            (_, text) => self.matching(text.unwrap_or(self.rest), source),
        }
    }

    fn items_of_file(&self, source: &mut dyn Source) -> Result<Vec<String>, QueueError> {
        if self.rest.ends_with('|') {
            return Err(QueueError::ProgramItems);
        }
        if self.rest.is_empty() {
            return Err(QueueError::MissingFile);
        }
        let text = source.file(self.rest.trim_matches('"'))?;
        Ok(lines(&text))
    }

    fn matching(&self, patterns: &str, source: &mut dyn Source) -> Result<Vec<String>, QueueError> {
        let mut names = Vec::new();
        for pattern in words(patterns) {
            for (file_type, directories) in [("files", false), ("dirs", true)] {
                if self.file_type == "any" || self.file_type == file_type {
                    names.extend(source.matching(&pattern, directories)?);
                }
            }
        }
        names.sort();
        names.dedup();
        Ok(names)
    }
}

/// Splits a text into items separated by commas or blanks.
fn words(text: &str) -> Vec<String> {
    text.split(|c: char| c == ',' || c.is_whitespace())
        .filter(|word| !word.is_empty())
        .map(str::to_string)
        .collect()
}

/// Splits a text into items on separate lines, without empty lines and comments.
fn lines(text: &str) -> Vec<String> {
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(str::to_string)
        .collect()
}

/// Returns the items that a slice `[index]` or `[from:to:step]` selects, as in Python; a
/// negative bound counts from the end.
fn slice<T>(items: Vec<T>, pair: &Pair<'_, Rule>) -> Result<Vec<T>, QueueError> {
    let bounds: Vec<Option<i64>> = pair
        .clone()
        .into_inner()
        .map(|bound| parse_bound(bound.as_str()))
        .collect::<Result<_, _>>()?;
    let len = items.len() as i64;
    if let [index] = bounds.as_slice() {
        let index = index.ok_or(QueueError::EmptySlice)?;
        let index = if index < 0 { index + len } else { index };
        let index = usize::try_from(index).ok();
        let item = index.and_then(|index| items.into_iter().nth(index));
        return Ok(item.into_iter().collect());
    }
    let bound = |index: usize| bounds.get(index).copied().flatten();
    let step = bound(2).unwrap_or(1);
    if step < 1 {
        return Err(QueueError::SliceStep);
    }
    let position = |at: i64| if at < 0 { at.saturating_add(len) } else { at }.clamp(0, len);
    let from = position(bound(0).unwrap_or(0));
    let to = position(bound(1).unwrap_or(len)).max(from);
    let selected = items
        .into_iter()
        .skip(from as usize)
        .take((to - from) as usize);
    let step = usize::try_from(step).unwrap_or(usize::MAX);
    Ok(selected.step_by(step).collect())
}

fn parse_bound(text: &str) -> Result<Option<i64>, QueueError> {
    if text.is_empty() {
        return Ok(None);
    }
    let bound = text.parse();
    bound
        .map(Some)
        .map_err(|_| QueueError::BoundTooLarge(text.to_string()))
}
