//! Bounds on submit files and on what they may come to, so that a hostile file ends in an
//! error in bounded time and memory.

/// Longest file, in bytes.
pub(crate) const MAX_FILE: usize = 16 * 1024 * 1024;
/// Most statements of all files together.
pub(crate) const MAX_STATEMENTS: usize = 200_000;
/// Longest line in bytes, its continuations joined.
pub(crate) const MAX_LINE: usize = 64 * 1024;
/// Deepest that files include each other, and that conditions nest.
pub(crate) const MAX_NESTED: usize = 16;
/// Deepest that macros may name each other, or brackets nest in a text with macros.
pub(crate) const MAX_MACRO_DEPTH: usize = 64;
/// Longest text that a command may expand to, in bytes.
pub(crate) const MAX_TEXT: usize = 64 * 1024;
/// Steps of one expansion: macros that name others twice grow exponentially.
pub(crate) const MAX_EXPANSION_STEPS: usize = 20_000;
/// Most items of one `queue`.
pub(crate) const MAX_ITEMS: usize = 100_000;
/// Most procs of a file.
pub(crate) const MAX_PROCS: u64 = 1_000_000;
/// Most different sets of commands that decide where jobs run, each of which is evaluated.
pub(crate) const MAX_TEMPLATES: usize = 2000;
