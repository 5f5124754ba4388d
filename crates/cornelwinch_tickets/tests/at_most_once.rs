//! Guards against a ticket that runs twice, a request that runs although it
//! was reported as not run, and results that change between resends.

mod seeds;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cornelwinch_tickets::{
    Begin, TicketAction, TicketConfig, TicketId, TicketResult, TicketRun, TicketRunSpec, Tickets,
};
use cornelwinch_types::*;
use seeds::for_seeds;

type Out = Vec<TicketAction>;

const MS: Duration = Duration::from_millis(1);

fn template() -> LegRequest {
    LegRequest {
        attempt: AttemptId(0),
        query: QueryId(1),
        search: "stock".into(),
        class: "dispatch".into(),
        organisation: "school".into(),
        snapshot: SnapshotId(1),
        range: KeyRange { start: 0, end: 9 },
        upstream: "".into(),
        body: "two pallets".into(),
        idempotent: false,
        priority: 0,
        fingerprint: Fingerprint::of("stock", "two pallets"),
        budget: MS,
    }
}

fn answer(attempt: AttemptId) -> LegResult {
    let (snapshot, range) = (SnapshotId(1), KeyRange { start: 0, end: 9 });
    LegResult::Answer(LegAnswer {
        attempt,
        snapshot,
        range,
        documents: 1,
        hits: Vec::new(),
    })
}

/// What is known outside the program about one ticket.
#[derive(Default)]
struct Facts {
    runs: u32,
    result: Option<TicketResult>,
    waiting: usize,
}

struct World {
    now: Instant,
    rng: fastrand::Rng,
    tickets: Tickets,
    incarnation: u64,
    attempts: u64,
    runs: Vec<(TicketId, TicketRun)>,
    /// Results on their way to the host.
    results: Vec<(Instant, TicketId, AttemptId, LegResult)>,
    facts: BTreeMap<TicketId, Facts>,
}

impl World {
    fn carry_out(&mut self, id: &TicketId, out: Vec<TicketAction>) {
        for action in out {
            match action {
                TicketAction::Send(req) => {
                    assert!(!req.idempotent && !req.budget.is_zero());
                    let facts = self.facts.get_mut(id).expect("an issued ticket");
                    let refusals = [Refusal::Shed, Refusal::Unreachable, Refusal::Overloaded];
                    let result = match self.rng.u32(..10) {
                        0..5 => LegResult::Refused(refusals[self.rng.usize(..3)].clone()),
                        5..8 => answer(req.attempt),
                        8 => LegResult::Failed(LegFailure::Disconnected),
                        _ => LegResult::Failed(LegFailure::TimedOut),
                    };
                    facts.runs += u32::from(!matches!(result, LegResult::Refused(_)));
                    assert!(facts.runs <= 1, "{id} ran twice");
                    let not_run = facts
                        .result
                        .as_ref()
                        .is_some_and(|r| r.outcome == Outcome::NotRun);
                    assert!(!not_run, "{id} sent after not_run");
                    let at = self.now + self.rng.u32(1..40) * MS;
                    // Some results arrive twice.
                    for at in [at, at + 5 * MS].into_iter().take(self.rng.usize(1..=2)) {
                        self.results
                            .push((at, id.clone(), req.attempt, result.clone()));
                    }
                }
                TicketAction::Finish(result) => {
                    let waiters = self.tickets.finish(self.now, id, result.clone()).len();
                    let waiting =
                        std::mem::take(&mut self.facts.get_mut(id).expect("facts").waiting);
                    assert_eq!(waiters, waiting, "waiters of {id}");
                    self.report(id, &result);
                }
            }
        }
    }

    fn report(&mut self, id: &TicketId, result: &TicketResult) {
        let facts = self.facts.get_mut(id).expect("facts");
        if result.outcome != Outcome::Unknown {
            let ran = result.outcome == Outcome::Done;
            assert_eq!(facts.runs == 1, ran, "{id} reported {result:?}");
        }
        let first = facts.result.get_or_insert_with(|| result.clone());
        assert_eq!(first, result, "second result of {id}");
    }

