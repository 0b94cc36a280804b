//! Macros: texts with `$(name)` and `$FUNCTION(...)` in them, compiled once and expanded
//! for each proc within bounds.

mod error;
mod expander;
mod format;
mod functions;
mod text;

pub use error::MacroError;
pub(crate) use expander::{Bindings, Definitions, Expander, Variables};
pub(crate) use text::MacroText;
