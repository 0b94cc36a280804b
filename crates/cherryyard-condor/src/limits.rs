//! Defines bounds on submit files and on the size of their expansion, so that a hostile
//! file leads to an error in bounded time and memory.

/// Largest size of a file, in bytes.
pub(crate) const MAX_FILE: usize = 16 * 1024 * 1024;
/// Largest number of statements in all files together.
pub(crate) const MAX_STATEMENTS: usize = 200_000;
/// Largest length of a line after its continuations have been joined, in bytes.
pub(crate) const MAX_LINE: usize = 64 * 1024;
/// Largest nesting depth of included files, and of conditions.
pub(crate) const MAX_NESTED: usize = 16;
/// Largest nesting depth of macros that refer to each other, and of brackets in a text with
/// macros.
pub(crate) const MAX_MACRO_DEPTH: usize = 64;
/// Largest length of a text before and after macro expansion, in bytes.
pub(crate) const MAX_TEXT: usize = 64 * 1024;
/// Largest number of steps of one expansion: macros that refer to others twice grow
/// exponentially.
pub(crate) const MAX_EXPANSION_STEPS: usize = 20_000;
/// Largest number of items of one `queue` statement.
pub(crate) const MAX_ITEMS: usize = 100_000;
/// Largest number of procs of a file.
pub(crate) const MAX_PROCS: u64 = 1_000_000;
/// Largest number of different sets of commands that decide where jobs run, each of which
/// is evaluated.
pub(crate) const MAX_TEMPLATES: usize = 2000;
