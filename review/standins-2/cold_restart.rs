//! FAILBACK: a process that is killed and started again sends its whole share to a cold leaf once
//! more within the same second.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::leaf::{Leaf, LeafConfig};
use crate::relay::{Relay, SMALL_SITE, Settings, bind};
use crate::requesters::{Load, Requesters};
use crate::store::Store;
use crate::{Setup, Verdict};

const COLD_PER_S: usize = 10;
/// `cold_per_s` x `cold_overshoot` + `cold_slack` = 10 x 1.5 + 5.
const BOUND: usize = 20;
/// A rate well above `cold_per_s`.
const CRASH_ABOVE: usize = 22;
const COLD_MS: u64 = 3_000;

const DESIRED: &str = r#"{"version":7,
"routes":[{"name":"r-orders","host":"orders.example","path_prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":2000,"latency_goal_ms":500,"priority":1,"service":"orders","attempts":1}],
"services":[{"name":"orders","health_path":"/health","max_conns":200,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":10.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(bind());
    store.put("config", "main", DESIRED);
    let config = |id| LeafConfig {
        id,
        service: "orders",
        zone: "marka",
        slots: 40,
        work: Duration::from_millis(150),
        crash_above: Some(CRASH_ABOVE),
    };
    // A leaf that is warm, since it started before the traffic.
    let old = Leaf::start(
        LeafConfig {
            crash_above: None,
            ..config("i-0001")
        },
        bind(),
        record.clone(),
    );
    old.register(&store, "ready", 0);
    let start = |name, zone| {
        let settings = Settings {
            name,
            zone,
            store: store.addr,
            more_bounds: "",
            times_ms: SMALL_SITE,
        };
        Relay::start(&setup.folder, &settings)
    };
    let mut relays = [
        start("front-marka-1", "marka"),
        start("front-marka-2", "marka"),
        start("front-sweileh-1", "sweileh"),
        start("front-tlaa-ali-1", "tlaa-ali"),
    ];
    if !relays.iter().all(|r| r.wait_ready(Duration::from_secs(15))) {
        return Verdict::CouldNotRun("a machine is not ready".to_owned());
    }
    // All machines have listed each other by now.
    sleep(Duration::from_secs(10));
    let load = Load {
        method: "POST",
        host: "orders.example",
        path: "/orders/",
        key: None,
        deadline: Duration::from_millis(2_000),
        per_s: 40.0,
    };
    let mut requesters = Requesters::new();
    for relay in &relays {
        requesters.start(&relay.name, relay.caller, &load, record);
    }
    sleep(Duration::from_secs(2));
    // The leaf is replaced: the new one starts during traffic and is cold, the old one drains.
    let new = Leaf::start(config("i-0002"), bind(), record.clone());
    record.show("a cold leaf starts, and the old one drains");
    new.register(&store, "ready", COLD_MS);
    old.register(&store, "draining", 0);
    let cold_until = Instant::now() + Duration::from_millis(COLD_MS);
    sleep(Duration::from_millis(400));
    if setup.has_trouble {
        record.show("the processes of two machines are killed at the same moment");
        relays[1..3].iter_mut().for_each(Relay::kill);
        sleep(Duration::from_millis(250));
        record.show("they are started again");
        relays[1..3].iter_mut().for_each(Relay::start_process);
    }
    sleep(cold_until.saturating_duration_since(Instant::now()));
    let sent = requesters.finish();
    drop(relays);
    let sent_at: BTreeMap<&str, Instant> = sent
        .iter()
        .map(|sent| (sent.request_id.as_str(), sent.at))
        .collect();
    let arrivals = new.arrivals();
    record.show(&format!("requests at the cold leaf: {}", arrivals.len()));
    if arrivals.len() < COLD_PER_S {
        return Verdict::CouldNotRun("the cold leaf got no load".to_owned());
    }
    // Requests that were sent and arrived within a second.
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
    let lost = arrivals.iter().filter(|a| !a.is_finished).count();
    record.show(&format!(
        "requests that ran and were not answered by the leaf: {lost}"
    ));
    if most > BOUND {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
