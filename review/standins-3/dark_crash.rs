//! BUDGET: a request that crashes leafs is not recognised if the crashed leafs fall silent and are
//! back at their addresses before the request's time has passed.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, call, read_request, write_answer};
use crate::record::Record;
use crate::relay::{Relay, SMALL_SITE, Settings, bind};
use crate::requesters::{Load, Requesters};
use crate::store::Store;
use crate::{Setup, Verdict};

/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const MOST_RETRIES: usize = 3;
/// Time after which a crashed leaf is back: "some seconds".
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time budget of the request, as on the site.
const TIME_BUDGET: Duration = Duration::from_millis(5_000);
/// Time between two retries of the request that crashes leafs, and their number.
const GAP: Duration = Duration::from_secs(7);
const ATTEMPTS: usize = 10;
const WORK: Duration = Duration::from_millis(120);

/// Machines of the site, and its leafs of `atelier-prepresse`.
const MACHINES: [(&str, &str); 5] = [
    ("front-charguia-1", "charguia"),
    ("front-charguia-2", "charguia"),
    ("front-ariana-1", "ariana"),
    ("front-lac-deux-1", "lac-deux"),
    ("front-ben-arous-1", "ben-arous"),
];
const ZONES: [&str; 4] = ["charguia", "ariana", "lac-deux", "ben-arous"];
const LEAFS: usize = 26;

