//! HTCondor submit files: read, expanded, and translated into jobs of this scheduler.
//!
//! [`read`] turns a file into a [`Cluster`]: templates of jobs, groups of procs that use
//! them, and warnings. What a file refers to (included files, lists of items, the
//! environment) comes from a [`Source`], so nothing here does I/O. `docs/condor.md` says
//! which commands are honoured.
//!
//! `logical_lines`, `reader` and `conditions` take a file apart into statements; `macros`
//! and `queue` expand them; `translate` collects them and makes jobs of each `queue`, with
//! `job` for the template of a job and `cluster` for the result.

mod cluster;
mod commands;
mod conditions;
mod error;
mod expanded;
mod grammar;
mod job;
mod limits;
mod location;
mod logical_lines;
mod macros;
mod options;
mod placeholders;
mod queue;
mod reader;
mod source;
mod translate;

pub use cluster::{Cluster, Group};
pub use commands::{COMMANDS, Command, Handling};
pub use error::{CommandError, SubmitError, SubmitErrorKind, Warning};
pub use macros::MacroError;
pub use options::Options;
pub use queue::QueueError;
pub use source::{Source, SourceError};
pub use translate::read;
