//! Evaluates the conditions `if`, `elif`, `else` and `endif`.

use crate::error::SubmitErrorKind;
use crate::limits::MAX_NESTED;
use crate::macros::Definitions;

/// The version of HTCondor whose published submit language is supported.
const LANGUAGE_VERSION: [u32; 3] = [10, 0, 0];

/// The current branch of an `if` statement.
#[derive(Clone, Copy)]
struct Branch {
    /// Whether this branch or an earlier one of the same `if` has been taken.
    taken: bool,
    /// Whether this branch is taken.
    active: bool,
    is_else: bool,
}

/// The `if` statements that enclose the current line, the innermost last.
#[derive(Default)]
pub(crate) struct Conditions {
    branches: Vec<Branch>,
}

impl Conditions {
    /// Returns whether statements at this point are carried out.
    pub(crate) fn active(&self) -> bool {
        self.branches.iter().all(|branch| branch.active)
    }

    /// Returns whether every `if` has its `endif`.
    pub(crate) fn all_closed(&self) -> bool {
        self.branches.is_empty()
    }

    /// Checks that another `if` may begin here, and returns whether its condition has to be
    /// evaluated.
    pub(crate) fn check_new_if(&self) -> Result<bool, SubmitErrorKind> {
        if self.branches.len() >= MAX_NESTED {
            return Err(SubmitErrorKind::ConditionsTooDeep);
        }
        Ok(self.active())
    }

    /// Begins an `if` statement, whose condition evaluates to `holds`.
    pub(crate) fn begin_if(&mut self, holds: bool) {
        self.branches.push(Branch {
            taken: holds,
            active: holds,
            is_else: false,
        });
    }

    /// Checks that an `elif` or `else` is valid here, and returns whether it may be taken.
    pub(crate) fn check_new_branch(&self) -> Result<bool, SubmitErrorKind> {
        let Some((current, around)) = self.branches.split_last() else {
            return Err(SubmitErrorKind::MissingIf);
        };
        if current.is_else {
            return Err(SubmitErrorKind::MissingIf);
        }
        Ok(!current.taken && around.iter().all(|branch| branch.active))
    }

    /// Begins an `elif` or `else` branch.
    pub(crate) fn begin_branch(&mut self, holds: bool, is_else: bool) {
        if let Some(branch) = self.branches.last_mut() {
            branch.active = holds;
            branch.taken |= holds;
            branch.is_else = is_else;
        }
    }

    /// Ends an `if` statement.
    pub(crate) fn end_if(&mut self) -> Result<(), SubmitErrorKind> {
        match self.branches.pop() {
            Some(_) => Ok(()),
            None => Err(SubmitErrorKind::MissingIf),
        }
    }
}

/// Evaluates a condition; `expanded` is the condition after macro expansion.
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
        // A macro that nothing defines has expanded to nothing.
        ["defined"] => false,
        ["defined", name, ..] => {
            let name = name.trim_start_matches('+');
            // A name that is not in the condition as written results from expanding a
            // macro, which is therefore defined.
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
