use std::io::Write;
use std::time::Duration;

use cornelwinch_types::Outcome;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::args::QueryArgs;
use crate::current::{print, print_json, read};
use crate::error::CliError;

/// Time for the answer beyond the deadline of the query.
const GRACE: Duration = Duration::from_secs(5);
/// Deadline to expect if the class has the only one.
const LONGEST: Duration = Duration::from_secs(60);

#[derive(Debug, Deserialize)]
struct Answer {
    outcome: Outcome,
    #[serde(default)]
    error: Option<String>,
    #[serde(default)]
    snapshot: Option<u64>,
    #[serde(default)]
    coverage: f64,
    #[serde(default)]
    hits: Vec<Hit>,
}

#[derive(Debug, Deserialize)]
struct Hit {
    key: u64,
    text: String,
}

/// Sends a query to a host; fails unless it was done.
pub(crate) fn run(args: &QueryArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let token = read(&args.token_file)?;
    let deadline = args.deadline_ms.map_or(LONGEST, Duration::from_millis);
    let mut body = json!({ "search": args.search, "body": args.body });
    if let Some(class) = &args.class {
        body["class"] = json!(class);
    }
    if let Some(deadline_ms) = args.deadline_ms {
        body["deadline_ms"] = json!(deadline_ms);
    }
    let failed = |e: ureq::Error| CliError::Query {
        host: args.host,
        source: Box::new(e),
    };
    let mut response = ureq::post(format!("http://{}/v1/query", args.host))
        .config()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(deadline + GRACE))
        .build()
        .header("Authorization", format!("Bearer {}", token.trim()))
        .send_json(&body)
        .map_err(failed)?;
    let full: Value = response.body_mut().read_json().map_err(failed)?;
    let answer =
        serde_json::from_value::<Answer>(full.clone()).map_err(|e| failed(ureq::Error::Json(e)))?;
    match args.json {
        true => print_json(out, &full)?,
        false => print(out, &answer.to_text())?,
    }
    Ok(answer.outcome == Outcome::Done)
}

impl Answer {
    fn to_text(&self) -> String {
        let outcome = match self.outcome {
            Outcome::Done => "done",
            Outcome::NotRun => "not run",
            Outcome::Unknown => "unknown",
        };
        let mut text = format!("outcome: {outcome}\n");
        if let Some(error) = &self.error {
            text += &format!("error: {error}\n");
        }
        if let Some(snapshot) = self.snapshot {
            text += &format!("snapshot: {snapshot}\ncoverage: {}\n", self.coverage);
        }
        for hit in &self.hits {
            text += &format!("{}  {}\n", hit.key, hit.text);
        }
        text
    }
}
