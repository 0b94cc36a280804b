//! Defines the errors of values of commands and attributes.

use cherryyard_classad::{ParseErrorKind, Value};
use cherryyard_wire::rules::MAX_EXPRESSION;

/// The reason why the value of a command or attribute is refused.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CommandError {
    /// The value cannot be parsed as an expression.
    #[error(transparent)]
    Expression(#[from] ParseErrorKind),
    /// The scheduler does not run jobs in this universe.
    #[error("{0} is not supported")]
    UnsupportedUniverse(String),
    /// The value refers with `$$(...)` to an attribute of the chosen machine, although the
    /// choice of the machine depends on the value.
    #[error("$$(...) is not known before a machine is chosen")]
    MachineAttribute,
    /// The value does not evaluate to a number without a machine.
    #[error("must be a number that the job alone decides, and is {0}")]
    NotNumber(Value),
    /// The value is neither `true` nor `false`.
    #[error("must be true or false")]
    NotBoolean,
    /// The value must be positive.
    #[error("must be above 0")]
    NotPositive,
    /// The value must not be negative.
    #[error("must be 0 or more")]
    Negative,
    /// The requirements evaluate to this value, which is not true, for every machine.
    #[error("is {0} whatever the machine")]
    NeverTrue(Value),
    /// The expression contains nested ads, so it cannot be evaluated without the job's ad.
    #[error("cannot be told apart from the job's own nested ads")]
    NestedAds,
    /// The expression is too long once the job's attributes have been filled in.
    #[error("comes to more than {MAX_EXPRESSION} bytes")]
    TooLong,
}