const DESIRED: &str = r#"{"version":7,
"routes":[{"name":"r-sheet","host":"sheets.example","path_prefix":"/sheet/","route_kind":"idempotent","timeout_ms":5000,"latency_goal_ms":500,"priority":2,"service":"atelier-prepresse","attempts":2},
{"name":"r-orders","host":"sheets.example","path_prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":5000,"latency_goal_ms":500,"priority":2,"service":"atelier-prepresse","attempts":1}],
"services":[{"name":"atelier-prepresse","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Crashes of leafs by the request, in the order of time, and the attempts that reached leafs.
#[derive(Default)]
struct Crashes {
    at: Vec<Instant>,
    reached: BTreeMap<String, Instant>,
    lost: usize,
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(bind());
    store.put("config", "main", DESIRED);
    let crashes = Arc::new(Mutex::new(Crashes::default()));
    for number in 0..LEAFS {
        let place = Place {
            number,
            is_silent: setup.has_trouble,
            store: store.clone(),
            record: record.clone(),
            crashes: crashes.clone(),
        };
        thread::spawn(move || place.keep_leaf());
    }
    let relays = MACHINES.map(|(name, zone)| {
        let settings = Settings {
            name,
            zone,
            store: store.addr,
            more_bounds: "",
            times_ms: SMALL_SITE,
        };
        Relay::start(&setup.folder, &settings)
    });
    if !relays.iter().all(|r| r.wait_ready(Duration::from_secs(15))) {
        return Verdict::CouldNotRun("a machine is not ready".to_owned());
    }
    sleep(Duration::from_secs(6));
    let load = Load {
        method: "POST",
        host: "sheets.example",
        path: "/orders/",
        key: None,
        deadline: TIME_BUDGET,
        per_s: 20.0,
    };
    let mut requesters = Requesters::new();
    for relay in &relays {
        requesters.start(&relay.name, relay.caller, &load, record);
    }
    sleep(Duration::from_secs(2));
    record.show("the request that crashes leafs comes again and again, at any machine");
    for attempt in 0..ATTEMPTS {
        let relay = &relays[attempt % relays.len()];
        let id = format!("x{attempt}");
        let at = Instant::now();
        record.line(&format!("requester sends id={id} machine={}", relay.name));
        let headers = [
            ("Host", "sheets.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "5000"),
        ];
        let answer = call(
            relay.caller,
            "GET",
            "/sheet/crash",
            &headers,
            &[],
            TIME_BUDGET,
        );
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("requester got id={id} status={status}"));
        sleep((at + GAP).saturating_duration_since(Instant::now()));
    }
    let sent = requesters.finish();
    drop(relays);
    let crashes = crashes.lock().expect("not poisoned");
    let Some(third) = crashes.at.get(2) else {
        return Verdict::CouldNotRun("the request crashed no three leafs".to_owned());
    };
    let unserved = sent.iter().filter(|s| s.status != Some(200)).count();
    record.show(&format!(
        "crashes of leafs: {}, with {} other requests at work; {unserved} of {} other requests not served",
        crashes.at.len(),
        crashes.lost,
        sent.len()
    ));
    let reached = crashes.reached.values();
    let late = reached.filter(|at| **at > *third + STABLE_WINDOW).count();
    record.show(&format!(
        "retries that reached leafs later than 4 s after the third crash: {late}, bound {MOST_RETRIES}"
    ));
    if late > MOST_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A machine on which a leaf runs, always at the same address.
struct Place {
    number: usize,
    /// A crash is a loss of power: connections stay open and nothing more is sent on them.
    is_silent: bool,
    store: Arc<Store>,
    record: Arc<Record>,
    crashes: Arc<Mutex<Crashes>>,
}

/// One lifetime of a leaf.
struct Lifetime {
    id: String,
    is_over: AtomicBool,
    at_work: AtomicUsize,
}

impl Place {
    fn keep_leaf(self) {
        let place = Arc::new(self);
        let mut listener = bind();
        let addr = listener.local_addr().expect("bound");
        let zone = ZONES[place.number % ZONES.len()];
        for run in 0.. {
            let life = Arc::new(Lifetime {
                id: format!("i-{}-{run}", place.number),
                is_over: AtomicBool::new(false),
                at_work: AtomicUsize::new(0),
            });
            let born = SystemTime::now().duration_since(UNIX_EPOCH);
            let born = born.expect("after 1970").as_millis();
            let cold_ms = if run > 0 { 3_000 } else { 0 };
            let spec = format!(
                "{{\"service\":\"atelier-prepresse\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_left_ms\":{cold_ms},\"born\":{born},\"seq\":1}}"
            );
            place.store.put("servers", &life.id, &spec);
            place.record.line(&format!("leaf={} registered", life.id));
            place.accept(&listener, &life);
            // A machine without power answers nothing; here connections wait in the queue of the
            // listener until the leaf is back. A process that has ended refuses them.
            if !place.is_silent {
                drop(listener);
            } else {
                drop(listener.set_nonblocking(false));
                sleep(BACK_AFTER);
                // An entry goes after three check-in intervals of silence, 2.4 to 3.6 s after the crash.
                place.store.delete("servers", &life.id);
                continue;
            }
            sleep(BACK_AFTER);
            place.store.delete("servers", &life.id);
            listener = loop {
                if let Ok(listener) = TcpListener::bind(addr) {
                    break listener;
                }
                sleep(Duration::from_millis(20));
            };
        }
    }

    /// Accepts connections until the leaf crashes.
    fn accept(self: &Arc<Self>, listener: &TcpListener, life: &Arc<Lifetime>) {
        listener.set_nonblocking(true).expect("a socket option");
        while !life.is_over.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (place, life) = (self.clone(), life.clone());
                    thread::spawn(move || place.serve(stream, &life));
                }
                Err(_) => sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, life: &Lifetime) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let answer = self.answer(&request, life);
            if life.is_over.load(Ordering::SeqCst) {
                if self.is_silent {
                    // The connection stays open for longer than anyone waits.
                    sleep(Duration::from_secs(30));
                }
                return;
            }
            if write_answer(&mut writer, &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, life: &Lifetime) -> Answer {
        let Some(id) = request.header("Request-Id") else {
            return Answer::new(400, "").with("Not-Executed", 1);
        };
        if request.header("Target-Instance") != Some(life.id.as_str()) {
            return Answer::new(421, "").with("Instance-Id", &life.id);
        }
        self.record.line(&format!("leaf={} runs id={id}", life.id));
        if id.starts_with('x') {
            if !life.is_over.swap(true, Ordering::SeqCst) {
                self.record.line(&format!("leaf={} crashed", life.id));
                let mut crashes = self.crashes.lock().expect("not poisoned");
                crashes.at.push(Instant::now());
                crashes.reached.insert(id.to_owned(), Instant::now());
                crashes.lost += life.at_work.load(Ordering::SeqCst);
            }
            return Answer::new(500, "");
        }
        life.at_work.fetch_add(1, Ordering::SeqCst);
        sleep(WORK);
        life.at_work.fetch_sub(1, Ordering::SeqCst);
        let answer = Answer::new(200, "done").with("Request-Id", id);
        answer.with("Server-Stamp", format!("{}.{id}", life.id))
    }
}
