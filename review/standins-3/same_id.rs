//! BUDGET: a request that crashes leafs is not recognised while the service has two leafs that
//! start again under the ids that they had.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
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
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(5_000);
const MOST_RETRIES: usize = 3;
/// Time after which a crashed leaf is back: "some seconds".
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time between two retries of the request that crashes leafs, and their number.
const GAP: Duration = Duration::from_millis(5_500);
const ATTEMPTS: usize = 8;
/// Shards of `slot-portal`, with a leaf in each zone. No request goes there.
const SHARDS: usize = 36;

/// Machines, one in each zone of the site.
const MACHINES: [(&str, &str); 3] = [
    ("front-tmk-quay-1", "tmk-quay"),
    ("front-otr-quay-1", "otr-quay"),
    ("front-kus-quay-1", "kus-quay"),
];
const ZONES: [&str; 3] = ["tmk-quay", "otr-quay", "kus-quay"];

/// Returns the desired state: a single service that two routes use, and the shards.
fn desired() -> String {
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("slot-portal~{shard}"))
        .collect();
    let names: Vec<String> = shards.iter().map(|name| format!("\"{name}\"")).collect();
    let names = names.join(",");
    let service = |name: &str, max_conns: u32| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_conns":{max_conns},"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}}"#
        )
    };
    let mut services: Vec<String> = shards.iter().map(|name| service(name, 72)).collect();
    services.push(service("vessel-notice", 550));
    let services = services.join(",");
    format!(
        r#"{{"version":7,
"routes":[{{"name":"r-bookings","host":"berths.example","path_prefix":"/bookings/","route_kind":"idempotent","timeout_ms":2500,"latency_goal_ms":300,"priority":1,"service":"vessel-notice","attempts":2}},
{{"name":"r-orders","host":"berths.example","path_prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":2500,"latency_goal_ms":300,"priority":1,"service":"vessel-notice","attempts":1}},
{{"name":"r-slots","host":"berths.example","path_prefix":"/slots/","route_kind":"idempotent","timeout_ms":800,"latency_goal_ms":150,"priority":1,"gather":[{names}],"top_k":20,"min_fraction":0.95,"attempts":2}}],
"services":[{services}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Crashes of leafs by the request, in the order of time, and the attempts that reached leafs.
#[derive(Default)]
struct Crashes {
    at: Vec<Instant>,
    reached: BTreeMap<String, Instant>,
    lost: usize,
    /// Starts of leafs under a new id, and under the one that the leaf had.
    starts_new: usize,
    starts_kept: usize,
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(bind());
    store.put("config", "main", &desired());
    let crashes = Arc::new(Mutex::new(Crashes::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_scaled_in = Arc::new(AtomicBool::new(false));
    for shard in 0..SHARDS {
        let service: &'static str = format!("slot-portal~{shard}").leak();
        for zone in ZONES {
            let config = LeafConfig {
                id: format!("s-{shard}-{zone}").leak(),
                service,
                zone,
                slots: 4,
                work: Duration::from_millis(8),
                crash_above: None,
            };
            Leaf::start(config, bind(), record.clone()).register(&store, "ready", 0);
            crashes.lock().expect("not poisoned").starts_new += 1;
        }
    }
    let keeps_id = setup.has_trouble;
    for number in 0..ZONES.len() {
        let (store, record) = (store.clone(), record.clone());
        let (crashes, is_over) = (crashes.clone(), is_over.clone());
        let leaves = (number == ZONES.len() - 1).then(|| is_scaled_in.clone());
        thread::spawn(move || {
            let leaves = leaves.as_deref();
            keep_leaf(
                number, keeps_id, leaves, &store, &record, &crashes, &is_over,
            );
        });
    }
    let relays = MACHINES.map(|(name, zone)| {
        let settings = Settings {
            name,
            zone,
            store: store.addr,
            more_bounds: "",
            times_ms: TENANTS_SITE,
        };
        Relay::start(&setup.folder, &settings)
    });
    if !relays.iter().all(|r| r.wait_ready(Duration::from_secs(15))) {
        return Verdict::CouldNotRun("a machine is not ready".to_owned());
    }
    sleep(Duration::from_secs(6));
    record.show("one of the three leafs is emptied and taken away");
    is_scaled_in.store(true, Ordering::SeqCst);
    // It is gone after `drain_ms` and a little longer; then all is calm for the stable window.
    sleep(DRAIN + Duration::from_secs(1) + STABLE_WINDOW);
    let load = Load {
        method: "POST",
        host: "berths.example",
        path: "/orders/",
        key: None,
        deadline: Duration::from_millis(2_500),
        per_s: 8.0,
    };
    let mut requesters = Requesters::new();
    for relay in &relays {
        requesters.start(&relay.name, relay.caller, &load, record);
    }
    sleep(Duration::from_secs(1));
    record.show("the request that crashes leafs comes again and again, at any machine");
    for attempt in 0..ATTEMPTS {
        let relay = &relays[attempt % relays.len()];
        let id = format!("x{attempt}");
        let at = Instant::now();
        record.line(&format!("requester sends id={id} machine={}", relay.name));
        let headers = [
            ("Host", "berths.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "2500"),
        ];
        let wait = Duration::from_millis(2_500);
        let answer = call(relay.caller, "GET", "/bookings/crash", &headers, &[], wait);
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("requester got id={id} status={status}"));
        sleep((at + GAP).saturating_duration_since(Instant::now()));
    }
    let sent = requesters.finish();
    is_over.store(true, Ordering::SeqCst);
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
    record.show(&format!(
        "starts of leafs: {} under a new id, {} under the id that the leaf had",
        crashes.starts_new, crashes.starts_kept
    ));
    let late = crashes
        .reached
        .values()
        .filter(|at| **at > *third + STABLE_WINDOW);
    let late = late.count();
    record.show(&format!(
        "retries that reached leafs later than 5 s after the third crash: {late}, bound {MOST_RETRIES}"
    ));
    if late > MOST_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Runs a leaf that crashes when the request reaches it, and starts it again, under the same id or
/// under a new one.
fn keep_leaf(
    number: usize,
    keeps_id: bool,
    leaves: Option<&AtomicBool>,
    store: &Store,
    record: &Arc<Record>,
    crashes: &Mutex<Crashes>,
    is_over: &AtomicBool,
) {
    let mut listener = bind();
    let addr = listener.local_addr().expect("bound");
    for run in 0.. {
        let id = match keeps_id {
            true => format!("i-{number}"),
            false => format!("i-{number}-{run}"),
        };
        let config = LeafConfig {
            id: id.leak(),
            service: "vessel-notice",
            zone: ZONES[number],
            slots: 6,
            work: Duration::from_millis(60),
            crash_above: None,
        };
        let id = config.id;
        {
            let mut crashes = crashes.lock().expect("not poisoned");
            match keeps_id && run > 0 {
                true => crashes.starts_kept += 1,
                false => crashes.starts_new += 1,
            }
        }
        let leaf = Leaf::start(config, listener, record.clone());
        leaf.register(store, "ready", if run > 0 { 3_000 } else { 0 });
        loop {
            sleep(Duration::from_millis(2));
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            if leaves.is_some_and(|leaves| leaves.load(Ordering::SeqCst)) {
                leaf.register(store, "draining", 0);
                sleep(DRAIN + Duration::from_millis(500));
                store.delete("servers", id);
                leaf.end("left");
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
            let others = arrivals.iter();
            crashes.lost += others
                .filter(|a| !a.is_finished && a.request_id.starts_with('q'))
                .count();
            break;
        }
        sleep(BACK_AFTER);
        if !keeps_id {
            // An entry goes after three check-in intervals of silence, 2.4 to 3.6 s after the crash.
            store.delete("servers", id);
        }
        listener = loop {
            if let Ok(listener) = TcpListener::bind(addr) {
                break listener;
            }
            sleep(Duration::from_millis(20));
        };
    }
}
