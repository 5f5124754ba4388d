use std::io::Write;
use std::time::Duration;

use cornelwinch_bench::{BenchConfig, MixItem, run as offer};
use snafu::ResultExt;

use crate::args::BenchArgs;
use crate::current::{print, read};
use crate::error::{BenchSnafu, CliError};

/// Offers load to hosts and prints the report; fails if an answer was wrong.
pub(crate) fn run(args: &BenchArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let first = MixItem {
        search: args.search.clone(),
        class: args.class.clone(),
        token: read(&args.token_file)?.trim().to_owned(),
        weight: 1.0,
        deadline_ms: args.deadline_ms,
        tickets: args.tickets,
        ..MixItem::default()
    };
    let others = args.mix.iter().map(|kind| MixItem {
        search: kind.search.clone(),
        class: kind.class.clone(),
        weight: kind.weight,
        ..first.clone()
    });
    let mix = std::iter::once(first.clone()).chain(others).collect();
    let cfg = BenchConfig {
        targets: args.host.clone(),
        rate_per_s: args.rate,
        duration: Duration::from_secs(args.duration),
        mix,
        seed: args.seed,
        connections: args.connections,
        bodies: args.body.clone(),
        ..BenchConfig::default()
    };
    let report = offer(&cfg).context(BenchSnafu)?;
    let text = if args.json {
        report.to_json()
    } else {
        report.to_string()
    };
    print(out, &format!("{}\n", text.trim_end()))?;
    Ok(report.wrong == 0)
}
