use std::error::Error;

use bytes::{Bytes, BytesMut};
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
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are bounded by the HTTP library and dropped.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return TooLargeSnafu { limit }.fail()?;
        }
        read_limit.extend(data.len().saturating_mul(READ_BYTES_PER_BODY_BYTE));
        if whole.is_empty() && body.is_end_stream() {
            let Some(mut held) = held else {
                return Ok(data);
            };
            if !held.add(data.len()) {
                return TooLargeSnafu { limit }.fail()?;
            }
            return Ok(held.keep(data));
        }
        let capacity = whole.capacity();
        whole.reserve(data.len());
        let growth = whole.capacity() - capacity;
        if held.as_mut().is_some_and(|held| !held.add(growth)) {
            return TooLargeSnafu { limit }.fail()?;
        }
        whole.extend_from_slice(&data);
    }
    let whole = whole.freeze();
    Ok(match held {
        Some(held) => held.keep(whole),
        None => whole,
    })
}
