//! Represents a proc's commands after macro expansion.

use crate::location::Location;
use std::collections::BTreeMap;

/// A command or attribute after macro expansion.
#[derive(Clone, Debug)]
pub(crate) struct ExpandedCommand {
    /// The location of the statement that sets the command.
    pub(crate) location: Location,
    pub(crate) text: String,
}

/// Expanded commands by their usual names, and attributes by `+` followed by their name as
/// spelled.
pub(crate) type ExpandedCommands = BTreeMap<String, ExpandedCommand>;
