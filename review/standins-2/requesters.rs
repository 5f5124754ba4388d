//! Requesters: each sends requests at a steady rate, each on a new connection, whatever the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

static LAST_ID: AtomicUsize = AtomicUsize::new(0);

/// What is sent.
#[derive(Clone)]
pub struct Load {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub key: Option<&'static str>,
    pub deadline: Duration,
    pub per_s: f64,
}

/// A request and how it ended.
#[derive(Clone)]
pub struct Sent {
    pub at: Instant,
    pub request_id: String,
    /// Name of the machine that took it.
    pub machine: String,
    /// Status of the answer; `None` if the connection ended without one.
    pub status: Option<u16>,
}

pub struct Requesters {
    is_over: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Requesters {
    pub fn new() -> Self {
        Self {
            is_over: Arc::default(),
            sent: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Starts requesters of one machine.
    pub fn start(&mut self, machine: &str, addr: SocketAddr, load: &Load, record: &Arc<Record>) {
        let (load, record, machine) = (load.clone(), record.clone(), machine.to_owned());
        let (is_over, sent) = (self.is_over.clone(), self.sent.clone());
        self.threads.push(thread::spawn(move || {
            let gap = Duration::from_secs_f64(1.0 / load.per_s);
            let mut next = Instant::now();
            let mut open = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += gap;
                let (load, record, machine) = (load.clone(), record.clone(), machine.clone());
                let sent = sent.clone();
                open.push(thread::spawn(move || {
                    let end = send(&machine, addr, &load, &record);
                    sent.lock().expect("not poisoned").push(end);
                }));
                open.retain(|thread| !thread.is_finished());
            }
            open.into_iter().for_each(|thread| drop(thread.join()));
        }));
    }

    /// Ends the requesters and returns what they sent.
    pub fn finish(self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| drop(t.join()));
        let sent = self.sent.lock().expect("not poisoned");
        sent.clone()
    }
}

fn send(machine: &str, addr: SocketAddr, load: &Load, record: &Record) -> Sent {
    let request_id = format!("q{:06x}", LAST_ID.fetch_add(1, Ordering::SeqCst));
    let deadline = load.deadline.as_millis().to_string();
    let key = load.key.map(|key| format!("Bearer {key}"));
    let mut headers = vec![
        ("Host", load.host),
        ("Request-Id", request_id.as_str()),
        ("Deadline-Ms", deadline.as_str()),
    ];
    if let Some(key) = &key {
        headers.push(("Authorization", key.as_str()));
    }
    let body: &[u8] = if load.method == "POST" { b"order" } else { b"" };
    record.line(&format!(
        "requester sends id={request_id} machine={machine}"
    ));
    let at = Instant::now();
    let path = format!("{}{request_id}", load.path);
    let answer = call(addr, load.method, &path, &headers, body, load.deadline);
    let status = answer.as_ref().ok().map(|answer| answer.status);
    let ms = at.elapsed().as_millis();
    match &answer {
        Ok(answer) => record.line(&format!(
            "requester got id={request_id} status={} ms={ms} body={}",
            answer.status,
            String::from_utf8_lossy(&answer.body)
        )),
        Err(error) => record.line(&format!(
            "requester got id={request_id} no answer: {error} ms={ms}"
        )),
    }
    Sent {
        at,
        request_id,
        machine: machine.to_owned(),
        status,
    }
}
