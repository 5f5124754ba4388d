//! BUDGET: a request that crashes leafs is not recognised while another tenant's request with the
//! same path is served.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::leaf::{Leaf, LeafConfig};
use crate::record::Record;
use crate::relay::{Relay, Settings, TENANTS_SITE, bind};
use crate::requesters::{Load, Requesters};
use crate::store::Store;
use crate::{Setup, Verdict};

/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);
const MOST_RETRIES: usize = 3;
/// Time after which a crashed leaf is back, under a new id: "some seconds".
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time between two retries of the request that crashes leafs, and their number.
const GAP: Duration = Duration::from_millis(5_500);
const ATTEMPTS: usize = 10;

const MACHINES: [(&str, &str); 4] = [
    ("front-amman-a-1", "amman-a"),
    ("front-amman-b-1", "amman-b"),
    ("front-zarqa-a-1", "zarqa-a"),
    ("front-salt-a-1", "salt-a"),
];
/// Zones of the six leafs of `workorder`, as on the site.
const ZONES: [&str; 6] = [
    "amman-a", "amman-a", "amman-b", "amman-b", "zarqa-a", "salt-a",
];

/// Header of a tenant's requests, and the name that leafs get.
const BAD_KEY: &str = "Bearer key-of-the-one";
const BAD_TENANT: &str = "bay-one";
const GOOD_KEY: &str = "Bearer key-of-the-other";

const DESIRED: &str = r#"{"version":7,
"routes":[{"name":"r-fetch","host":"orders.example","path_prefix":"/open/","route_kind":"idempotent","timeout_ms":2500,"latency_goal_ms":500,"priority":2,"service":"workorder","attempts":2,"public":false},
{"name":"r-orders","host":"orders.example","path_prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":2500,"latency_goal_ms":500,"priority":2,"service":"workorder","attempts":1,"public":false}],
"services":[{"name":"workorder","health_path":"/health","max_conns":560,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],
"tenants":[{"name":"bay-one","api_keys":["key-of-the-one"],"rate_per_s":0,"burst":0},{"name":"bay-other","api_keys":["key-of-the-other"],"rate_per_s":0,"burst":0}],
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
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 0..ZONES.len() {
        let (store, record) = (store.clone(), record.clone());
        let (crashes, is_over) = (crashes.clone(), is_over.clone());
        thread::spawn(move || keep_leaf(number, &store, &record, &crashes, &is_over));
    }
    let relays = MACHINES.map(|(name, zone)| {
        let settings = Settings {
            name,
            zone,
            store: store.addr,
            more_bounds: r#""cap": { "window_s": 5, "overshoot": 0.1, "slack": 20 },"#,
            times_ms: TENANTS_SITE,
        };
        Relay::start(&setup.folder, &settings)
    });
    if !relays.iter().all(|r| r.wait_ready(Duration::from_secs(15))) {
        return Verdict::CouldNotRun("a machine is not ready".to_owned());
    }
    sleep(Duration::from_secs(8));
    let load = Load {
        method: "POST",
        host: "orders.example",
        path: "/orders/",
        key: Some("key-of-the-other"),
        deadline: Duration::from_millis(2_500),
        per_s: 8.0,
    };
    let mut requesters = Requesters::new();
    // Without the disruption, the other tenant asks for another path.
    let path = if setup.has_trouble {
        "/open/today"
    } else {
        "/open/tomorrow"
    };
    let served = Arc::new(AtomicUsize::new(0));
    for relay in &relays {
        requesters.start(&relay.name, relay.caller, &load, record);
        let (addr, served) = (relay.caller, served.clone());
        let (record, is_over) = (record.clone(), is_over.clone());
        thread::spawn(move || ask(addr, path, &served, &record, &is_over));
    }
    sleep(Duration::from_secs(2));
    record.show("the request of bay-one that crashes leafs comes again and again, at any machine");
    for attempt in 0..ATTEMPTS {
        let relay = &relays[attempt % relays.len()];
        let id = format!("x{attempt}");
        let at = Instant::now();
        record.line(&format!("requester sends id={id} machine={}", relay.name));
        let status = fetch(relay.caller, "/open/today", BAD_KEY, &id);
        record.line(&format!("requester got id={id} status={status}"));
        sleep((at + GAP).saturating_duration_since(Instant::now()));
    }
    is_over.store(true, Ordering::SeqCst);
    let sent = requesters.finish();
    drop(relays);
    let crashes = crashes.lock().expect("not poisoned");
    let Some(third) = crashes.at.get(2) else {
        return Verdict::CouldNotRun("the request crashed no three leafs".to_owned());
    };
    record.show(&format!(
        "{} requests of bay-other for {path} were served",
        served.load(Ordering::SeqCst)
    ));
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
        "retries that reached leafs later than 5 s after the third crash: {late}, bound {MOST_RETRIES}"
    ));
    if late > MOST_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a GET request and returns its status, 0 without an answer.
fn fetch(addr: SocketAddr, path: &str, key: &str, id: &str) -> u16 {
    let headers = [
        ("Host", "orders.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "2500"),
        ("Authorization", key),
    ];
    let wait = Duration::from_millis(2_500);
    call(addr, "GET", path, &headers, &[], wait).map_or(0, |answer| answer.status)
}

/// Sends the other tenant's requests at one machine, one a second.
fn ask(addr: SocketAddr, path: &str, served: &AtomicUsize, record: &Record, is_over: &AtomicBool) {
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("b{}-{number}", addr.port());
        let status = fetch(addr, path, GOOD_KEY, &id);
        record.line(&format!(
            "bay-other got id={id} path={path} status={status}"
        ));
        if status == 200 {
            served.fetch_add(1, Ordering::SeqCst);
        }
        sleep(Duration::from_secs(1));
    }
}

/// Runs a leaf that crashes when the request reaches it, and starts it again under a new id.
fn keep_leaf(
    number: usize,
    store: &Store,
    record: &Arc<Record>,
    crashes: &Mutex<Crashes>,
    is_over: &AtomicBool,
) {
    let mut listener = bind();
    let addr = listener.local_addr().expect("bound");
    for run in 0.. {
        let config = LeafConfig {
            id: format!("i-{number}-{run}").leak(),
            service: "workorder",
            zone: ZONES[number],
            slots: 4,
            work: Duration::from_millis(60),
            crash_above: None,
        };
        let id = config.id;
        let leaf = Leaf::start(config, listener, record.clone());
        leaf.register(store, "ready", if run > 0 { 3_000 } else { 0 });
        loop {
            sleep(Duration::from_millis(2));
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let arrivals = leaf.arrivals();
            let is_crash = |tenant: &Option<String>| tenant.as_deref() == Some(BAD_TENANT);
            let Some(crash) = arrivals.iter().find(|a| is_crash(&a.tenant)) else {
                continue;
            };
            leaf.end("crashed by the request");
            let mut crashes = crashes.lock().expect("not poisoned");
            crashes.at.push(Instant::now());
            crashes.reached.insert(crash.request_id.clone(), crash.at);
            let others = arrivals.iter();
            crashes.lost += others
                .filter(|a| !a.is_finished && a.request_id.starts_with('q'))
                .count();
            break;
        }
        sleep(BACK_AFTER);
        // An entry goes after three check-in intervals of silence, 2.4 to 3.6 s after the crash.
        store.delete("servers", id);
        listener = loop {
            if let Ok(listener) = TcpListener::bind(addr) {
                break listener;
            }
            sleep(Duration::from_millis(20));
        };
    }
}
