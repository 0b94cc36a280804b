//! Reads HTCondor submit files, expands their macros, and translates them into jobs of this
//! scheduler.
//!
//! [`read`] converts a file into a [`Cluster`]: templates of jobs, groups of procs that use
//! them, and warnings. The data that a file refers to (included files, lists of items, the
//! environment) comes from a [`Source`], so nothing in this crate does I/O.
//! `docs/condor.md` lists the commands that are honoured.
//!
//! `logical_lines`, `reader` and `conditions` split a file into statements; `macros` and
//! `queue` expand them; `translate` collects them and creates the jobs of each `queue`
//! statement, with `job` for the template of a job and `cluster` for the result.

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
