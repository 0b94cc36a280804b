//! Errors in the values of commands and attributes.

use cherryyard_classad::{ParseErrorKind, Value};
use cherryyard_wire::rules::MAX_EXPRESSION;

/// What is wrong with the value of a command or attribute.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CommandError {
    /// It is no expression.
    #[error(transparent)]
    Expression(#[from] ParseErrorKind),
    /// The universe is none that jobs run in here.
    #[error("{0} is not supported")]
    UnsupportedUniverse(String),
    /// It refers to an attribute of the chosen machine, and decides which is chosen.
    #[error("$$(...) is not known before a machine is chosen")]
    MachineAttribute,
    /// It does not evaluate to a number without a machine.
    #[error("must be a number that the job alone decides, and is {0}")]
    NotNumber(Value),
    /// It is neither true nor false.
    #[error("must be true or false")]
    NotBoolean,
    /// It must be positive.
    #[error("must be above 0")]
    NotPositive,
    /// It must not be negative.
    #[error("must be 0 or more")]
    Negative,
    /// The requirements have this value, which is not true, for all machines.
    #[error("is {0} whatever the machine")]
    NeverTrue(Value),
    /// Nested ads keep it from being evaluated without the job's ad.
    #[error("cannot be told apart from the job's own nested ads")]
    NestedAds,
    /// The expression is too long once the job's attributes are filled in.
    #[error("comes to more than {MAX_EXPRESSION} bytes")]
    TooLong,
}
