//! `frostthread-lab`: plays drills against border proxies, on sockets or under a virtual clock, and checks
//! the rules.

mod commands;

use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, Subcommand};

use commands::{caller, drill, limits, list, load, platform, proxy, relay, scale, server, sizes};

#[derive(Parser)]
#[command(
    name = "frostthread-lab",
    version,
    about = "Drills for frostthread: stand-ins, faults, rules checked"
)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a drill: bad-day, calm, kind:NAME or a file; exit code 1 if a rule was violated
    Drill(drill::DrillArguments),
    /// Measure one proxy on sockets beside callers that go straight to the server
    Load(load::LoadArguments),
    /// Play gossip-100 virtually at several sizes; print and plot detection time and bytes against size
    Sizes(sizes::SizesArguments),
    /// Play one limit of a whole fleet under faults, virtual; exit code 1 if a window exceeded the limit
    Limits(limits::LimitsArguments),
    /// Play thousands of hollow proxies; exit code 1 and the first miss if a limit was not kept
    Scale(scale::ScaleArguments),
    /// Run a stand-in central server; prints its entry for the pool list, then serves
    Server(server::ServerArguments),
    /// Serve a pool list from a file of entries, one JSON object a line, and its changes as they are made
    List(list::ListArguments),
    /// Call proxies; exit code 1 unless each accepted conversation got exactly one answer in time
    Caller(caller::CallerArguments),
    /// Forward datagrams, with faults in each direction
    Relay(relay::RelayArguments),
    /// Start a border proxy as the platform does, before stand-in SIP servers, and call it; exit code 1
    /// unless every call was answered and released
    Platform(platform::PlatformArguments),
    /// The border proxy that `platform` starts
    #[command(hide = true)]
    Serve,
    /// Run a border proxy with a baseline in place of the module
    #[command(hide = true)]
    Proxy(proxy::ProxyArguments),
}

fn main() -> ExitCode {
    run(Line::parse().command).unwrap_or_else(|error| {
        eprintln!("frostthread-lab: {error:#}");
        ExitCode::from(2)
    })
}

fn run(command: Command) -> Result<ExitCode> {
    match command {
        Command::Drill(arguments) => drill::run(&arguments),
        Command::Load(arguments) => load::run(&arguments),
        Command::Sizes(arguments) => sizes::run(&arguments),
        Command::Limits(arguments) => Ok(limits::run(&arguments)),
        Command::Scale(arguments) => scale::run(&arguments),
        Command::Server(arguments) => server::run(arguments),
        Command::List(arguments) => list::run(&arguments),
        Command::Caller(arguments) => caller::run(arguments),
        Command::Relay(arguments) => relay::run(&arguments),
        Command::Platform(arguments) => platform::run(&arguments),
        Command::Serve => platform::serve(),
        Command::Proxy(arguments) => proxy::run(&arguments),
    }
}
