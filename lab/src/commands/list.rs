//! `list`: a stand-in pool list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::drills::standalone;

use super::block_on;

/// Which list to serve, where, and with what delay.
#[derive(Args)]
pub struct ListArguments {
    file: PathBuf,
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Seconds by which changes are delayed
    #[arg(long, default_value_t = 0.0)]
    late: f64,
    #[arg(long)]
    seconds: Option<f64>,
}

/// Serves the pool list until its time is over.
pub fn run(arguments: &ListArguments) -> Result<ExitCode> {
    let ListArguments { file, listen, late, seconds } = arguments;
    block_on(standalone::list(*listen, file, *late, *seconds))?;
    Ok(ExitCode::SUCCESS)
}
