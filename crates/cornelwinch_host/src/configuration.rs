use std::time::{Duration, Instant};

use cornelwinch_config::{ConfigState, Entry, Kind, ServiceState};
use cornelwinch_placement::{UpstreamSite, shard_group, top_hosts};
use cornelwinch_types::{Name, SortedMap};

use crate::owners::{OwnerOutput, OwnerTerms};
use crate::sync::Applied;
use crate::{Action, ConfigUpdate, Host, PeerMessage, PlatformCall, PlatformEvent, Routing};

/// Hosts of a zone that watch the platform. Each waiting watch counts as a
/// call, so that not every host can have one.
const WATCHERS_PER_ZONE: usize = 2;

/// Time that a watch waits at the platform. A connection may break without a
/// sign, and until the watch ends the host hears of no change. At 42 watchers
/// it costs 42 of the platform's 2,000 reads/s.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed list or watch.
const WATCH_RETRY: Duration = Duration::from_millis(500);

/// Time between reads of the platform's host list by a watcher.
const HOSTS_PERIOD: Duration = Duration::from_secs(2);

/// Time after which a watcher repeats the list of leaving upstreams. A message
/// may be lost, or be passed on late by a host that was paused, and then a host
/// would keep an old list until the next change.
const LEAVING_REPEAT: Duration = Duration::from_secs(10);

impl Host {
    /// Live members of this host's zone by name, this host included.
    pub(crate) fn zone_members(&self) -> Vec<Name> {
        self.membership
            .members()
            .iter()
            .filter(|member| member.zone == self.cfg.me.zone)
            .filter(|member| member.can_own() || member.name == self.cfg.me.name)
            .map(|member| member.name.clone())
            .collect()
    }

    fn is_watcher(&self) -> bool {
        let members = self.zone_members();
        top_hosts(&self.cfg.me.zone, &members, WATCHERS_PER_ZONE).contains(&&self.cfg.me.name)
    }

    /// Reports whether operators took this host or its zone out of service.
    pub(crate) fn is_host_out(&self) -> bool {
        let state = &self.sync.state;
        let host = state.host(&self.cfg.me.name).map(|spec| spec.state);
        let zone = state.zone(&self.cfg.me.zone).map(|spec| spec.state);
        [host, zone].contains(&Some(ServiceState::Out))
    }

    /// Starts the platform calls that are due. A starting host lists once;
    /// later only watchers call the platform.
    pub(crate) fn call_platform(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.draining.is_some_and(|draining| draining.released) {
            return;
        }
        if !self.watching && self.next_watch.is_some_and(|at| at <= now) {
            let after = self.sync.state.revision();
            if !self.sync.is_ready() {
                self.watching = true;
                out.push(Action::Platform(PlatformCall::List { after }));
            } else if self.is_watcher() {
                self.watching = true;
                out.push(Action::Platform(PlatformCall::Watch {
                    after,
                    wait: WATCH_WAIT,
                }));
            } else {
                self.next_watch = Some(now + WATCH_RETRY);
            }
        }
        if self.next_hosts.is_some_and(|at| at <= now) {
            let starting = !self.sync.is_ready();
            if starting || self.is_watcher() {
                self.next_hosts = None;
                out.push(Action::Platform(PlatformCall::Hosts));
            } else {
                self.next_hosts = Some(now + HOSTS_PERIOD);
            }
        }
    }

    pub(crate) fn on_platform(
        &mut self,
        now: Instant,
        event: PlatformEvent,
        out: &mut Vec<Action>,
    ) {
        match event {
            PlatformEvent::Changes { entries, through } => {
                self.watching = false;
                self.next_watch = Some(now);
                let zone = self.zone_members();
                let me = self.cfg.me.name.clone();
                let applied = self.sync.on_platform(entries, through, &me, &zone);
                self.on_applied(now, applied, out);
            }
            PlatformEvent::ChangesFailed => {
                self.watching = false;
                self.next_watch = Some(now + WATCH_RETRY);
                self.sync.on_platform_failed(now);
            }
            PlatformEvent::Hosts {
                hosts,
                mut leaving_upstreams,
            } => {
                leaving_upstreams.sort_unstable();
                self.next_hosts = Some(now + HOSTS_PERIOD);
                let mut actions = Vec::new();
                self.membership.on_list(now, &hosts, &mut actions);
                self.on_membership(now, actions, out);
                self.pass_on_leaving(now, &leaving_upstreams);
                self.on_upstreams_leaving(now, leaving_upstreams, out);
            }
            PlatformEvent::HostsFailed => self.next_hosts = Some(now + HOSTS_PERIOD),
            PlatformEvent::Claims { bucket, reply } => {
                self.on_claim_bucket(now, bucket, reply, out);
            }
        }
        self.call_platform(now, out);
    }

