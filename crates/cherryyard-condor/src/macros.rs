//! Macros: compiled once, expanded for each proc within bounds.

use crate::Source;
use pest::Parser;
use pest::iterators::Pair;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::sync::Arc;

#[derive(pest_derive::Parser)]
#[grammar = "submit.pest"]
pub(crate) struct Grammar;

/// Deepest that macros may name each other, or brackets nest.
const MAX_DEPTH: usize = 64;
/// Longest text that a command may come to.
const MAX_TEXT: usize = 64 * 1024;
/// Steps of one expansion: macros that double each other grow fast.
const MAX_STEPS: usize = 20_000;
/// Stands for the proc's number, or its step, in an array's description.
pub(crate) const PROCESS: &str = "$(Process)";
pub(crate) const STEP: &str = "$(Step)";
/// Stands for the cluster's, which is known only once it is accepted.
pub(crate) const CLUSTER: &str = "$(Cluster)";

/// A piece of a text with macros.
#[derive(Clone, Debug, PartialEq)]
enum Piece {
    Text(String),
    Macro(String, Option<Vec<Piece>>),
    Call(String, Vec<Vec<Piece>>),
    /// To be replaced by the machine's attribute, `$$(x)`.
    Late(String),
}

/// A text, compiled.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Text(Vec<Piece>);

fn pieces(pairs: pest::iterators::Pairs<'_, Rule>) -> Vec<Piece> {
    let mut all = Vec::new();
    for pair in pairs {
        match pair.as_rule() {
            Rule::EOI => {}
            Rule::macro_ => all.push(a_macro(pair)),
            Rule::call => {
                let mut inner = pair.into_inner();
                let name = inner.next().map_or("", |p| p.as_str()).to_string();
                all.push(Piece::Call(
                    name,
                    inner.map(|a| pieces(a.into_inner())).collect(),
                ));
            }
            Rule::late => all.push(Piece::Late(pair.as_str().to_string())),
            Rule::group => {
                all.push(Piece::Text("(".into()));
                all.extend(pieces(pair.into_inner()));
                all.push(Piece::Text(")".into()));
            }
            _ => all.push(Piece::Text(pair.as_str().to_string())),
        }
    }
    all
}

fn a_macro(pair: Pair<'_, Rule>) -> Piece {
    let mut inner = pair.into_inner();
    let name = inner.next().map_or("", |p| p.as_str()).to_ascii_lowercase();
    Piece::Macro(name, inner.next().map(|d| pieces(d.into_inner())))
}

impl Text {
    /// Compiles a text; the error says what is wrong.
    pub(crate) fn compile(text: &str) -> Result<Self, String> {
        if !text.contains('$') {
            return Ok(Self(vec![Piece::Text(text.to_string())]));
        }
        let (mut depth, mut deepest) = (0usize, 0usize);
        for b in text.bytes() {
            match b {
                b'(' => depth += 1,
                b')' => depth = depth.saturating_sub(1),
                _ => {}
            }
            deepest = deepest.max(depth);
        }
        if deepest > MAX_DEPTH || text.len() > MAX_TEXT {
            return Err("macros are nested too deep, or the text is too long".into());
        }
        match Grammar::parse(Rule::text, text) {
            Ok(pairs) => Ok(Self(pieces(pairs))),
            Err(_) => Err("a macro is not closed".into()),
        }
    }

    /// Names of macros that it has as they stand.
    pub(crate) fn names(&self, name: &str) -> bool {
        fn within(all: &[Piece], name: &str) -> bool {
            all.iter().any(|p| match p {
                Piece::Macro(n, default) => {
                    n == name || default.as_ref().is_some_and(|d| within(d, name))
                }
                Piece::Call(_, args) => args.iter().any(|a| within(a, name)),
                Piece::Text(_) | Piece::Late(_) => false,
            })
        }
        within(&self.0, name)
    }

    /// The same with one macro replaced by what it was: `a = $(a) b`.
    pub(crate) fn with_own(self, name: &str, before: &Self) -> Self {
        let replaced = self.0.into_iter().flat_map(|p| match p {
            Piece::Macro(n, _) if n == name => before.0.clone(),
            other => vec![other],
        });
        Self(replaced.collect())
    }
}

/// What macros are looked up in.
pub(crate) struct Scope<'a> {
    /// Definitions of the file so far, by name in lower case.
    pub(crate) table: &'a HashMap<String, Arc<Text>>,
    /// Variables of the proc at hand, which come first.
    pub(crate) vars: &'a HashMap<String, String>,
}

