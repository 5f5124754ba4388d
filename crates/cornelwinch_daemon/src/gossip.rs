use std::fmt;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

use cornelwinch_peer::{Traffic, TrafficCounts};
use snafu::ResultExt;

use crate::DaemonError;
use crate::error::{BindSnafu, ThreadSnafu};

/// Largest datagram that is read; members send fewer than 1,200 bytes.
const READ_BYTES: usize = 2_048;

/// Running socket for membership datagrams.
pub(crate) struct Gossip {
    socket: UdpSocket,
    counts: Arc<TrafficCounts>,
}

impl fmt::Debug for Gossip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gossip").finish_non_exhaustive()
    }
}

impl Gossip {
    /// Binds the socket and starts a thread that hands datagrams to `handler`
    /// until it returns false.
    pub(crate) fn bind(
        addr: SocketAddr,
        handler: impl Fn(SocketAddr, Vec<u8>) -> bool + Send + 'static,
    ) -> Result<Self, DaemonError> {
        let step = "bind_gossip";
        let socket = UdpSocket::bind(addr).context(BindSnafu { step, addr })?;
        let reader = socket.try_clone().context(BindSnafu { step, addr })?;
        let counts = Arc::new(TrafficCounts::default());
        let reader_counts = counts.clone();
        thread::Builder::new()
            .name("gossip".into())
            .spawn(move || read_datagrams(&reader, &reader_counts, &handler))
            .context(ThreadSnafu { name: "gossip" })?;
        Ok(Self { socket, counts })
    }

    /// Sends a datagram; a lost one is made up for by the protocol.
    pub(crate) fn send(&self, to: SocketAddr, buf: &[u8]) {
        self.counts.add_sent(buf.len());
        if let Err(error) = self.socket.send_to(buf, to) {
            log::debug!("event=datagram_send_failed peer={to} error=\"{error}\"");
        }
    }

    /// Bytes sent and received since the start.
    pub(crate) fn traffic(&self) -> Traffic {
        self.counts.read()
    }

    /// Address of the socket.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

fn read_datagrams(
    socket: &UdpSocket,
    counts: &TrafficCounts,
    handler: &impl Fn(SocketAddr, Vec<u8>) -> bool,
) {
    let mut buf = [0; READ_BYTES];
    loop {
        match socket.recv_from(&mut buf) {
            Ok((len, from)) => {
                counts.add_received(len);
                if !handler(from, buf[..len].to_vec()) {
                    return;
                }
            }
            // An earlier datagram met a closed port; the socket still works.
            Err(error) => log::debug!("event=datagram_read_failed error=\"{error}\""),
        }
    }
}
