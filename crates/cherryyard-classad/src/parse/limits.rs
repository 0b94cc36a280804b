//! Defines bounds on the texts that are parsed.

use std::num::NonZeroUsize;

/// Largest length of a text, in bytes.
pub(super) const MAX_TEXT: usize = 64 * 1024;
/// Largest nesting depth of brackets, signs and conditionals: parsing and evaluation are
/// recursive.
pub(super) const MAX_DEPTH: usize = 100;
/// Largest number of operators between two brackets: evaluation recurses along a chain of
/// them.
pub(super) const MAX_CHAIN: usize = 250;
/// Number of grammar steps after which parsing is aborted.
pub(super) const MAX_GRAMMAR_STEPS: NonZeroUsize = NonZeroUsize::new(4_000_000).expect("not 0");
