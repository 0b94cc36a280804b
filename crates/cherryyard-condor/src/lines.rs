//! A file's statements, one after another: continuations joined, included files read,
//! conditions decided.

use crate::error::{File, Place, SubmitError};
use crate::macros::{Expander, Grammar, Rule, Scope, Text};
use pest::Parser;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Longest file, and most statements of all files together.
const MAX_FILE: usize = 16 * 1024 * 1024;
const MAX_STATEMENTS: usize = 200_000;
/// Longest line, its continuations joined.
const MAX_LINE: usize = 64 * 1024;
/// Deepest that files include each other, and conditions nest.
const MAX_NESTED: usize = 16;

/// A line, its continuations joined, and where it begins.
#[derive(Debug)]
struct Line {
    text: String,
    at: usize,
    /// Lines of a list in brackets that begins on it.
    inline: Option<String>,
}

fn split(file: &File) -> Result<Vec<Line>, Box<SubmitError>> {
    let mut all: Vec<Line> = Vec::new();
    let mut open: Option<Line> = None;
    let mut list = false;
    let mut at = 0;
    for whole in file.text.split_inclusive('\n') {
        let begin = at;
        at += whole.len();
        let text = whole.trim_end_matches(['\n', '\r']);
        let place = || Place {
            file: file.clone(),
            at: begin,
            len: text.len().min(60),
        };
        if list {
            let line = all.last_mut().and_then(|l| l.inline.as_mut());
            if text.trim() == ")" {
                list = false;
            } else if let Some(inline) = line {
                inline.push_str(text);
                inline.push('\n');
            }
            continue;
        }
        let trimmed = text.trim_start();
        if open.is_none() && (trimmed.is_empty() || trimmed.starts_with('#')) {
            continue;
        }
        let mut line = open.take().unwrap_or(Line {
            text: String::new(),
            at: begin + text.len() - trimmed.len(),
            inline: None,
        });
        let continues = trimmed.ends_with('\\');
        line.text
            .push_str(trimmed.strip_suffix('\\').unwrap_or(trimmed));
        if line.text.len() > MAX_LINE {
            return Err(place().error(format!("a line of more than {MAX_LINE} bytes")));
        }
        if continues {
            open = Some(line);
            continue;
        }
        let words = line.text.trim();
        let queue = words
            .get(..5)
            .is_some_and(|w| w.eq_ignore_ascii_case("queue"));
        if queue && words.ends_with('(') {
            list = true;
            line.inline = Some(String::new());
        }
        all.push(line);
    }
    all.extend(open);
    if list && let Some(line) = all.last() {
        let place = Place {
            file: file.clone(),
            at: line.at,
            len: line.text.len().min(60),
        };
        return Err(place.error("a list is not closed: `)` on a line of its own is missing"));
    }
    Ok(all)
}

/// What a statement says.
#[derive(Debug)]
pub(crate) enum Statement {
    /// `name = value`.
    Set(String, String),
    /// `+name = value`.
    Attribute(String, String),
    /// `queue ...`, and the lines of its list.
    Queue(String, Option<String>),
}

/// Whoever takes statements.
pub(crate) trait Taker {
    /// Takes one.
    fn take(
        &mut self,
        statement: Statement,
        place: &Place,
        expander: &mut Expander<'_>,
    ) -> Result<(), Box<SubmitError>>;
    /// What is defined so far.
    fn table(&self) -> &HashMap<String, Arc<Text>>;
}

/// Where conditions stand: whether a branch has been taken, and whether this one is.
#[derive(Clone, Copy)]
struct Condition {
    taken: bool,
    active: bool,
    /// `else` has come.
    last: bool,
}

/// Reads files.
pub(crate) struct Reader<'a, 's> {
    pub(crate) expander: Expander<'s>,
    pub(crate) taker: &'a mut dyn Taker,
    statements: usize,
    /// Files around the one at hand.
    open: HashSet<String>,
}

impl<'a, 's> Reader<'a, 's> {
    pub(crate) fn new(expander: Expander<'s>, taker: &'a mut dyn Taker) -> Self {
        Self {
            expander,
            taker,
            statements: 0,
            open: HashSet::new(),
        }
    }

    fn expanded(&mut self, text: &str, place: &Place) -> Result<String, Box<SubmitError>> {
        let vars = HashMap::new();
        let scope = Scope {
            table: self.taker.table(),
            vars: &vars,
        };
        let compiled = Text::compile(text).map_err(|e| place.error(e))?;
        let expanded = self.expander.expand(&compiled, &scope);
        expanded.map_err(|e| place.error(e))
    }

    /// Reads a file's statements, and those of the files that it includes.
    pub(crate) fn file(&mut self, file: &File) -> Result<(), Box<SubmitError>> {
        let whole = Place {
            file: file.clone(),
            at: 0,
            len: 0,
        };
        if file.text.len() > MAX_FILE {
            return Err(whole.error(format!("larger than {MAX_FILE} bytes")));
        }
        if !self.open.insert(file.name.to_string()) || self.open.len() > MAX_NESTED {
            return Err(whole.error("files include each other, or too deep"));
        }
        let mut conditions: Vec<Condition> = Vec::new();
        for line in split(file)? {
            let place = Place {
                file: file.clone(),
                at: line.at,
                len: line
                    .text
                    .trim_end()
                    .len()
                    .min(file.text.len() - line.at)
                    .max(1),
            };
            self.statements += 1;
            if self.statements > MAX_STATEMENTS {
                return Err(place.error("too many statements"));
            }
            self.line(&line, &place, &mut conditions)?;
        }
        if !conditions.is_empty() {
            let end = Place {
                file: file.clone(),
                at: file.text.trim_end().len(),
                len: 0,
            };
            return Err(end.error("`endif` is missing"));
        }
        self.open.remove(&*file.name);
        Ok(())
    }

