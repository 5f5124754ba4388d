//! QUOTA: machines that are added use their shares of a tenant's cap before the machines that were
//! there have learned of them and given these shares up.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::leaf::{Leaf, LeafConfig};
use crate::relay::{Relay, Settings, TENANTS_SITE, bind};
use crate::requesters::{Load, Requesters};
use crate::store::Store;
use crate::{Setup, Verdict};

const WINDOW: Duration = Duration::from_secs(5);
/// (`rate_per_s` x window + `burst`) x (1 + `quota_overshoot`) + `quota_slack`
/// = (60 x 5 + 0) x 1.1 + 20.
const BOUND: usize = 350;
/// Age of the data that the store returns to serializable reads; the pages say "seconds old".
const STALE_BY: Duration = Duration::from_secs(5);

/// The machines of the site `qalam-search` and three of its four spare ones, with their zones.
const MACHINES: [(&str, &str); 5] = [
    ("front-charguia-1", "charguia"),
    ("front-charguia-2", "charguia"),
    ("front-ariana-1", "ariana"),
    ("front-lac-deux-1", "lac-deux"),
    ("front-ben-arous-1", "ben-arous"),
];
const SPARE: [(&str, &str); 3] = [
    ("front-ariana-2", "ariana"),
    ("front-lac-deux-2", "lac-deux"),
    ("front-ben-arous-2", "ben-arous"),
];

const DESIRED: &str = r#"{"version":7,
"routes":[{"name":"r-orders","host":"orders.example","path_prefix":"/orders/","route_kind":"idempotent","timeout_ms":2000,"latency_goal_ms":500,"priority":1,"service":"orders","attempts":1}],
"services":[{"name":"orders","health_path":"/health","max_conns":400,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],
"tenants":[{"name":"depot","api_keys":["k-depot-1"],"rate_per_s":60,"burst":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const MORE_BOUNDS: &str = r#""cap": {"window_s": 5, "overshoot": 0.1, "slack": 20},"#;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start_stale(bind(), STALE_BY);
    store.put("config", "main", DESIRED);
    let config = LeafConfig {
        id: "i-0001",
        service: "orders",
        zone: "charguia",
        slots: 100,
        work: Duration::from_millis(10),
        crash_above: None,
    };
    let leaf = Leaf::start(config, bind(), record.clone());
    leaf.register(&store, "ready", 0);
    let start_all = |machines: &[(&str, &str)]| -> Vec<Relay> {
        let settings = machines.iter().map(|(name, zone)| Settings {
            name,
            zone,
            store: store.addr,
            more_bounds: MORE_BOUNDS,
            times_ms: TENANTS_SITE,
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
    // All machines have listed each other by now.
    sleep(Duration::from_secs(18));
    record.show("the tenant sends more than its cap to each machine");
    let load = Load {
        method: "GET",
        host: "orders.example",
        path: "/orders/",
        key: Some("k-depot-1"),
        deadline: Duration::from_millis(2_000),
        per_s: 90.0,
    };
    let mut requesters = Requesters::new();
    for relay in &old {
        requesters.start(&relay.name, relay.caller, &load, record);
    }
    sleep(Duration::from_secs(7));
    let mut added = Vec::new();
    if setup.has_trouble {
        record.show("three machines are added");
        added = start_all(&SPARE);
        if !are_ready(&added) {
            return Verdict::CouldNotRun("an added machine is not ready".to_owned());
        }
        record.show("the added machines are ready");
        for relay in &added {
            requesters.start(&relay.name, relay.caller, &load, record);
        }
    }
    sleep(Duration::from_secs(12));
    let sent = requesters.finish();
    let sent_at: BTreeMap<&str, (Instant, &str)> = sent
        .iter()
        .map(|sent| (sent.request_id.as_str(), (sent.at, sent.machine.as_str())))
        .collect();
    let arrivals: Vec<(Instant, Instant, &str)> = leaf
        .arrivals()
        .iter()
        .filter(|arrival| arrival.tenant.as_deref() == Some("depot"))
        .filter_map(|arrival| {
            let (at, machine) = sent_at.get(arrival.request_id.as_str())?;
            Some((*at, arrival.at, *machine))
        })
        .collect();
    if arrivals.len() < 100 {
        return Verdict::CouldNotRun("the leaf got no load".to_owned());
    }
    for relay in old.iter().chain(&added) {
        let ran = arrivals.iter().filter(|(_, _, m)| *m == relay.name).count();
        record.show(&format!("{}: {ran} requests ran", relay.name));
    }
    // Requests of the tenant that were sent and arrived within a window.
    let count = |from: Instant| {
        let is_inside = |at: Instant| at >= from && at < from + WINDOW;
        let ran = arrivals
            .iter()
            .filter(|(sent, ran, _)| is_inside(*sent) && is_inside(*ran));
        ran.count()
    };
    let most = arrivals.iter().map(|(at, _, _)| count(*at)).max();
    let most = most.unwrap_or(0);
    record.show(&format!("most requests in 5 s: {most}, bound {BOUND}"));
    if most > BOUND {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
