//! Stand-in of a leaf: it registers in the store, runs requests that name it, and answers as its
//! behaviour says.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head, message};
use crate::record::Record;
use crate::store::Store;

/// What a leaf does with a request that it has run.
pub enum Act {
    /// Answers with this status and body.
    Answer(u16, Vec<u8>),
    /// The request crashes the leaf before it answers.
    Crash,
    /// The request crashes the leaf when it has sent the first bytes of its answer.
    CrashMidAnswer,
}

/// Decides on a request from its head and the age of the lifetime.
pub type Behaviour = dyn Fn(&Head, Duration) -> Act + Send + Sync;

/// Time after a crash at which a leaf is back.
const DOWN_TIME: Duration = Duration::from_millis(2_500);

/// Time of silence after which the store removes an entry: three check-in intervals of 1,200 ms.
const EXPIRY: Duration = Duration::from_millis(3_600);

static LAST_RUN: AtomicU64 = AtomicU64::new(0);

/// A place at which leafs of a service run, one lifetime after the other.
pub struct Leaf {
    service: String,
    zone: String,
    /// Time for which a lifetime is cold.
    cold: Duration,
    store: Arc<Store>,
    record: Arc<Record>,
    behaviour: Arc<Behaviour>,
}

impl Leaf {
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        service: &str,
        zone: &str,
        cold: Duration,
        behaviour: Arc<Behaviour>,
    ) {
        let leaf = Arc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            cold,
            store: store.clone(),
            record: record.clone(),
            behaviour,
        });
        leaf.start_lifetime();
    }

    /// Starts a lifetime under a new id.
    fn start_lifetime(self: Arc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let id = format!("i-{:04}", LAST_RUN.fetch_add(1, Ordering::Relaxed) + 1);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let (service, zone) = (self.service.clone(), self.zone.clone());
        let spec = move |cold: Duration, seq: u32| {
            format!(
                r#"{{"service":"{service}","addr":"{addr}","zone":"{zone}","version":"v1","slots":4,"state":"ready","cold_left_ms":{},"seq":{seq},"born":{born}}}"#,
                cold.as_millis()
            )
        };
        self.store.put("servers", &id, &spec(self.cold, 1));
        self.record.line(&format!(
            "register leaf={id} service={} cold_ms={}",
            self.service,
            self.cold.as_millis()
        ));
        if !self.cold.is_zero() {
            let (place, id) = (self.clone(), id.clone());
            std::thread::spawn(move || {
                std::thread::sleep(place.cold);
                place.store.put("servers", &id, &spec(Duration::ZERO, 2));
            });
        }
        let life = Arc::new(Lifetime {
            place: self,
            id,
            addr,
            born: Instant::now(),
            ended: AtomicBool::new(false),
            conns: Mutex::new(Vec::new()),
        });
        std::thread::spawn(move || life.accept(&listener));
    }
}

struct Lifetime {
    place: Arc<Leaf>,
    id: String,
    addr: SocketAddr,
    born: Instant,
    ended: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
}

impl Lifetime {
    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.conns.lock().unwrap().push(copy);
            }
            let life = self.clone();
            std::thread::spawn(move || life.serve(stream));
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(_body) = conn.read_body(&head) else {
                return;
            };
            let id = head.get("request-id").unwrap_or("-").to_owned();
            if head.get("target-instance") != Some(&self.id) {
                let headers = [("Instance-Id", self.id.as_str())];
                if conn
                    .send(&message("HTTP/1.1 421 X", &headers, b""))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let (method, path) = (head.word(0), head.word(1));
            self.place
                .record
                .line(&format!("run leaf={} id={id} {method} {path}", self.id));
            match (self.place.behaviour)(&head, self.born.elapsed()) {
                Act::Answer(status, body) => {
                    let stamp = format!("stamp.{}.{id}", self.id);
                    let headers = [
                        ("Request-Id", id.as_str()),
                        ("Server-Stamp", stamp.as_str()),
                    ];
                    let start = format!("HTTP/1.1 {status} X");
                    if conn.send(&message(&start, &headers, &body)).is_err() {
                        return;
                    }
                }
                Act::Crash => return self.crash(),
                Act::CrashMidAnswer => {
                    let stamp = format!("stamp.{}.{id}", self.id);
                    let begun = format!(
                        "HTTP/1.1 200 X\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nContent-Length: 1000\r\n\r\nthe first bytes"
                    );
                    let _ = conn.send(begun.as_bytes());
                    std::thread::sleep(Duration::from_millis(20));
                    return self.crash();
                }
            }
        }
    }

    /// Ends all connections and the lifetime; the next one starts some seconds later.
    fn crash(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.place.record.line(&format!("crash leaf={}", self.id));
        // The waiting `accept` sees the end and drops the listener.
        let _ = TcpStream::connect(self.addr);
        for conn in self.conns.lock().unwrap().drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        let (place, id) = (self.place.clone(), self.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(DOWN_TIME);
            place.clone().start_lifetime();
            std::thread::sleep(EXPIRY - DOWN_TIME);
            place.store.remove("servers", &id);
        });
    }
}
