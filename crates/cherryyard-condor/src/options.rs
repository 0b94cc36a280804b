//! What decides beside the submit file.

/// What decides beside the submit file.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The team, where the file names none.
    pub team: Option<String>,
    /// Statements that come before the file's.
    pub before: Vec<String>,
    /// Seed of `$RANDOM_CHOICE` and `$RANDOM_INTEGER`.
    pub seed: u64,
}
