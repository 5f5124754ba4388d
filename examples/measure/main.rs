//! Measures a deployment of real processes on loopback: `measure EXPERIMENT`.
//!
//! The hosts are processes of their own: this program starts itself again with
//! `--settings FILE` for each of them. Every experiment ends by itself.

mod cold;
mod hosts;
mod legs;
mod load;
mod owner;
mod plans;
mod scale;
mod tail;
mod zone;

use std::env;
use std::error::Error;
use std::process::ExitCode;

use cornelwinch::config::Settings;
use cornelwinch::daemon;
use cornelwinch_lab::HostProgram;

type Outcome = Result<(), Box<dyn Error>>;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let result = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["--settings", file] => run_host(file),
        ["owner"] => owner::measure(),
        ["tail"] => tail::measure(),
        ["zone"] => zone::measure(),
        ["cold"] => cold::measure(),
        ["hosts"] => hosts::measure(),
        ["plans"] => plans::measure(),
        ["legs"] => legs::measure(),
        ["scale", ref counts @ ..] => scale::measure(counts),
        _ => Err("usage: measure owner|tail|zone|cold|hosts|plans|legs|scale [HOSTS ...]".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_host(file: &str) -> Outcome {
    let settings = Settings::open(file)?;
    Ok(daemon::run_until_signal(&settings)?)
}

/// This program, as the program that runs a host.
fn host_program() -> Result<HostProgram, Box<dyn Error>> {
    Ok(HostProgram::new(env::current_exe()?))
}
