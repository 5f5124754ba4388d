use std::error::Error;
use std::mem;

use bytes::Bytes;
use cornelwinch_http::ReadLimit;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

use crate::answer_memory::AnswerBytes;

/// Bytes of an answer that are read apart from its body: its head, interim answers and the framing
/// of the body. The caller allows them before it sends the request.
pub(crate) const MAX_FRAMING_BYTES: usize = 256 * 1024;

/// Bytes that are read for each byte of a body in addition to [`MAX_FRAMING_BYTES`].
const READ_BYTES_PER_BODY_BYTE: usize = 2;

/// Size of the parts in which a body is kept while it is read, a power of two.
const PART_BYTES: usize = 64 * 1024;

/// Error of a body that is larger than it may be, or for which there is no memory.
#[derive(Debug, Snafu)]
#[snafu(display("more than {limit} bytes, or no memory for them"))]
pub(crate) struct TooLarge {
    limit: usize,
}

/// Reads a body of at most `limit` bytes, while `held` has room for them.
///
/// # Errors
///
/// Returns [`TooLarge`], or the error of the connection.
pub(crate) async fn read_body(
    mut body: Incoming,
    read_limit: &ReadLimit,
    limit: usize,
    mut held: Option<AnswerBytes>,
) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    let mut parts = BodyParts::default();
    while let Some(frame) = body.frame().await {
        // Trailers are bounded by the HTTP library and dropped.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if parts.len + data.len() > limit {
            return TooLargeSnafu { limit }.fail()?;
        }
        read_limit.extend(data.len().saturating_mul(READ_BYTES_PER_BODY_BYTE));
        if parts.len == 0 && body.is_end_stream() {
            let Some(mut held) = held else {
                return Ok(data);
            };
            if !held.add(data.len()) {
                return TooLargeSnafu { limit }.fail()?;
            }
            return Ok(held.keep(data));
        }
        let growth = parts.push(&data);
        if held.as_mut().is_some_and(|held| !held.add(growth)) {
            return TooLargeSnafu { limit }.fail()?;
        }
    }
    let whole = parts.join();
    Ok(match held {
        Some(held) => held.keep(whole),
        None => whole,
    })
}

/// A body while it is read. It is kept in parts of one size, since the copies of one growing buffer
/// leave holes in the heap that the next, larger copy can't use.
#[derive(Debug, Default)]
struct BodyParts {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    len: usize,
}

impl BodyParts {
    /// Adds bytes and returns the number of bytes by which the memory has grown.
    fn push(&mut self, mut data: &[u8]) -> usize {
        let mut growth = 0;
        self.len += data.len();
        while !data.is_empty() {
            if self.last.len() == PART_BYTES {
                self.full.push(mem::take(&mut self.last));
            }
            let (head, rest) = data.split_at(data.len().min(PART_BYTES - self.last.len()));
            growth += self.reserve(head.len());
            self.last.extend_from_slice(head);
            data = rest;
        }
        growth
    }

    /// Makes room in the last part and returns the growth of its memory.
    fn reserve(&mut self, additional: usize) -> usize {
        let (len, capacity) = (self.last.len(), self.last.capacity());
        if additional <= capacity - len {
            return 0;
        }
        let wanted = if self.full.is_empty() {
            (len + additional).next_power_of_two()
        } else {
            PART_BYTES
        };
        self.last.reserve_exact(wanted - len);
        self.last.capacity() - capacity
    }

    fn join(mut self) -> Bytes {
        if self.full.is_empty() {
            return self.last.into();
        }
        self.full.push(self.last);
        self.full.concat().into()
    }
}
