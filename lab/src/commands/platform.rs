//! `platform` and the hidden `serve`: a border proxy as the platform starts it.

use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::stand_ins::platform;

use super::block_on;

/// How many calls to make.
#[derive(Args)]
pub struct PlatformArguments {
    #[arg(long, default_value_t = 100)]
    calls: usize,
}

/// Starts a border proxy as the platform does and calls it; fails unless each call was answered and
/// released.
pub fn run(arguments: &PlatformArguments) -> Result<ExitCode> {
    let calls = arguments.calls;
    let released = platform::run_calls(&std::env::current_exe()?, &["serve"], calls)?;
    println!("{calls} calls, {released} answered and released in the usual way");
    Ok(if released == calls { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs the border proxy that [`run`] starts.
pub fn serve() -> Result<ExitCode> {
    block_on(daemon::serve::serve())?;
    Ok(ExitCode::SUCCESS)
}
