//! Errors of parsing and checking messages and settings files.
//!
//! Users and operators read the texts, so each names a field by its name in the message or the
//! file.

use crate::limits::{
    MAX_ATTRIBUTES, MAX_CHUNKS, MAX_DEPENDENCIES, MAX_EXPRESSION, MAX_JOBS, MAX_NAME_BYTES,
    MAX_POOL_BLOCKS, MAX_TASKS, NO_ID,
};
use thiserror::Error;

/// Reason why a text cannot be parsed as an object of the expected type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The text is not JSON.
    #[error("not JSON: {reason}")]
    NotJson {
        /// Message of the JSON parser, with line and column.
        reason: String,
    },
    /// The text is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The object as a whole does not match the type, for example because a field is missing.
    #[error("{reason}")]
    Object {
        /// Message of the deserializer.
        reason: String,
    },
    /// A field of the object does not match the type.
    #[error("{path}: {reason}")]
    Field {
        /// Path to the field, such as `cluster.teams[0].cpus`.
        path: String,
        /// Message of the deserializer.
        reason: String,
    },
}

/// Field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {problem}")]
pub struct InvalidField {
    /// Path to the field, such as `t[0].cores`.
    pub path: String,
    /// Problem with the field's value.
    pub problem: FieldProblem,
}

impl InvalidField {
    /// Reports a problem with the field at `path`.
    pub fn new(path: impl Into<String>, problem: FieldProblem) -> Self {
        let path = path.into();
        Self { path, problem }
    }

    /// Prefixes the path with that of the enclosing field, `parent`.
    pub fn within(self, parent: &str) -> Self {
        let path = format!("{parent}.{}", self.path);
        Self { path, ..self }
    }
}

/// Problem with a field's value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// Value is not a job id.
    #[error("must be `j-` and digits, such as j-000412")]
    NotAJobId,
    /// Id of a template is not the placeholder [`NO_ID`].
    #[error("must be {NO_ID}")]
    NotThePlaceholderId,
    /// Name is empty, or longer than [`MAX_NAME_BYTES`].
    #[error("must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// Name of a submission is empty, too long, or has characters that are not allowed.
    #[error("must have 1 to 64 letters, digits, `.`, `_` or `-`")]
    NotASubmissionName,
    /// Value is empty.
    #[error("must not be empty")]
    Empty,
    /// Number of tasks of a job is out of bounds.
    #[error("must be from 1 to {MAX_TASKS}")]
    TaskCount,
    /// Number of tasks of the jobs in a run of equal jobs is out of bounds.
    #[error("tasks must be from 1 to {MAX_TASKS}")]
    RunTaskCount,
    /// Run refers to a template that does not exist.
    #[error("no such template")]
    NoSuchTemplate,
    /// Run has no jobs.
    #[error("no jobs")]
    NoJobs,
    /// Chunk has no jobs, or more than a submission may have.
    #[error("must stand for 1 to {MAX_JOBS} jobs")]
    JobCount,
    /// Index of a chunk is not below the submission's number of chunks, or that number is out
    /// of bounds.
    #[error("must be below `of`, which is at most {MAX_CHUNKS}")]
    ChunkNumber,
    /// Number is not above 0, or not finite.
    #[error("must be above 0")]
    NotPositive,
    /// Number is below the minimum, or not finite.
    #[error("must be {least} or more")]
    BelowLeast {
        /// Smallest allowed value.
        least: u32,
    },
    /// Job has more than [`MAX_DEPENDENCIES`] dependencies.
    #[error("{count} jobs, and at most {MAX_DEPENDENCIES} may be named")]
    TooManyDependencies {
        /// Number of dependencies.
        count: usize,
    },
    /// Expression is longer than [`MAX_EXPRESSION`].
    #[error("more than {MAX_EXPRESSION} bytes")]
    ExpressionTooLong,
    /// Rules have more than [`MAX_POOL_BLOCKS`] blocks of pools.
    #[error("more than {MAX_POOL_BLOCKS} blocks")]
    TooManyBlocks,
    /// Value is not a socket address.
    #[error("`{text}` is not an IP address and port")]
    NotAnAddress {
        /// Value of the field.
        text: String,
    },
    /// Name is also that of another entry.
    #[error("`{name}` appears twice")]
    Duplicate {
        /// Duplicate name.
        name: String,
    },
}

/// Reason why a submission or a settings file is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The text cannot be parsed.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The text was parsed, but the value of a field is not allowed.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// Reason why custom machine attributes, set by operators, are refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AttributeError {
    /// Group has more than [`MAX_ATTRIBUTES`] attributes.
    #[error("attributes of {group}: more than {MAX_ATTRIBUTES} of them")]
    TooMany {
        /// Machine type or zone of the group, or `all`.
        group: String,
    },
    /// Attribute is not allowed.
    #[error("attribute {name} of {group}: {problem}")]
    Invalid {
        /// Name of the attribute.
        name: String,
        /// Machine type or zone of the group, or `all`.
        group: String,
        /// Problem with the attribute.
        problem: AttributeProblem,
    },
}

/// Problem with a machine attribute.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AttributeProblem {
    /// Name is not an identifier.
    #[error("not a name")]
    NotAnIdentifier,
    /// Name is that of a built-in attribute, one of [`crate::rules::BUILT_IN_ATTRIBUTES`].
    #[error("every machine has it, and it cannot be set")]
    BuiltIn,
    /// Value has a type that is not allowed.
    #[error("must be a boolean, a number, a string, or a list of these")]
    UnsupportedType,
}
