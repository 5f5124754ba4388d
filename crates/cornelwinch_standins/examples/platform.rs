//! Runs a platform stand-in until its input closes or it is killed. Prints
//! `ready addr=...`, then `control addr=...`.

use std::error::Error;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use cornelwinch_standins::platform::{PlatformConfig, spawn};
use cornelwinch_standins::spawn_control;

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    address: SocketAddr,
    /// Address of the control listener
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
    /// Reads per second
    #[bpaf(fallback(2000.0))]
    reads_per_s: f64,
    /// Writes per second
    #[bpaf(fallback(300.0))]
    writes_per_s: f64,
    /// Time that each call takes, in milliseconds
    #[bpaf(fallback(1))]
    latency_ms: u64,
    /// Age of the host list, in milliseconds
    #[bpaf(fallback(10_000))]
    host_lag_ms: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options().run();
    let platform = spawn(PlatformConfig {
        address: options.address,
        reads_per_s: options.reads_per_s,
        writes_per_s: options.writes_per_s,
        latency: Duration::from_millis(options.latency_ms),
        host_lag: Duration::from_millis(options.host_lag_ms),
    })?;
    println!("ready addr={}", platform.address());
    let control = spawn_control(options.control, Vec::new(), Some(platform))?;
    println!("control addr={}", control.address());
    // The parent closes the input, or dies, to end the process.
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}
