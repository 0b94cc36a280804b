//! Why a message, a settings file or a field of one is refused.
//!
//! The texts are what users and operators read, so each names the field by its name on the
//! wire.

use crate::limits::{
    MAX_ATTRIBUTES, MAX_BLOCKS, MAX_CHUNKS, MAX_DEPENDENCIES, MAX_EXPRESSION, MAX_JOBS,
    MAX_NAME_BYTES, MAX_TASKS, NO_ID,
};
use thiserror::Error;

/// Why a text cannot be read as an object of the wanted type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// It is no JSON at all.
    #[error("not JSON: {reason}")]
    NotJson {
        /// What the JSON reader says, with line and column.
        reason: String,
    },
    /// It is JSON, but no object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The object as a whole does not fit, such as for a missing field.
    #[error("{reason}")]
    Object {
        /// What does not fit.
        reason: String,
    },
    /// A field of the object does not fit.
    #[error("{path}: {reason}")]
    Field {
        /// The path to the field, such as `cluster.teams[0].cpus`.
        path: String,
        /// What does not fit.
        reason: String,
    },
}

/// A field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {problem}")]
pub struct InvalidField {
    /// The path to the field, such as `t[0].cores`.
    pub path: String,
    /// What is wrong with its value.
    pub problem: FieldProblem,
}

impl InvalidField {
    /// The field at `path` has this problem.
    pub fn new(path: impl Into<String>, problem: FieldProblem) -> Self {
        let path = path.into();
        Self { path, problem }
    }

    /// The same as a field of `parent`.
    pub fn within(self, parent: &str) -> Self {
        let path = format!("{parent}.{}", self.path);
        Self { path, ..self }
    }
}

/// What is wrong with a field's value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// Not a job's id.
    #[error("must be `j-` and digits, such as j-000412")]
    NotAJobId,
    /// In a template: an id other than the placeholder.
    #[error("must be {NO_ID}")]
    NotThePlaceholderId,
    /// Empty, or longer than a name may be.
    #[error("must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// A submission's name that is empty, too long, or has other characters.
    #[error("must have 1 to 64 letters, digits, `.`, `_` or `-`")]
    NotASubmissionName,
    /// Empty.
    #[error("must not be empty")]
    Empty,
    /// A number of tasks beyond its bounds.
    #[error("must be from 1 to {MAX_TASKS}")]
    TaskCount,
    /// The same in a run of jobs.
    #[error("tasks must be from 1 to {MAX_TASKS}")]
    RunTaskCount,
    /// A run that names a template which is not there.
    #[error("no such template")]
    NoSuchTemplate,
    /// A run of no jobs.
    #[error("no jobs")]
    NoJobs,
    /// Runs of no jobs, or of more than a submission may have.
    #[error("must stand for 1 to {MAX_JOBS} jobs")]
    JobCount,
    /// A chunk beyond those that the submission has, or may have.
    #[error("must be below `of`, which is at most {MAX_CHUNKS}")]
    ChunkNumber,
    /// Not above 0, or no number.
    #[error("must be above 0")]
    NotPositive,
    /// Below a least value, or no number.
    #[error("must be {least} or more")]
    BelowLeast {
        /// The least value.
        least: u32,
    },
    /// More dependencies than a job may have.
    #[error("{count} jobs, and at most {MAX_DEPENDENCIES} may be named")]
    TooManyDependencies {
        /// How many there are.
        count: usize,
    },
    /// A longer expression than is evaluated.
    #[error("more than {MAX_EXPRESSION} bytes")]
    ExpressionTooLong,
    /// More blocks of pools than are evaluated.
    #[error("more than {MAX_BLOCKS} blocks")]
    TooManyBlocks,
    /// Not a socket address.
    #[error("`{text}` is not an IP address and port")]
    NotAnAddress {
        /// What stands there.
        text: String,
    },
    /// A name that another entry has too.
    #[error("`{name}` appears twice")]
    Duplicate {
        /// The name.
        name: String,
    },
}

/// Why a submission or a settings file is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// It cannot be read.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// It can be read, and a field of it is not allowed.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// Why operators' own attributes of machines are refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AttributeError {
    /// A group has too many.
    #[error("attributes of {group}: more than {MAX_ATTRIBUTES} of them")]
    TooMany {
        /// The machine type or zone, or `all`.
        group: String,
    },
    /// One attribute is not allowed.
    #[error("attribute {name} of {group}: {problem}")]
    Invalid {
        /// The attribute's name.
        name: String,
        /// The machine type or zone, or `all`.
        group: String,
        /// What is wrong with it.
        problem: AttributeProblem,
    },
}

/// What is wrong with an attribute.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AttributeProblem {
    /// Its name is no identifier.
    #[error("not a name")]
    NotAName,
    /// It is one of [`crate::rules::BUILT_IN`].
    #[error("every machine has it, and it cannot be set")]
    BuiltIn,
    /// Its value is of another type.
    #[error("must be a boolean, a number, a string, or a list of these")]
    NotPlain,
}
