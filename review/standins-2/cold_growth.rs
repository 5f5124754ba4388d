//! FAILBACK: machines that are added use their shares of a cold leaf's rate before the machines that
//! were there have learned of them and given these shares up.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::leaf::{Leaf, LeafConfig};
use crate::relay::{Relay, SMALL_SITE, Settings, bind};
use crate::requesters::{Load, Requesters};
use crate::store::Store;
use crate::{Setup, Verdict};

/// `cold_per_s` x `cold_overshoot` + `cold_slack` = 20 x 1.5 + 5.
const BOUND: usize = 35;
const COLD_MS: u64 = 3_000;
/// Age of the data that the store returns to serializable reads; the pages say "seconds old".
const STALE_BY: Duration = Duration::from_secs(3);

/// The machines of the site `rafeed-search` and two of its three spare ones, with their zones.
const MACHINES: [(&str, &str); 4] = [
    ("front-marka-1", "marka"),
    ("front-marka-2", "marka"),
    ("front-sweileh-1", "sweileh"),
    ("front-tlaa-ali-1", "tlaa-ali"),
];
const SPARE: [(&str, &str); 2] = [
    ("front-sweileh-2", "sweileh"),
    ("front-tlaa-ali-2", "tlaa-ali"),
];

const DESIRED: &str = r#"{"version":7,
"routes":[{"name":"r-orders","host":"orders.example","path_prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":2000,"latency_goal_ms":500,"priority":1,"service":"orders","attempts":1}],
"services":[{"name":"orders","health_path":"/health","max_conns":400,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":20.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start_stale(bind(), STALE_BY);
    store.put("config", "main", DESIRED);
    let start_leaf = |id| {
        let config = LeafConfig {
            id,
            service: "orders",
            zone: "marka",
            slots: 100,
            work: Duration::from_millis(20),
            crash_above: None,
        };
        Leaf::start(config, bind(), record.clone())
    };
    let old_leaf = start_leaf("i-0001");
    old_leaf.register(&store, "ready", 0);
    let start_all = |machines: &[(&str, &str)]| -> Vec<Relay> {
        let settings = machines.iter().map(|(name, zone)| Settings {
            name,
            zone,
            store: store.addr,
            more_bounds: "",
            times_ms: SMALL_SITE,
        });
        settings
            .map(|settings| Relay::start(&setup.folder, &settings))
            .collect()
    };
    let are_ready = |relays: &[Relay]| {
        relays
            .iter()
            .all(|relay| relay.wait_ready(Duration::from_secs(15)))
    };
    let old = start_all(&MACHINES);
    if !are_ready(&old) {
        return Verdict::CouldNotRun("a machine is not ready".to_owned());
    }
    sleep(Duration::from_secs(18));
    let mut added = Vec::new();
    if setup.has_trouble {
        record.show("two machines are added");
        added = start_all(&SPARE);
        if !are_ready(&added) {
            return Verdict::CouldNotRun("an added machine is not ready".to_owned());
        }
    }
    let load = Load {
        method: "POST",
        host: "orders.example",
        path: "/orders/",
        key: None,
        deadline: Duration::from_millis(2_000),
        per_s: 40.0,
    };
    let mut requesters = Requesters::new();
    for relay in old.iter().chain(&added) {
        requesters.start(&relay.name, relay.caller, &load, record);
    }
    sleep(Duration::from_millis(800));
    let new_leaf = start_leaf("i-0002");
    record.show("a cold leaf starts, and the old one drains");
    new_leaf.register(&store, "ready", COLD_MS);
    old_leaf.register(&store, "draining", 0);
    sleep(Duration::from_millis(COLD_MS));
    let cold_until = Instant::now();
    let sent = requesters.finish();
    drop((old, added));
    let sent_at: BTreeMap<&str, Instant> = sent
        .iter()
        .map(|sent| (sent.request_id.as_str(), sent.at))
        .collect();
    let arrivals = new_leaf.arrivals();
    record.show(&format!("requests at the cold leaf: {}", arrivals.len()));
    let second = Duration::from_secs(1);
    let count = |from: Instant| {
        let is_inside = |at: Instant| at >= from && at < from + second;
        arrivals
            .iter()
            .filter(|a| a.at < cold_until && is_inside(a.at))
            .filter(|a| {
                sent_at
                    .get(a.request_id.as_str())
                    .is_some_and(|at| is_inside(*at))
            })
            .count()
    };
    let most = sent_at.values().map(|at| count(*at)).max().unwrap_or(0);
    record.show(&format!(
        "most requests in one second: {most}, bound {BOUND}"
    ));
    if most > BOUND {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
