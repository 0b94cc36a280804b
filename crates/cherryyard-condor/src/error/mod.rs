//! Errors of submit files with their position, and warnings.

mod command;

pub use command::CommandError;

use crate::limits::{MAX_FILE, MAX_LINE, MAX_PROCS, MAX_TEMPLATES};
use crate::macros::MacroError;
use crate::queue::QueueError;
use crate::source::SourceError;
use cherryyard_wire::condor::MAX_JOBS;
use miette::{Diagnostic, NamedSource, SourceSpan};
use std::sync::Arc;

/// What is wrong with a submit file, and where.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{kind}")]
pub struct SubmitError {
    /// What is wrong.
    pub kind: SubmitErrorKind,
    /// The file, and its text.
    #[source_code]
    pub text: NamedSource<Arc<str>>,
    /// Where in it, in bytes.
    #[label("here")]
    pub at: SourceSpan,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What could be done.
    #[help]
    pub help: Option<String>,
}

/// A result whose error has a position.
pub(crate) type SubmitResult<T> = Result<T, Box<SubmitError>>;

/// What is wrong with a submit file.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SubmitErrorKind {
    /// A file is too large.
    #[error("larger than {MAX_FILE} bytes")]
    FileTooLarge,
    /// A line, its continuations joined, is too long.
    #[error("a line of more than {MAX_LINE} bytes")]
    LineTooLong,
    /// The files have too many statements.
    #[error("too many statements")]
    TooManyStatements,
    /// A list that goes over several lines has no end.
    #[error("a list is not closed: `)` on a line of its own is missing")]
    ListNotClosed,
    /// A line is no statement.
    #[error("this is neither `name = value` nor `queue`, `include`, or a condition")]
    NotAStatement,
    /// Files include each other, or nest too deep.
    #[error("files include each other, or too deep")]
    IncludedTooDeep,
    /// A file includes the output of a program.
    #[error("programs are not run for their output")]
    ProgramIncluded,
    /// Conditions nest too deep.
    #[error("conditions are nested too deep")]
    ConditionsTooDeep,
    /// An `elif`, `else` or `endif` has no `if`.
    #[error("there is no `if` before it")]
    MissingIf,
    /// An `if` has no `endif`.
    #[error("`endif` is missing")]
    MissingEndif,
    /// A condition on the version is malformed.
    #[error("expected `version >= x.y.z`")]
    BadVersionCondition,
    /// A condition has no meaning.
    #[error("the condition `{0}` is not understood")]
    UnknownCondition(String),
    /// An included file cannot be read.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// The macros of a statement are wrong.
    #[error(transparent)]
    Macro(#[from] MacroError),
    /// The macros of a command or attribute are wrong.
    #[error("{command}: {error}")]
    CommandMacro {
        /// The command, or the attribute after a `+`.
        command: String,
        /// What is wrong.
        error: MacroError,
    },
    /// The arguments of `queue` are wrong.
    #[error(transparent)]
    Queue(#[from] QueueError),
    /// A command asks for what does not exist here.
    #[error("{command} is not supported: {reason}")]
    UnsupportedCommand {
        /// The command, as it is spelled, in lower case.
        command: String,
        /// Why it is refused.
        reason: &'static str,
    },
    /// The value of a command or attribute is wrong.
    #[error("{command}: {error}")]
    Command {
        /// The command, or the attribute after a `+`.
        command: String,
        /// What is wrong.
        error: CommandError,
    },
    /// No team is named.
    #[error("accounting_group is missing: no team is named")]
    MissingTeam,
    /// There is nothing to run.
    #[error("executable is missing")]
    MissingExecutable,
    /// The job that the commands come to is invalid, for this reason.
    #[error("{0}")]
    InvalidJob(String),
    /// The file has no `queue`.
    #[error("nothing is queued")]
    NothingQueued,
    /// The file queues too many procs.
    #[error("more than {MAX_PROCS} procs")]
    TooManyProcs,
    /// The file queues too many jobs that differ.
    #[error("more than {MAX_JOBS} different jobs")]
    TooManyJobs,
    /// The file has too many sets of commands that decide where jobs run.
    #[error("more than {MAX_TEMPLATES} different ways to run")]
    TooManyTemplates,
}

impl SubmitError {
    pub(crate) fn with_help(mut self: Box<Self>, help: &str) -> Box<Self> {
        self.help = Some(help.to_string());
        self
    }
}

/// A statement that is accepted, but not as HTCondor would take it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Warning {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What has no effect, or a different one.
    pub message: String,
}
