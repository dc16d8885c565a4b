//! `scale`: thousands of hollow border proxies, judged against the limits of the target.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::Args;
use lab::scale::layout::LayoutTerms;
use lab::scale::report::Report;
use lab::scale::script::Script;
use lab::scale::virtual_run::VirtualRun;

/// Hollow proxies of a quick run and of a full one, where none are asked for.
const QUICK_PROXIES: usize = 1_000;
const FULL_PROXIES: usize = 3_000;
/// A run is broken off after so long; a quick one sooner.
const MOST: Duration = Duration::from_secs(1_800);
const QUICK_MOST: Duration = Duration::from_secs(220);

/// The arguments of `scale`.
#[derive(Args)]
pub struct ScaleArguments {
    /// Hollow proxies; 1000 with --quick, 3000 without
    #[arg(long)]
    proxies: Option<usize>,
    /// calm, loss, control-dead, region-cut, zone-back, bad-day or a file
    #[arg(long, default_value = "calm")]
    script: String,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Under a virtual clock, in this process
    #[arg(long = "virtual")]
    simulated: bool,
    /// Without control machines: everybody gossips with everybody
    #[arg(long)]
    flat: bool,
    /// Threads of a virtual run; half of the processor's cores where not given
    #[arg(long)]
    threads: Option<usize>,
    /// Under four minutes
    #[arg(long)]
    quick: bool,
    /// One JSON object in place of a table
    #[arg(long)]
    json: bool,
    /// Write the JSON object to this file too
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Plays the runs that are asked for; exit code 1 if a limit was not kept.
pub fn run(arguments: &ScaleArguments) -> Result<ExitCode> {
    let report = play(arguments)?;
    let json = serde_json::to_string_pretty(&report)?;
    if let Some(file) = &arguments.out {
        std::fs::write(file, format!("{json}\n")).with_context(|| file.display().to_string())?;
    }
    if arguments.json {
        println!("{json}")
    } else {
        print!("{report}")
    }
    let Some(first) = report.misses.first() else { return Ok(ExitCode::SUCCESS) };
    eprintln!("missed: {first}");
    Ok(ExitCode::FAILURE)
}

fn play(arguments: &ScaleArguments) -> Result<Report> {
    anyhow::ensure!(arguments.simulated, "only --virtual so far");
    let proxies = arguments.proxies.unwrap_or(if arguments.quick { QUICK_PROXIES } else { FULL_PROXIES });
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let run = VirtualRun {
        layout: LayoutTerms { proxies, ..LayoutTerms::default() },
        script: Script::named(&arguments.script)?,
        seed: arguments.seed,
        threads: arguments.threads.unwrap_or(cores.div_ceil(2)),
        flat: arguments.flat,
        max_wall_time: if arguments.quick { QUICK_MOST } else { MOST },
    };
    let end = run.script.end_ms() / 1000.0;
    run.execute(&|reached| eprintln!("{:>5.0} of {end:.0} s", reached / 1000.0))
}
