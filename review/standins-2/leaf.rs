//! Stand-in of a leaf. It runs requests, echoes their ids and registers itself in the store.

use std::collections::VecDeque;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, read_request, write_answer};
use crate::record::Record;
use crate::store::Store;

/// What a leaf is started with.
#[derive(Clone)]
pub struct LeafConfig {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub work: Duration,
    /// Number of requests within a second above which the leaf crashes.
    pub crash_above: Option<usize>,
}

/// A request that the leaf began to run.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub request_id: String,
    pub tenant: Option<String>,
    pub is_finished: bool,
}

/// A running leaf.
pub struct Leaf {
    pub config: LeafConfig,
    pub addr: SocketAddr,
    born_ms: u128,
    busy: AtomicUsize,
    is_gone: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    recent: Mutex<VecDeque<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Leaf {
    pub fn start(config: LeafConfig, listener: TcpListener, record: Arc<Record>) -> Arc<Self> {
        let addr = listener.local_addr().expect("bound");
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH);
        let leaf = Arc::new(Self {
            config,
            addr,
            born_ms: born_ms.expect("after 1970").as_millis(),
            busy: AtomicUsize::new(0),
            is_gone: AtomicBool::new(false),
            arrivals: Mutex::default(),
            recent: Mutex::default(),
            streams: Mutex::default(),
            record,
        });
        listener.set_nonblocking(true).expect("a socket option");
        let accepting = leaf.clone();
        thread::spawn(move || {
            while !accepting.is_gone.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let leaf = accepting.clone();
                        thread::spawn(move || leaf.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        leaf
    }

    /// Writes the entry of the leaf into the store.
    pub fn register(&self, store: &Store, state: &str, cold_left_ms: u64) {
        let config = &self.config;
        let spec = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":{cold_left_ms},\"born\":{},\"seq\":1}}",
            config.service, self.addr, config.zone, config.slots, self.born_ms
        );
        store.put("servers", config.id, &spec);
        self.record.line(&format!(
            "leaf={} registered state={state} cold_left_ms={cold_left_ms}",
            config.id
        ));
    }

    /// Ends the process of the leaf: its socket refuses connections and open ones are cut.
    pub fn end(&self, reason: &str) {
        if self.is_gone.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record
            .line(&format!("leaf={} ended reason={reason}", self.config.id));
        for stream in self.streams.lock().expect("not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.streams.lock().expect("not poisoned").push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.is_gone.load(Ordering::SeqCst) {
                break;
            }
            let Some(answer) = self.answer(&request) else {
                break;
            };
            if write_answer(&mut writer, &answer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Request) -> Option<Answer> {
        if request.path() == "/health" {
            return Some(Answer::new(200, "").with("Instance-Id", self.config.id));
        }
        let Some(request_id) = request.header("Request-Id") else {
            return Some(Answer::new(400, "").with("Not-Executed", 1));
        };
        let target = request.header("Target-Instance");
        if target.is_some_and(|target| target != self.config.id) {
            return Some(Answer::new(421, "").with("Instance-Id", self.config.id));
        }
        if self.busy.fetch_add(1, Ordering::SeqCst) >= self.config.slots {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            let refusal = Answer::new(503, "").with("Not-Executed", 1);
            return Some(refusal.with("Request-Id", request_id));
        }
        let index = self.begin(request, request_id);
        thread::sleep(self.config.work);
        self.busy.fetch_sub(1, Ordering::SeqCst);
        if self.is_gone.load(Ordering::SeqCst) {
            return None;
        }
        self.arrivals.lock().expect("not poisoned")[index].is_finished = true;
        let body = format!("{} ran {request_id}", self.config.id);
        let answer = Answer::new(200, body).with("Request-Id", request_id);
        Some(answer.with("Server-Stamp", format!("{}.{request_id}", self.config.id)))
    }

    /// Records that a request begins to run, and crashes if too many came within a second.
    fn begin(&self, request: &Request, request_id: &str) -> usize {
        let now = Instant::now();
        self.record
            .line(&format!("leaf={} runs id={request_id}", self.config.id));
        let mut arrivals = self.arrivals.lock().expect("not poisoned");
        arrivals.push(Arrival {
            at: now,
            request_id: request_id.to_owned(),
            tenant: request.header("Tenant").map(str::to_owned),
            is_finished: false,
        });
        let index = arrivals.len() - 1;
        drop(arrivals);
        if let Some(limit) = self.config.crash_above {
            let mut recent = self.recent.lock().expect("not poisoned");
            recent.push_back(now);
            while recent
                .front()
                .is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1))
            {
                recent.pop_front();
            }
            if recent.len() > limit {
                self.end("too many requests while cold");
            }
        }
        index
    }
}
