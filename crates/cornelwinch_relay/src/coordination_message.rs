use bytes::Bytes;
use cornelwinch_routing::{CapGrant, CapReport, VersionReport, VersionStage};
use cornelwinch_types::Name;
use serde::{Deserialize, Serialize};

/// A message between a host and the coordinator. The encoded names of frequent ones are short.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum CoordinationMessage {
    /// The first message of the coordinator: whether it takes this role.
    Accept { is_coordinator: bool },
    /// The first message of a host.
    Join { host: Name },
    /// Report on the caps of organisations.
    #[serde(rename = "R")]
    CapReport(CapReport),
    /// Answer to a [`CapReport`](Self::CapReport).
    #[serde(rename = "G")]
    CapGrant(CapGrant),
    /// Report on a rollout order.
    VersionReport(VersionReport),
    /// Answer to a [`VersionReport`](Self::VersionReport).
    VersionStage(VersionStage),
}

impl CoordinationMessage {
    /// Encodes the message as CBOR.
    pub(crate) fn encode(&self) -> Bytes {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).expect("writing to a vector does not fail");
        buf.into()
    }
}
