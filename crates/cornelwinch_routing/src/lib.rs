//! Decisions of the relay, without sockets or clocks: which route a request
//! takes, which upstream gets it, how many repeats are allowed, and how parts
//! are merged.

mod budget;
mod change;
mod cold;
mod crashes;
mod desired;
mod fleet;
mod health;
mod merge;
mod overload;
mod permits;
mod sources;
mod split;
mod table;

pub use budget::{BudgetShare, BudgetUsage, Repeat, RetryBudget};
pub use change::DesiredChange;
pub use cold::ColdRate;
pub use crashes::{CrashMarks, CrashReport, RequestPrint};
pub use desired::{CallerLimits, DesiredState, GatherPlan, Route, RouteKind, Service, Target};
pub use fleet::{Fleet, UpstreamEntry, UpstreamId, UpstreamShare, UpstreamState, UpstreamView};
pub use health::{Health, LegSign};
pub use merge::{PartMerge, RECORD_BYTES};
pub use overload::{GatherEnd, GatherLimit};
pub use permits::HostPermits;
pub use sources::{HostEntry, source_count, source_order};
pub use split::SplitCursor;
pub use table::{Lookup, RouteTable};
