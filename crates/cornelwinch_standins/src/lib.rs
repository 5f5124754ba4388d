//! Stand-ins for upstreams and the platform, for tests and measurements.
//!
//! They follow `docs/interfaces.md` over plain HTTP on loopback. All stand-ins
//! of a process share the threads of one HTTP pool and one timer.

mod control;
mod documents;
pub mod platform;
mod runtime;
pub mod upstream;

pub use control::{Control, spawn_control};
pub use documents::{HITS_PER_KEYS, document_count, documents};
