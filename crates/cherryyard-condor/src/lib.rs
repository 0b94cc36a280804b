//! HTCondor submit files: read, expanded, and translated into jobs of this scheduler.
//!
//! [`read`] turns a file into a [`Cluster`]: templates of jobs, groups of procs that
//! use them, and warnings. What a file reads (included files, item lists, the
//! environment) comes from a [`Source`], so nothing here does I/O. `docs/condor.md`
//! says which commands are honoured.

mod cluster;
mod commands;
mod error;
mod items;
mod job;
mod lines;
mod macros;
mod translate;

pub use cluster::{Cluster, Group};
pub use commands::{COMMANDS, Handling};
pub use error::{SubmitError, Warning};
pub use translate::{Options, read};

/// Where a submit file's text, and what it names, comes from.
pub trait Source {
    /// A file's text.
    fn file(&mut self, path: &str) -> Result<String, String>;
    /// Names of files, or of directories, that match a pattern, in order.
    fn matching(&mut self, pattern: &str, directories: bool) -> Result<Vec<String>, String>;
    /// A variable of the environment.
    fn variable(&mut self, name: &str) -> Option<String>;
}
