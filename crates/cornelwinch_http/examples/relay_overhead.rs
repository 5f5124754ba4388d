//! Measures what the relay adds to `tiny_http`: requests per second and
//! latency of a small JSON exchange, with and without the relay.

use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use cornelwinch_http::{HttpLimits, bind};
use hdrhistogram::Histogram;

const ANSWER: &str = r#"{"outcome":"done","hits":[]}"#;
const BODY: &str = r#"{"search":"portal","class":"lookup","deadline_ms":300,"body":"atlas"}"#;
const WORKERS: usize = 2;

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Connections, each with one request at a time
    #[bpaf(fallback(32))]
    connections: usize,
    /// Time for each of the two servers, in seconds
    #[bpaf(fallback(5))]
    seconds: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options().run();
    let tiny =
        tiny_http::Server::http((Ipv4Addr::LOCALHOST, 0)).map_err(|error| error.to_string())?;
    let tiny = Arc::new(tiny);
    let addr = tiny.server_addr().to_ip().ok_or("no IP address")?;
    for _ in 0..WORKERS {
        let tiny = tiny.clone();
        thread::spawn(move || {
            while let Ok(mut request) = tiny.recv() {
                let mut body = String::new();
                let _ = request.as_reader().read_to_string(&mut body);
                let _ = request.respond(tiny_http::Response::from_string(ANSWER));
            }
        });
    }
    measure("tiny_http alone", addr, &options)?;
    let limits = HttpLimits {
        workers: WORKERS,
        ..HttpLimits::default()
    };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = bind(any, limits, |req| req.responder.json(200, ANSWER))?;
    measure("with the relay", server.local_addr(), &options)
}

fn measure(name: &str, addr: SocketAddr, options: &Options) -> Result<(), Box<dyn Error>> {
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let callers: Vec<_> = (0..options.connections)
        .map(|_| thread::spawn(move || exchange(addr, end).unwrap_or_default()))
        .collect();
    let mut latencies = Histogram::<u64>::new(3)?;
    for caller in callers {
        for nanos in caller.join().map_err(|_| "a caller failed")? {
            latencies.record(nanos)?;
        }
    }
    let micros = |quantile| latencies.value_at_quantile(quantile) / 1000;
    println!(
        "{name}: connections={} requests/s={} p50_us={} p99_us={} mean_us={:.0}",
        options.connections,
        latencies.len() / options.seconds,
        micros(0.5),
        micros(0.99),
        latencies.mean() / 1000.0,
    );
    Ok(())
}

/// Sends requests until `end` and returns their latencies in nanoseconds.
fn exchange(addr: SocketAddr, end: Instant) -> Result<Vec<u64>, Box<dyn Error>> {
    let mut stream = BufReader::new(TcpStream::connect(addr)?);
    stream.get_ref().set_nodelay(true)?;
    let request = format!(
        "POST /v1/query HTTP/1.1\r\nContent-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    let (mut latencies, mut line) = (Vec::new(), String::new());
    while Instant::now() < end {
        let sent = Instant::now();
        stream.get_mut().write_all(request.as_bytes())?;
        loop {
            line.clear();
            stream.read_line(&mut line)?;
            if line == "\r\n" {
                break;
            }
        }
        stream.read_exact(&mut [0; ANSWER.len()])?;
        latencies.push(u64::try_from(sent.elapsed().as_nanos())?);
    }
    Ok(latencies)
}