/// Expands texts.
pub(crate) struct Expander<'s> {
    pub(crate) source: &'s mut dyn Source,
    rng: StdRng,
    steps: usize,
    path: Vec<String>,
}

impl<'s> Expander<'s> {
    pub(crate) fn new(source: &'s mut dyn Source, seed: u64) -> Self {
        Self {
            source,
            rng: StdRng::seed_from_u64(seed),
            steps: 0,
            path: Vec::new(),
        }
    }

    /// A text with its macros replaced; the error says what is wrong.
    pub(crate) fn expand(&mut self, text: &Text, scope: &Scope<'_>) -> Result<String, String> {
        self.steps = 0;
        self.path.clear();
        let mut out = String::new();
        self.pieces(&text.0, scope, &mut out)?;
        Ok(out)
    }

    fn pieces(&mut self, all: &[Piece], scope: &Scope<'_>, out: &mut String) -> Result<(), String> {
        for piece in all {
            self.steps += 1;
            if self.steps > MAX_STEPS || out.len() > MAX_TEXT {
                return Err("its macros come to too much text".into());
            }
            match piece {
                Piece::Text(text) | Piece::Late(text) => out.push_str(text),
                Piece::Macro(name, default) => self.one(name, default.as_deref(), scope, out)?,
                Piece::Call(name, args) => self.call(name, args, scope, out)?,
            }
        }
        Ok(())
    }

    fn one(
        &mut self,
        name: &str,
        default: Option<&[Piece]>,
        scope: &Scope<'_>,
        out: &mut String,
    ) -> Result<(), String> {
        if let Some(value) = scope.vars.get(name) {
            out.push_str(value);
            return Ok(());
        }
        match name {
            "dollar" => {
                out.push('$');
                return Ok(());
            }
            "cluster" | "clusterid" => {
                out.push_str(CLUSTER);
                return Ok(());
            }
            _ => {}
        }
        let Some(text) = scope.table.get(name) else {
            return match default {
                Some(default) => self.pieces(default, scope, out),
                // What nothing defines is empty.
                None => Ok(()),
            };
        };
        if self.path.iter().any(|n| n == name) {
            self.path.push(name.into());
            return Err(format!(
                "macros define each other: {}",
                self.path.join(" -> ")
            ));
        }
        if self.path.len() >= MAX_DEPTH {
            return Err("macros are nested too deep".into());
        }
        self.path.push(name.into());
        let text = text.clone();
        self.pieces(&text.0, scope, out)?;
        self.path.pop();
        Ok(())
    }

    fn call(
        &mut self,
        name: &str,
        args: &[Vec<Piece>],
        scope: &Scope<'_>,
        out: &mut String,
    ) -> Result<(), String> {
        let mut texts = Vec::new();
        for arg in args {
            let mut text = String::new();
            self.pieces(arg, scope, &mut text)?;
            texts.push(text.trim().to_string());
        }
        let first = texts.first().cloned().unwrap_or_default();
        // A bare name means that macro.
        let mut named = || -> Result<String, String> {
            let mut text = String::new();
            self.one(&first.to_ascii_lowercase(), None, scope, &mut text)?;
            Ok(text)
        };
        let whole = |text: &str| {
            let n = text.trim().parse::<i64>();
            n.map_err(|_| format!("${name}: `{text}` is not a whole number"))
        };
        match name.to_ascii_uppercase().as_str() {
            "ENV" => {
                let (variable, default) = match first.split_once(':') {
                    Some((v, d)) => (v.to_string(), Some(d.to_string())),
                    None => (first, None),
                };
                let value = self.source.variable(variable.trim()).or(default);
                out.push_str(&value.unwrap_or_else(|| "UNDEFINED".into()));
            }
            "INT" => {
                let text = named()?;
                let value = text.trim().parse::<f64>();
                let value = value.map_err(|_| format!("$INT: `{text}` is not a number"))?;
                out.push_str(&formatted(texts.get(1), &format!("{}", value as i64))?);
            }
            "REAL" => {
                let text = named()?;
                let value = text.trim().parse::<f64>();
                let value = value.map_err(|_| format!("$REAL: `{text}` is not a number"))?;
                out.push_str(&formatted(texts.get(1), &format!("{value:?}"))?);
            }
            "STRING" => out.push_str(&named()?),
            "SUBSTR" => {
                let text: Vec<char> = named()?.chars().collect();
                let at = texts.get(1).map_or(Ok(0), |t| whole(t))?;
                let len = texts.get(2).map_or(Ok(i64::MAX), |t| whole(t))?;
                let end = text.len() as i64;
                let from = if at < 0 { end + at } else { at }.clamp(0, end);
                let to = if len < 0 {
                    end + len
                } else {
                    from.saturating_add(len)
                };
                out.extend(&text[from as usize..to.clamp(from, end) as usize]);
            }
            "CHOICE" => {
                let at = whole(&first).or_else(|_| whole(&named()?))?;
                let mut list = texts[1..].to_vec();
                if let [name] = list.as_slice()
                    && let Some(text) = scope.table.get(&name.to_ascii_lowercase())
                {
                    let (mut all, text) = (String::new(), text.clone());
                    self.pieces(&text.0, scope, &mut all)?;
                    list = all.split(',').map(|t| t.trim().to_string()).collect();
                }
                let item = usize::try_from(at).ok().and_then(|at| list.get(at));
                out.push_str(item.ok_or(format!("$CHOICE: there is no item {at}"))?);
            }
            "RANDOM_CHOICE" => {
                if texts.is_empty() {
                    return Err("$RANDOM_CHOICE: nothing to choose from".into());
                }
                out.push_str(&texts[self.rng.random_range(0..texts.len())]);
            }
            "RANDOM_INTEGER" => {
                let from = whole(&first)?;
                let to = texts.get(1).map_or(Ok(from), |t| whole(t))?;
                let step = texts.get(2).map_or(Ok(1), |t| whole(t))?;
                if step < 1 || to < from {
                    return Err("$RANDOM_INTEGER: an empty range".into());
                }
                let steps = to.abs_diff(from) / step.unsigned_abs();
                let n = self.rng.random_range(0..=steps) as i64;
                out.push_str(&from.saturating_add(n.saturating_mul(step)).to_string());
            }
            upper if upper.starts_with('F') && file_options(&name[1..]) => {
                out.push_str(&file_name(&named()?, &name[1..]));
            }
            _ => return Err(format!("${name}() is not known")),
        }
        Ok(())
    }
}

