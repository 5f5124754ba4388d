//! Randomized soak: hosts as processes, with a store, leaves and callers beside
//! them, under signals and faults that overlap.
//!
//! `CORNELWINCH_SOAK_SEEDS=FIRST..END cargo test --test fault_soak` plays these
//! seeds.

#[path = "../platform/tests/lab/mod.rs"]
mod lab;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lab::http::{Message, Response, exchange};
use lab::leaf::{Act, Leaf, answer, good, id, refusal};
use lab::store::{Mode, Store};
use lab::{desired, entry, free_addr, get, post, run, until};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Seeds of the run in CI.
const CI_SEEDS: std::ops::Range<u64> = 0..2;

/// Seeds that failed once, with the cause; each is played in every run.
const REGRESSIONS: [u64; 0] = [];

const HOSTS: usize = 3;
const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];
const SERVICES: [&str; 5] = ["s0", "s1", "s2", "s3", "sheets"];
const REPLICAS: usize = 3;
const CALLERS: usize = 6;
const LENGTH: Duration = Duration::from_secs(6);

/// Longest time that a caller may be kept waiting: its time budget and slack for
/// a machine that is busy.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

struct Process {
    child: Child,
    file: std::path::PathBuf,
    caller: SocketAddr,
    readiness: SocketAddr,
}

