//! Commands of a proc after their macros have been expanded.

use crate::location::Location;
use std::collections::BTreeMap;

/// An expanded command or attribute.
#[derive(Clone, Debug)]
pub(crate) struct ExpandedCommand {
    /// The statement that sets it.
    pub(crate) location: Location,
    pub(crate) text: String,
}

/// Expanded commands by their usual names, and attributes by `+` and their name as spelled.
pub(crate) type ExpandedCommands = BTreeMap<String, ExpandedCommand>;
