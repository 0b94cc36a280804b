//! Defines the errors of macros.

/// The reason why the macros of a text cannot be compiled or expanded.
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
    /// Macros refer to each other in a cycle; the names are those along it, and the last
    /// one closes it.
    #[error("macros define each other: {}", .0.join(" -> "))]
    Cyclic(Vec<String>),
    /// Macros refer to each other through too many definitions.
    #[error("macros are nested too deep")]
    TooDeep,
    /// No function has this name.
    #[error("${0}() is not known")]
    UnknownFunction(String),
    /// An argument is not a whole number.
    #[error("${function}: `{text}` is not a whole number")]
    NotWholeNumber {
        /// The function's name, as spelled in the file.
        function: String,
        /// The text of the argument.
        text: String,
    },
    /// The macro that an argument names does not expand to a number.
    #[error("${function}: `{text}` is not a number")]
    NotNumber {
        /// The function's name.
        function: &'static str,
        /// The text that the macro expands to.
        text: String,
    },
    /// The list of `$CHOICE` has no item with this index.
    #[error("$CHOICE: there is no item {0}")]
    NoSuchItem(i64),
    /// `$RANDOM_CHOICE` has no arguments.
    #[error("$RANDOM_CHOICE: nothing to choose from")]
    NothingToChoose,
    /// The range of `$RANDOM_INTEGER` is empty.
    #[error("$RANDOM_INTEGER: an empty range")]
    EmptyRange,
    /// The format of a number is not supported.
    #[error("the format `{0}` is not known")]
    UnknownFormat(String),
}
