//! Routing decisions of the relay, free of sockets and clocks: route lookup, load
//! balancing over upstreams, retry budgets, overload limits and the merging of
//! partial answers.

mod budget;
mod change;
mod cold;
mod cost_model;
mod crashes;
mod desired;
mod failures;
mod fleet;
mod health;
mod organisation;
mod overload;
mod permits;
mod placement;
mod return_schedule;
mod round_robin;
mod sources;
mod table;
mod top_k;
mod upstream;
mod withdrawal;
mod work;

pub use budget::{RepeatKind, RetryBudget, RetryBudgetConfig, RetryBudgetUsage};
pub use change::DesiredStateDelta;
pub use cold::ColdRateLimiter;
pub use cost_model::{CostModel, CostSample};
pub use crashes::{CrashReport, CrashTracker, RequestFingerprint};
pub use desired::{CallerLimits, DesiredState, GatherPlan, Route, RouteKind, Service, Target};
pub use fleet::Fleet;
pub use health::{HealthSignal, UpstreamHealth};
pub use organisation::{Cap, KeyDigest, Organisation};
pub use overload::{GatherLimit, GatherOutcome};
pub use permits::HostPermits;
pub use placement::{LegRequest, PlacementMode};
pub use return_schedule::ReturnSchedule;
pub use round_robin::WeightedRoundRobin;
pub use sources::{HostEntry, source_count, source_order};
pub use table::{RouteLookup, RouteTable};
pub use top_k::{RECORD_BYTES, TopKMerge};
pub use upstream::{UpstreamEndpoint, UpstreamEntry, UpstreamId, UpstreamLimits, UpstreamState};
pub use withdrawal::{FaultHold, RestPeriod};
pub use work::{LegQuery, UpstreamWork};
