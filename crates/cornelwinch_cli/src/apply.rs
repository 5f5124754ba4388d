use std::io::Write;

use cornelwinch_config::{Document, DocumentEntry, Kind};
use cornelwinch_platform::{Difference, Object, PlatformClient, PlatformError, Written};
use cornelwinch_types::{Name, Revision};
use serde::Serialize;
use snafu::ResultExt;

use crate::args::{ApplyArgs, OperatorArgs, WaitArgs};
use crate::check::check_against;
use crate::current::{Current, client, print, print_json, read};
use crate::error::{CliError, FileSnafu, PlatformSnafu};
use crate::table::table;
use crate::wait::{Progress, wait};

/// What became of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    Created,
    Updated,
    Deleted,
    Unchanged,
    /// Another change was first.
    Conflict,
    /// Another change followed; this one may have been applied before.
    Overtaken,
    /// The platform did not apply it in time.
    NotApplied,
    /// The platform gave no usable answer.
    Failed,
    /// The answer was lost and the object could not be read back.
    Unresolved,
    /// Not tried, because an entry before it was not written.
    Skipped,
}

/// Result of one entry.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    pub(crate) kind: Kind,
    pub(crate) name: Name,
    pub(crate) action: Action,
    /// Revision of the object as it is now, if known.
    pub(crate) revision: Option<Revision>,
    /// Identifier of the other change, if there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) other: Option<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) differences: Vec<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<String>,
}

/// Result of a command that changes the configuration.
#[derive(Debug, Serialize)]
struct Report {
    changes: Vec<Change>,
    #[serde(skip_serializing_if = "Option::is_none")]
    progress: Option<Progress>,
}

/// One entry as it is to be written.
#[derive(Debug)]
pub(crate) struct ProposedWrite<'a> {
    pub(crate) kind: Kind,
    pub(crate) name: &'a Name,
    /// Null to delete.
    pub(crate) spec: &'a serde_json::Value,
    pub(crate) present: Option<&'a Object>,
}

/// Writes the entries of a document that differ from the platform's.
pub(crate) fn run(args: &ApplyArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let file = args.file.display().to_string();
    let document = Document::parse(&file, &read(&args.file)?).context(FileSnafu)?;
    let client = client(args.platform);
    let current = Current::load(&client)?;
    check_against(&document, &current)?;
    let mut changes: Vec<Change> = Vec::new();
    for entry in &document.entries {
        let skip = changes
            .last()
            .is_some_and(|change| change.action.is_failure());
        let change = match skip {
            true => Change::new(entry.kind, &entry.name, Action::Skipped),
            false => write_entry(&client, &current, entry)?,
        };
        changes.push(change);
    }
    finish(
        changes,
        &client,
        &args.wait_args,
        &args.operator_args,
        args.json,
        out,
    )
}

fn write_entry(
    client: &PlatformClient,
    current: &Current,
    entry: &DocumentEntry,
) -> Result<Change, CliError> {
    let present = current.object(entry.kind, &entry.name);
    let same = match present {
        Some(object) => object
            .to_entry()
            .is_ok_and(|held| held.value == entry.value),
        None => entry.value.is_deleted(),
    };
    if same {
        let mut change = Change::new(entry.kind, &entry.name, Action::Unchanged);
        change.revision = present.map(|object| object.revision);
        return Ok(change);
    }
    let (kind, name) = (entry.kind, &entry.name);
    write(
        client,
        &ProposedWrite {
            kind,
            name,
            spec: &entry.spec,
            present,
        },
    )
}

/// Writes one entry on the condition that it is as it was read.
pub(crate) fn write(
    client: &PlatformClient,
    write: &ProposedWrite<'_>,
) -> Result<Change, CliError> {
    let version = write.present.map_or(0, |object| object.version);
    let kind = write.kind.as_str();
    let written = if write.spec.is_null() {
        client.delete(kind, write.name, version)
    } else {
        let change = format!("cli-{:032x}", fastrand::u128(..));
        client.put(kind, write.name, version, &change, write.spec)
    };
    let applied = match (write.spec.is_null(), version) {
        (true, _) => Action::Deleted,
        (false, 0) => Action::Created,
        (false, _) => Action::Updated,
    };
    let written = match written {
        Ok(written) => written,
        Err(error @ PlatformError::InvalidName { .. }) => return Err(error).context(PlatformSnafu),
        // The entries written before are reported with this one.
        Err(error) => {
            let unresolved = matches!(error, PlatformError::Unresolved { .. });
            let action = if unresolved {
                Action::Unresolved
            } else {
                Action::Failed
            };
            let mut change = Change::new(write.kind, write.name, action);
            change.error = Some(error.to_string());
            return Ok(change);
        }
    };
    Ok(match written {
        Written::Applied { object } => {
            let mut change = Change::new(write.kind, write.name, applied);
            change.revision = object.map(|object| object.revision);
            change
        }
        Written::Conflict {
            present,
            differences,
        } => Change::refused(write, Action::Conflict, present.as_ref(), &differences),
        Written::Overtaken {
            present,
            differences,
        } => Change::refused(write, Action::Overtaken, present.as_ref(), &differences),
        Written::NotApplied { present } => {
            Change::refused(write, Action::NotApplied, present.as_ref(), &[])
        }
    })
}

