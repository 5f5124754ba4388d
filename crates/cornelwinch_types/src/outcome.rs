use serde::{Deserialize, Serialize};

/// Whether a request ran, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and the result is included.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}
