//! Starts stand-ins and a small tier on loopback and prints real answers.
//!
//! The hosts are processes of their own: this program starts itself again with
//! `--settings FILE` for each of them.

use std::env;
use std::error::Error;
use std::process::ExitCode;

use cornelwinch::config::Settings;
use cornelwinch::daemon;
use cornelwinch_lab::{Deployment, DeploymentShape, HostProcess, HostProgram, SearchShape};
use serde_json::{Value, json};

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let result = match (args.next().as_deref(), args.next()) {
        (Some("--settings"), Some(file)) => run_host(&file),
        _ => run_tour(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_host(file: &str) -> Result<(), Box<dyn Error>> {
    let settings = Settings::open(file)?;
    Ok(daemon::run_until_signal(&settings)?)
}

fn run_tour() -> Result<(), Box<dyn Error>> {
    let shape = DeploymentShape::new("demo", 2, 3)
        .with_search(SearchShape::new("portal", 12))
        .with_search(SearchShape::new("stock", 4));
    println!("starting 2 availability zones, 3 hosts, 32 upstreams and a platform ...");
    let deployment = Deployment::spawn(shape, &HostProgram::new(env::current_exe()?))?;
    let agent = ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .build(),
    );
    for (host, body) in deployment
        .hosts
        .iter()
        .zip(["20 atlas", "20 diary", "20 map"])
    {
        print_query(&agent, host, body)?;
    }
    run_ticket(&agent, &deployment.hosts)
}

/// Sends one non-idempotent request twice, the second time through another
/// host; it runs once.
fn run_ticket(agent: &ureq::Agent, hosts: &[HostProcess]) -> Result<(), Box<dyn Error>> {
    let issued = call(agent, &hosts[0], "tickets", "stock", &json!({ "count": 1 }))?;
    let request = json!({
        "ticket": issued["tickets"][0],
        "search": "stock",
        "key": 42,
        "body": "1 pallet",
    });
    for host in &hosts[..2] {
        let result = call(agent, host, "run", "stock", &request)?;
        println!(
            "host={} ticket={} outcome={} hits={} error={}",
            host.name(),
            result["ticket"],
            result["outcome"],
            result["hits"].as_array().map_or(0, Vec::len),
            result["error"],
        );
    }
    Ok(())
}

fn print_query(agent: &ureq::Agent, host: &HostProcess, body: &str) -> Result<(), Box<dyn Error>> {
    let request = json!({ "search": "portal", "body": body });
    let answer = call(agent, host, "query", "portal", &request)?;
    println!(
        "host={} body=\"{body}\" outcome={} snapshot={} coverage={} documents={}/{} hits={} attempts={} error={}",
        host.name(),
        answer["outcome"],
        answer["snapshot"],
        answer["coverage"],
        answer["documents_covered"],
        answer["documents_total"],
        answer["hits"].as_array().map_or(0, Vec::len),
        answer["attempts"],
        answer["error"],
    );
    Ok(())
}

fn call(
    agent: &ureq::Agent,
    host: &HostProcess,
    path: &str,
    search: &str,
    request: &Value,
) -> Result<Value, Box<dyn Error>> {
    let answer = agent
        .post(format!("http://{}/v1/{path}", host.caller()))
        .header(
            "Authorization",
            format!("Bearer {}", Deployment::token(search)),
        )
        .send_json(request)?
        .body_mut()
        .read_json()?;
    Ok(answer)
}
