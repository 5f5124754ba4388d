use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PeerError;

/// Encodes a message as CBOR.
///
/// # Errors
///
/// Fails if the message's own serialization fails.
pub fn encode<M: Serialize>(msg: &M) -> Result<Vec<u8>, PeerError> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(msg, &mut buf).map_err(|error| PeerError::Encode {
        reason: error.to_string(),
    })?;
    Ok(buf)
}

/// Decodes a message from CBOR.
///
/// # Errors
///
/// Fails if the bytes are not a message of this type.
pub fn decode<M: DeserializeOwned>(buf: &[u8]) -> Result<M, PeerError> {
    ciborium::from_reader(buf).map_err(|error| PeerError::Decode {
        reason: error.to_string(),
    })
}
