//! Non-idempotent requests that run at most once.

mod bucket;
mod claim;
mod claims;
mod id;
mod result;
mod run;
mod table;

pub use bucket::{BucketReply, ClaimBucket, ClaimRecord};
pub use claim::{ClaimAction, ClaimBegin, ClaimConfig, ClaimCopy};
pub use claims::Claims;
pub use id::{TicketId, TicketIdError};
pub use result::TicketResult;
pub use run::{TicketAction, TicketRun, TicketRunSpec};
pub use table::{Begin, TicketConfig, Tickets};
