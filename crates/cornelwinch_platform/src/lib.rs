//! Client of the platform's object API: conditional updates, lists, watches.

mod backoff;
mod client;
mod diff;
mod error;
mod object;
mod write;

pub use client::{PlatformClient, Timeouts};
pub use diff::{Difference, differences};
pub use error::PlatformError;
pub use object::{HostRole, HostState, InvalidObject, Listing, Object, PlatformHost, entry_value};
pub use write::Written;
