//! Routing decisions of the relay, free of sockets and clocks: route lookup, load
//! balancing over upstreams, retry budgets, overload limits and the merging of
//! partial answers.

mod absent_hosts;
mod admission_order;
mod budget;
mod cap;
mod cap_pool;
mod cap_stock;
mod change;
mod cold;
mod cost_model;
mod crashes;
mod desired;
mod failures;
mod fleet;
mod health;
mod host_shares;
mod organisation;
mod organisation_table;
mod overload;
mod permits;
mod placement;
mod return_schedule;
mod rollout;
mod round_robin;
mod sources;
mod stored_marks;
mod sync_timing;
mod table;
mod timeliness;
mod top_k;
mod upstream;
mod withdrawal;
mod work;

pub use absent_hosts::AbsentHosts;
pub use admission_order::{AdmissionOrder, AdmissionTurn, Caller};
pub use budget::{RepeatKind, RetryBudget, RetryBudgetConfig, RetryBudgetUsage};
pub use cap::{CapGrant, CapReport, CapRule};
pub use cap_pool::CapPool;
pub use cap_stock::{CapDecision, CapStock, CapToken};
pub use change::DesiredStateDelta;
pub use cold::ColdRateLimiter;
pub use cost_model::{CostModel, CostSample};
pub use crashes::{CrashReport, CrashTracker, RequestFingerprint};
pub use desired::{CallerLimits, DesiredState, GatherPlan, Route, RouteKind, Service, Target};
pub use fleet::{Candidate, Explanation, Fleet};
pub use health::{HealthSignal, UpstreamHealth};
pub use host_shares::HostShares;
pub use organisation::{Cap, KeyDigest, Organisation};
pub use organisation_table::{IndexKey, OrganisationProfile, OrganisationTable};
pub use overload::{GatherLimit, GatherOutcome};
pub use permits::HostPermits;
pub use placement::{LegRequest, PlacementMode};
pub use return_schedule::ReturnSchedule;
pub use rollout::{
    Evidence, Finding, HostRollout, HostRollouts, LegTally, RolloutDecider, RolloutLimits,
    RolloutOrder, RolloutPhase, RolloutState, RolloutStatus, RouteTally, VersionGroup,
    VersionReport, VersionStage,
};
pub use round_robin::WeightedRoundRobin;
pub use sources::{HostEntry, source_count, source_order};
pub use stored_marks::{MarkChange, StoredMarks};
pub use sync_timing::{StoreProbe, SyncTiming};
pub use table::{RouteLookup, RouteTable};
pub use timeliness::TimeBudgets;
pub use top_k::{RECORD_BYTES, TopKMerge};
pub use upstream::{UpstreamEndpoint, UpstreamEntry, UpstreamId, UpstreamLimits, UpstreamState};
pub use withdrawal::{FaultHold, RestPeriod};
pub use work::{LegQuery, UpstreamWork};
