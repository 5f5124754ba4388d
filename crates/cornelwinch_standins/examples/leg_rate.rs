//! Measures how many legs a process of upstream stand-ins serves, and how much
//! longer than its service time a leg takes.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use cornelwinch_standins::upstream::{HeldSnapshot, ServiceTime, Upstream, UpstreamConfig, spawn};
use cornelwinch_types::SnapshotId;
use hdrhistogram::Histogram;
use serde_json::json;
use ureq::Agent;

/// Time before the measurement, for opening connections.
const WARM_UP: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Upstreams
    #[bpaf(fallback(90))]
    upstreams: u64,
    /// Callers, each with one leg at a time
    #[bpaf(fallback(90))]
    callers: u64,
    /// Legs per second of each caller; 0 for as many as possible
    #[bpaf(fallback(0))]
    rate: u64,
    /// Service time, in microseconds
    #[bpaf(fallback(2000))]
    service_us: u64,
    /// Time, in seconds
    #[bpaf(fallback(5))]
    seconds: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options().run();
    let mut upstreams = Vec::new();
    for i in 0..options.upstreams {
        upstreams.push(spawn(UpstreamConfig {
            name: format!("u{i}").into(),
            slots: 8,
            snapshots: vec![HeldSnapshot {
                search: "portal".into(),
                snapshot: SnapshotId(7),
                ranges: Vec::new(),
            }],
            service: ServiceTime {
                median: Duration::from_micros(options.service_us),
                sigma: 0.0,
                ..ServiceTime::default()
            },
            ..UpstreamConfig::default()
        })?);
    }
    let start = Instant::now() + WARM_UP;
    let end = start + Duration::from_secs(options.seconds);
    let mut callers = Vec::new();
    for i in 0..options.callers {
        let upstream = usize::try_from(i % options.upstreams)?;
        let addr = upstreams[upstream].address();
        let rate = options.rate;
        callers.push(thread::spawn(move || send_legs(addr, i, rate, start..end)));
    }
    thread::sleep(Duration::from_secs(options.seconds) / 2);
    let threads = fs::read_dir("/proc/self/task").map_or(0, Iterator::count);
    let mut latencies = Histogram::<u64>::new(3)?;
    for caller in callers {
        latencies += caller.join().map_err(|_| "a caller failed")?;
    }
    let shed: u64 = upstreams
        .iter()
        .map(Upstream::counters)
        .map(|c| c.shed)
        .sum();
    println!(
        "upstreams={} callers={} legs/s={} service_us={} p50_us={} p99_us={} max_us={} shed={shed} threads_without_callers={}",
        options.upstreams,
        options.callers,
        latencies.len() / options.seconds,
        options.service_us,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.max(),
        threads as u64 - options.callers,
    );
    Ok(())
}

fn send_legs(addr: SocketAddr, caller: u64, rate: u64, time: Range<Instant>) -> Histogram<u64> {
    let agent = Agent::new_with_defaults();
    let mut latencies = Histogram::new(3).expect("3 digits are valid");
    let uri = format!("http://{addr}/v1/leg");
    let mut rng = fastrand::Rng::with_seed(caller);
    while Instant::now() < time.end {
        let body = json!({
            "attempt": rng.u64(..1 << 48), "search": "portal", "snapshot": 7,
            "range": {"start": 0, "end": 1000}, "body": "8 atlas", "deadline_ms": 1000,
            "idempotent": true
        });
        let sent = Instant::now();
        let answer = agent.post(&uri).send_json(&body);
        let is_read = answer.is_ok_and(|mut answer| answer.body_mut().read_to_vec().is_ok());
        if is_read && time.contains(&sent) {
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            latencies
                .record(micros)
                .expect("the histogram grows as needed");
        }
        if rate > 0 {
            let gap = Duration::from_secs_f64(2.0 * rng.f64() / rate as f64);
            thread::sleep(gap.saturating_sub(sent.elapsed()));
        }
    }
    latencies
}
