use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cornelwinch_types::Outcome;

use crate::answer::{BenchAnswer, SentRequest};
use crate::caller::{Caller, GRACE};
use crate::config::{BenchConfig, BenchError, ThreadSnafu};
use crate::report::Report;
use crate::schedule::{Arrival, arrivals};
use crate::tally::{Fate, Tally};

/// Stack of a load thread; there can be hundreds.
const STACK_BYTES: usize = 256 * 1024;

/// Offers the load and waits for all answers.
///
/// ```no_run
/// use cornelwinch_bench::{BenchConfig, MixItem, run};
///
/// let item = MixItem {
///     search: "portal".into(),
///     class: "lookup".into(),
///     token: "secret".into(),
///     weight: 1.0,
///     deadline_ms: 300,
///     ..MixItem::default()
/// };
/// let cfg = BenchConfig {
///     targets: vec!["127.0.0.1:8080".parse().unwrap()],
///     mix: vec![item],
///     ..BenchConfig::default()
/// };
/// println!("{}", run(&cfg).unwrap());
/// ```
///
/// # Errors
///
/// Fails when a setting makes no sense or a load thread panics.
pub fn run(cfg: &BenchConfig) -> Result<Report, BenchError> {
    run_verified(cfg, |_, _| Ok(()))
}

/// Offers the load and checks each answer, whatever its outcome; the error of
/// `verify` says what is wrong with the answer.
///
/// # Errors
///
/// Fails when a setting makes no sense or a load thread panics.
pub fn run_verified(
    cfg: &BenchConfig,
    verify: impl Fn(&SentRequest<'_>, &BenchAnswer) -> Result<(), String> + Sync,
) -> Result<Report, BenchError> {
    cfg.validate()?;
    let plan = arrivals(cfg);
    let run = Run {
        cfg,
        plan: &plan,
        next: AtomicUsize::new(0),
        started: Instant::now(),
        verify: &verify,
    };
    let mut by_item: Vec<Tally> = cfg.mix.iter().map(|_| Tally::new()).collect();
    let failed = thread::scope(|scope| {
        let threads: Vec<_> = (0..cfg.connections)
            .map(|_| {
                thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn_scoped(scope, || run.work())
            })
            .collect();
        let mut failed = false;
        for thread in threads {
            match thread.map(thread::ScopedJoinHandle::join) {
                Ok(Ok(tallies)) => {
                    for (total, part) in by_item.iter_mut().zip(tallies) {
                        total.merge(part);
                    }
                }
                _ => failed = true,
            }
        }
        failed
    });
    if failed {
        return ThreadSnafu.fail();
    }
    Ok(report(cfg, run.started.elapsed(), by_item))
}

struct Run<'a, V> {
    cfg: &'a BenchConfig,
    plan: &'a [Arrival],
    /// Position of the next request that no thread has taken.
    next: AtomicUsize,
    started: Instant,
    verify: &'a V,
}

impl<V> Run<'_, V>
where
    V: Fn(&SentRequest<'_>, &BenchAnswer) -> Result<(), String> + Sync,
{
    /// Sends requests until the plan is used up; counts by kind of request.
    fn work(&self) -> Vec<Tally> {
        let mut tallies: Vec<Tally> = self.cfg.mix.iter().map(|_| Tally::new()).collect();
        let mut caller = Caller::new(self.cfg.targets.len());
        loop {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(arrival) = self.plan.get(index) else {
                return tallies;
            };
            let planned = self.started + arrival.at;
            let tally = &mut tallies[arrival.item];
            let (request, fate) = self.send(index, arrival, planned, &mut caller, tally);
            tally.record(arrival.at, planned.elapsed(), &fate);
            if let Fate::Answered(answer) = fate
                && let Err(message) = (self.verify)(&request, &answer)
            {
                tally.record_wrong(format!("request {index}: {message}"));
            }
        }
    }

    fn send(
        &self,
        index: usize,
        arrival: &Arrival,
        planned: Instant,
        caller: &mut Caller,
        tally: &mut Tally,
    ) -> (SentRequest<'_>, Fate) {
        let item = &self.cfg.mix[arrival.item];
        let mut request = SentRequest {
            index,
            item,
            target: self.cfg.targets[arrival.target],
            body: self.cfg.bodies[arrival.body].clone(),
            key: arrival.key,
            ticket: None,
        };
        // A request that is late beyond any use is dropped, so that a run
        // under overload ends.
        if planned.elapsed() > Duration::from_millis(item.deadline_ms) + GRACE {
            tally.record_start(planned.elapsed());
            return (request, Fate::NotSent);
        }
        if item.tickets {
            // Fetched ahead of the planned time.
            match caller.ticket(request.target, item) {
                Ok(ticket) => request.ticket = Some(ticket),
                Err(error) => {
                    thread::sleep(planned.saturating_duration_since(Instant::now()));
                    return (request, Fate::NoAnswer(format!("tickets: {error}")));
                }
            }
            request.body = format!("{} ticket-{}-{index}", request.body, self.cfg.seed);
        }
        let wait = planned.saturating_duration_since(Instant::now());
        thread::sleep(wait);
        tally.record_start(planned.elapsed());
        let fate = match caller.send(&request) {
            Ok(answer) => Fate::Answered(Box::new(answer)),
            Err(error) => Fate::NoAnswer(error),
        };
        let is_done =
            matches!(&fate, Fate::Answered(answer) if answer.outcome == Some(Outcome::Done));
        if item.tickets && !is_done {
            caller.forget_tickets(request.target);
        }
        (request, fate)
    }
}

fn report(cfg: &BenchConfig, elapsed: Duration, by_item: Vec<Tally>) -> Report {
    let mut total = Tally::new();
    let mut groups: Vec<((&str, &str), Tally)> = Vec::new();
    for (item, tally) in cfg.mix.iter().zip(by_item) {
        let key = (item.class.as_str(), item.organisation.as_str());
        match groups.binary_search_by_key(&key, |group| group.0) {
            Ok(i) => groups[i].1.merge(tally),
            Err(i) => groups.insert(i, (key, tally)),
        }
    }
    let groups = groups
        .into_iter()
        .map(|((class, organisation), tally)| {
            let report = tally.report(class, organisation);
            total.merge(tally);
            report
        })
        .collect();
    let seconds = total.seconds().to_vec();
    let late_starts = total.late_starts;
    let start_delay = total.start_delay();
    let wrong = total.wrong_count;
    let wrong_messages = std::mem::take(&mut total.wrong);
    let total = total.report("all", "all");
    let planned_s = cfg.duration.as_secs_f64();
    Report {
        offered_per_s: total.offered as f64 / planned_s,
        done_per_s: total.outcomes.done as f64 / planned_s,
        elapsed_s: elapsed.as_secs_f64(),
        late_starts,
        start_delay,
        wrong,
        wrong_messages,
        total,
        groups,
        seconds,
    }
}
