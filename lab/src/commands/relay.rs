//! `relay`: forwards datagrams, with faults.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::drill::LinkFaults;
use lab::drills::standalone;

use super::block_on;

/// Where to forward datagrams, and the faults to add.
#[derive(Args)]
pub struct RelayArguments {
    to: SocketAddr,
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    #[arg(long, default_value_t = 0.0)]
    double: f64,
    #[arg(long, default_value_t = 0.0)]
    reorder: f64,
    #[arg(long, default_value_t = 7)]
    seed: u64,
    #[arg(long)]
    seconds: Option<f64>,
}

/// Forwards datagrams until its time is over.
pub fn run(arguments: &RelayArguments) -> Result<ExitCode> {
    let &RelayArguments { to, listen, loss, double, reorder, seed, seconds } = arguments;
    let faults = LinkFaults { loss, double, reorder };
    block_on(standalone::relay(listen, to, faults, seed, seconds))?;
    Ok(ExitCode::SUCCESS)
}
