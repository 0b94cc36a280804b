//! Expands compiled texts.

use super::error::MacroError;
use super::text::{MacroText, Piece};
use crate::limits::{MAX_EXPANSION_STEPS, MAX_MACRO_DEPTH, MAX_TEXT};
use crate::placeholders::CLUSTER;
use crate::source::Source;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::sync::Arc;

/// Macros and commands that the file has defined so far, by name in lower case.
pub(crate) type Definitions = HashMap<String, Arc<MacroText>>;
/// Values of a proc's variables, by name in lower case.
pub(crate) type Variables = HashMap<String, String>;

/// The values that macro names refer to.
#[derive(Clone, Copy)]
pub(crate) struct Bindings<'a> {
    pub(crate) definitions: &'a Definitions,
    /// Variables, which take precedence over definitions of the same name.
    pub(crate) variables: &'a Variables,
}

/// Expands texts within bounds on their size and on the number of steps.
pub(crate) struct Expander<'s> {
    pub(crate) source: &'s mut dyn Source,
    pub(super) rng: StdRng,
    /// Number of steps that the current expansion has taken.
    steps: usize,
    /// Names of the macros that are being expanded, the outermost first.
    path: Vec<String>,
}

impl<'s> Expander<'s> {
    /// Creates an expander whose random functions are seeded with `seed`.
    pub(crate) fn new(source: &'s mut dyn Source, seed: u64) -> Self {
        Self {
            source,
            rng: StdRng::seed_from_u64(seed),
            steps: 0,
            path: Vec::new(),
        }
    }

    /// Returns a text with its macros replaced by their values.
    pub(crate) fn expand(
        &mut self,
        text: &MacroText,
        bindings: Bindings<'_>,
    ) -> Result<String, MacroError> {
        self.steps = 0;
        self.path.clear();
        let mut out = String::new();
        self.expand_pieces(&text.pieces, bindings, &mut out)?;
        Ok(out)
    }

    pub(super) fn expand_pieces(
        &mut self,
        pieces: &[Piece],
        bindings: Bindings<'_>,
        out: &mut String,
    ) -> Result<(), MacroError> {
        for piece in pieces {
            self.steps += 1;
            if self.steps > MAX_EXPANSION_STEPS || out.len() > MAX_TEXT {
                return Err(MacroError::ExpansionTooLarge);
            }
            match piece {
                Piece::Literal(text) | Piece::MachineAttribute(text) => out.push_str(text),
                Piece::Macro { name, default } => {
                    self.expand_named(name, default.as_deref(), bindings, out)?;
                }
                Piece::Call {
                    function,
                    arguments,
                } => self.call(function, arguments, bindings, out)?,
            }
        }
        Ok(())
    }

    /// Expands the macro with this name, or the default if nothing defines the name; an
    /// undefined macro without a default expands to nothing.
    pub(super) fn expand_named(
        &mut self,
        name: &str,
        default: Option<&[Piece]>,
        bindings: Bindings<'_>,
        out: &mut String,
    ) -> Result<(), MacroError> {
        let builtin = match name {
            "dollar" => Some("$"),
            "cluster" | "clusterid" => Some(CLUSTER),
            _ => None,
        };
        let variable = bindings.variables.get(name).map(String::as_str);
        if let Some(value) = variable.or(builtin) {
            out.push_str(value);
            return Ok(());
        }
        let Some(definition) = bindings.definitions.get(name) else {
            return self.expand_pieces(default.unwrap_or_default(), bindings, out);
        };
        if self.path.iter().any(|outer| outer == name) {
            let mut cycle = self.path.clone();
            cycle.push(name.into());
            return Err(MacroError::Cyclic(cycle));
        }
        if self.path.len() >= MAX_MACRO_DEPTH {
            return Err(MacroError::TooDeep);
        }
        self.path.push(name.into());
        self.expand_pieces(&definition.pieces, bindings, out)?;
        self.path.pop();
        Ok(())
    }
}
