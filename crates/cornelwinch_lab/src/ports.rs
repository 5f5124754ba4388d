use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::LabError;

/// First port and number of ports tried. They lie below the ports that the
/// kernel gives to outgoing connections: one of those may be taken between the
/// choice of a port here and the start of the host that listens on it.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 20_000;

/// Distance of the first ports of two processes, so that tests of several
/// processes seldom try the same ones.
const PROCESS_STEP: u32 = 997;

static TRIED: AtomicU32 = AtomicU32::new(0);

/// Finds free loopback ports, for TCP and for UDP. None is given twice by one
/// process.
///
/// # Errors
///
/// Fails if too few ports are free.
///
/// ```
/// let addrs = cornelwinch_lab::free_addrs(2)?;
/// assert_ne!(addrs[0], addrs[1]);
/// # Ok::<(), cornelwinch_lab::LabError>(())
/// ```
pub fn free_addrs(count: usize) -> Result<Vec<SocketAddr>, LabError> {
    let mut found = Vec::with_capacity(count);
    for _ in 0..PORTS {
        if found.len() == count {
            return Ok(found);
        }
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = (process::id().wrapping_mul(PROCESS_STEP)).wrapping_add(tried) % PORTS;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            found.push(addr);
        }
    }
    Err(LabError::Port {
        source: io::ErrorKind::AddrInUse.into(),
    })
}
