//! Defines the access to submit files and to the data that they refer to.

use std::error::Error;
use std::sync::Arc;

/// Provides the files, file names and environment variables that submit files refer to.
pub trait Source {
    /// Returns a file's text.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist or cannot be read.
    fn file(&mut self, path: &str) -> Result<String, SourceError>;

    /// Returns the names of files, or of directories, that match a pattern, in order.
    ///
    /// # Errors
    ///
    /// Fails if the pattern is malformed, or matching names cannot be listed.
    fn matching(&mut self, pattern: &str, directories: bool) -> Result<Vec<String>, SourceError>;

    /// Returns the value of an environment variable, if it is set.
    fn variable(&mut self, name: &str) -> Option<String>;
}

/// The error that a file or a pattern could not be read from a [`Source`].
#[derive(Clone, Debug, thiserror::Error)]
#[error("{name}: {source}")]
pub struct SourceError {
    /// The name of the file, or the pattern.
    pub name: String,
    /// The reason of the failure.
    pub source: Arc<dyn Error + Send + Sync>,
}

impl SourceError {
    /// Creates the error of a file or pattern with this name.
    pub fn new(name: impl Into<String>, source: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        Self {
            name: name.into(),
            source: source.into().into(),
        }
    }
}