/// Waits for the hosts if asked to, and prints the result.
pub(crate) fn finish(
    changes: Vec<Change>,
    client: &PlatformClient,
    wait_args: &WaitArgs,
    operators: &OperatorArgs,
    json: bool,
    out: &mut impl Write,
) -> Result<bool, CliError> {
    let written = !changes.iter().any(|change| change.action.is_failure());
    let progress = match wait_args.wait && written {
        true => Some(wait(&changes, client, wait_args, operators)?),
        false => None,
    };
    let done = written && progress.as_ref().is_none_or(Progress::is_complete);
    let report = Report { changes, progress };
    match json {
        true => print_json(out, &report)?,
        false => print(out, &report.to_text())?,
    }
    Ok(done)
}

impl Action {
    fn is_failure(self) -> bool {
        use Action::{Created, Deleted, Unchanged, Updated};
        !matches!(self, Created | Updated | Deleted | Unchanged)
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Created => "created",
            Self::Updated => "updated",
            Self::Deleted => "deleted",
            Self::Unchanged => "unchanged",
            Self::Conflict => "conflict",
            Self::Overtaken => "overtaken",
            Self::NotApplied => "not applied",
            Self::Failed => "failed",
            Self::Unresolved => "unresolved",
            Self::Skipped => "skipped",
        }
    }
}

impl Change {
    pub(crate) fn new(kind: Kind, name: &Name, action: Action) -> Self {
        let name = name.clone();
        Self {
            kind,
            name,
            action,
            revision: None,
            other: None,
            differences: Vec::new(),
            error: None,
        }
    }

    /// Sets the revision of the object.
    pub(crate) fn at(mut self, revision: Revision) -> Self {
        self.revision = Some(revision);
        self
    }

    fn refused(
        write: &ProposedWrite<'_>,
        action: Action,
        present: Option<&Object>,
        differences: &[Difference],
    ) -> Self {
        Self {
            revision: present.map(|object| object.revision),
            other: present.and_then(Object::change).map(str::to_owned),
            differences: differences.iter().map(ToString::to_string).collect(),
            ..Self::new(write.kind, write.name, action)
        }
    }

    /// Lines that tell what another change did.
    fn details(&self) -> String {
        let (kind, name) = (self.kind, &self.name);
        let place = format!("{kind} \"{name}\"");
        let mut text = match (self.action, &self.other) {
            (Action::Conflict, Some(other)) => {
                format!("{place} was changed meanwhile by change {other}:\n")
            }
            (Action::Conflict, None) => format!("{place} was deleted meanwhile:\n"),
            (Action::Overtaken, Some(other)) => format!(
                "{place}: the answer was lost and change {other} followed; \
                 this change may have been applied before it:\n"
            ),
            (Action::Overtaken, None) => format!(
                "{place}: the answer was lost and a deletion followed; \
                 this change may have been applied before it:\n"
            ),
            (Action::NotApplied, _) => format!(
                "{place}: the platform did not apply the change in time; \
                 a request under way may still be applied\n"
            ),
            _ => String::new(),
        };
        if let Some(error) = &self.error {
            text += &format!("{place}: {error}\n");
        }
        for difference in &self.differences {
            text += &format!("  {difference}\n");
        }
        text
    }
}

impl Report {
    fn to_text(&self) -> String {
        let rows: Vec<[String; 4]> = self
            .changes
            .iter()
            .map(|change| {
                let revision = change.revision.map(|revision| revision.to_string());
                let kind = change.kind.to_string();
                let action = change.action.as_str().to_owned();
                [
                    kind,
                    change.name.to_string(),
                    action,
                    revision.unwrap_or_default(),
                ]
            })
            .collect();
        let mut text = table(["KIND", "NAME", "RESULT", "REVISION"], &rows);
        for change in &self.changes {
            text += &change.details();
        }
        if let Some(progress) = &self.progress {
            text += &progress.to_text();
        }
        text
    }
}
