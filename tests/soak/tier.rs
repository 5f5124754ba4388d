//! A tier of hosts with leaves, a store and links that a test disturbs.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::lab::proxy::{LinkState, Proxy};
use crate::lab::store::{Mode, Store};
use crate::lab::upstream::Upstream;
use crate::lab::{desired_state, upstream_entry};
use crate::process::Process;
use crate::traffic::{Seen, serve};
use crate::{HOSTS, REPLICAS, SERVICES, SHARDS};

/// A leaf behind a link, with its entry.
struct Member {
    name: String,
    zone: String,
    service: &'static str,
    leaf: Upstream,
    link: Proxy,
    starts: u64,
}

impl Member {
    fn entry(&self) -> Value {
        let mut entry = upstream_entry(self.service, &self.leaf, &self.zone);
        entry["addr"] = json!(self.link.addr.to_string());
        entry["born"] = json!(self.leaf.born_ms + self.starts);
        entry
    }
}

/// Everything that one seed plays with.
pub(crate) struct Tier {
    pub(crate) store: Store,
    pub(crate) processes: Vec<Process>,
    /// Addresses that callers use, each behind a link.
    pub(crate) entrances: Vec<SocketAddr>,
    /// Links of callers, of the store and of the leaves.
    links: Vec<Proxy>,
    members: Vec<Member>,
    /// Share of the requests that leaves answer badly.
    faults: Rc<Cell<f64>>,
    version: u64,
    folder: PathBuf,
}

impl Tier {
    /// Starts the leaves, the store and the hosts.
    pub(crate) async fn start(seed: u64, rng: &mut fastrand::Rng, seen: &Seen) -> Self {
        let store = Store::start().await;
        let faults = Rc::new(Cell::new(0.1));
        let mut members = Vec::new();
        let mut links = Vec::new();
        for (s, service) in SERVICES.into_iter().enumerate() {
            for replica in 0..REPLICAS {
                let name = format!("i-s{s}-{replica}");
                let (seen, faults, me) = (seen.clone(), faults.clone(), name.clone());
                let mut rng = rng.fork();
                let leaf = Upstream::start(move |r| serve(&seen, &mut rng, &faults, &me, r)).await;
                let link = Proxy::start(leaf.addr).await;
                links.push(link.clone());
                members.push(Member {
                    name,
                    zone: format!("z{replica}"),
                    service,
                    leaf,
                    link,
                    starts: 0,
                });
            }
        }
        let folder =
            std::env::temp_dir().join(format!("cornelwinch-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (mut processes, mut entrances) = (Vec::new(), Vec::new());
        for n in 0..HOSTS {
            let to_store = Proxy::start(store.addr).await;
            let process = Process::start(&folder, n, to_store.addr);
            let entrance = Proxy::start(process.caller).await;
            entrances.push(entrance.addr);
            links.extend([to_store, entrance]);
            processes.push(process);
        }
        let mut tier = Self {
            store,
            processes,
            entrances,
            links,
            members,
            faults,
            version: 0,
            folder,
        };
        tier.register_all();
        tier.change_version();
        tier
    }

    /// Does one random thing to the tier.
    pub(crate) async fn disturb(&mut self, rng: &mut fastrand::Rng) {
        let pause = Duration::from_millis(rng.u64(100..900));
        let process = rng.usize(0..HOSTS);
        let member = rng.usize(0..self.members.len());
        match rng.usize(0..18) {
            0 => self.processes[process].kill(),
            1 => {
                self.processes[process].signal(Signal::SIGTERM);
                self.processes[process].signal(Signal::SIGTERM);
            }
            2 => {
                self.processes[process].signal(Signal::SIGSTOP);
                sleep(pause).await;
                self.processes[process].signal(Signal::SIGCONT);
            }
            3 => self.processes[process].change_settings(rng.u32(10..60)),
            4 => self.store.mode.set(Mode::Down),
            5 => self.store.mode.set(Mode::Silent),
            6 => self.store.mode.set(Mode::HistoryLost),
            7 => self.store.mode.set(Mode::Up),
            8 => self.faults.set(rng.f64() * 0.4),
            9 => {
                self.change_version();
            }
            10..=12 => {
                let link = rng.usize(0..self.links.len());
                let state = match rng.usize(0..4) {
                    0 => LinkState::Delayed(Duration::from_millis(rng.u64(5..150))),
                    1 => LinkState::Blocked,
                    2 => LinkState::RequestsBlocked,
                    _ => LinkState::ResponsesBlocked,
                };
                self.links[link].state.set(state);
            }
            13 => {
                for link in &self.links {
                    if rng.f64() < 0.4 {
                        link.reset();
                    }
                }
            }
            14 => self.open_links(),
            15 => {
                self.members[member].starts += 1;
                self.register(member, "ready");
            }
            16 => self.register(member, "draining"),
            _ => {
                let name = &self.members[member].name;
                self.store
                    .put("servers", name, json!({"state": "unheard-of"}));
            }
        }
        self.revive();
        sleep(pause / 2).await;
    }

    /// Starts the hosts that have ended.
    pub(crate) fn revive(&mut self) {
        self.processes.iter_mut().for_each(Process::revive);
    }

    /// Ends all faults and registers all leaves.
    pub(crate) fn calm(&mut self) {
        self.store.mode.set(Mode::Up);
        self.faults.set(0.0);
        self.open_links();
        self.register_all();
        self.revive();
    }

    /// Puts a new version of the desired state and returns it.
    pub(crate) fn change_version(&mut self) -> u64 {
        self.version += 1;
        self.store
            .put("config", "main", desired_state(self.version, &SHARDS));
        self.version
    }

    /// Takes a zone out and drains the first leaf of another one.
    pub(crate) fn take_out(&self, zone: &str) {
        self.store.put("evacuations", zone, json!({}));
        self.register(self.drained(zone), "draining");
    }

    /// Requests that have arrived at leaves that were taken out.
    pub(crate) fn arrivals_taken_out(&self, zone: &str) -> usize {
        let drained = self.drained(zone);
        let members = self.members.iter().enumerate();
        members
            .filter(|(n, member)| member.zone == zone || *n == drained)
            .map(|(_, member)| member.leaf.request_count())
            .sum()
    }

    fn drained(&self, zone: &str) -> usize {
        let first = self.members.iter().position(|member| member.zone != zone);
        first.expect("leaves are in several zones")
    }

    fn open_links(&self) {
        for link in &self.links {
            link.state.set(LinkState::Open);
        }
    }

    fn register(&self, member: usize, state: &str) {
        let member = &self.members[member];
        let mut entry = member.entry();
        entry["state"] = json!(state);
        self.store.put("servers", &member.name, entry);
    }

    fn register_all(&self) {
        for member in 0..self.members.len() {
            self.register(member, "ready");
        }
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.processes.clear();
        // Left files do no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
