use std::time::Instant;

use cornelwinch_types::{Fingerprint, Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::result::TicketResult;

/// Bytes of a record besides its texts, an estimate of its JSON form.
const RECORD_BYTES: usize = 400;
/// Bytes of a row of an answer besides its text.
const HIT_BYTES: usize = 40;

/// Durable record that a host incarnation runs, or ran, the request of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key chosen by the caller, prefixed by its organisation.
    pub key: Name,
    /// Hash of search and body.
    #[serde(with = "fingerprint_text")]
    pub fingerprint: Fingerprint,
    /// Host that runs the request.
    pub host: Name,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Seconds since the Unix epoch when the claim was made.
    pub claimed_s: u64,
    /// Result, once it is known.
    pub result: Option<TicketResult>,
}

impl ClaimRecord {
    pub(crate) fn bytes(&self) -> usize {
        let answer = self.result.as_ref().and_then(|r| r.answer.as_ref());
        let hits = answer.map_or(0, |a| a.hits.iter().map(|h| h.text.len() + HIT_BYTES).sum());
        RECORD_BYTES + self.key.len() + hits
    }
}

/// Value of a platform object of kind `claim`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBucket {
    /// Records by key.
    pub claims: Vec<ClaimRecord>,
}

impl ClaimBucket {
    pub(crate) fn find(&self, key: &str) -> Result<usize, usize> {
        self.claims.binary_search_by(|r| (*r.key).cmp(key))
    }

    /// Estimated size of the JSON form.
    pub(crate) fn bytes(&self) -> usize {
        self.claims.iter().map(ClaimRecord::bytes).sum()
    }
}

/// Outcome of a read or write of a bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BucketReply {
    /// The present object: after a read, or after a write that met another
    /// version. A missing object has version 0 and no claims.
    Present {
        /// Version of the object.
        version: u64,
        /// Value of the object.
        value: ClaimBucket,
    },
    /// The write was applied.
    Written {
        /// New version of the object.
        version: u64,
    },
    /// Nothing was done: no connection, over the rate, or a read that failed.
    Unavailable,
    /// The write may have been applied.
    Lost,
}

/// A copy of a request that waits for its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimWaiter {
    pub(crate) waiter: u64,
    pub(crate) deadline: Instant,
}

/// A key that is not decided yet.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    pub(crate) key: Name,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) waiters: Vec<ClaimWaiter>,
    /// Number of exchanges started before the claim was made.
    pub(crate) after: u64,
    /// Holder to which a copy was forwarded without a result. It gets no further copy, and the key
    /// may have run.
    pub(crate) lost_holder: Option<Name>,
}

/// What one host knows about a bucket.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    /// Version of `content`; `None` if the bucket has to be read first.
    pub(crate) version: Option<u64>,
    pub(crate) content: ClaimBucket,
    /// Value of the write in flight.
    pub(crate) writing: Option<ClaimBucket>,
    /// An exchange with the platform is in flight.
    pub(crate) busy: bool,
    /// Number of exchanges started.
    pub(crate) started: u64,
    /// Number of the exchange that `content` comes from.
    pub(crate) seen: u64,
    pub(crate) pending: Vec<PendingClaim>,
    /// Results that are not durable yet.
    pub(crate) results: Vec<(Name, TicketResult)>,
    /// The platform is away until this time.
    pub(crate) away_until: Option<Instant>,
}

/// Writes the fingerprint as a text: a JSON number of 128 bits does not pass
/// through programs that hold numbers as 64 bits.
mod fingerprint_text {
    use cornelwinch_types::Fingerprint;
    use serde::de::Error as _;
    use serde::ser::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(f: &Fingerprint, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&serde_json::to_string(f).map_err(S::Error::custom)?)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Fingerprint, D::Error> {
        serde_json::from_str(&String::deserialize(d)?).map_err(D::Error::custom)
    }
}
