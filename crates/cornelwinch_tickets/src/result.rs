use cornelwinch_types::{LegAnswer, Name, Outcome};
use serde::{Deserialize, Serialize};

/// Final result of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketResult {
    /// What is known about the request.
    pub outcome: Outcome,
    /// Answer of the upstream if the outcome is `Done`.
    pub answer: Option<LegAnswer>,
    /// Short code of the reason, for example `deadline_passed`; empty if the
    /// outcome is `Done`.
    pub reason: Name,
}

impl TicketResult {
    /// The upstream answered.
    pub fn done(answer: LegAnswer) -> Self {
        Self {
            outcome: Outcome::Done,
            answer: Some(answer),
            reason: "".into(),
        }
    }

    /// The request did not run and will not run.
    pub fn not_run(reason: &str) -> Self {
        Self {
            outcome: Outcome::NotRun,
            answer: None,
            reason: reason.into(),
        }
    }

    /// The request may have run.
    pub fn unknown(reason: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            answer: None,
            reason: reason.into(),
        }
    }
}