    fn request(&mut self, id: &TicketId) {
        let deadline = self.now + self.rng.u32(..80) * MS;
        let fingerprint = template().fingerprint;
        match self.tickets.begin(self.now, id, fingerprint, 1, deadline) {
            Begin::Start => {
                self.facts.get_mut(id).expect("facts").waiting = 1;
                let replicas = ["a", "b"].map(Name::from)[..self.rng.usize(..=2)].to_vec();
                let spec = TicketRunSpec {
                    template: template(),
                    replicas,
                    deadline,
                };
                // A pause between the decision and the start.
                self.now += self.rng.u32(..2) * self.rng.u32(..50) * MS;
                let mut out = Vec::new();
                let next = || {
                    self.attempts += 1;
                    AttemptId(self.attempts)
                };
                let run = TicketRun::start(self.now, spec, next, &mut out);
                assert!(self.now < deadline || !matches!(out[0], TicketAction::Send(_)));
                self.runs.push((id.clone(), run));
                self.carry_out(id, out);
            }
            Begin::Joined => self.facts.get_mut(id).expect("facts").waiting += 1,
            Begin::Finished(result) => self.report(id, &result),
            Begin::Expired => self.report(id, &TicketResult::not_run("deadline_passed")),
            Begin::Unknown => {}
            other => panic!("{other:?} for {id}"),
        }
        let other = Fingerprint::of("stock", "three pallets");
        let begin = self.tickets.begin(self.now, id, other, 1, deadline);
        assert!(
            matches!(begin, Begin::Conflict | Begin::Unknown),
            "{begin:?}"
        );
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        self.rng.shuffle(&mut self.results);
        while let Some(i) = self.results.iter().position(|r| r.0 <= self.now) {
            let (_, id, attempt, result) = self.results.swap_remove(i);
            self.step(&id, |run, now, out| run.on_leg(now, attempt, result, out));
        }
        for id in self
            .runs
            .iter()
            .map(|(id, _)| id.clone())
            .collect::<Vec<_>>()
        {
            self.step(&id, TicketRun::on_wake);
        }
        let next = self
            .runs
            .iter()
            .filter_map(|(_, run)| run.next_wake())
            .min();
        assert!(next.is_none_or(|t| t > self.now), "wake without effect");
        self.tickets.on_wake(self.now);
    }

    fn step(&mut self, id: &TicketId, f: impl FnOnce(&mut TicketRun, Instant, &mut Out)) {
        let Some(i) = self.runs.iter().position(|(own, _)| own == id) else {
            return;
        };
        let mut out = Vec::new();
        f(&mut self.runs[i].1, self.now, &mut out);
        self.carry_out(id, out);
    }
}

fn run(seed: u64) -> [usize; 3] {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(seed);
    let cfg = TicketConfig {
        capacity: rng.usize(1..12),
        retention: rng.u32(20..400) * MS,
    };
    let open = |now, n| Tickets::open(now, "host-1".into(), Incarnation(n), cfg);
    let mut world = World {
        now,
        rng,
        tickets: open(now, 1),
        incarnation: 1,
        attempts: 0,
        runs: Vec::new(),
        results: Vec::new(),
        facts: BTreeMap::new(),
    };
    for _ in 0..200 {
        if world.rng.u8(..4) == 0 {
            let count = world.rng.usize(1..4);
            let ids = world.tickets.issue(world.now, count);
            world
                .facts
                .extend(ids.into_iter().map(|id| (id, Facts::default())));
            assert!(world.tickets.len() <= cfg.capacity);
        }
        if world.rng.u8(..100) == 0 {
            // The process restarts; its runs and results are lost.
            world.incarnation += 1;
            world.tickets = open(world.now, world.incarnation);
            world.runs.clear();
        }
        let ids = world
            .facts
            .keys()
            .rev()
            .take(12)
            .cloned()
            .collect::<Vec<_>>();
        if !ids.is_empty() {
            let id = &ids[world.rng.usize(..ids.len())];
            world.request(id);
        }
        let time = world.rng.u32(..20) * MS;
        world.advance(time);
    }
    let violations = world
        .runs
        .iter()
        .map(|(_, run)| run.violations())
        .sum::<u64>();
    assert_eq!(violations + world.tickets.violations(), 0);
    let outcomes = [Outcome::Done, Outcome::NotRun, Outcome::Unknown];
    outcomes.map(|o| {
        world
            .facts
            .values()
            .filter(|f| f.result.as_ref().is_some_and(|r| r.outcome == o))
            .count()
    })
}

