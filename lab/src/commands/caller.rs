//! `caller`: stand-in callers of border proxies.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::drill::{Drill, Tenant};
use lab::drills::standalone;

use super::block_on;

/// Which proxies to call, how often, and how long callers wait.
#[derive(Args)]
pub struct CallerArguments {
    /// Where the proxies take callers
    #[arg(required = true)]
    proxies: Vec<SocketAddr>,
    /// Grades, tenants and load of a drill
    #[arg(long, default_value = "calm")]
    drill: String,
    /// What numbers called begin with, one a service grade in order
    #[arg(long)]
    called: Vec<String>,
    /// User names of tenants; callers are split equally among them
    #[arg(long)]
    tenant: Vec<String>,
    /// First tries a second
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Seconds that a caller waits for an answer before it hangs up
    #[arg(long)]
    patience: Option<f64>,
    #[arg(long)]
    redials: Option<u32>,
    /// Share of refused callers that follow Retry-After
    #[arg(long)]
    honour: Option<f64>,
    #[arg(long)]
    seed: Option<u64>,
}

/// Calls the proxies; fails unless each accepted conversation got exactly one final answer in time.
pub fn run(arguments: CallerArguments) -> Result<ExitCode> {
    let mut drill = Drill::named(&arguments.drill)?;
    (drill.load.rate, drill.seconds) = (arguments.rate, arguments.seconds);
    drill.load.caller_timeout = arguments.patience.unwrap_or(drill.load.caller_timeout);
    drill.load.redials = arguments.redials.unwrap_or(drill.load.redials);
    drill.load.retry_after_compliance = arguments.honour.unwrap_or(drill.load.retry_after_compliance);
    drill.seed = arguments.seed.unwrap_or(drill.seed);
    if !arguments.called.is_empty() {
        drill.grades.truncate(arguments.called.len());
    }
    for (grade, called) in drill.grades.iter_mut().zip(arguments.called) {
        grade.called = Some(called);
    }
    if !arguments.tenant.is_empty() {
        let share = 1.0 / arguments.tenant.len() as f64;
        drill.tenants = arguments.tenant.into_iter().map(|name| Tenant { name, share }).collect();
    }
    drill.validate()?;
    let passed = block_on(standalone::callers(drill, &arguments.proxies))?;
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
