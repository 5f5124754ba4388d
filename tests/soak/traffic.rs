//! Leaves that answer well or badly, callers, and the checks of what both see.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::SHARDS;
use crate::lab::http::{Message, Response, exchange};
use crate::lab::upstream::{Reply, encode_ok, encode_response, refusal, request_id};
use crate::lab::{get_request, post_request};

/// Longest time that a caller may be kept waiting: its time budget and slack for
/// a machine that is busy.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// What leaves and callers have seen.
#[derive(Default)]
pub(crate) struct Record {
    /// Identities of requests that must not repeat and ran.
    pub(crate) orders: Vec<String>,
    pub(crate) violations: Vec<String>,
    pub(crate) served: usize,
    pub(crate) answered: usize,
    /// Requests whose connection ended or that got no answer in time.
    pub(crate) unanswered: usize,
}

pub(crate) type Seen = Rc<RefCell<Record>>;

fn is_order(request: &Message) -> bool {
    request.first_line.starts_with("POST")
}

/// Answers as a leaf that is sound or, by chance, faulty.
pub(crate) fn serve(
    seen: &Seen,
    rng: &mut fastrand::Rng,
    faults: &Cell<f64>,
    me: &str,
    request: &Message,
) -> Reply {
    if request.header("target-instance") != Some(me) {
        return Reply::Send(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n".to_vec());
    }
    let is_faulty = rng.f64() < faults.get();
    let fault = if is_faulty { rng.usize(0..6) } else { 9 };
    if fault == 0 {
        return Reply::Send(refusal());
    }
    if is_order(request) {
        seen.borrow_mut()
            .orders
            .push(request_id(request).to_owned());
    }
    let body = [me.as_bytes()[3]; 16];
    match fault {
        1 => Reply::SendAndClose(Vec::new()),
        2 => Reply::Send(encode_response(request, 200, "id-other", &[b'z'; 16])),
        3 => Reply::SendAfter(
            Duration::from_millis(rng.u64(100..900)),
            encode_ok(request, &body),
        ),
        4 => {
            let mut bytes = encode_ok(request, &body);
            bytes.pop();
            Reply::SendAndClose(bytes)
        }
        5 => Reply::Send(
            [
                encode_ok(request, &body),
                encode_response(request, 200, "id-extra", &[b'z'; 16]),
            ]
            .concat(),
        ),
        _ => Reply::Send(encode_ok(request, &body)),
    }
}

/// Checks one answer against what the caller asked and the leaves ran.
fn check(seen: &Seen, request: &str, id: &str, response: &Response) {
    let mut record = seen.borrow_mut();
    let mut fail = |what: &str| {
        let line = format!("{what}: {request:?} got {response:?}");
        record.violations.push(line);
    };
    if response.status == 200 {
        let target_of = |stamp: &str| stamp.strip_suffix(&format!(".{id}")).map(str::to_owned);
        if request.starts_with("GET /list/") {
            let header = response.message.header_values("part-stamps").join(",");
            let mut shards: Vec<char> = Vec::new();
            for stamp in header.split(',').map(str::trim) {
                match target_of(stamp) {
                    Some(target) => shards.push(target.chars().nth(3).unwrap()),
                    None => fail("stamp of another request"),
                }
            }
            let count = shards.len();
            shards.sort_unstable_by(|a, b| b.cmp(a));
            shards.dedup();
            let missing: usize = response
                .message
                .header("missing-parts")
                .map_or(0, |n| n.parse().unwrap());
            if shards.len() != count || count + missing != SHARDS.len() || count < 2 {
                fail("coverage");
            }
            let top = shards.iter().take(3);
            let expected: Vec<u8> = top.flat_map(|c| [*c as u8; 16]).collect();
            if response.body != expected {
                fail("records");
            }
        } else {
            let stamp = response.message.header("server-stamp").unwrap_or("");
            if target_of(stamp).is_none() || response.body.len() != 16 {
                fail("answer of another request");
            }
        }
    }
    let is_refusal = matches!(response.status, 408 | 421 | 429 | 503);
    if is_refusal && record.orders.iter().any(|order| order == id) {
        let line = format!("refusal of a request that ran: {request:?}");
        record.violations.push(line);
    }
    record.answered += 1;
    record.served += usize::from(response.status == 200);
}

/// Sends requests until `end` and checks each answer.
pub(crate) async fn call_for(seen: Seen, hosts: Vec<SocketAddr>, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut open: Option<TcpStream> = None;
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        let id = format!("{seed:x}-{n}");
        let request = match rng.usize(0..3) {
            0 => post_request("/order/x", &id, "two pallets"),
            1 => get_request("/sheet/x", &id),
            _ => get_request("/list/x", &id),
        };
        let mut stream = match open.take() {
            Some(stream) => stream,
            None => {
                let host = hosts[rng.usize(0..hosts.len())];
                match TcpStream::connect(host).await {
                    Ok(stream) => stream,
                    Err(_) => continue,
                }
            }
        };
        // A paused or killed process answers late or not at all.
        let answer = timeout(ANSWER_LIMIT, exchange(&mut stream, request.as_bytes())).await;
        if let Ok(Some(response)) = answer {
            check(&seen, &request, &id, &response);
            let closes = response.message.header("connection") == Some("close");
            if !closes && rng.f64() < 0.8 {
                open = Some(stream);
            }
        } else {
            seen.borrow_mut().unanswered += 1;
        }
        sleep(Duration::from_millis(rng.u64(1..25))).await;
    }
}
