//! Conditions: `if`, `elif`, `else` and `endif`.

use crate::error::SubmitErrorKind;
use crate::limits::MAX_NESTED;
use crate::macros::Definitions;

/// The version of HTCondor whose published language is followed.
const LANGUAGE_VERSION: [u32; 3] = [10, 0, 0];

/// The branch at hand of an `if` statement.
#[derive(Clone, Copy)]
struct Branch {
    /// Whether this branch or one before it has been taken.
    taken: bool,
    /// Whether this branch is taken.
    active: bool,
    is_else: bool,
}

/// The `if` statements around a line, the innermost last.
#[derive(Default)]
pub(crate) struct Conditions {
    branches: Vec<Branch>,
}

impl Conditions {
    /// Whether statements count here.
    pub(crate) fn active(&self) -> bool {
        self.branches.iter().all(|branch| branch.active)
    }

    /// Whether every `if` has its `endif`.
    pub(crate) fn all_closed(&self) -> bool {
        self.branches.is_empty()
    }

    /// Whether the condition of an `if` that begins here has to be evaluated.
    pub(crate) fn before_if(&self) -> Result<bool, SubmitErrorKind> {
        if self.branches.len() >= MAX_NESTED {
            return Err(SubmitErrorKind::ConditionsTooDeep);
        }
        Ok(self.active())
    }

    /// Begins an `if`.
    pub(crate) fn begin_if(&mut self, holds: bool) {
        self.branches.push(Branch {
            taken: holds,
            active: holds,
            is_else: false,
        });
    }

    /// Whether the condition of an `elif`, or an `else`, may be taken here.
    pub(crate) fn before_branch(&self) -> Result<bool, SubmitErrorKind> {
        let Some((current, around)) = self.branches.split_last() else {
            return Err(SubmitErrorKind::MissingIf);
        };
        if current.is_else {
            return Err(SubmitErrorKind::MissingIf);
        }
        Ok(!current.taken && around.iter().all(|branch| branch.active))
    }

    /// Begins an `elif` or `else`.
    pub(crate) fn begin_branch(&mut self, holds: bool, is_else: bool) {
        if let Some(branch) = self.branches.last_mut() {
            branch.active = holds;
            branch.taken |= holds;
            branch.is_else = is_else;
        }
    }

    /// Ends an `if`.
    pub(crate) fn end_if(&mut self) -> Result<(), SubmitErrorKind> {
        match self.branches.pop() {
            Some(_) => Ok(()),
            None => Err(SubmitErrorKind::MissingIf),
        }
    }
}

/// Whether a condition holds; `expanded` is it with its macros replaced.
pub(crate) fn holds(
    condition: &str,
    expanded: &str,
    definitions: &Definitions,
) -> Result<bool, SubmitErrorKind> {
    let mut text = expanded.trim();
    let mut negated = false;
    while let Some(rest) = text.strip_prefix('!') {
        (negated, text) = (!negated, rest.trim_start());
    }
    let lower = text.to_ascii_lowercase();
    let words: Vec<&str> = lower.split_whitespace().collect();
    let holds = match words.as_slice() {
        // A macro that nothing defines has been replaced by nothing.
        ["defined"] => false,
        ["defined", name, ..] => {
            let name = name.trim_start_matches('+');
            // A name that the condition itself does not have came from a macro.
            definitions.contains_key(name) || !condition.to_ascii_lowercase().contains(name)
        }
        ["version", operator, version] => version_holds(operator, version)?,
        ["true" | "yes"] => true,
        ["false" | "no"] | [] => false,
        [number] if number.parse::<f64>().is_ok() => number.parse() != Ok(0.0),
        _ => return Err(SubmitErrorKind::UnknownCondition(text.to_string())),
    };
    Ok(holds != negated)
}

fn version_holds(operator: &str, version: &str) -> Result<bool, SubmitErrorKind> {
    let version: Vec<u32> = version
        .split('.')
        .filter_map(|number| number.parse().ok())
        .collect();
    let ordering = LANGUAGE_VERSION.as_slice().cmp(version.as_slice());
    match operator {
        ">=" => Ok(ordering.is_ge()),
        "<=" => Ok(ordering.is_le()),
        ">" => Ok(ordering.is_gt()),
        "<" => Ok(ordering.is_lt()),
        "==" => Ok(ordering.is_eq()),
        _ => Err(SubmitErrorKind::BadVersionCondition),
    }
}
