use std::io::Write;

use cornelwinch_config::{EntryValue, Kind, ServiceState};
use cornelwinch_types::Name;
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::apply::{Action, Change, ProposedWrite, finish, write};
use crate::args::{HostArgs, ZoneArgs};
use crate::current::client;
use crate::error::{CliError, NotFoundSnafu, PlatformSnafu};

/// Takes an availability zone out of service or returns it.
pub(crate) fn run_zone(args: &ZoneArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let client = client(args.platform);
    let present = client
        .get(Kind::Zone.as_str(), &args.name)
        .context(PlatformSnafu)?;
    let Some(object) = present else {
        return NotFoundSnafu {
            kind: Kind::Zone,
            name: &args.name,
        }
        .fail();
    };
    let held = match object.to_entry().map(|entry| entry.value) {
        Ok(EntryValue::Zone(Some(zone))) => Some(zone.state),
        _ => None,
    };
    let name: Name = args.name.as_str().into();
    let mut spec = object.spec().cloned().unwrap_or(Value::Null);
    let change = if held == Some(args.mark.0) {
        Change::new(Kind::Zone, &name, Action::Unchanged).at(object.revision)
    } else {
        if let Some(fields) = spec.as_object_mut() {
            fields.insert("state".to_owned(), json!(args.mark.0));
        }
        let proposed = ProposedWrite {
            kind: Kind::Zone,
            name: &name,
            spec: &spec,
            present: Some(&object),
        };
        write(&client, &proposed)?
    };
    finish(
        vec![change],
        &client,
        &args.wait_args,
        &args.operator_args,
        args.json,
        out,
    )
}

/// Drains an entry host or returns it to service. A host without a mark is in
/// service.
pub(crate) fn run_host(args: &HostArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let client = client(args.platform);
    let present = client
        .get(Kind::Host.as_str(), &args.name)
        .context(PlatformSnafu)?;
    let held = match present
        .as_ref()
        .map(|object| object.to_entry().map(|entry| entry.value))
    {
        Some(Ok(EntryValue::Host(Some(host)))) => Some(host.state),
        Some(_) => None,
        None => Some(ServiceState::In),
    };
    let name: Name = args.name.as_str().into();
    let change = if held == Some(args.mark.0) {
        let change = Change::new(Kind::Host, &name, Action::Unchanged);
        match &present {
            Some(object) => change.at(object.revision),
            None => change,
        }
    } else {
        let spec = json!({ "state": args.mark.0 });
        let proposed = ProposedWrite {
            kind: Kind::Host,
            name: &name,
            spec: &spec,
            present: present.as_ref(),
        };
        write(&client, &proposed)?
    };
    finish(
        vec![change],
        &client,
        &args.wait_args,
        &args.operator_args,
        args.json,
        out,
    )
}
