//! Non-idempotent requests that run at most once.

mod id;
mod result;
mod run;
mod table;

pub use id::{TicketId, TicketIdError};
pub use result::TicketResult;
pub use run::{TicketAction, TicketRun, TicketRunSpec};
pub use table::{Begin, TicketConfig, Tickets};
