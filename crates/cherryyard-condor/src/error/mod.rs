//! Defines the errors of submit files, with their position, and the warnings.

mod command;

pub use command::CommandError;

use crate::limits::{MAX_FILE, MAX_LINE, MAX_PROCS, MAX_TEMPLATES};
use crate::macros::MacroError;
use crate::queue::QueueError;
use crate::source::SourceError;
use cherryyard_wire::condor::MAX_JOBS;
use miette::{Diagnostic, NamedSource, SourceSpan};
use std::sync::Arc;

/// An error in a submit file, with its position.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{kind}")]
pub struct SubmitError {
    /// The kind of the error.
    pub kind: SubmitErrorKind,
    /// The file's name and its text.
    #[source_code]
    pub text: NamedSource<Arc<str>>,
    /// The span of the faulty text, in bytes.
    #[label("here")]
    pub at: SourceSpan,
    /// The line of the fault, from 1.
    pub line: usize,
    /// The column of the fault, in characters from 1.
    pub column: usize,
    /// A suggestion for the user.
    #[help]
    pub help: Option<String>,
}

/// A result whose error has a position in a submit file.
pub(crate) type SubmitResult<T> = Result<T, Box<SubmitError>>;

/// The kinds of errors in submit files.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SubmitErrorKind {
    /// A file is too large.
    #[error("larger than {MAX_FILE} bytes")]
    FileTooLarge,
    /// A line is too long after its continuations have been joined.
    #[error("a line of more than {MAX_LINE} bytes")]
    LineTooLong,
    /// The files have too many statements.
    #[error("too many statements")]
    TooManyStatements,
    /// A list that spans several lines has no closing bracket.
    #[error("a list is not closed: `)` on a line of its own is missing")]
    ListNotClosed,
    /// A line is not a statement.
    #[error("this is neither `name = value` nor `queue`, `include`, or a condition")]
    NotAStatement,
    /// Files include each other in a cycle, or includes are nested too deep.
    #[error("files include each other, or too deep")]
    IncludedTooDeep,
    /// A file includes the output of a program.
    #[error("programs are not run for their output")]
    ProgramIncluded,
    /// Conditions are nested too deep.
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
    /// A condition has none of the supported forms.
    #[error("the condition `{0}` is not understood")]
    UnknownCondition(String),
    /// An included file cannot be read.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// The macros of a statement cannot be compiled or expanded.
    #[error(transparent)]
    Macro(#[from] MacroError),
    /// The macros of a command or attribute cannot be expanded.
    #[error("{command}: {error}")]
    CommandMacro {
        /// The command's name, or the attribute's name after a `+`.
        command: String,
        /// The error of the macros.
        error: MacroError,
    },
    /// The arguments of `queue` are invalid.
    #[error(transparent)]
    Queue(#[from] QueueError),
    /// A command asks for something that the scheduler does not support.
    #[error("{command} is not supported: {reason}")]
    UnsupportedCommand {
        /// The command's name as spelled in the file, in lower case.
        command: String,
        /// The reason why the command is refused.
        reason: &'static str,
    },
    /// The value of a command or attribute is invalid.
    #[error("{command}: {error}")]
    Command {
        /// The command's name, or the attribute's name after a `+`.
        command: String,
        /// The error of the value.
        error: CommandError,
    },
    /// Neither the file nor the options name a team.
    #[error("accounting_group is missing: no team is named")]
    MissingTeam,
    /// The file names neither an executable nor an image.
    #[error("executable is missing")]
    MissingExecutable,
    /// The job that the commands describe is invalid, for this reason.
    #[error("{0}")]
    InvalidJob(String),
    /// The file has no `queue` statement.
    #[error("nothing is queued")]
    NothingQueued,
    /// The file queues too many procs.
    #[error("more than {MAX_PROCS} procs")]
    TooManyProcs,
    /// The file queues too many different jobs.
    #[error("more than {MAX_JOBS} different jobs")]
    TooManyJobs,
    /// The file has too many different sets of commands that decide where jobs run.
    #[error("more than {MAX_TEMPLATES} different ways to run")]
    TooManyTemplates,
}

impl SubmitError {
    pub(crate) fn with_help(mut self: Box<Self>, help: &str) -> Box<Self> {
        self.help = Some(help.to_string());
        self
    }
}

/// A statement that is accepted, but with another effect than in HTCondor, or that may be a
/// mistake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Warning {
    /// The file's name.
    pub file: String,
    /// The line of the statement, from 1.
    pub line: usize,
    /// The statement's difference from HTCondor, or the possible mistake.
    pub message: String,
}
