//! Bounds on the texts that are parsed.

use std::num::NonZeroUsize;

/// Longest text that is parsed, in bytes.
pub(super) const MAX_TEXT: usize = 64 * 1024;
/// Deepest nesting of brackets, signs and conditionals: parsing and evaluation recurse.
pub(super) const MAX_DEPTH: usize = 100;
/// Most operators between two brackets: evaluation recurses down a chain of them.
pub(super) const MAX_CHAIN: usize = 250;
/// Steps of the grammar after which it gives up.
pub(super) const MAX_GRAMMAR_STEPS: NonZeroUsize = NonZeroUsize::new(4_000_000).expect("not 0");