    /// Tells the other hosts of the zone when the list of leaving upstreams,
    /// sorted by name, has changed, and from time to time without a change.
    fn pass_on_leaving(&mut self, now: Instant, leaving: &[Name]) {
        let changed = self.leaving_upstreams != leaving;
        if !(changed || now >= self.next_leaving) || !self.is_watcher() {
            return;
        }
        self.next_leaving = now + LEAVING_REPEAT;
        self.spread_in_zone(|relay| PeerMessage::UpstreamsLeaving {
            upstreams: leaving.to_vec(),
            relay,
        });
    }

    pub(crate) fn on_upstreams_leaving(
        &mut self,
        now: Instant,
        mut leaving: Vec<Name>,
        out: &mut Vec<Action>,
    ) {
        leaving.sort_unstable();
        if self.leaving_upstreams == leaving {
            return;
        }
        let before = std::mem::replace(&mut self.leaving_upstreams, leaving);
        let returned = before
            .iter()
            .filter(|name| self.leaving_upstreams.binary_search(name).is_err());
        let changed: Vec<Name> = self
            .leaving_upstreams
            .iter()
            .chain(returned)
            .cloned()
            .collect();
        let mut owner_out = OwnerOutput::default();
        for name in changed {
            let leaving = self.is_upstream_leaving(&name);
            self.stats.set_out_of_service(&name, leaving);
            self.owners.set_leaving(now, &name, leaving, &mut owner_out);
        }
        self.on_owner_output(now, owner_out, out);
    }

    pub(crate) fn is_upstream_leaving(&self, name: &Name) -> bool {
        self.leaving_upstreams.binary_search(name).is_ok() || self.sync.state.is_upstream_out(name)
    }

    /// An upstream that no longer says it is leaving takes work again, from a
    /// cold start, unless the platform or an operator marks it.
    pub(crate) fn on_upstream_health(&mut self, now: Instant, upstream: &Name, leaving: bool) {
        if leaving || self.is_upstream_leaving(upstream) {
            return;
        }
        self.owners.on_serving_report(now, upstream);
    }

    pub(crate) fn on_config_update(
        &mut self,
        now: Instant,
        from: &Name,
        update: ConfigUpdate,
        out: &mut Vec<Action>,
    ) {
        let zone = self.zone_members();
        let me = self.cfg.me.name.clone();
        let applied = self.sync.on_update(now, from, update, &me, &zone);
        self.on_applied(now, applied, out);
    }

    /// Puts new entries into force.
    fn on_applied(&mut self, now: Instant, applied: Applied, out: &mut Vec<Action>) {
        for (to, msg) in applied.messages {
            self.router.push(&to, msg);
        }
        self.membership.set_revision(self.sync.state.revision());
        if applied.entries.is_empty() {
            return;
        }
        log::info!(
            "event=config_applied revision={} entries={}",
            self.sync.state.revision(),
            applied.entries.len()
        );
        let changed = |kind: Kind| applied.entries.iter().any(|entry| entry.kind() == kind);
        if changed(Kind::Class) {
            self.owners
                .set_longest_leg(longest_deadline(&self.sync.state));
        }
        if changed(Kind::Upstream) || changed(Kind::Zone) || changed(Kind::Snapshot) {
            self.apply_upstreams(now, &applied.entries, out);
        }
        if changed(Kind::Plan)
            || changed(Kind::Organisation)
            || changed(Kind::Class)
            || changed(Kind::Search)
        {
            self.admission.set_config(&self.sync.state);
        }
    }

