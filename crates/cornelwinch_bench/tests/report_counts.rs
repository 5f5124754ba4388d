//! Outcomes, coverage, extra load, tickets and verified answers in a report.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelwinch_bench::{BenchAnswer, BenchConfig, MixItem, Report, run, run_verified};
use cornelwinch_http::{HttpLimits, HttpRequest, HttpServer, bind};
use cornelwinch_standins::documents;
use cornelwinch_types::{KeyRange, SnapshotId};
use serde_json::{Value, json};

fn serve(handler: impl Fn(HttpRequest) + Send + Sync + 'static) -> HttpServer {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    bind(addr, HttpLimits::default(), handler).unwrap()
}

fn config(server: &HttpServer, tickets: bool) -> BenchConfig {
    let item = MixItem {
        search: "portal".into(),
        class: "lookup".into(),
        organisation: "school".into(),
        token: "secret".into(),
        weight: 1.0,
        deadline_ms: 20_000,
        tickets,
    };
    BenchConfig {
        targets: vec![server.local_addr()],
        rate_per_s: 2000.0,
        duration: Duration::from_millis(100),
        mix: vec![item],
        bodies: vec!["50 atlas".to_owned()],
        ..BenchConfig::default()
    }
}

#[test]
fn outcomes_add_up() {
    // Guards against answers that are counted as done without being so, or not
    // counted at all.
    const ANSWERS: [(u16, &str); 6] = [
        (
            200,
            r#"{"outcome":"done","coverage":1.0,"attempts":10,"hedges":0}"#,
        ),
        (
            200,
            r#"{"outcome":"done","coverage":0.5,"attempts":12,"hedges":2}"#,
        ),
        (429, r#"{"outcome":"not_run","error":"over the rate"}"#),
        (504, r#"{"outcome":"unknown","error":"deadline"}"#),
        (200, r#"{}"#),
        (200, "nonsense"),
    ];
    let count = Arc::new(AtomicUsize::new(0));
    let server = {
        let count = count.clone();
        serve(move |req| {
            assert_eq!((req.path(), req.bearer()), ("/v1/query", Some("secret")));
            let (status, text) = ANSWERS[count.fetch_add(1, Ordering::Relaxed) % ANSWERS.len()];
            req.responder.json(status, text);
        })
    };
    let report = run(&config(&server, false)).unwrap();
    let sent = count.load(Ordering::Relaxed) as u64;
    // Number of requests that got the answer at this position.
    let got = |i: u64| (sent + 5 - i) / 6;
    let total = &report.total;
    assert_eq!(total.offered, sent);
    assert_eq!(total.outcomes.done, got(0) + got(1));
    assert_eq!(total.outcomes.not_run, got(2));
    assert_eq!(total.outcomes.unknown, got(3));
    assert_eq!(total.outcomes.unclear, got(4));
    assert_eq!(total.outcomes.no_answer, got(5));
    assert_eq!(total.latency.count, got(0) + got(1));
    assert!((total.coverage.lowest - 0.5).abs() < 1e-9);
    let complete = got(0) as f64 / (got(0) + got(1)) as f64;
    assert!((total.coverage.complete - complete).abs() < 1e-9);
    assert_eq!(total.extra_load.hedges, 2 * got(1));
    assert_eq!(
        (&*report.groups[0].class, &*report.groups[0].organisation),
        ("lookup", "school")
    );
    assert_eq!(report.seconds[0].offered, sent);
    let read: Report = serde_json::from_str(&report.to_json()).unwrap();
    assert_eq!(read.total.outcomes, total.outcomes);
    assert!(
        report.to_string().contains("429: over the rate"),
        "{report}"
    );
}

#[test]
fn tickets_are_used_once() {
    // Guards against a generator that itself repeats a ticket or a body, which
    // would show as duplicated work of the tier.
    let seen = Arc::new(Mutex::new((0, Vec::new(), Vec::new())));
    let server = {
        let seen = seen.clone();
        serve(move |req| {
            assert_eq!(req.bearer(), Some("secret"));
            let body: Value = serde_json::from_str(&req.body).unwrap();
            let mut seen = seen.lock().unwrap();
            let (next, tickets, bodies) = &mut *seen;
            let answer = if req.path() == "/v1/tickets" {
                let first = *next;
                *next += body["count"].as_u64().unwrap();
                json!({"tickets": (first..*next).map(|n| n.to_string()).collect::<Vec<_>>()})
            } else {
                assert!(body["key"].as_u64().unwrap() < 1000);
                tickets.push(body["ticket"].as_str().unwrap().to_owned());
                bodies.push(body["body"].as_str().unwrap().to_owned());
                json!({"ticket": body["ticket"], "outcome": "done", "hits": []})
            };
            drop(seen);
            req.responder.json(200, answer.to_string());
        })
    };
    let report = run(&config(&server, true)).unwrap();
    let mut seen = seen.lock().unwrap();
    assert_eq!(report.total.outcomes.done, report.total.offered);
    assert_eq!(seen.1.len() as u64, report.total.offered);
    for list in [0, 1] {
        let list = if list == 0 { &mut seen.1 } else { &mut seen.2 };
        let sent = list.len();
        list.sort();
        list.dedup();
        assert_eq!(list.len(), sent);
    }
}

#[test]
fn verifier_finds_a_wrong_answer() {
    // Guards against a verifier that is not called or whose finding is lost.
    let range = KeyRange {
        start: 0,
        end: 1000,
    };
    let count = AtomicUsize::new(0);
    let server = serve(move |req| {
        let body: Value = serde_json::from_str(&req.body).unwrap();
        let mut hits = documents(
            "portal",
            SnapshotId(7),
            range,
            body["body"].as_str().unwrap(),
        );
        if count.fetch_add(1, Ordering::Relaxed) == 3 {
            hits.pop();
        }
        let answer = json!({
            "outcome": "done", "snapshot": 7, "coverage": 1.0, "covered": [range], "hits": hits,
        });
        req.responder.json(200, answer.to_string());
    });
    let report = run_verified(&config(&server, false), |request, answer: &BenchAnswer| {
        let snapshot = SnapshotId(answer.snapshot.ok_or("no snapshot")?);
        let search = &request.item.search;
        let parts = answer.covered.iter();
        let expected: Vec<_> = parts
            .flat_map(|range| documents(search, snapshot, *range, &request.body))
            .collect();
        if answer.hits == expected {
            Ok(())
        } else {
            Err("hits differ".to_owned())
        }
    })
    .unwrap();
    assert_eq!(report.wrong, 1, "{report}");
    assert!(report.wrong_messages[0].ends_with("hits differ"));
}

#[test]
fn senseless_settings_are_refused() {
    // Guards against a run that offers nothing and reports no failure.
    let server = serve(|req| req.responder.empty(204));
    let mut cfg = config(&server, false);
    cfg.mix[0].weight = 0.0;
    assert_eq!(
        run(&cfg).unwrap_err().to_string(),
        "setting mix: a weight is not positive"
    );
    cfg.targets.clear();
    assert_eq!(run(&cfg).unwrap_err().to_string(), "setting targets: empty");
}
