use std::net::SocketAddr;

use cornelwinch_types::{Incarnation, Member, MemberState, Name, Revision};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::DatagramKey;

/// Largest datagram, in bytes; it fits an IPv6 path of minimum MTU.
pub const MAX_DATAGRAM: usize = 1_200;

const MAC_LEN: usize = blake3::OUT_LEN;

/// Reason why a datagram was rejected.
#[derive(Debug, Snafu)]
pub(crate) enum DatagramError {
    #[snafu(display("datagram of {len} bytes is too short or too long"))]
    Length { len: usize },
    #[snafu(display("datagram has a wrong authentication code"))]
    Mac,
    #[snafu(display("datagram cannot be decoded"))]
    Decode {
        source: ciborium::de::Error<std::io::Error>,
    },
    #[snafu(display("datagram names unknown state {code}"))]
    State { code: u8 },
}

/// Purpose of a datagram. Names on the wire have one letter to save space.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Asks for an `Ack` with the number.
    #[serde(rename = "p")]
    Ping(u64),
    /// Answers a `Ping`.
    #[serde(rename = "a")]
    Ack(u64),
    /// Asks the receiver to probe a host.
    #[serde(rename = "r")]
    PingReq(u64, Name, SocketAddr),
    /// Tells that the host of a `PingReq` answered.
    #[serde(rename = "i")]
    IndirectAck(u64),
    /// Carries records only.
    #[serde(rename = "g")]
    Gossip,
    /// Asks an unknown sender for its record and includes the own one.
    #[serde(rename = "w")]
    Identify,
    /// Asks for the records of a zone, by its hash, in the buckets whose
    /// digests differ.
    #[serde(rename = "l")]
    Pull(u32, Vec<u32>),
    /// Answers a `Pull` with records.
    #[serde(rename = "t")]
    Page(u32),
}

/// State of a host as its records spread it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) member: Member,
    /// Number of refutations within the incarnation. It is separate from the
    /// incarnation because tickets are bound to that.
    pub(crate) version: u32,
}

/// Reachability of another zone as the hosts of a zone spread it: hash of the
/// zone, version and state.
pub(crate) type ZoneRecord = (u32, u32, u8);

/// Contents of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Frame {
    pub(crate) from: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) version: u32,
    pub(crate) state: MemberState,
    pub(crate) seq: u64,
    pub(crate) revision: Revision,
    pub(crate) body: Body,
    pub(crate) zones: Vec<ZoneRecord>,
    /// Hash of a zone's name and digest of its members.
    pub(crate) digests: Vec<(u32, u32)>,
    pub(crate) records: Vec<Record>,
}

/// A datagram under construction: a sequence of CBOR items, the header first,
/// then records as long as they fit.
#[derive(Debug)]
pub(crate) struct Encoder {
    buf: Vec<u8>,
    scratch: Vec<u8>,
}

impl Encoder {
    /// Writes everything but the records of a frame.
    ///
    /// # Panics
    ///
    /// Panics if the header alone exceeds [`MAX_DATAGRAM`].
    pub(crate) fn new(frame: &Frame) -> Self {
        let mut buf = Vec::with_capacity(MAX_DATAGRAM);
        buf.resize(MAC_LEN, 0);
        let header = (
            &frame.from,
            frame.incarnation,
            frame.version,
            state_code(frame.state),
            frame.seq,
            frame.revision,
            &frame.body,
            &frame.zones,
            &frame.digests,
        );
        ciborium::into_writer(&header, &mut buf).expect("writing to memory succeeds");
        assert!(
            buf.len() <= MAX_DATAGRAM,
            "header of {} bytes, body={:?}",
            buf.len(),
            frame.body
        );
        Self {
            buf,
            scratch: Vec::new(),
        }
    }

    /// Appends a record and reports whether it fitted.
    pub(crate) fn push(&mut self, record: &Record) -> bool {
        let member = &record.member;
        let fields = (
            &member.name,
            &member.zone,
            member.incarnation,
            record.version,
            state_code(member.state),
            member.peer,
            member.gossip,
        );
        self.scratch.clear();
        ciborium::into_writer(&fields, &mut self.scratch).expect("writing to memory succeeds");
        let fits = self.buf.len() + self.scratch.len() <= MAX_DATAGRAM;
        if fits {
            self.buf.extend_from_slice(&self.scratch);
        }
        fits
    }

    /// Adds the authentication code and returns the datagram.
    pub(crate) fn finish(mut self, key: &DatagramKey) -> Vec<u8> {
        let mac = key.mac(&self.buf[MAC_LEN..]);
        self.buf[..MAC_LEN].copy_from_slice(mac.as_bytes());
        self.buf
    }
}

/// Verifies and decodes a datagram.
pub(crate) fn decode(key: &DatagramKey, buf: &[u8]) -> Result<Frame, DatagramError> {
    ensure!(
        (MAC_LEN..=MAX_DATAGRAM).contains(&buf.len()),
        LengthSnafu { len: buf.len() }
    );
    let (mac, mut rest) = buf.split_at(MAC_LEN);
    let mac: [u8; MAC_LEN] = mac.try_into().ok().context(MacSnafu)?;
    // The comparison of `blake3::Hash` takes constant time.
    ensure!(key.mac(rest) == blake3::Hash::from_bytes(mac), MacSnafu);
    type Header = (
        Name,
        Incarnation,
        u32,
        u8,
        u64,
        Revision,
        Body,
        Vec<ZoneRecord>,
        Vec<(u32, u32)>,
    );
    let header: Header = ciborium::from_reader(&mut rest).context(DecodeSnafu)?;
    let (from, incarnation, version, state, seq, revision, body, zones, digests) = header;
    let mut records = Vec::new();
    while !rest.is_empty() {
        type Fields = (Name, Name, Incarnation, u32, u8, SocketAddr, SocketAddr);
        let fields: Fields = ciborium::from_reader(&mut rest).context(DecodeSnafu)?;
        let (name, zone, incarnation, version, state, peer, gossip) = fields;
        let state = state_of(state)?;
        records.push(Record {
            member: Member {
                name,
                zone,
                incarnation,
                peer,
                gossip,
                state,
            },
            version,
        });
    }
    let state = state_of(state)?;
    Ok(Frame {
        from,
        incarnation,
        version,
        state,
        seq,
        revision,
        body,
        zones,
        digests,
        records,
    })
}

fn state_code(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}

fn state_of(code: u8) -> Result<MemberState, DatagramError> {
    match code {
        0 => Ok(MemberState::Alive),
        1 => Ok(MemberState::Suspect),
        2 => Ok(MemberState::Leaving),
        3 => Ok(MemberState::Dead),
        _ => StateSnafu { code }.fail(),
    }
}
