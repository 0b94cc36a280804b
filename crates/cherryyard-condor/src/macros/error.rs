//! Errors of macros.

/// What is wrong with the macros of a text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MacroError {
    /// The text is too long, or its brackets nest too deep.
    #[error("macros are nested too deep, or the text is too long")]
    TextTooLarge,
    /// A macro has no closing bracket.
    #[error("a macro is not closed")]
    NotClosed,
    /// The expanded text is too long, or takes too many steps.
    #[error("its macros come to too much text")]
    ExpansionTooLarge,
    /// Macros name each other in a circle: these, the first of it last.
    #[error("macros define each other: {}", .0.join(" -> "))]
    Cyclic(Vec<String>),
    /// Macros name each other through too many definitions.
    #[error("macros are nested too deep")]
    TooDeep,
    /// No function has this name.
    #[error("${0}() is not known")]
    UnknownFunction(String),
    /// An argument is no whole number.
    #[error("${function}: `{text}` is not a whole number")]
    NotWholeNumber {
        /// The function, as it is spelled.
        function: String,
        /// The argument.
        text: String,
    },
    /// The macro that an argument names is no number.
    #[error("${function}: `{text}` is not a number")]
    NotNumber {
        /// The function.
        function: &'static str,
        /// What the macro expands to.
        text: String,
    },
    /// A list has no item of this number.
    #[error("$CHOICE: there is no item {0}")]
    NoSuchItem(i64),
    /// A random choice has no items.
    #[error("$RANDOM_CHOICE: nothing to choose from")]
    NothingToChoose,
    /// A random integer has no possible value.
    #[error("$RANDOM_INTEGER: an empty range")]
    EmptyRange,
    /// The format of a number is malformed.
    #[error("the format `{0}` is not known")]
    UnknownFormat(String),
}
