//! `frostthread`: runs a border proxy, checks its settings, asks a running one for its status.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand, ValueEnum};
use daemon::settings::{self, Plan};
use daemon::{control, run};
use tabled::{Table, Tabled, settings::Style};
use tracing_subscriber::EnvFilter;

#[derive(Parser)]
#[command(
    name = "frostthread",
    version,
    about = "An IAX2 call router: border proxies before central servers"
)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a border proxy until SIGTERM
    Run {
        #[arg(long)]
        config: PathBuf,
        /// How log lines look
        #[arg(long, value_enum, default_value_t = Log::Plain)]
        log: Log,
    },
    /// Tell all that is wrong with a settings file (- for standard input); exit code 2 if anything is
    Check { file: PathBuf },
    /// Print a full example of the settings, with a word on each
    Settings,
    /// Ask a running border proxy for its servers, conversations and counters
    Status {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Log {
    Plain,
    Json,
}

fn main() -> ExitCode {
    match carry_out(Line::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("frostthread: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a plan; tells all that is wrong with it.
fn plan(file: &Path) -> Result<Option<Plan>> {
    let mut source = String::new();
    if file == Path::new("-") {
        io::stdin().read_to_string(&mut source)?;
    } else {
        source = fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
    }
    match settings::read(&source) {
        Ok(plan) => Ok(Some(plan)),
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", file.display());
            }
            Ok(None)
        }
    }
}

fn carry_out(command: Command) -> Result<ExitCode> {
    let wrong = ExitCode::from(2);
    match command {
        Command::Settings => print!("{}", settings::EXAMPLE),
        Command::Check { file } => {
            let Some(plan) = plan(&file)? else { return Ok(wrong) };
            println!("{}: fit to run as {}", file.display(), plan.name);
        }
        Command::Run { config, log } => {
            let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
            let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
            match log {
                Log::Plain => lines.init(),
                Log::Json => lines.json().init(),
            }
            let Some(plan) = plan(&config)? else { return Ok(wrong) };
            runtime()?.block_on(run::run(plan))?;
        }
        Command::Status { config, json } => {
            let Some(plan) = plan(&config)? else { return Ok(wrong) };
            let status = runtime()?.block_on(control::status(&plan.control))?;
            if json {
                println!("{}", serde_json::to_string(&status)?);
            } else {
                show(&status);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_current_thread().enable_all().build()?)
}

#[derive(Tabled)]
struct Row {
    server: String,
    address: String,
    state: String,
    out: String,
    samples: usize,
    delay: String,
    rate: String,
}

fn show(status: &border::status::Status) {
    let row = |server: &border::status::ServerStatus| Row {
        server: server.name.clone(),
        address: server.address.clone(),
        state: match (server.cold, server.resting) {
            (true, _) => format!("{}, cold", server.state),
            (false, true) => format!("{}, resting", server.state),
            _ => server.state.clone(),
        },
        out: format!("{} of {:.1}", server.out, server.allowance),
        samples: server.samples,
        delay: format!("{:.0} ms", server.delay_ms),
        rate: server.told_rate.map_or("-".to_owned(), |rate| format!("{rate:.1}/s")),
    };
    println!("{}", Table::new(status.servers.iter().map(row)).with(Style::sharp()));
    let (present, tally) = (status.present, status.tally);
    println!("held {}, shot {}, standing {}", present.held, present.shot, present.standing);
    println!(
        "taken {}, stood {}, refused {}, failed {}, left {}, cut {}; shots {}, nacked {}, timed out {}, reset {}",
        tally.taken,
        tally.stood,
        tally.refused,
        tally.failed,
        tally.left,
        tally.cut,
        tally.shots,
        tally.nacked,
        tally.timed_out,
        tally.reset
    );
}
