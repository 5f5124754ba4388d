use std::io::Write;

use cornelwinch_config::Kind;
use cornelwinch_platform::Object;
use cornelwinch_types::Revision;
use snafu::ResultExt;

use crate::args::GetArgs;
use crate::current::{client, print, print_json};
use crate::error::{CliError, NotFoundSnafu, PlatformSnafu};
use crate::table::table;

/// Shows one entry, or a list of entries.
pub(crate) fn run(args: &GetArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let client = client(args.platform);
    if let (Some(kind), Some(name)) = (args.kind, &args.name) {
        let object = client.get(kind.as_str(), name).context(PlatformSnafu)?;
        let Some(object) = object else {
            return NotFoundSnafu { kind, name }.fail();
        };
        match args.json {
            true => print_json(out, &object)?,
            false => print_json(out, &object.spec())?,
        }
        return Ok(true);
    }
    let kinds = match &args.kind {
        Some(kind) => vec![kind.as_str()],
        None => Kind::ALL.map(Kind::as_str).to_vec(),
    };
    let listing = client.list(Revision(0), &kinds).context(PlatformSnafu)?;
    let mut objects = listing.objects;
    objects.retain(|object| !object.deleted);
    objects.sort_by(|a, b| order(a).cmp(&order(b)));
    if args.json {
        print_json(out, &objects)?;
        return Ok(true);
    }
    let rows: Vec<[String; 6]> = objects.iter().map(row).collect();
    print(
        out,
        &table(
            ["KIND", "NAME", "VERSION", "REVISION", "CHANGE", "PROBLEM"],
            &rows,
        ),
    )?;
    Ok(true)
}

fn order(object: &Object) -> (Option<Kind>, &str) {
    (object.kind.parse().ok(), &object.name)
}

fn row(object: &Object) -> [String; 6] {
    let problem = object.to_entry().err().map(|e| e.problem);
    [
        object.kind.to_string(),
        object.name.to_string(),
        object.version.to_string(),
        object.revision.to_string(),
        object.change().unwrap_or_default().to_owned(),
        problem.unwrap_or_default(),
    ]
}
