//! Routing decisions of the relay, free of sockets and clocks: route lookup, load
//! balancing over upstreams, retry budgets, overload limits and the merging of
//! partial answers.

mod budget;
mod cap;
mod cap_pool;
mod cap_stock;
mod change;
mod cold;
mod crashes;
mod desired;
mod fleet;
mod health;
mod organisation;
mod organisation_table;
mod overload;
mod permits;
mod return_schedule;
mod rollout;
mod round_robin;
mod sources;
mod table;
mod top_k;
mod upstream;
mod withdrawal;

pub use budget::{RepeatKind, RetryBudget, RetryBudgetConfig, RetryBudgetUsage};
pub use cap::{CapGrant, CapReport, CapRule};
pub use cap_pool::CapPool;
pub use cap_stock::{CapDecision, CapStock, CapToken};
pub use change::DesiredStateDelta;
pub use cold::ColdRateLimiter;
pub use crashes::{CrashReport, CrashTracker, RequestFingerprint};
pub use desired::{CallerLimits, DesiredState, GatherPlan, Route, RouteKind, Service, Target};
pub use fleet::Fleet;
pub use health::{HealthSignal, UpstreamHealth};
pub use organisation::{Cap, KeyDigest, Organisation};
pub use organisation_table::{IndexKey, OrganisationProfile, OrganisationTable};
pub use overload::{GatherLimit, GatherOutcome};
pub use permits::HostPermits;
pub use return_schedule::ReturnSchedule;
pub use rollout::{
    Evidence, Finding, HostRollout, HostRollouts, LegTally, RolloutDecider, RolloutLimits,
    RolloutOrder, RolloutPhase, RolloutState, RolloutStatus, RouteTally, VersionGroup,
    VersionReport, VersionStage,
};
pub use round_robin::WeightedRoundRobin;
pub use sources::{HostEntry, source_count, source_order};
pub use table::{RouteLookup, RouteTable};
pub use top_k::{RECORD_BYTES, TopKMerge};
pub use upstream::{UpstreamEndpoint, UpstreamEntry, UpstreamId, UpstreamLimits, UpstreamState};
pub use withdrawal::{FaultHold, RestPeriod};
