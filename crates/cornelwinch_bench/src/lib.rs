//! Open-loop load generator and experiments.
//!
//! Arrival times are fixed in advance, so a slow answer does not lower the
//! offered rate, and latency counts from the planned time of a request.

mod answer;
mod caller;
mod config;
mod report;
mod run;
mod schedule;
mod tally;

pub use answer::{BenchAnswer, SentRequest};
pub use config::{BenchConfig, BenchError, MixItem};
pub use report::{Coverage, ExtraLoad, GroupReport, Outcomes, Quantiles, Report, SecondReport};
pub use run::{run, run_verified};
pub use schedule::{Arrival, arrivals};
