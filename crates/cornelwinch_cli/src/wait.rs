use std::thread;
use std::time::{Duration, Instant};

use cornelwinch_platform::PlatformClient;
use cornelwinch_types::Revision;
use serde::Serialize;

use crate::apply::Change;
use crate::args::{OperatorArgs, WaitArgs};
use crate::current::Current;
use crate::error::CliError;
use crate::status::{HostAnswer, addresses, ask, token};
use crate::table::table;

/// Time between two rounds of questions.
const INTERVAL: Duration = Duration::from_millis(100);

/// How far a change is in force.
#[derive(Debug, Serialize)]
pub(crate) struct Progress {
    revision: Revision,
    waited_ms: u64,
    zones: Vec<ZoneProgress>,
}

#[derive(Debug, Serialize)]
struct ZoneProgress {
    /// Empty for hosts that never answered.
    zone: String,
    hosts: usize,
    in_force: usize,
    /// Hosts that have not put the change in force, with their revision.
    lagging: Vec<String>,
}

/// Asks the hosts until the changes are in force on all of them or the time is
/// over.
pub(crate) fn wait(
    changes: &[Change],
    client: &PlatformClient,
    args: &WaitArgs,
    operators: &OperatorArgs,
) -> Result<Progress, CliError> {
    let hosts = addresses(operators, Some(client))?;
    let token = token(operators)?;
    // The answer to a lost write may not tell the revision.
    let revision = match changes.iter().any(|change| change.revision.is_none()) {
        true => Current::load(client)?.state.revision(),
        false => changes
            .iter()
            .filter_map(|change| change.revision)
            .max()
            .unwrap_or_default(),
    };
    let start = Instant::now();
    let end = start + Duration::from_millis(args.timeout_ms);
    let mut last: Vec<HostAnswer> = Vec::new();
    loop {
        // A host that stops answering keeps the zone that it had told.
        for mut answer in ask(&hosts, token.as_deref()) {
            let before = last.iter().find(|before| before.address == answer.address);
            if answer.status.is_none() {
                answer.status = before.and_then(|before| before.status.clone());
            }
            last.retain(|before| before.address != answer.address);
            last.push(answer);
        }
        let waited_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let progress = Progress {
            revision,
            waited_ms,
            zones: by_zone(&last, revision),
        };
        if progress.is_complete() || Instant::now() + INTERVAL >= end {
            return Ok(progress);
        }
        thread::sleep(INTERVAL);
    }
}

fn by_zone(answers: &[HostAnswer], revision: Revision) -> Vec<ZoneProgress> {
    let mut zones: Vec<ZoneProgress> = Vec::new();
    for answer in answers {
        let zone = answer
            .status
            .as_ref()
            .map_or("", |status| &*status.zone)
            .to_owned();
        let i = match zones.binary_search_by(|held| held.zone.cmp(&zone)) {
            Ok(i) => i,
            Err(i) => {
                let lagging = Vec::new();
                zones.insert(
                    i,
                    ZoneProgress {
                        zone,
                        hosts: 0,
                        in_force: 0,
                        lagging,
                    },
                );
                i
            }
        };
        let progress = &mut zones[i];
        progress.hosts += 1;
        match (&answer.status, &answer.error) {
            (Some(status), None) if status.revision >= revision => progress.in_force += 1,
            (Some(status), None) => {
                let text = format!("{} (revision {})", status.host, status.revision);
                progress.lagging.push(text);
            }
            (Some(status), Some(_)) => {
                progress
                    .lagging
                    .push(format!("{} (no answer)", status.host));
            }
            (None, _) => progress
                .lagging
                .push(format!("{} (no answer)", answer.address)),
        }
    }
    for zone in &mut zones {
        zone.lagging.sort();
    }
    zones
}

impl Progress {
    /// Reports whether every host has the change in force.
    pub(crate) fn is_complete(&self) -> bool {
        self.zones.iter().all(|zone| zone.lagging.is_empty())
    }

    pub(crate) fn to_text(&self) -> String {
        let rows: Vec<[String; 4]> = self
            .zones
            .iter()
            .map(|zone| {
                let name = if zone.zone.is_empty() {
                    "unknown"
                } else {
                    &zone.zone
                };
                let in_force = format!("{}/{}", zone.in_force, zone.hosts);
                let state = if zone.lagging.is_empty() {
                    "in force"
                } else {
                    "lagging"
                };
                [
                    name.to_owned(),
                    in_force,
                    state.to_owned(),
                    zone.lagging.join(", "),
                ]
            })
            .collect();
        let verdict = match self.is_complete() {
            true => "in force on all hosts",
            false => "not in force on all hosts",
        };
        let text = table(["ZONE", "HOSTS", "STATE", "LAGGING"], &rows);
        format!(
            "{text}revision {} is {verdict} after {} ms\n",
            self.revision, self.waited_ms
        )
    }
}
