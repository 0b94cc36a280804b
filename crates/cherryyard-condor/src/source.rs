//! Where submit files and what they refer to come from.

use std::error::Error;
use std::sync::Arc;

/// Where a submit file's text, and what it names, comes from.
pub trait Source {
    /// A file's text.
    ///
    /// # Errors
    ///
    /// The file does not exist or cannot be read.
    fn file(&mut self, path: &str) -> Result<String, SourceError>;

    /// Names of files, or of directories, that match a pattern, in order.
    ///
    /// # Errors
    ///
    /// The pattern is malformed, or matching names cannot be listed.
    fn matching(&mut self, pattern: &str, directories: bool) -> Result<Vec<String>, SourceError>;

    /// A variable of the environment.
    fn variable(&mut self, name: &str) -> Option<String>;
}

/// Something could not be read from a [`Source`].
#[derive(Clone, Debug, thiserror::Error)]
#[error("{name}: {source}")]
pub struct SourceError {
    /// The file or pattern.
    pub name: String,
    /// What is wrong with it.
    pub source: Arc<dyn Error + Send + Sync>,
}

impl SourceError {
    /// What is wrong with a file or pattern of this name.
    pub fn new(name: impl Into<String>, source: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        Self {
            name: name.into(),
            source: source.into().into(),
        }
    }
}
