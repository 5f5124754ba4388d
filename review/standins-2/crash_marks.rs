//! BUDGET: what the machines know of a request that crashes leafs is lost when all processes are
//! killed at the same moment, so that the request crashes leafs anew after it.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::leaf::{Leaf, LeafConfig};
use crate::record::Record;
use crate::relay::{Relay, SMALL_SITE, Settings, bind};
use crate::requesters::{Load, Requesters};
use crate::store::Store;
use crate::{Setup, Verdict};

const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const MOST_RETRIES: usize = 3;
/// Time after which a crashed leaf is back, under a new id.
const BACK_AFTER: Duration = Duration::from_secs(3);

const DESIRED: &str = r#"{"version":7,
"routes":[{"name":"r-titles","host":"titles.example","path_prefix":"/titles/","route_kind":"idempotent","timeout_ms":2000,"latency_goal_ms":500,"priority":1,"service":"shelf","attempts":2},
{"name":"r-orders","host":"titles.example","path_prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":2000,"latency_goal_ms":500,"priority":1,"service":"shelf","attempts":1}],
"services":[{"name":"shelf","health_path":"/health","max_conns":200,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],
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
    for number in 0..24 {
        let (store, record) = (store.clone(), record.clone());
        let (crashes, is_over) = (crashes.clone(), is_over.clone());
        thread::spawn(move || keep_leaf(number, &store, &record, &crashes, &is_over));
    }
    let machines = [
        ("front-charguia-1", "charguia"),
        ("front-charguia-2", "charguia"),
        ("front-ariana-1", "ariana"),
        ("front-lac-deux-1", "lac-deux"),
        ("front-ben-arous-1", "ben-arous"),
    ];
    let mut relays = machines.map(|(name, zone)| {
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
    sleep(Duration::from_secs(8));
    let load = Load {
        method: "POST",
        host: "titles.example",
        path: "/orders/",
        key: None,
        deadline: Duration::from_millis(2_000),
        per_s: 20.0,
    };
    let mut requesters = Requesters::new();
    for relay in &relays {
        requesters.start(&relay.name, relay.caller, &load, record);
    }
    let mut sent = BTreeMap::new();
    let mut in_touch_from = Instant::now();
    for round in 0..2 {
        if round > 0 && setup.has_trouble {
            record.show("all processes are killed at the same moment");
            relays.iter_mut().for_each(Relay::kill);
            sleep(Duration::from_millis(300));
            record.show("they are started again");
            relays.iter_mut().for_each(Relay::start_process);
            in_touch_from = Instant::now() + STABLE_WINDOW;
        }
        sleep(Duration::from_secs(6));
        record.show(
            "the request that crashes leafs comes twice, each time with three repeats at once",
        );
        for attempt in 0..8 {
            let relay = &relays[(attempt + round) % relays.len()];
            let id = format!("x{round}-{attempt}");
            let at = Instant::now();
            sent.insert(id.clone(), at >= in_touch_from);
            record.line(&format!("requester sends id={id} machine={}", relay.name));
            let headers = [
                ("Host", "titles.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "1000"),
            ];
            let wait = Duration::from_millis(1_000);
            let answer = call(relay.caller, "GET", "/titles/crash", &headers, &[], wait);
            let status = answer.map_or(0, |answer| answer.status);
            record.line(&format!("requester got id={id} status={status}"));
            let gap = if attempt == 3 { 2_500 } else { 100 };
            sleep((at + Duration::from_millis(gap)).saturating_duration_since(Instant::now()));
        }
        sleep(Duration::from_secs(5));
    }
    requesters.finish();
    is_over.store(true, Ordering::SeqCst);
    drop(relays);
    let crashes = crashes.lock().expect("not poisoned");
    let Some(third) = crashes.at.get(2) else {
        return Verdict::CouldNotRun("the request crashed no leafs".to_owned());
    };
    record.show(&format!(
        "leafs that crashed: {}, with {} other requests at work",
        crashes.at.len(),
        crashes.lost
    ));
    let late = crashes
        .reached
        .iter()
        .filter(|(id, at)| **at > *third + STABLE_WINDOW && sent[*id])
        .count();
    record.show(&format!(
        "retries by machines in touch that reached leafs later than 4 s after the third crash: {late}, bound {MOST_RETRIES}"
    ));
    if late > MOST_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Runs a leaf that crashes when the request reaches it, and starts it again.
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
            service: "shelf",
            zone: ["charguia", "ariana", "lac-deux", "ben-arous"][number % 4],
            slots: 40,
            work: Duration::from_millis(40),
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
            let Some(crash) = arrivals.iter().find(|a| a.request_id.starts_with('x')) else {
                continue;
            };
            leaf.end("crashed by the request");
            let mut crashes = crashes.lock().expect("not poisoned");
            crashes.at.push(Instant::now());
            crashes.reached.insert(crash.request_id.clone(), crash.at);
            crashes.lost += arrivals
                .iter()
                .filter(|a| !a.is_finished && a.request_id.starts_with('q'))
                .count();
            break;
        }
        sleep(BACK_AFTER);
        // Three check-in intervals without the leaf have passed.
        store.delete("servers", id);
        listener = loop {
            if let Ok(listener) = TcpListener::bind(addr) {
                break listener;
            }
            sleep(Duration::from_millis(20));
        };
    }
}
