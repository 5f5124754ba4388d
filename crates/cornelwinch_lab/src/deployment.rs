use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cornelwinch_config::{
    EntryValue, OrganisationSpec, PlanSpec, SearchSpec, ServiceState, UpstreamSpec, ZoneSpec,
};
use cornelwinch_standins::document_count;
use cornelwinch_standins::platform::{
    self, HostRole, HostRow, HostState, Platform, PlatformConfig, PlatformFault,
};
use cornelwinch_standins::upstream::{self, HeldSnapshot, Upstream, UpstreamConfig};
use cornelwinch_types::{KeyRange, Name, Shard, Snapshot, SnapshotId};
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::error::{EncodeSnafu, WriteSnafu};
use crate::host::HostAddrs;
use crate::load::poll_until;
use crate::ports::free_addrs;
use crate::{DeploymentShape, HostProcess, HostProgram, LabError, SearchShape};

const SECRET: &str = "a secret for stand-in deployments on loopback only";
const OPERATOR_TOKEN: &str = "operator";

/// Longest time for a host to become ready; a new host waits about 5 s before
/// it has a share of the organisations' rates.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// First snapshot of every search.
const FIRST_SNAPSHOT: SnapshotId = SnapshotId(1);

static DIRECTORIES: AtomicU64 = AtomicU64::new(0);

/// A running deployment; everything in it ends on drop.
#[derive(Debug)]
pub struct Deployment {
    shape: DeploymentShape,
    dir: PathBuf,
    /// The platform's stand-in.
    pub platform: Platform,
    /// Stand-ins of the upstreams, by name.
    pub upstreams: Vec<Upstream>,
    /// Hosts, by name.
    pub hosts: Vec<HostProcess>,
}

impl Deployment {
    /// Starts the stand-ins, writes the configuration, starts the hosts and
    /// waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails if anything cannot be started or a host is not ready in time.
    pub fn spawn(shape: DeploymentShape, program: &HostProgram) -> Result<Self, LabError> {
        let deployment = Self::spawn_unready(shape, program)?;
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// As [`Deployment::spawn`], without waiting for the hosts.
    ///
    /// # Errors
    ///
    /// Fails if anything cannot be started.
    pub fn spawn_unready(shape: DeploymentShape, program: &HostProgram) -> Result<Self, LabError> {
        let dir = make_directory()?;
        let platform = platform::spawn(PlatformConfig {
            host_lag: shape.host_lag,
            ..PlatformConfig::default()
        })
        .map_err(|error| LabError::StandIn {
            name: "platform".into(),
            reason: error.to_string(),
        })?;
        let mut deployment = Self {
            shape,
            dir,
            platform,
            upstreams: Vec::new(),
            hosts: Vec::new(),
        };
        deployment.configure()?;
        deployment.start_hosts(program)?;
        Ok(deployment)
    }

    /// Waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Fails if a host is not ready in time.
    pub fn wait_ready(&self) -> Result<(), LabError> {
        self.hosts
            .iter()
            .try_for_each(|host| host.wait_ready(READY_LIMIT))
    }

    /// The shape that was started.
    pub fn shape(&self) -> &DeploymentShape {
        &self.shape
    }

    /// Addresses for callers of all hosts.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(HostProcess::caller).collect()
    }

    /// Bearer token of the organisation of a class.
    pub fn token(class: &str) -> String {
        format!("token-{class}")
    }