    fn line(
        &mut self,
        line: &Line,
        place: &Place,
        conditions: &mut Vec<Condition>,
    ) -> Result<(), Box<SubmitError>> {
        let parsed = Grammar::parse(Rule::statement, &line.text).map_err(|e| {
            let at = match e.location {
                pest::error::InputLocation::Pos(at) | pest::error::InputLocation::Span((at, _)) => {
                    at
                }
            };
            let here = Place {
                file: place.file.clone(),
                at: (place.at + at).min(place.file.text.len()),
                len: 1,
            };
            here.error("this is neither `name = value` nor `queue`, `include`, or a condition")
        })?;
        let active = conditions.iter().all(|c| c.active);
        for pair in parsed {
            let rule = pair.as_rule();
            let mut inner = pair.into_inner();
            let mut next = || inner.next().map_or("", |p| p.as_str()).to_string();
            match rule {
                Rule::if_ => {
                    if conditions.len() >= MAX_NESTED {
                        return Err(place.error("conditions are nested too deep"));
                    }
                    let holds = active && self.holds(&next(), place)?;
                    conditions.push(Condition {
                        taken: holds,
                        active: holds,
                        last: false,
                    });
                }
                Rule::elif | Rule::else_ => {
                    let around = conditions.iter().rev().skip(1).all(|c| c.active);
                    let Some(&now) = conditions.last().filter(|c| !c.last) else {
                        return Err(place.error("there is no `if` before it"));
                    };
                    let may = around && !now.taken;
                    let holds = may && (rule == Rule::else_ || self.holds(&next(), place)?);
                    if let Some(c) = conditions.last_mut() {
                        c.active = holds;
                        c.taken |= holds;
                        c.last = rule == Rule::else_;
                    }
                }
                Rule::endif => {
                    conditions
                        .pop()
                        .ok_or_else(|| place.error("there is no `if` before it"))?;
                }
                _ if !active => {}
                Rule::assign => {
                    let statement = Statement::Set(next(), next());
                    self.taker.take(statement, place, &mut self.expander)?;
                }
                Rule::attribute => {
                    let statement = Statement::Attribute(next(), next());
                    self.taker.take(statement, place, &mut self.expander)?;
                }
                Rule::queue => {
                    let statement = Statement::Queue(next(), line.inline.clone());
                    self.taker.take(statement, place, &mut self.expander)?;
                }
                Rule::include => {
                    let first = next();
                    let optional = first.eq_ignore_ascii_case("ifexist");
                    let named = if optional { next() } else { first };
                    self.include(&named, optional, place)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn include(
        &mut self,
        named: &str,
        optional: bool,
        place: &Place,
    ) -> Result<(), Box<SubmitError>> {
        let name = self.expanded(named, place)?;
        let name = name.trim().trim_matches('"');
        if name.ends_with('|') {
            return Err(place.error("programs are not run for their output"));
        }
        match self.expander.source.file(name) {
            Ok(text) => self.file(&File {
                name: name.into(),
                text: text.into(),
            }),
            Err(_) if optional => Ok(()),
            Err(e) => Err(place.error(e)),
        }
    }

    fn holds(&mut self, condition: &str, place: &Place) -> Result<bool, Box<SubmitError>> {
        let text = self.expanded(condition, place)?;
        let mut text = text.trim();
        let mut negated = false;
        while let Some(rest) = text.strip_prefix('!') {
            (negated, text) = (!negated, rest.trim_start());
        }
        let lower = text.to_ascii_lowercase();
        let words: Vec<&str> = lower.split_whitespace().collect();
        let holds = match words.as_slice() {
            // What nothing defines, expanded, leaves nothing.
            ["defined"] => false,
            ["defined", name, ..] => {
                let name = name.trim_start_matches('+');
                self.taker.table().contains_key(name)
                    || !condition.to_ascii_lowercase().contains(name)
            }
            ["version", sign, version] => {
                // The published language that is followed.
                let number =
                    |v: &str| -> Vec<u32> { v.split('.').filter_map(|n| n.parse().ok()).collect() };
                let order = vec![10, 0, 0].cmp(&number(version));
                match *sign {
                    ">=" => order.is_ge(),
                    "<=" => order.is_le(),
                    ">" => order.is_gt(),
                    "<" => order.is_lt(),
                    "==" => order.is_eq(),
                    _ => return Err(place.error("expected `version >= x.y.z`")),
                }
            }
            ["true" | "yes"] => true,
            ["false" | "no"] | [] => false,
            [number] if number.parse::<f64>().is_ok() => number.parse() != Ok(0.0),
            _ => {
                let error = place.error(format!("the condition `{text}` is not understood"));
                return Err(
                    error.with_help("`defined NAME`, `version >= X`, true, false or a number")
                );
            }
        };
        Ok(holds != negated)
    }
}
