//! `frostthread-lab`: plays drills against border proxies, on sockets or under a virtual clock, and judges
//! the rules from what passed.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use lab::baseline::{Broken, Plain, Routing};
use lab::drill::Drill;
use lab::report::{self, Summary};
use lab::{simulated, sockets};

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
    /// Play a drill: bad-day, calm, kind:NAME or a file; exit code 1 if a rule broke
    Drill(DrillLine),
    /// Run a border proxy with a baseline in place of the module
    #[command(hide = true)]
    Proxy {
        #[arg(long)]
        routing: Routing,
        #[arg(long)]
        config: PathBuf,
    },
}

#[derive(Args)]
struct DrillLine {
    drill: String,
    /// Under a virtual clock, in this process
    #[arg(long = "virtual")]
    simulated: bool,
    #[arg(long)]
    proxies: Option<usize>,
    #[arg(long)]
    servers: Option<usize>,
    /// First tries a second
    #[arg(long)]
    rate: Option<f64>,
    #[arg(long)]
    seconds: Option<f64>,
    #[arg(long)]
    seed: Option<u64>,
    /// Play it again with another routing: random, round-robin or least-out
    #[arg(long)]
    against: Vec<Routing>,
    /// One JSON object in place of tables
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Drill(line) => drill(&line),
        Command::Proxy { routing, config } => proxy(routing, &config),
    };
    match done {
        Ok(code) => code,
        Err(error) => {
            eprintln!("frostthread-lab: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn drill(line: &DrillLine) -> Result<ExitCode> {
    let mut drill = Drill::named(&line.drill)?;
    let set = |to: &mut usize, from: Option<usize>| *to = from.unwrap_or(*to);
    set(&mut drill.fleet.proxies, line.proxies);
    set(&mut drill.fleet.servers, line.servers);
    drill.load.rate = line.rate.unwrap_or(drill.load.rate);
    drill.seconds = line.seconds.unwrap_or(drill.seconds);
    drill.seed = line.seed.unwrap_or(drill.seed);
    drill.check()?;
    let mut summaries = Vec::new();
    for routing in std::iter::once(Routing::Ours).chain(line.against.iter().copied()) {
        let world = if line.simulated {
            simulated::run(drill.clone(), routing, Broken::default())?
        } else {
            sockets::run(drill.clone(), routing)?
        };
        summaries.push(Summary::of(&world, &routing.to_string(), line.simulated));
    }
    let ours = &summaries[0];
    if line.json {
        println!("{}", serde_json::to_string(&summaries)?);
    } else {
        println!(
            "{}: {} proxies, {} servers, seed {}; {} callers, {} tries",
            ours.drill, ours.proxies, ours.servers, ours.seed, ours.people, ours.tries
        );
        ours.print_rules();
        report::print_beside(&summaries);
        println!(
            "nearest to pushing a cold server over: {:.0}% of what it bears; {} answers could not be judged \
             for time, since the first two copies of their NEW were lost",
            ours.cold_peak * 100.0,
            ours.unknowable
        );
    }
    Ok(if ours.broken() > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn proxy(routing: Routing, config: &std::path::Path) -> Result<ExitCode> {
    let source = std::fs::read_to_string(config)?;
    let plan = daemon::settings::read(&source).map_err(|faults| anyhow::anyhow!("{faults:?}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let decide = |terms, seed, now| Plain::new(routing, Broken::default(), terms, seed, now);
    runtime.block_on(daemon::run::run_deciding(plan, decide))?;
    Ok(ExitCode::SUCCESS)
}
