//! Organisation plans: rates, concurrency, priority and allowed searches.

mod account;
mod admission;
mod bucket;
mod demand;
mod exchange;
mod ledger;
mod message;
mod overload;
mod views;

pub use admission::{Admission, AdmissionConfig, Admitted, Credential, Rejection};
pub use message::{AdmissionAction, AdmissionMsg, Portion, Resource};
pub use overload::Overload;
