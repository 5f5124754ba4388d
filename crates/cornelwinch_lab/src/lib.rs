//! Starts a whole deployment on loopback: stand-ins for the platform and the
//! upstreams in this process, and each host as a process of its own.

mod caller;
mod deployment;
mod drain;
mod error;
mod faults;
mod host;
mod load;
mod ports;
mod scenarios;
mod shape;

pub use caller::{Caller, Reply, RunKey, RunRequest};
pub use deployment::Deployment;
pub use drain::DrainReport;
pub use error::LabError;
pub use faults::{FaultLab, IdKind, wait_until};
pub use host::{HostProcess, HostProgram};
pub use load::{Load, LoadReport, poll_until, query};
pub use ports::free_addrs;
pub use shape::{DeploymentShape, SearchShape, amman, tunis};
