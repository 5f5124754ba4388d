//! Runs upstream stand-ins on consecutive ports until its input closes or it
//! is killed. Prints `ready addr=...` for each, then `control addr=...`.

use std::error::Error;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use cornelwinch_standins::spawn_control;
use cornelwinch_standins::upstream::{ColdStart, HeldSnapshot, ServiceTime, UpstreamConfig, spawn};
use cornelwinch_types::SnapshotId;

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// First address; further upstreams take the ports after it
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    address: SocketAddr,
    /// Address of the control listener
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
    /// Number of upstreams
    #[bpaf(fallback(1))]
    count: u16,
    /// Names are this prefix and a number from 0
    #[bpaf(fallback(String::from("u")))]
    prefix: String,
    /// Search and snapshot held, such as portal:7; may be repeated
    #[bpaf(long("hold"), argument("SEARCH:SNAPSHOT"), many)]
    holds: Vec<String>,
    /// Legs at once
    #[bpaf(fallback(3))]
    slots: u32,
    /// Connections at once
    #[bpaf(fallback(30))]
    connections: usize,
    /// Time added to the first request of a connection, in milliseconds
    #[bpaf(fallback(6))]
    connection_delay_ms: u64,
    /// Median service time, in microseconds
    #[bpaf(fallback(2000))]
    median_us: u64,
    /// Standard deviation of the logarithm of the service time
    #[bpaf(fallback(0.3))]
    sigma: f64,
    /// Share of stragglers
    #[bpaf(fallback(0.0))]
    straggler_share: f64,
    /// Factor on the service time of a straggler
    #[bpaf(fallback(10.0))]
    straggler_factor: f64,
    /// Legs at once in a cold start
    #[bpaf(fallback(1))]
    cold_limit: u32,
    /// Legs until an upstream is warm
    #[bpaf(fallback(50))]
    cold_legs: u32,
    /// Start cold
    cold: bool,
    /// Seed of the first upstream; the others count up from it
    #[bpaf(fallback(1))]
    seed: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options().run();
    let mut snapshots = Vec::new();
    for hold in &options.holds {
        let (search, id) = hold.split_once(':').ok_or("--hold needs SEARCH:SNAPSHOT")?;
        snapshots.push(HeldSnapshot {
            search: search.into(),
            snapshot: SnapshotId(id.parse()?),
            ranges: Vec::new(),
        });
    }
    let mut upstreams = Vec::new();
    for i in 0..options.count {
        let mut address = options.address;
        if address.port() != 0 {
            address.set_port(address.port() + i);
        }
        let upstream = spawn(UpstreamConfig {
            name: format!("{}{i}", options.prefix).into(),
            address,
            slots: options.slots,
            connections: options.connections,
            connection_delay: Duration::from_millis(options.connection_delay_ms),
            snapshots: snapshots.clone(),
            service: ServiceTime {
                median: Duration::from_micros(options.median_us),
                sigma: options.sigma,
                straggler_share: options.straggler_share,
                straggler_factor: options.straggler_factor,
            },
            cold: ColdStart {
                from_start: options.cold,
                limit: options.cold_limit,
                legs: options.cold_legs,
                ..ColdStart::default()
            },
            seed: options.seed + u64::from(i),
        })?;
        println!("ready addr={}", upstream.address());
        upstreams.push(upstream);
    }
    let control = spawn_control(options.control, upstreams, None)?;
    println!("control addr={}", control.address());
    // The parent closes the input, or dies, to end the process.
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}
