//! `server`: a stand-in central server.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::drills::standalone::{self, ServerBehaviour};

use super::block_on;

/// How the server behaves, and for how long.
#[derive(Args)]
pub struct ServerArguments {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[arg(long, default_value = "central")]
    name: String,
    #[arg(long, default_value_t = 0)]
    pool: u16,
    /// Conversations a second
    #[arg(long, default_value_t = 50.0)]
    capacity: f64,
    /// The server has just started and is cold
    #[arg(long)]
    cold: bool,
    /// Factor by which the server is slower
    #[arg(long, default_value_t = 1.0)]
    slow: f64,
    /// Accept set-ups without answering any, from second FROM for FOR seconds
    #[arg(long, num_args = 2, value_names = ["FROM", "FOR"])]
    hang: Option<Vec<f64>>,
    /// Send nothing from this second on
    #[arg(long)]
    silent: Option<f64>,
    /// Share of set-ups that end with a fault
    #[arg(long, default_value_t = 0.0)]
    faulty: f64,
    /// Maximum number of simultaneous conversations; unlimited if omitted
    #[arg(long)]
    lines: Option<usize>,
    /// Do not report load figures
    #[arg(long)]
    no_reports: bool,
    #[arg(long)]
    seconds: Option<f64>,
}

/// Runs the server until its time is over.
pub fn run(arguments: ServerArguments) -> Result<ExitCode> {
    let play = ServerBehaviour {
        listen: arguments.listen,
        name: arguments.name,
        pool: arguments.pool,
        capacity: arguments.capacity,
        cold: arguments.cold,
        slow: arguments.slow,
        hang: arguments.hang.map(|hang| (hang[0], hang[1])),
        silent: arguments.silent.unwrap_or(f64::INFINITY),
        faulty: arguments.faulty,
        lines: arguments.lines,
        reports: !arguments.no_reports,
        seconds: arguments.seconds,
    };
    block_on(standalone::server(play))?;
    Ok(ExitCode::SUCCESS)
}
