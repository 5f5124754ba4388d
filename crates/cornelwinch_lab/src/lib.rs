//! Starts a whole deployment on loopback: stand-ins for the platform and the
//! upstreams in this process, and each host as a process of its own.

mod deployment;
mod error;
mod host;
mod load;
mod ports;
mod shape;

pub use deployment::Deployment;
pub use error::LabError;
pub use host::{HostProcess, HostProgram};
pub use load::{Load, LoadReport, query, wait_until};
pub use shape::{DeploymentShape, SearchShape, amman, tunis};
