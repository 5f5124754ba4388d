use std::time::{Duration, Instant};

use cornelwinch_host::{
    Action, CallerAnswer, CallerRequest, Host, Input, PeerMessage, RequestLabel,
};
use cornelwinch_http::Responder;
use cornelwinch_peer::PeerTransport;
use cornelwinch_types::{Name, Outcome, SortedMap};
use crossbeam_channel::Sender;
use serde_json::json;
use stakker::{CX, FixedTimerKey, at};

use crate::callers;
use crate::gossip::Gossip;
use crate::metrics::{Metrics, RequestEnd};
use crate::platform::PlatformAdapter;
use crate::upstream::{LegThread, UpstreamClient, UpstreamEvent};

/// What the adapters send to the actor.
#[derive(Debug)]
pub(crate) enum ActorInput {
    /// An input of the host itself.
    Host(Input),
    /// A request of a caller or an operator, and the means to answer it.
    Request {
        request: CallerRequest,
        responder: Responder,
        arrived: Instant,
    },
    /// An operator asks for the histograms.
    Histograms(Responder),
    /// An operator asks for the bytes exchanged with other hosts.
    Traffic(Responder),
    /// A load balancer asks whether the host is ready.
    Ready(Responder),
}

/// A caller that waits for its answer.
#[derive(Debug)]
struct Waiting {
    responder: Responder,
    arrived: Instant,
}

/// The adapters that carry out a host's actions.
#[derive(Debug)]
pub(crate) struct Adapters {
    /// `None` after the end of the host.
    pub(crate) peers: Option<PeerTransport<PeerMessage>>,
    pub(crate) gossip: Gossip,
    pub(crate) platform: PlatformAdapter,
    pub(crate) legs: LegThread,
    pub(crate) metrics: Metrics,
    pub(crate) tx: Sender<ActorInput>,
}

/// The actor that owns the host and its adapters.
pub(crate) struct HostActor {
    host: Host,
    adapters: Adapters,
    upstreams: SortedMap<Name, UpstreamClient>,
    waiting: SortedMap<u64, Waiting>,
    next_caller: u64,
    timer: FixedTimerKey,
    scheduled: Option<Instant>,
    actions: Vec<Action>,
    /// Failed invariant checks that have been reported.
    violations: u64,
    exited: bool,
}

impl HostActor {
    pub(crate) fn init(
        cx: CX![],
        host: Host,
        adapters: Adapters,
        actions: Vec<Action>,
    ) -> Option<Self> {
        let mut actor = Self {
            host,
            adapters,
            upstreams: SortedMap::new(),
            waiting: SortedMap::new(),
            next_caller: 0,
            timer: FixedTimerKey::default(),
            scheduled: None,
            actions,
            violations: 0,
            exited: false,
        };
        actor.carry_out(cx);
        Some(actor)
    }

    /// Reports whether the host has finished its shutdown.
    pub(crate) fn is_exited(&self, _cx: CX![]) -> bool {
        self.exited
    }

    /// Reports whether the host is shutting down.
    pub(crate) fn is_draining(&self, _cx: CX![]) -> bool {
        self.host.is_draining()
    }

    /// Takes the transport between hosts, to close it.
    pub(crate) fn take_peers(&mut self, _cx: CX![]) -> Option<PeerTransport<PeerMessage>> {
        self.adapters.peers.take()
    }

    pub(crate) fn handle(&mut self, cx: CX![], input: ActorInput) {
        match input {
            ActorInput::Host(input) => self.host.handle(cx.now(), input, &mut self.actions),
            ActorInput::Request {
                request,
                responder,
                arrived,
            } => self.accept(cx.now(), request, responder, arrived),
            ActorInput::Histograms(responder) => {
                responder.json(200, self.adapters.metrics.to_json().to_string());
            }
            ActorInput::Traffic(responder) => {
                let gossip = self.adapters.gossip.traffic();
                let peers = self.adapters.peers.as_ref().map(PeerTransport::traffic);
                let peers = peers.unwrap_or_default();
                let body = json!({
                    "gossip_sent": gossip.sent,
                    "gossip_received": gossip.received,
                    "peer_sent": peers.sent,
                    "peer_received": peers.received,
                });
                responder.json(200, body.to_string());
            }
            ActorInput::Ready(responder) => {
                let ready = self.host.is_ready();
                let status = if ready { 200 } else { 503 };
                responder.json(status, json!({ "ready": ready }).to_string());
            }
        }
        self.carry_out(cx);
    }

    fn on_timer(&mut self, cx: CX![]) {
        self.scheduled = None;
        self.host.on_wake(cx.now(), &mut self.actions);
        self.count_violations();
        self.carry_out(cx);
    }