fn file_options(options: &str) -> bool {
    options.bytes().all(|b| b"pdnxbqafuw".contains(&b))
}

/// `$F..`: parts of a file's name.
fn file_name(text: &str, options: &str) -> String {
    let text = text.trim().trim_matches('"');
    let (dir, base) = match text.rfind('/') {
        Some(at) => text.split_at(at + 1),
        None => ("", text),
    };
    let (stem, extension) = match base.rfind('.') {
        Some(at) if at > 0 => base.split_at(at),
        _ => (base, ""),
    };
    let has = |c| options.contains(c);
    let mut out = String::new();
    if has('p') {
        out.push_str(dir);
    }
    if has('d') {
        let parent = dir.trim_end_matches('/');
        out.push_str(parent.rsplit('/').next().unwrap_or(""));
        if !has('b') && !parent.is_empty() {
            out.push('/');
        }
    }
    if has('n') {
        out.push_str(stem);
    }
    if has('x') {
        let bare = if has('b') {
            extension.trim_start_matches('.')
        } else {
            extension
        };
        out.push_str(bare);
    }
    if !"pdnx".chars().any(has) {
        out.push_str(text);
    }
    if has('q') {
        return format!("\"{out}\"");
    }
    out
}

/// `%05d`, `%.2f` and their like.
fn formatted(format: Option<&String>, text: &str) -> Result<String, String> {
    let Some(format) = format else {
        return Ok(text.to_string());
    };
    let bad = || format!("the format `{format}` is not known");
    let (before, rest) = format.split_once('%').ok_or_else(bad)?;
    let end = rest
        .find(|c: char| c.is_ascii_alphabetic())
        .ok_or_else(bad)?;
    let (spec, sort, after) = (&rest[..end], &rest[end..=end], &rest[end + 1..]);
    let zero = spec.starts_with('0');
    let (width, digits) = spec.split_once('.').unwrap_or((spec, ""));
    let number = |t: &str| {
        if t.is_empty() {
            Ok(0)
        } else {
            t.parse::<usize>()
        }
    };
    let (width, digits) = (
        number(width),
        number(if digits.is_empty() { "6" } else { digits }),
    );
    let (Ok(width), Ok(digits)) = (width, digits) else {
        return Err(bad());
    };
    let value: f64 = text.parse().map_err(|_| bad())?;
    let body = match sort {
        "d" | "i" => format!("{}", value as i64),
        "x" => format!("{:x}", value as i64),
        "f" | "g" | "e" if digits <= 30 => format!("{value:.digits$}"),
        _ => return Err(bad()),
    };
    if width > 100 {
        return Err(bad());
    }
    let padded = if zero {
        format!("{body:0>width$}")
    } else {
        format!("{body:>width$}")
    };
    Ok(format!("{before}{padded}{after}"))
}