    /// Bearer token of operators.
    pub fn operator_token() -> &'static str {
        OPERATOR_TOKEN
    }

    /// Host by name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such host.
    pub fn host(&mut self, name: &str) -> &mut HostProcess {
        self.hosts
            .iter_mut()
            .find(|host| &**host.name() == name)
            .expect("the host is part of the deployment")
    }

    /// Upstream by name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such upstream.
    pub fn upstream(&self, name: &str) -> &Upstream {
        self.upstreams
            .iter()
            .find(|upstream| &**upstream.name() == name)
            .expect("the upstream is part of the deployment")
    }

    /// Writes a configuration entry.
    ///
    /// # Errors
    ///
    /// Fails if the value has no JSON form.
    pub fn put(&self, name: &str, value: &EntryValue) -> Result<u64, LabError> {
        let kind = value.kind().as_str();
        let spec = value.to_spec().context(EncodeSnafu { kind, name })?;
        let value = json!({ "change": format!("lab-{name}"), "spec": spec });
        Ok(self.platform.set(kind, name, Some(value)))
    }

    /// Takes an availability zone out of service or returns it.
    ///
    /// # Errors
    ///
    /// Fails if the value has no JSON form.
    pub fn set_zone(&self, zone: &str, state: ServiceState) -> Result<u64, LabError> {
        let region = self.shape.name.clone();
        self.put(zone, &EntryValue::Zone(Some(ZoneSpec { region, state })))
    }

    /// Waits until all running hosts have a configuration revision in force.
    pub fn wait_revision(&self, revision: u64, limit: Duration) -> bool {
        poll_until(limit, || {
            self.hosts
                .iter()
                .filter(|host| host.pid().is_some())
                .all(|host| {
                    let status = host.status();
                    status.is_some_and(|status| status["revision"].as_u64() >= Some(revision))
                })
        })
    }

    /// Upstreams whose shard replica is in a zone.
    pub fn upstreams_in(&self, zone: &str) -> Vec<&Upstream> {
        self.upstreams
            .iter()
            .filter(|upstream| {
                let value = self.platform.value("upstream", upstream.name());
                value.is_some_and(|value| value["spec"]["zone"] == zone)
            })
            .collect()
    }

    /// Sets an upstream's row in the platform's host list.
    pub fn list_upstream(&self, name: &str, zone: &str, state: HostState) {
        let host = HostRow {
            name: name.into(),
            zone: zone.into(),
            role: HostRole::Upstream,
            peer: None,
            gossip: None,
            state,
        };
        self.platform.apply(PlatformFault::SetHost { host });
    }

    /// Reports whether callers of the platform see a row marked as leaving.
    pub fn is_listed_leaving(&self, name: &str) -> bool {
        let url = format!("http://{}/v1/hosts", self.platform.address());
        let list = ureq::get(url).call().ok();
        let list = list.and_then(|mut resp| resp.body_mut().read_json::<Value>().ok());
        let rows = list.as_ref().and_then(|list| list["hosts"].as_array());
        rows.is_some_and(|rows| {
            rows.iter()
                .any(|row| row["name"] == name && row["state"] == "leaving")
        })
    }

    fn configure(&mut self) -> Result<(), LabError> {
        for zone in self.shape.zones.clone() {
            self.set_zone(&zone, ServiceState::In)?;
        }
        for search in self.shape.searches.clone() {
            self.configure_search(&search)?;
        }
        Ok(())
    }

    fn configure_search(&mut self, search: &SearchShape) -> Result<(), LabError> {
        let name = &search.name;
        let mut shards = Vec::new();
        for shard in 0..search.shards {
            let start = u64::from(shard) * search.shard_keys;
            let range = KeyRange {
                start,
                end: start + search.shard_keys,
            };
            let mut replicas = Vec::new();
            for replica in 0..search.replicas {
                replicas.push(self.start_upstream(search, shard, replica, range)?);
            }
            shards.push(Shard {
                range,
                documents: document_count(name, FIRST_SNAPSHOT, range),
                replicas,
            });
        }
        let snapshot = Snapshot {
            search: name.clone(),
            id: FIRST_SNAPSHOT,
            shards,
        };
        let all = search.all_classes();
        for (class, policy) in &all {
            self.put(class, &EntryValue::Class(Some(policy.clone())))?;
        }
        let classes = all.iter().map(|(class, _)| class.clone()).collect();
        self.put(name, &EntryValue::Search(Some(SearchSpec { classes })))?;
        let snapshot_name = format!("{name}.{FIRST_SNAPSHOT}");
        self.put(&snapshot_name, &EntryValue::Snapshot(Some(snapshot)))?;
        for (class, policy) in &all {
            self.put_organisation(class, name, policy.priority)?;
        }
        Ok(())
    }

    /// Writes an organisation and its plan, both named as its class.
    fn put_organisation(&self, class: &Name, search: &Name, priority: u8) -> Result<(), LabError> {
        let plan = PlanSpec {
            rate_per_s: self.shape.rate_per_s,
            burst: 10_000,
            concurrency: self.shape.concurrency,
            priority,
            searches: vec![search.clone()],
        };
        self.put(class, &EntryValue::Plan(Some(plan)))?;
        let token = blake3::hash(Self::token(class).as_bytes());
        let organisation = OrganisationSpec {
            plan: class.clone(),
            token_hash: token.to_hex().as_str().into(),
        };
        self.put(class, &EntryValue::Organisation(Some(organisation)))?;
        Ok(())
    }

    fn start_upstream(
        &mut self,
        search: &SearchShape,
        shard: u32,
        replica: u32,
        range: KeyRange,
    ) -> Result<Name, LabError> {
        let zones = &self.shape.zones;
        let zone = zones[(shard + replica) as usize % zones.len()].clone();
        let name: Name = format!("{}-{shard:03}-{replica}", search.name).into();
        let upstream = upstream::spawn(UpstreamConfig {
            name: name.clone(),
            slots: search.slots,
            connections: search.connections as usize,
            connection_delay: search.connection_delay,
            snapshots: vec![HeldSnapshot {
                search: search.name.clone(),
                snapshot: FIRST_SNAPSHOT,
                ranges: vec![range],
            }],
            service: search.service,
            cold: search.cold,
            seed: self.shape.seed * 100_000 + self.upstreams.len() as u64,
            ..UpstreamConfig::default()
        })
        .map_err(|error| LabError::StandIn {
            name: name.to_string(),
            reason: error.to_string(),
        })?;
        let spec = UpstreamSpec {
            zone,
            address: upstream.address(),
            slots: search.slots,
            connections: search.connections,
            cold_limit: search.cold.limit,
            state: ServiceState::In,
        };
        self.list_upstream(&name, &spec.zone, HostState::Live);
        self.put(&name, &EntryValue::Upstream(Some(spec)))?;
        self.upstreams.push(upstream);
        Ok(name)
    }

    fn start_hosts(&mut self, program: &HostProgram) -> Result<(), LabError> {
        let secret_file = self.dir.join("secret");
        write(&secret_file, SECRET)?;
        let addrs = free_addrs(self.shape.hosts * 4)?;
        let addrs: Vec<HostAddrs> = addrs
            .chunks(4)
            .map(|addrs| HostAddrs {
                caller: addrs[0],
                peer: addrs[1],
                gossip: addrs[2],
                operator: addrs[3],
            })
            .collect();
        let seeds: Vec<SocketAddr> = addrs.iter().take(3).map(|addrs| addrs.gossip).collect();
        for (i, addrs) in addrs.into_iter().enumerate() {
            let zone = self.shape.zones[i % self.shape.zones.len()].clone();
            let name: Name = format!("{zone}-{}", i / self.shape.zones.len() + 1).into();
            let settings = self.write_settings(&name, &zone, addrs, &seeds)?;
            let row = HostRow {
                name: name.clone(),
                zone: zone.clone(),
                role: HostRole::Host,
                peer: Some(addrs.peer),
                gossip: Some(addrs.gossip),
                state: HostState::Live,
            };
            self.platform.apply(PlatformFault::SetHost { host: row });
            let host = HostProcess::spawn(name, zone, addrs, program, &settings, OPERATOR_TOKEN)?;
            self.hosts.push(host);
        }
        Ok(())
    }

    fn write_settings(
        &self,
        name: &Name,
        zone: &Name,
        addrs: HostAddrs,
        seeds: &[SocketAddr],
    ) -> Result<PathBuf, LabError> {
        let settings = json!({
            "deployment": self.shape.name,
            "host": name,
            "zone": zone,
            "region": self.shape.name,
            "secret_file": "secret",
            "caller": addrs.caller,
            "peer": addrs.peer,
            "gossip": addrs.gossip,
            "operator": addrs.operator,
            "platform": self.platform.address(),
            "seeds": seeds,
            "operator_token_hash": blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex().as_str(),
            "drain_limit_ms": self.shape.drain_limit.as_millis() as u64,
            "balancer_delay_ms": self.shape.balancer_delay.as_millis() as u64,
            "routing": if self.shape.direct { "direct" } else { "owner" },
            "log": { "level": "info", "file": format!("{name}.log") },
        });
        let path = self.dir.join(format!("{name}.jsonc"));
        let text = format!("// Settings of {name}, written for this run.\n{settings:#}\n");
        write(&path, &text)?;
        Ok(path)
    }

    /// Directory with the settings and logs of the hosts.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        if env::var_os("CORNELWINCH_KEEP").is_none() {
            // What is left behind is in the system's temporary directory.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn make_directory() -> Result<PathBuf, LabError> {
    let number = DIRECTORIES.fetch_add(1, Ordering::Relaxed);
    let path = env::temp_dir().join(format!("cornelwinch-{}-{number}", process::id()));
    fs::create_dir_all(&path).context(WriteSnafu { path: &path })?;
    Ok(path)
}

fn write(path: &Path, text: &str) -> Result<(), LabError> {
    fs::write(path, text).context(WriteSnafu { path })
}