#[test]
fn tickets_run_at_most_once() {
    let counts = for_seeds(run);
    let totals = [0, 1, 2].map(|i| counts.iter().map(|c| c[i]).sum::<usize>());
    println!("done, not run, unknown: {totals:?}");
    assert!(
        totals.iter().all(|n| *n > 0),
        "an outcome never occurred: {totals:?}"
    );
}

#[test]
fn foreign_tickets_never_start() {
    let now = Instant::now();
    let cfg = TicketConfig {
        capacity: 2,
        retention: 50 * MS,
    };
    let mut tickets = Tickets::open(now, "host-1".into(), Incarnation(2), cfg);
    assert_eq!(tickets.issue(now, 3).len(), 2, "more tickets than capacity");
    let body = template().fingerprint;
    let id = "host-1~2~2".parse().expect("a ticket");
    assert_eq!(tickets.begin(now, &id, body, 1, now), Begin::Expired);
    let mut begin =
        |id: &str, now| tickets.begin(now, &id.parse().expect("a ticket"), body, 1, now + MS);
    assert_eq!(begin("host-2~2~1", now), Begin::Elsewhere("host-2".into()));
    assert_eq!(begin("host-1~1~1", now), Begin::Unknown);
    assert_eq!(begin("host-1~2~9", now), Begin::Unknown);
    assert_eq!(begin("host-1~2~1", now + 50 * MS), Begin::Expired);
    for text in [
        "",
        "host-1",
        "host-1~2",
        "~2~1",
        "host-1~x~1",
        "host-1~2~-1",
    ] {
        assert!(text.parse::<TicketId>().is_err(), "{text} is no ticket");
    }
}

#[test]
fn refused_legs_try_next_replica() {
    let now = Instant::now();
    let mut out = Vec::new();
    let mut ids = 0;
    let replicas = vec!["a".into(), "b".into()];
    let spec = TicketRunSpec {
        template: template(),
        replicas,
        deadline: now + 100 * MS,
    };
    let mut run = TicketRun::start(
        now,
        spec,
        || {
            ids += 1;
            AttemptId(ids)
        },
        &mut out,
    );
    let mut upstreams = Vec::new();
    while let Some(TicketAction::Send(req)) = out.pop() {
        upstreams.push(req.upstream.to_string());
        run.on_leg(
            now,
            req.attempt,
            LegResult::Refused(Refusal::Shed),
            &mut out,
        );
        if out.is_empty() {
            let wake = run.next_wake().expect("a pause");
            assert!(wake > now);
            run.on_wake(wake, &mut out);
        }
    }
    assert_eq!(upstreams, ["a", "b", "a", "b", "a", "b"]);
    // The last refusal ends the run without another leg.
    assert_eq!(run.next_wake(), None);
}

/// Guards against a ticket that ends with the answer to another attempt.
#[test]
fn mismatched_answer_does_not_finish_as_done() {
    let now = Instant::now();
    let mut out = Vec::new();
    let spec = TicketRunSpec {
        template: template(),
        replicas: vec!["up-1".into()],
        deadline: now + 100 * MS,
    };
    let mut run = TicketRun::start(now, spec, || AttemptId(7), &mut out);
    assert!(matches!(out.pop(), Some(TicketAction::Send(_))));
    run.on_leg(now, AttemptId(7), answer(AttemptId(8)), &mut out);
    let finished = TicketAction::Finish(TicketResult::unknown("mismatched"));
    assert_eq!(out, [finished]);
}
