//! Compiles texts that contain `$(name)` and `$FUNCTION(...)` once, and expands them for
//! each proc within bounds.

mod error;
mod expander;
mod format;
mod functions;
mod text;

pub use error::MacroError;
pub(crate) use expander::{Bindings, Definitions, Expander, Variables};
pub(crate) use text::MacroText;
