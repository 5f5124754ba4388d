//! DRAIN: the store cuts off the watches of the leafs as an entry is removed. The machines wait for another watch
//! to return before they list the leafs again, take this wait for an outage of the store, and so
//! keep the leaf without an entry in use for 2.3 s more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::leaf::{Leaf, LeafConfig};
use crate::proxy::Proxy;
use crate::relay::{Relay, SMALL_SITE, Settings, bind};
use crate::requesters::{Load, Requesters};
use crate::store::Store;
use crate::{Setup, Verdict};

const DRAIN: Duration = Duration::from_millis(3_000);
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const WATCH: &str = "/objects/servers?watch=";
const WATCHES: [&str; 3] = [
    WATCH,
    "/objects/config?watch=",
    "/objects/evacuations?watch=",
];

const DESIRED: &str = r#"{"version":7,
"routes":[{"name":"r-orders","host":"orders.example","path_prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":2000,"latency_goal_ms":500,"priority":1,"service":"orders","attempts":1}],
"services":[{"name":"orders","health_path":"/health","max_conns":200,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(bind());
    store.put("config", "main", DESIRED);
    let start_leaf = |id, zone| {
        let config = LeafConfig {
            id,
            service: "orders",
            zone,
            slots: 40,
            work: Duration::from_millis(150),
            crash_above: None,
        };
        let leaf = Leaf::start(config, bind(), record.clone());
        leaf.register(&store, "ready", 0);
        leaf
    };
    let leafs = [
        start_leaf("i-0001", "zone-a"),
        start_leaf("i-0002", "zone-b"),
    ];
    // The proxies stand for the store's end of the connections.
    let links = [0, 1].map(|_| Proxy::start(bind(), store.addr));
    let start = |name, zone, link: &Proxy| {
        let settings = Settings {
            name,
            zone,
            store: link.addr,
            more_bounds: "",
            times_ms: SMALL_SITE,
        };
        Relay::start(&setup.folder, &settings)
    };
    let relays = [
        start("front-a-1", "zone-a", &links[0]),
        start("front-b-1", "zone-b", &links[1]),
    ];
    if !relays.iter().all(|r| r.wait_ready(Duration::from_secs(15))) {
        return Verdict::CouldNotRun("a machine is not ready".to_owned());
    }
    sleep(Duration::from_secs(6));
    let load = Load {
        method: "POST",
        host: "orders.example",
        path: "/orders/",
        key: None,
        deadline: Duration::from_millis(2_000),
        per_s: 25.0,
    };
    let mut requesters = Requesters::new();
    for relay in &relays {
        requesters.start(&relay.name, relay.caller, &load, record);
    }
    sleep(Duration::from_secs(1));
    // Both machines have begun all their watches within the last 0.6 s.
    let end = Instant::now() + Duration::from_secs(20);
    let is_new = |link: &Arc<Proxy>| {
        WATCHES.iter().all(|watch| {
            link.last_request(watch)
                .is_some_and(|at| at.elapsed() < Duration::from_millis(600))
        })
    };
    while !links.iter().all(is_new) {
        if Instant::now() > end {
            return Verdict::CouldNotRun("the watches are not in step".to_owned());
        }
        sleep(Duration::from_millis(10));
    }
    if setup.has_trouble {
        for link in &links {
            let count = link.cut_next(WATCH);
            record.show(&format!(
                "watches of the leafs that the store cuts off: {count}"
            ));
        }
    }
    record.show("the entry of i-0001 is removed from the store");
    store.delete("servers", "i-0001");
    let gone_at = Instant::now();
    // The leaf serves on for `drain_ms` and two seconds, and exits.
    sleep(DRAIN + Duration::from_millis(2_000));
    leafs[0].end("drained");
    sleep(Duration::from_millis(2_000));
    let sent = requesters.finish();
    drop(relays);
    let sent_at: BTreeMap<&str, (Instant, Option<u16>)> = sent
        .iter()
        .map(|sent| (sent.request_id.as_str(), (sent.at, sent.status)))
        .collect();
    // The bound has passed, and the machines are in touch even if the cut counts as a reset.
    let from = gone_at + DRAIN.max(STABLE_WINDOW) + Duration::from_millis(50);
    let (mut late, mut lost, mut last) = (0, 0, from);
    for arrival in leafs[0].arrivals() {
        let Some((at, status)) = sent_at.get(arrival.request_id.as_str()) else {
            continue;
        };
        if *at >= from && arrival.at >= from {
            late += 1;
            last = last.max(arrival.at);
            lost += usize::from(!arrival.is_finished && *status != Some(200));
        }
    }
    let after = |at: Instant| at.saturating_duration_since(gone_at).as_secs_f64();
    record.show(&format!(
        "requests at i-0001 from {:.2} s after its removal on: {late}, the last after {:.2} s",
        after(from),
        after(last)
    ));
    record.show(&format!(
        "of these, not answered as the leaf exited: {lost}"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