    fn count_violations(&mut self) {
        let violations = self.host.violations();
        if violations > self.violations {
            let new = violations - self.violations;
            log::error!("event=invariant_failed new={new} total={violations}");
            self.adapters.metrics.count_violations(new);
            self.violations = violations;
        }
    }

    fn accept(
        &mut self,
        now: Instant,
        request: CallerRequest,
        responder: Responder,
        arrived: Instant,
    ) {
        let caller = self.next_caller;
        self.next_caller += 1;
        let tx = self.adapters.tx.clone();
        responder.on_caller_gone(move || {
            let _ = tx.send(ActorInput::Host(Input::CallerGone { caller }));
        });
        self.waiting.insert(caller, Waiting { responder, arrived });
        let input = Input::Caller { caller, request };
        self.host.handle(now, input, &mut self.actions);
    }

    fn carry_out(&mut self, cx: CX![]) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        self.schedule(cx);
    }

    /// Keeps one timer, for the host's next wake.
    fn schedule(&mut self, cx: CX![]) {
        let at = self.host.next_wake();
        if self.scheduled == Some(at) {
            return;
        }
        if self.scheduled.is_some() {
            cx.timer_del(self.timer);
        }
        self.timer = at!(at, [cx], on_timer());
        self.scheduled = Some(at);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Reply {
                caller,
                label,
                answer,
            } => self.reply(caller, &label, &answer),
            Action::SendPeer { to, addr, msg } => {
                if let Some(peers) = &self.adapters.peers {
                    peers.send(to, addr, msg);
                }
            }
            Action::DisconnectPeer { peer } => {
                if let Some(peers) = &self.adapters.peers {
                    peers.disconnect(peer);
                }
            }
            Action::SendDatagram { to, buf } => self.adapters.gossip.send(to, &buf),
            Action::OpenUpstream { upstream, spec } => {
                let client = UpstreamClient::open(
                    &self.adapters.legs,
                    upstream.clone(),
                    spec.address,
                    spec.slots,
                    spec.connections,
                    upstream_handler(self.adapters.tx.clone()),
                );
                self.upstreams.insert(upstream, client);
            }
            Action::CloseUpstream { upstream } => {
                self.upstreams.remove(&upstream);
            }
            Action::SendUpstream(leg) => match self.upstreams.get(&leg.upstream) {
                Some(client) => client.send(leg),
                None => log::error!("event=upstream_not_open upstream={}", leg.upstream),
            },
            Action::CancelUpstream { upstream, attempt } => {
                if let Some(client) = self.upstreams.get(&upstream) {
                    client.cancel(attempt);
                }
            }
            Action::ProbeUpstream { upstream } => {
                if let Some(client) = self.upstreams.get(&upstream) {
                    client.probe_health();
                }
            }
            Action::Platform(call) => self.adapters.platform.call(call),
            Action::Exit => self.exited = true,
        }
    }

    fn reply(&mut self, caller: u64, label: &RequestLabel, answer: &CallerAnswer) {
        let Some(waiting) = self.waiting.remove(&caller) else {
            return;
        };
        let end = match answer {
            CallerAnswer::Query(answer) => match answer.outcome {
                Outcome::Done => Some(RequestEnd::Answered {
                    coverage: answer.coverage,
                }),
                Outcome::NotRun => Some(RequestEnd::NotRun),
                Outcome::Unknown => Some(RequestEnd::Unknown),
            },
            CallerAnswer::Run { result, .. } => Some(match result.outcome {
                Outcome::Done => RequestEnd::Answered { coverage: 1.0 },
                Outcome::NotRun => RequestEnd::NotRun,
                Outcome::Unknown => RequestEnd::Unknown,
            }),
            CallerAnswer::Rejected(_) => Some(RequestEnd::NotRun),
            CallerAnswer::Tickets(_) | CallerAnswer::Status(_) => None,
        };
        if let Some(end) = end {
            let latency = waiting.arrived.elapsed().max(Duration::from_micros(1));
            self.adapters
                .metrics
                .record(&label.class, &label.organisation, latency, end);
        }
        callers::respond(waiting.responder, answer);
    }
}

fn upstream_handler(tx: Sender<ActorInput>) -> impl Fn(UpstreamEvent) + Send + Sync + 'static {
    move |event| {
        let input = match event {
            UpstreamEvent::Finished {
                upstream,
                attempt,
                result,
                signs,
            } => Input::Upstream {
                upstream,
                attempt,
                result,
                signs,
            },
            UpstreamEvent::Health { upstream, leaving } => {
                Input::UpstreamHealth { upstream, leaving }
            }
        };
        let _ = tx.send(ActorInput::Host(input));
    }
}
