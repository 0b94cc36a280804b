//! Defines the settings of a submission that do not come from the submit file.

/// Settings of a submission that do not come from the submit file.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The team to which jobs are accounted if the file names none.
    pub team: Option<String>,
    /// Statements that are read before those of the file.
    pub before: Vec<String>,
    /// The seed of `$RANDOM_CHOICE` and `$RANDOM_INTEGER`.
    pub seed: u64,
}
