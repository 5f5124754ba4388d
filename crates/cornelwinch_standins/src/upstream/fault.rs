use serde::{Deserialize, Serialize};

/// A change of an upstream's behaviour, made through its handle or through the
/// control listener.
///
/// In JSON: `{"fault": "late", "answers": 3, "delay_ms": 500}`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamFault {
    /// Drops all connections and legs, and starts cold with a new restart id.
    Restart,
    /// Drops all connections and legs, and refuses connections.
    Stop,
    /// Starts a stopped upstream cold with a new restart id.
    Start,
    /// Refuses new legs; legs in progress finish.
    Drain,
    /// Ends draining.
    Undrain,
    /// Stops all progress, as `SIGSTOP` does; connections stay open.
    Freeze,
    /// Ends a freeze; held requests and answers proceed.
    Resume,
    /// Legs start and are counted, but none ends before a release, whatever its
    /// deadline.
    Hold,
    /// Ends a hold; the legs held end now.
    Release,
    /// Restarts when a leg whose body contains the marker starts; `None` turns
    /// it off.
    CrashOn {
        /// Text that crashes the upstream.
        marker: Option<String>,
    },
    /// The next answers come from another snapshot and name it.
    WrongSnapshot {
        /// Number of answers.
        answers: u32,
    },
    /// The next answers are sent late, whatever their deadline.
    Late {
        /// Number of answers.
        answers: u32,
        /// Time added.
        delay_ms: u64,
    },
    /// The next pairs of answers go to each other's caller.
    Cross {
        /// Number of pairs.
        pairs: u32,
    },
    /// The next legs answer 500 after their service time.
    Fail {
        /// Number of legs.
        legs: u32,
    },
    /// The next legs are shed, whatever the load.
    Shed {
        /// Number of legs.
        legs: u32,
    },
    /// Multiplies all service times; 1 is normal.
    Slow {
        /// Factor.
        factor: f64,
    },
    /// Sets what the health endpoint reports.
    Health {
        /// Report.
        report: HealthReport,
    },
    /// Replaces the snapshots held of a search; legs on all keys are served.
    Snapshots {
        /// Search.
        search: String,
        /// Snapshots held from now on.
        held: Vec<u64>,
    },
    /// Starts counting new work from now on.
    Mark,
}

/// What the health endpoint reports.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthReport {
    /// The present state.
    #[default]
    True,
    /// The state at the time when this report was set.
    Stale,
    /// A fixed state.
    Fixed {
        /// `ok`, `cold` or `draining`.
        state: String,
        /// Share of the slots in use.
        load: f64,
    },
}

/// What an upstream has recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounters {
    /// Name of the upstream.
    pub name: String,
    /// Identifier of the present run.
    pub restart: u64,
    /// Whether the upstream is in a cold start.
    pub cold: bool,
    /// Legs in progress.
    pub running: u32,
    /// Legs that arrived.
    pub arrived: u64,
    /// Legs that started.
    pub started: u64,
    /// Legs answered with 200.
    pub answered: u64,
    /// Highest number of legs at once, counting a leg that was shed on arrival.
    pub highest: u32,
    /// The same while cold.
    pub highest_cold: u32,
    /// Legs shed.
    pub shed: u64,
    /// Times that too many legs in a cold start made the upstream fall over.
    pub fell_over: u64,
    /// Legs ended by a cancellation.
    pub cancelled: u64,
    /// Cancellations that found no leg.
    pub cancelled_late: u64,
    /// Legs that passed their deadline, before or after they started.
    pub deadline_passed: u64,
    /// Legs refused for a snapshot or range that is not held.
    pub snapshot_missing: u64,
    /// Legs refused while draining.
    pub refused_draining: u64,
    /// Legs lost by a restart, stop or crash.
    pub lost: u64,
    /// Crashes caused by a marked body.
    pub crashes: u64,
    /// Connections opened, as seen by their first request.
    pub connections: u64,
    /// Legs that arrived after the mark.
    pub arrived_after_mark: u64,
    /// Legs that started after the mark.
    pub started_after_mark: u64,
    /// Time from the mark to the last leg that arrived.
    pub last_arrival_after_mark_ms: u64,
    /// Non-idempotent bodies by name, each with the number of times it started.
    pub runs: Vec<(String, u32)>,
}
