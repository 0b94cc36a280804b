//! What follows `queue`: how many, over which items.

use crate::Source;
use crate::macros::{Grammar, Rule};
use pest::Parser;
use pest::iterators::Pair;

/// Most items of one `queue`.
pub(crate) const MAX_ITEMS: usize = 100_000;

/// A `queue` statement, read.
#[derive(Debug)]
pub(crate) struct Queue {
    /// Procs for each item.
    pub(crate) count: u32,
    /// Variables that an item sets.
    pub(crate) vars: Vec<String>,
    /// Items; one empty one where there is no list.
    pub(crate) items: Vec<String>,
    /// Whether there is a list.
    pub(crate) listed: bool,
}

fn slice<T>(all: Vec<T>, pair: &Pair<'_, Rule>) -> Result<Vec<T>, String> {
    let mut bounds = Vec::new();
    for bound in pair.clone().into_inner() {
        let text = bound.as_str();
        bounds.push(if text.is_empty() {
            None
        } else {
            Some(
                text.parse::<i64>()
                    .map_err(|_| format!("{text}: too large a number"))?,
            )
        });
    }
    let len = all.len() as i64;
    let place = |at: i64| if at < 0 { at.saturating_add(len) } else { at }.clamp(0, len);
    let from = bounds.first().copied().flatten();
    if bounds.len() == 1 {
        // One item alone.
        let at = from.ok_or("an empty slice")?;
        let at = if at < 0 { at + len } else { at };
        return Ok(all
            .into_iter()
            .enumerate()
            .filter(|i| i.0 as i64 == at)
            .map(|i| i.1)
            .collect());
    }
    let step = bounds.get(2).copied().flatten().unwrap_or(1);
    if step < 1 {
        return Err("a slice's step must be 1 or more".into());
    }
    let from = place(from.unwrap_or(0));
    let to = place(bounds[1].unwrap_or(len)).max(from);
    let some = all
        .into_iter()
        .skip(from as usize)
        .take((to - from) as usize);
    Ok(some
        .step_by(usize::try_from(step).unwrap_or(usize::MAX))
        .collect())
}

/// Items in a row, between commas or blanks.
fn words(text: &str) -> Vec<String> {
    let words = text.split(|c: char| c == ',' || c.is_whitespace());
    words
        .filter(|w| !w.is_empty())
        .map(str::to_string)
        .collect()
}

fn lines(text: &str) -> Vec<String> {
    let lines = text.lines().map(str::trim);
    let lines = lines.filter(|l| !l.is_empty() && !l.starts_with('#'));
    lines.map(str::to_string).collect()
}

impl Queue {
    /// Reads what follows `queue`; `inline` are the lines of a list in brackets that
    /// goes over several.
    pub(crate) fn read(
        args: &str,
        inline: Option<&str>,
        source: &mut dyn Source,
    ) -> Result<Self, String> {
        let mut queue = Self {
            count: 1,
            vars: Vec::new(),
            items: vec![String::new()],
            listed: false,
        };
        let help = "expected `queue [n] [variables in|from|matching ...]`";
        let pairs = Grammar::parse(Rule::queue_args, args).map_err(|_| help.to_string())?;
        for pair in pairs {
            match pair.as_rule() {
                Rule::count => {
                    let count = pair.as_str().parse::<u32>();
                    queue.count = count.map_err(|_| format!("{}: too many", pair.as_str()))?;
                }
                Rule::foreach => queue.foreach(pair, inline, source)?,
                _ => {}
            }
        }
        if queue.items.len() > MAX_ITEMS {
            return Err(format!("more than {MAX_ITEMS} items"));
        }
        Ok(queue)
    }

    fn foreach(
        &mut self,
        pair: Pair<'_, Rule>,
        inline: Option<&str>,
        source: &mut dyn Source,
    ) -> Result<(), String> {
        self.listed = true;
        for part in pair.into_inner() {
            let rule = part.as_rule();
            if rule == Rule::vars {
                self.vars = part
                    .into_inner()
                    .map(|v| v.as_str().to_ascii_lowercase())
                    .collect();
                continue;
            }
            let (mut cut, mut sort, mut rest) = (None, "any".to_string(), "");
            for inner in part.into_inner() {
                match inner.as_rule() {
                    Rule::slice => cut = Some(inner),
                    Rule::sort => sort = inner.as_str().to_ascii_lowercase(),
                    _ => rest = inner.as_str().trim(),
                }
            }
            let bracket = rest.strip_prefix('(');
            let within = match (inline, bracket) {
                (Some(text), _) => Some(text),
                (None, Some(b)) => Some(b.strip_suffix(')').ok_or("a list is not closed")?),
                (None, None) => None,
            };
            let mut items = match (rule, within) {
                (Rule::in_, Some(text)) => words(text),
                (Rule::in_, None) => words(rest),
                (Rule::from, Some(text)) => lines(text),
                (Rule::from, None) if rest.ends_with('|') => {
                    return Err("programs are not run for their items".into());
                }
                (Rule::from, None) if rest.is_empty() => return Err("from which file?".into()),
                (Rule::from, None) => lines(&source.file(rest.trim_matches('"'))?),
                (_, text) => {
                    let mut all = Vec::new();
                    for pattern in words(text.unwrap_or(rest)) {
                        for directories in [false, true] {
                            let wanted = if directories { "dirs" } else { "files" };
                            if sort == "any" || sort == wanted {
                                all.extend(source.matching(&pattern, directories)?);
                            }
                        }
                    }
                    all.sort();
                    all.dedup();
                    all
                }
            };
            if let Some(cut) = cut {
                items = slice(items, &cut)?;
            }
            self.items = items;
        }
        if self.vars.is_empty() {
            self.vars.push("item".into());
        }
        Ok(())
    }

    /// What an item says each variable is: the last takes all that is left.
    pub(crate) fn values<'a>(&'a self, item: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let mut rest = item.trim();
        let last = self.vars.len().saturating_sub(1);
        self.vars.iter().enumerate().map(move |(i, name)| {
            if i == last {
                return (name.as_str(), rest);
            }
            let end = rest.find(|c: char| c == ',' || c.is_whitespace());
            let (value, after) = rest.split_at(end.unwrap_or(rest.len()));
            rest = after.trim_start();
            rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
            (name.as_str(), value)
        })
    }
}
