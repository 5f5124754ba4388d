use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use snafu::ResultExt;

use crate::LabError;
use crate::error::PortSnafu;

/// Finds free loopback ports. All are held until the last is found, so that
/// none is given twice.
pub(crate) fn free_addrs(count: usize) -> Result<Vec<SocketAddr>, LabError> {
    let held: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()
        .context(PortSnafu)?;
    held.iter()
        .map(|listener| listener.local_addr().context(PortSnafu))
        .collect()
}
