//! Requests that come late in the grace time of a process that stops as planned.

#[path = "../platform/tests/lab/mod.rs"]
mod lab;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "soak/process.rs"]
mod process;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lab::http::{call, exchange, read_message};
use lab::store::Store;
use lab::upstream::{Reply, Upstream, encode_ok, request_id};
use lab::{desired_state, post_request, run_test, upstream_entry, wait_until};
use nix::sys::signal::Signal;
use process::Process;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Grace time of the settings of a process.
const GRACE: Duration = Duration::from_secs(1);

/// Time that an upstream works on a request; the goal of the routes is 400 ms.
const WORK: Duration = Duration::from_millis(150);

const INTERVAL: Duration = Duration::from_millis(10);

async fn deployment(folder: &std::path::Path) -> (Store, Upstream, Process) {
    let store = Store::start().await;
    let upstream = Upstream::start(|r| Reply::SendAfter(WORK, encode_ok(r, &[1; 16]))).await;
    store.put("config", "main", desired_state(1, &["a"]));
    store.put("servers", "i-s", upstream_entry("sheets", &upstream, "z1"));
    std::fs::create_dir_all(folder).unwrap();
    let process = Process::start(folder, 1, store.addr);
    wait_until("ready", async || {
        let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        TcpStream::connect(process.readiness).await.is_ok()
            && call(process.readiness, request).await.status == 200
    })
    .await;
    (store, upstream, process)
}

/// Sends a request and returns the status, or `None` if the connection ended without an answer.
async fn send(addr: SocketAddr, open: Option<TcpStream>, id: &str) -> Option<u16> {
    let mut stream = match open {
        Some(stream) => stream,
        None => TcpStream::connect(addr).await.ok()?,
    };
    let request = post_request("/order/", id, "x");
    Some(exchange(&mut stream, request.as_bytes()).await?.status)
}

/// Guards against requests that may not be repeated and are passed on late in the grace time, then
/// cut when the process ends.
#[test]
fn late_orders_are_answered_or_refused() {
    run_test(async || {
        let folder = std::env::temp_dir().join(format!("cornelwinch-late-{}", std::process::id()));
        let (_store, upstream, process) = deployment(&folder).await;
        // Half of the requests come on connections that were open before the stop.
        let mut open = Vec::new();
        let count = (GRACE.as_millis() / INTERVAL.as_millis()) as usize;
        for _ in 0..count / 2 {
            open.push(TcpStream::connect(process.caller).await.unwrap());
        }
        process.signal(Signal::SIGTERM);
        let start = Instant::now();
        let mut sent = Vec::new();
        while start.elapsed() < GRACE {
            let id = format!("id-{}", sent.len());
            let stream = if sent.len() % 2 == 0 {
                open.pop()
            } else {
                None
            };
            let addr = process.caller;
            sent.push(tokio::task::spawn_local(async move {
                let status = send(addr, stream, &id).await;
                (id, status)
            }));
            sleep(INTERVAL).await;
        }
        let mut wrong = Vec::new();
        let mut served = 0;
        for task in sent {
            let (id, status) = task.await.unwrap();
            let has_run = upstream.seen.borrow().iter().any(|r| request_id(r) == id);
            served += usize::from(status == Some(200));
            // A connection that ends without an answer says nothing, so the request has not been
            // passed on.
            let is_right = match status {
                Some(200) => has_run,
                Some(503) | None => !has_run,
                Some(_) => false,
            };
            if !is_right {
                wrong.push((id, status, has_run));
            }
        }
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(wrong.is_empty(), "{wrong:?}");
        assert!(served > 0, "no request was served in the grace time");
    });
}

/// Guards against a request that is passed on just before the end of the grace time because its
/// head came early, but its body late.
#[test]
fn order_with_a_late_body_is_refused() {
    run_test(async || {
        let folder = std::env::temp_dir().join(format!("cornelwinch-body-{}", std::process::id()));
        let (_store, upstream, process) = deployment(&folder).await;
        let mut stream = TcpStream::connect(process.caller).await.unwrap();
        let request = post_request("/order/", "id-late", "xyz");
        let (first, rest) = request.as_bytes().split_at(request.len() - 1);
        stream.write_all(first).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        process.signal(Signal::SIGTERM);
        sleep(GRACE.mul_f64(0.8)).await;
        stream.write_all(rest).await.unwrap();
        let answer = read_message(&mut stream).await.expect("an answer");
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(answer.first_line.contains(" 503 "), "{}", answer.first_line);
        assert!(answer.header("retry-after").is_some());
        assert_eq!(upstream.request_count(), 0, "passed on");
    });
}

/// Guards against an unclear answer to a request whose body has not come when the grace time ends:
/// nothing of it has been passed on.
#[test]
fn order_without_its_body_is_refused() {
    run_test(async || {
        let folder = std::env::temp_dir().join(format!("cornelwinch-cut-{}", std::process::id()));
        let (_store, upstream, process) = deployment(&folder).await;
        let mut stream = TcpStream::connect(process.caller).await.unwrap();
        let request = post_request("/order/", "id-cut", "xyz");
        let first = &request.as_bytes()[..request.len() - 1];
        stream.write_all(first).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        process.signal(Signal::SIGTERM);
        let answer = read_message(&mut stream).await.expect("an answer");
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(answer.first_line.contains(" 503 "), "{}", answer.first_line);
        assert_eq!(upstream.request_count(), 0, "passed on");
    });
}