    fn apply_upstreams(&mut self, now: Instant, entries: &[Entry], out: &mut Vec<Action>) {
        let sites = upstream_sites(&self.sync.state);
        self.placement.set_upstreams(&sites);
        self.stats
            .set_upstreams(sites.into_iter().map(|site| (site.name, site.zone)));
        let only_snapshots = entries.iter().all(|entry| entry.kind() == Kind::Snapshot);
        if !only_snapshots {
            let state = &self.sync.state;
            for (name, _) in state.upstreams() {
                let out_of_service = state.is_upstream_out(name)
                    || self.leaving_upstreams.binary_search(name).is_ok();
                self.stats.set_out_of_service(name, out_of_service);
            }
        }
        self.refresh_owners(now, out);
    }

    /// Makes the owned upstreams those that the placement gives to this host.
    pub(crate) fn refresh_owners(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut owner_out = OwnerOutput::default();
        let me = &self.cfg.me.name;
        let released = self.draining.is_some_and(|draining| draining.released);
        let lost: Vec<Name> = self
            .owners
            .names()
            .filter(|name| released || self.owner_of(name).as_ref() != Some(me))
            .cloned()
            .collect();
        for name in lost {
            let successor = self.placement.owner(&name).filter(|owner| *owner != me);
            self.owners.release(now, &name, successor, &mut owner_out);
        }
        if !released {
            let state = &self.sync.state;
            for (name, owner) in self.placement.owners() {
                let direct = self.cfg.routing == Routing::Direct;
                if owner != Some(me) && !direct {
                    continue;
                }
                if let Some(spec) = state.upstream(name) {
                    let terms = OwnerTerms {
                        leaving: state.is_upstream_out(name)
                            || self.leaving_upstreams.binary_search(name).is_ok(),
                        held: spec.zone != self.cfg.me.zone
                            && !self.membership.is_zone_reachable(&spec.zone),
                    };
                    let mut spec = spec.clone();
                    if direct {
                        let hosts = self.membership.members().len().max(1) as u32;
                        spec.slots = (spec.slots / hosts).max(1);
                        spec.cold_limit = spec.cold_limit.min(spec.slots);
                    }
                    self.owners.acquire(now, name, &spec, terms, &mut owner_out);
                }
            }
        }
        self.on_owner_output(now, owner_out, out);
    }

    /// Tells admission which hosts share organisations' rates: all that are not
    /// confirmed to be gone.
    pub(crate) fn refresh_hosts(&mut self, now: Instant) {
        let hosts: Vec<Name> = self
            .membership
            .members()
            .iter()
            .filter(|member| member.state != cornelwinch_types::MemberState::Dead)
            .map(|member| member.name.clone())
            .collect();
        self.admission.set_hosts(now, &hosts);
        let unreachable: Vec<Name> = self
            .membership
            .members()
            .iter()
            .filter(|member| !self.membership.is_zone_reachable(&member.zone))
            .map(|member| member.name.clone())
            .collect();
        self.admission.set_unreachable(&unreachable);
    }
}

/// Upstreams with the group that decides their owner: neighbouring shards of
/// the newest snapshot share one owner, so that a query meets fewer of them.
fn upstream_sites(state: &ConfigState) -> Vec<UpstreamSite> {
    let mut groups: SortedMap<Name, Name> = SortedMap::new();
    for entry in state.entries_of(Kind::Search) {
        let Some(snapshot) = state.snapshots(&entry.name).first() else {
            continue;
        };
        for (position, shard) in snapshot.shards.iter().enumerate() {
            for replica in &shard.replicas {
                if !groups.contains_key(replica) {
                    groups.insert(replica.clone(), shard_group(&entry.name, position));
                }
            }
        }
    }
    state
        .upstreams()
        .map(|(name, spec)| UpstreamSite {
            name: name.clone(),
            zone: spec.zone.clone(),
            group: groups.get(name).unwrap_or(name).clone(),
        })
        .collect()
}

/// Longest deadline of any class, which bounds that of a leg.
fn longest_deadline(state: &ConfigState) -> Duration {
    let classes = state.entries_of(Kind::Class).iter();
    let deadlines = classes.filter_map(|entry| state.class(&entry.name));
    let longest = deadlines.map(|policy| policy.deadline_ms).max();
    Duration::from_millis(longest.unwrap_or_default())
}
