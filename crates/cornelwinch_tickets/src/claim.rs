use std::time::{Duration, Instant};

use cornelwinch_types::{Fingerprint, Name};

use crate::bucket::ClaimBucket;
use crate::result::TicketResult;

/// Layout and age limit of the claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Number of bucket objects; equal on all hosts.
    pub buckets: u32,
    /// Time after which a claim is dropped and its key may run again. It must
    /// be far longer than any deadline and than the difference between the
    /// clocks of the hosts.
    pub retention: Duration,
}

/// A copy of a request that names a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimCopy {
    /// Key of the request, which must include the organisation.
    pub key: Name,
    /// Hash of search and body.
    pub fingerprint: Fingerprint,
    /// Number with which the decision is returned.
    pub waiter: u64,
    /// Time after which the copy is not started.
    pub deadline: Instant,
}

/// What to do with a request that names a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimBegin {
    /// Run it; its claim is durable and no other copy runs or has run.
    Start,
    /// Another copy is running here; the waiter gets its result.
    Joined,
    /// It has finished before with this result.
    Finished(TicketResult),
    /// This live host holds the claim; forward the request to it.
    Elsewhere(Name),
    /// The incarnation that held the claim is gone without a result.
    Unknown,
    /// The key was used for another body; this body was not run.
    Conflict,
    /// This copy was not run: the platform is away, the bucket is full or the
    /// deadline has passed. The text is a short code.
    NotRun(&'static str),
}

/// What the caller of [`Claims`](crate::Claims) has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read a bucket and report the outcome exactly once.
    Read {
        /// Number of the bucket.
        bucket: u32,
    },
    /// Write a bucket if it still has this version, and report the outcome
    /// exactly once.
    Write {
        /// Number of the bucket.
        bucket: u32,
        /// Expected version; 0 if the object must not exist.
        version: u64,
        /// New value.
        value: ClaimBucket,
    },
    /// Decide about a waiting copy of a request.
    Begin {
        /// The waiter given with the claim.
        waiter: u64,
        /// Key of the request.
        key: Name,
        /// The decision.
        begin: ClaimBegin,
    },
}
