//! Planned arrivals and latency under slow answers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use cornelwinch_bench::{BenchConfig, MixItem, arrivals, run};
use cornelwinch_http::{HttpLimits, HttpRequest, HttpServer, Responder, bind};

const DONE: &str = r#"{"outcome":"done","coverage":1.0}"#;

fn serve(handler: impl Fn(HttpRequest) + Send + Sync + 'static) -> HttpServer {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    bind(addr, HttpLimits::default(), handler).unwrap()
}

fn config(targets: Vec<SocketAddr>) -> BenchConfig {
    let item = |class: &str, weight| MixItem {
        class: class.into(),
        weight,
        deadline_ms: 20_000,
        ..MixItem::default()
    };
    BenchConfig {
        targets,
        rate_per_s: 500.0,
        duration: Duration::from_millis(200),
        mix: vec![item("low", 1.0), item("high", 3.0)],
        ..BenchConfig::default()
    }
}

#[test]
fn arrivals_follow_the_seed() {
    // Guards against runs that cannot be repeated, and against a plan that
    // misses the rate or the weights.
    let mut cfg = config(vec![SocketAddr::from(([127, 0, 0, 1], 9)); 2]);
    cfg.duration = Duration::from_secs(100);
    let plan = arrivals(&cfg);
    assert_eq!(plan, arrivals(&cfg));
    assert!((49_000..51_000).contains(&plan.len()), "{}", plan.len());
    assert!(plan.is_sorted_by_key(|arrival| arrival.at));
    let share = |f: &dyn Fn(usize) -> bool| {
        plan.iter().enumerate().filter(|(i, _)| f(*i)).count() as f64 / plan.len() as f64
    };
    assert!((share(&|i| plan[i].item == 1) - 0.75).abs() < 0.01);
    assert!((share(&|i| plan[i].target == 1) - 0.5).abs() < 0.01);
    // In a Poisson process 1 - 1/e of the gaps are shorter than the mean.
    let mean = cfg.duration / u32::try_from(plan.len()).unwrap();
    let short = share(&|i| i > 0 && plan[i].at - plan[i - 1].at < mean);
    assert!((short - 0.632).abs() < 0.01, "{short}");
    cfg.seed = 2;
    assert_ne!(plan, arrivals(&cfg));
}

#[test]
fn slow_answer_does_not_lower_the_rate() {
    // Guards against a generator that waits for an answer before it sends the
    // next request: here the first is answered after the last has arrived.
    let mut cfg = config(vec![SocketAddr::from(([127, 0, 0, 1], 9))]);
    // Bodies that tell the first request from the others.
    cfg.bodies = (0..100_000).map(|i| format!("body-{i}.")).collect();
    let plan = arrivals(&cfg);
    let first = plan[0].body;
    assert!(plan[1..].iter().all(|arrival| arrival.body != first));
    let first = cfg.bodies[first].clone();
    let expected = plan.len();
    let waiting: Mutex<(usize, Option<Responder>)> = Mutex::new((0, None));
    let server = serve(move |req| {
        let mut waiting = waiting.lock().unwrap();
        waiting.0 += 1;
        if req.body.contains(&first) {
            waiting.1 = Some(req.responder);
        } else {
            req.responder.json(200, DONE);
        }
        if waiting.0 == expected {
            waiting.1.take().unwrap().json(200, DONE);
        }
    });
    cfg.targets = vec![server.local_addr()];
    let report = run(&cfg).unwrap();
    assert_eq!(report.total.outcomes.done, expected as u64);
    let least = plan[expected - 1].at - plan[0].at;
    assert!(
        u128::from(report.total.latency.max_us) >= least.as_micros(),
        "{report}"
    );
}

#[test]
fn latency_counts_from_the_plan() {
    // Guards against a latency that leaves out the wait for a free connection.
    let server = serve(|req| {
        std::thread::spawn(move || {
            // Longer than the whole plan, so that every later request starts
            // late; time itself is what is tested.
            if req.first {
                std::thread::sleep(Duration::from_millis(400));
            }
            req.responder.json(200, DONE);
        });
    });
    let mut cfg = config(vec![server.local_addr()]);
    cfg.connections = 1;
    let report = run(&cfg).unwrap();
    assert!(report.total.latency.p50_us >= 190_000, "{report}");
    assert!(report.late_starts >= report.total.offered - 1, "{report}");
    assert_eq!(report.start_delay.count, report.total.offered);
}