impl Process {
    fn start(file: std::path::PathBuf, caller: SocketAddr, readiness: SocketAddr) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_cornelwinchd"))
            .arg("--relay")
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            file,
            caller,
            readiness,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(pid), signal).unwrap();
    }

    fn restart(&mut self) {
        self.child.wait().unwrap();
        *self = Self::start(self.file.clone(), self.caller, self.readiness);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What leaves and callers have seen.
#[derive(Default)]
struct Record {
    /// Identities of requests that must not repeat and ran.
    orders: Vec<String>,
    violations: Vec<String>,
    served: usize,
    answered: usize,
}

type Seen = Rc<RefCell<Record>>;

fn is_order(request: &Message) -> bool {
    request.first_line.starts_with("POST")
}

/// Answers as a leaf that is sound or, by chance, faulty.
fn serve(
    seen: &Seen,
    rng: &mut fastrand::Rng,
    faults: &Rc<RefCell<f64>>,
    me: &str,
    request: &Message,
) -> Act {
    if request.header("target-instance") != Some(me) {
        return Act::Send(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n".to_vec());
    }
    let is_faulty = rng.f64() < *faults.borrow();
    let fault = if is_faulty { rng.usize(0..6) } else { 9 };
    if fault == 0 {
        return Act::Send(refusal());
    }
    if is_order(request) {
        seen.borrow_mut().orders.push(id(request).to_owned());
    }
    let body = [me.as_bytes()[3]; 16];
    match fault {
        1 => Act::SendAndClose(Vec::new()),
        2 => Act::Send(answer(request, 200, "id-other", &[b'z'; 16])),
        3 => Act::Late(
            Duration::from_millis(rng.u64(100..900)),
            good(request, &body),
        ),
        4 => {
            let mut bytes = good(request, &body);
            bytes.pop();
            Act::SendAndClose(bytes)
        }
        5 => Act::Send(
            [
                good(request, &body),
                answer(request, 200, "id-extra", &[b'z'; 16]),
            ]
            .concat(),
        ),
        _ => Act::Send(good(request, &body)),
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
            let header = response.message.all("part-stamps").join(",");
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

async fn call_for(seen: Seen, hosts: Vec<SocketAddr>, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut open: Option<TcpStream> = None;
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        let id = format!("{seed:x}-{n}");
        let request = match rng.usize(0..3) {
            0 => post("/order/x", &id, "two pallets"),
            1 => get("/sheet/x", &id),
            _ => get("/list/x", &id),
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
        }
        sleep(Duration::from_millis(rng.u64(1..25))).await;
    }
}

async fn disturb(
    store: &Store,
    processes: &mut [Process],
    faults: &Rc<RefCell<f64>>,
    rng: &mut fastrand::Rng,
    version: &mut u64,
) {
    let victim = rng.usize(0..processes.len());
    let pause = Duration::from_millis(rng.u64(100..900));
    match rng.usize(0..9) {
        0 => {
            processes[victim].signal(Signal::SIGKILL);
            processes[victim].restart();
        }
        1 => {
            processes[victim].signal(Signal::SIGTERM);
            processes[victim].signal(Signal::SIGTERM);
        }
        2 => {
            processes[victim].signal(Signal::SIGSTOP);
            sleep(pause).await;
            processes[victim].signal(Signal::SIGCONT);
        }
        3 => processes[victim].signal(Signal::SIGHUP),
        4 => store.mode.set(Mode::Down),
        5 => store.mode.set(Mode::Silent),
        6 => store.mode.set(Mode::Up),
        7 => *faults.borrow_mut() = rng.f64() * 0.4,
        _ => {
            *version += 1;
            store.put("config", "main", desired(*version, &SHARDS));
        }
    }
    for process in processes {
        if process.child.try_wait().unwrap().is_some() {
            process.restart();
        }
    }
    sleep(pause / 2).await;
}

fn settings(store: &Store, n: usize, caller: SocketAddr, readiness: SocketAddr) -> String {
    format!(
        r#"{{"host": "h{n}", "zone": "z{n}", "caller": "{caller}", "readiness": "{readiness}",
        "metrics": "{}", "peer": "{}", "store": "{}", "log": "warn",
        "bounds": {{"stable_ms": 4000, "grace_s": 1, "repeat_ratio": 0.2, "repeat_window_s": 10,
            "repeat_slack": 56, "cold_overshoot": 1.5, "cold_slack": 5}}}}"#,
        free_addr(),
        free_addr(),
        store.addr
    )
}

async fn ready(readiness: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(readiness).await else {
        return false;
    };
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    exchange(&mut stream, request)
        .await
        .is_some_and(|response| response.status == 200)
}

async fn play(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let seen = Seen::default();
    let store = Store::start().await;
    let faults = Rc::new(RefCell::new(0.1));
    let mut leaves = Vec::new();
    for (s, service) in SERVICES.iter().enumerate() {
        for replica in 0..REPLICAS {
            let me = format!("i-s{s}-{replica}");
            let (seen, faults) = (seen.clone(), faults.clone());
            let mut leaf_rng = rng.fork();
            let name = me.clone();
            let leaf = Leaf::start(move |r| serve(&seen, &mut leaf_rng, &faults, &name, r)).await;
            let zone = format!("z{replica}");
            store.put("servers", &me, entry(service, &leaf, &zone));
            leaves.push(leaf);
        }
    }
    let mut version = 1;
    store.put("config", "main", desired(version, &SHARDS));
    let dir = std::env::temp_dir().join(format!("cornelwinch-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let mut processes: Vec<Process> = (0..HOSTS)
        .map(|n| {
            let (caller, readiness) = (free_addr(), free_addr());
            let file = dir.join(format!("h{n}.jsonc"));
            std::fs::write(&file, settings(&store, n, caller, readiness)).unwrap();
            Process::start(file, caller, readiness)
        })
        .collect();
    for process in &processes {
        let readiness = process.readiness;
        until("ready", async || ready(readiness).await).await;
    }
    let end = Instant::now() + LENGTH;
    let hosts: Vec<SocketAddr> = processes.iter().map(|p| p.caller).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let work = call_for(seen.clone(), hosts.clone(), rng.u64(..), end);
            tokio::task::spawn_local(work)
        })
        .collect();
    while Instant::now() < end {
        disturb(&store, &mut processes, &faults, &mut rng, &mut version).await;
    }
    for caller in callers {
        caller.await.unwrap();
    }
    store.mode.set(Mode::Up);
    *faults.borrow_mut() = 0.0;
    for process in &mut processes {
        if process.child.try_wait().unwrap().is_some() {
            process.restart();
        }
    }
    // Everything is served again after the last fault.
    let after = seen.borrow().served;
    let recovery = Instant::now() + Duration::from_secs(30);
    while seen.borrow().served < after + 30 && Instant::now() < recovery {
        for process in &mut processes {
            if process.child.try_wait().unwrap().is_some() {
                process.restart();
            }
        }
        let second = Instant::now() + Duration::from_millis(500);
        call_for(seen.clone(), hosts.clone(), rng.u64(..), second).await;
    }
    drop(processes);
    std::fs::remove_dir_all(&dir).unwrap();
    let mut record = seen.borrow_mut();
    record.orders.sort();
    let count = record.orders.len();
    record.orders.dedup();
    assert_eq!(
        record.orders.len(),
        count,
        "seed {seed}: a request ran twice"
    );
    assert!(
        record.violations.is_empty(),
        "seed {seed}: {:#?}",
        record.violations
    );
    assert!(
        record.served >= after + 30,
        "seed {seed}: not served after the faults"
    );
    println!(
        "seed {seed}: {} of {} answers served",
        record.served, record.answered
    );
}

/// Guards against broken promises that only show when faults overlap: mixed or
/// incomplete answers, a request that runs twice, a false "not run", and a tier
/// that does not find back.
#[test]
fn promises_hold_under_overlapping_faults() {
    let seeds = match std::env::var("CORNELWINCH_SOAK_SEEDS") {
        Ok(range) => {
            let (first, end) = range.split_once("..").expect("FIRST..END");
            first.parse().unwrap()..end.parse().unwrap()
        }
        Err(_) => CI_SEEDS,
    };
    for seed in REGRESSIONS.into_iter().chain(seeds) {
        run(async || play(seed).await);
    }
}
