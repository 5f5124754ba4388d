/// Outcome of a request in the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A successful answer of an upstream, or a gathered answer, was returned.
    Served,
    /// An upstream's answer with an error status was returned.
    UpstreamFailure,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The request is invalid.
    Rejected,
}

impl Outcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::UpstreamFailure => "upstream_failure",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::Rejected => "rejected",
        }
    }
}
