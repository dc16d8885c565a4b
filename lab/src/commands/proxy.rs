//! The hidden `proxy`: a border proxy with a baseline in place of the module.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::stand_ins::baseline::{Baseline, Defects, Routing};

use super::block_on;

/// The baseline, and the proxy's settings file.
#[derive(Args)]
pub struct ProxyArguments {
    #[arg(long)]
    routing: Routing,
    #[arg(long)]
    config: PathBuf,
}

/// Runs a border proxy from its settings, with a baseline in place of the module.
pub fn run(arguments: &ProxyArguments) -> Result<ExitCode> {
    let routing = arguments.routing;
    let source = std::fs::read_to_string(&arguments.config)?;
    let plan = daemon::settings::read(&source).map_err(|faults| anyhow::anyhow!("{faults:?}"))?;
    let decide = |terms, seed, now| Baseline::new(routing, Defects::default(), terms, seed, now);
    block_on(daemon::run::run_with_decisions(plan, decide))?;
    Ok(ExitCode::SUCCESS)
}
