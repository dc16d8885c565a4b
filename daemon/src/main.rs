//! `frostthread`: runs a border proxy, checks its settings, asks a running one for its status.

use std::fs;
use std::io::{self, IsTerminal, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use border::decided::{AvailabilityStatus, CommandOutcome, CouncilStatus, OperatorCommand};
use border::distributed::{ChangeStatus, DistributionStatus};
use border::status::{GossipStatus, LimitsStatus, Status};
use clap::{Args, Parser, Subcommand, ValueEnum};
use daemon::control::CommandRequest;
use daemon::records::{self, RecordsCommand};
use daemon::release::{self, Start};
use daemon::settings::{self, Plan};
use daemon::{control, keys, run, serve};
use outs::Kind;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing_subscriber::EnvFilter;

mod tables;

use tables::{
    show, show_changes, show_council, show_distribution, show_limits, show_members, show_outs, show_release,
    show_suspicions,
};

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
    /// Run a border proxy as the platform starts it: told by LB_CONFIG, callers on LB_LISTEN, until SIGTERM
    Serve {
        /// How log lines look
        #[arg(long, value_enum, default_value_t = Log::Plain)]
        log: Log,
    },
    /// Tell all that is wrong with a settings file (- for standard input); exit code 2 if anything is
    Check { file: PathBuf },
    /// Print a full example of the settings, with a word on each
    Settings,
    /// Ask a running border proxy who else is there
    Members {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Ask a running border proxy which servers are called silent, by whom, and what it believes
    Suspicions {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Ask a running border proxy where it stands with the limits of the fleet
    Limits {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Who decides for all proxies, and how this one stands with it; let a member in, or take one out
    Council {
        #[command(subcommand)]
        what: CouncilCommand,
    },
    /// Have no proxy send a central server anything new, by a decision of the fleet
    Drain {
        server: String,
        /// Kept with the decision
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        order: Order,
    },
    /// Take a drain back
    Undrain {
        server: String,
        #[command(flatten)]
        order: Order,
    },
    /// Replace the proxies of the fleet by a decision, in waves
    Release {
        #[command(subcommand)]
        what: ReleaseCommand,
    },
    /// Ask a running border proxy who is out by the fleet's decision, since when and why
    Outs {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Ask a running border proxy how decided state reaches it by scope, and how old that is
    Distribution {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Ask a running control machine who of its subscribers has the newest changes, and who lacks them
    Changes {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Have a running border proxy read its key files and roster again
    Rekey {
        #[arg(long)]
        config: PathBuf,
    },
    /// Look at call detail records
    Records {
        #[command(subcommand)]
        what: RecordsCommand,
    },
    /// Make or look at key files
    Key {
        #[command(subcommand)]
        what: KeyCommand,
    },
    /// Ask a running border proxy for its servers, conversations and counters
    Status {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum CouncilCommand {
    /// Print it
    State {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Give a proxy of the roster a seat
    Add {
        proxy: String,
        /// The number of its disk, where no member has heard it: `council state` there has it
        #[arg(long)]
        life: Option<u64>,
        #[command(flatten)]
        order: Order,
    },
    /// Take a proxy's seat
    Remove {
        proxy: String,
        #[command(flatten)]
        order: Order,
    },
}

#[derive(Subcommand)]
enum ReleaseCommand {
    /// Put a file beside this proxy's state, and have all proxies look for it there
    Stage {
        file: PathBuf,
        #[arg(long, value_enum)]
        kind: Staged,
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        order: Order,
    },
    /// Replace all proxies in waves, once all are ready; or go on after a halt
    Start {
        #[command(flatten)]
        order: Order,
    },
    /// Let nobody out for it any more
    Halt {
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        order: Order,
    },
    /// Have all go back that run it, the newest wave first
    Back {
        #[command(flatten)]
        order: Order,
    },
    /// A proxy that is out never comes back: it takes up no place any more
    WriteOff {
        proxy: String,
        #[arg(long)]
        why: String,
        #[command(flatten)]
        order: Order,
    },
    /// Print it
    State {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Staged {
    Settings,
    Program,
}

impl From<Staged> for Kind {
    fn from(staged: Staged) -> Self {
        match staged {
            Staged::Settings => Self::Settings,
            Staged::Program => Self::Program,
        }
    }
}

/// How something is asked for. Exit code 3 where it is refused, 1 where it was not decided in time.
#[derive(Args)]
struct Order {
    #[arg(long)]
    config: PathBuf,
    /// Only tell what it would come to, by what the proxy knows
    #[arg(long)]
    dry_run: bool,
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum KeyCommand {
    /// Draw a secret key into a new file, and print its public key
    New { file: PathBuf },
    /// Print the public key of a secret one, as a roster has it
    Public { file: PathBuf },
}

#[derive(Clone, Copy, ValueEnum)]
enum Log {
    Plain,
    Json,
}

impl Log {
    fn begin(self) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
        let lines = lines.with_ansi(io::stderr().is_terminal());
        match self {
            Self::Plain => lines.init(),
            Self::Json => lines.json().init(),
        }
    }
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
        Command::Serve { log } => {
            log.begin();
            runtime()?.block_on(serve::serve())?;
        }
        Command::Run { config, log } => {
            log.begin();
            let Some(plan) = plan(&config)? else { return Ok(wrong) };
            run_by(plan, config)?;
        }
        Command::Release { what } => return carry_out_release(what),
        Command::Records { what } => records::carry_out(&what)?,
        Command::Key { what: KeyCommand::New { file } } => println!("{}", keys::draw(&file)?),
        Command::Key { what: KeyCommand::Public { file } } => println!("{}", keys::public(&file)?),
        Command::Rekey { config } => {
            if ask::<serde_json::Value>(&config, "rekey")?.is_none() {
                return Ok(wrong);
            }
            println!("it goes on with the keys as they are now");
        }
        Command::Members { config, json } => {
            let Some(gossip) = ask::<GossipStatus>(&config, "gossip")? else { return Ok(wrong) };
            tell(json, &gossip.members, || show_members(&gossip))?;
        }
        Command::Suspicions { config, json } => {
            let Some(gossip) = ask::<GossipStatus>(&config, "gossip")? else { return Ok(wrong) };
            tell(json, &gossip.suspicions, || show_suspicions(&gossip))?;
        }
        Command::Limits { config, json } => {
            let Some(limits) = ask::<LimitsStatus>(&config, "limits")? else { return Ok(wrong) };
            tell(json, &limits, || show_limits(&limits))?;
        }
        Command::Council { what: CouncilCommand::State { config, json } } => {
            let Some(council) = ask::<CouncilStatus>(&config, "council")? else { return Ok(wrong) };
            tell(json, &council, || show_council(&council))?;
        }
        Command::Council { what: CouncilCommand::Add { proxy, life, order } } => {
            return wish(OperatorCommand::Add { proxy, generation: life }, &order);
        }
        Command::Council { what: CouncilCommand::Remove { proxy, order } } => {
            return wish(OperatorCommand::Remove { proxy }, &order);
        }
        Command::Drain { server, why, order } => return wish(OperatorCommand::Drain { server, why }, &order),
        Command::Undrain { server, order } => return wish(OperatorCommand::Undrain { server }, &order),
        Command::Outs { config, json } => {
            let Some(outs) = ask::<AvailabilityStatus>(&config, "outs")? else { return Ok(wrong) };
            tell(json, &outs, || show_outs(&outs))?;
        }
        Command::Distribution { config, json } => {
            let Some(status) = ask::<DistributionStatus>(&config, "distribution")? else { return Ok(wrong) };
            tell(json, &status, || show_distribution(&status))?;
        }
        Command::Changes { config, json } => {
            let Some(changes) = ask::<Vec<ChangeStatus>>(&config, "changes")? else { return Ok(wrong) };
            tell(json, &changes, || show_changes(&changes))?;
        }
        Command::Status { config, json } => {
            let Some(status) = ask::<Status>(&config, "status")? else { return Ok(wrong) };
            tell(json, &status, || show(&status))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a proxy, and what it is to become by a release; goes on as it is where that can't be run.
fn run_by(mut plan: Plan, config: PathBuf) -> Result<()> {
    fs::create_dir_all(&plan.state).with_context(|| format!("state directory {}", plan.state.display()))?;
    let mut change = None;
    match release::start(&plan.state)? {
        Start::Here(runs) => plan.runs = runs,
        Start::Elsewhere(other) => change = Some(other),
    }
    plan.config = config;
    loop {
        if let Some(change) = change.take() {
            let error = change.exec();
            tracing::error!("release.unrun: {error}");
            release::give_up(&plan.state, &error.to_string())?;
            if let Start::Here(runs) = release::start(&plan.state)? {
                plan.runs = runs;
            }
        }
        let Some(replace) = runtime()?.block_on(run::run(plan.clone()))? else { return Ok(()) };
        match release::install(&plan.state, &plan.config, &replace) {
            Ok(next) => change = Some(next),
            Err(error) => {
                tracing::error!("release.uninstalled: {error:#}");
                plan.runs.failed = Some((replace.release, format!("{error:#}")));
            }
        }
    }
}

fn carry_out_release(what: ReleaseCommand) -> Result<ExitCode> {
    match what {
        ReleaseCommand::Stage { file, kind, why, order } => {
            let Some(plan) = plan(&order.config)? else { return Ok(ExitCode::from(2)) };
            let sum = release::stage(&plan.state, &file)?;
            eprintln!("each proxy looks for it in its state directory as staged/{}", hex::encode(sum));
            wish(OperatorCommand::Stage { kind: kind.into(), sum: hex::encode(sum), why }, &order)
        }
        ReleaseCommand::Start { order } => wish(OperatorCommand::Start, &order),
        ReleaseCommand::Halt { why, order } => wish(OperatorCommand::Halt { why }, &order),
        ReleaseCommand::Back { order } => wish(OperatorCommand::Back, &order),
        ReleaseCommand::WriteOff { proxy, why, order } => {
            wish(OperatorCommand::WriteOff { proxy, why }, &order)
        }
        ReleaseCommand::State { config, json } => {
            let Some(outs) = ask::<AvailabilityStatus>(&config, "outs")? else {
                return Ok(ExitCode::from(2));
            };
            tell(json, &outs.release, || show_release(outs.release.as_ref()))?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Has something decided, or tells what it would come to.
fn wish(wish: OperatorCommand, order: &Order) -> Result<ExitCode> {
    let wished = CommandRequest { command: wish, dry_run: order.dry_run };
    let Some(answer) = ask::<CommandOutcome>(&order.config, &serde_json::to_string(&wished)?)? else {
        return Ok(ExitCode::from(2));
    };
    tell(order.json, &answer, || match &answer {
        CommandOutcome::Done { .. } if order.dry_run => println!("would be decided"),
        CommandOutcome::Done { decision } => println!("decided, as decision {decision}"),
        CommandOutcome::Already => println!("it is so already"),
        CommandOutcome::Refused { why } => println!("refused: {why}"),
    })?;
    Ok(if matches!(answer, CommandOutcome::Refused { .. }) { ExitCode::from(3) } else { ExitCode::SUCCESS })
}

/// Asks the proxy that runs by some settings; nothing where those are unfit.
fn ask<T: DeserializeOwned>(config: &Path, word: &str) -> Result<Option<T>> {
    let Some(plan) = plan(config)? else { return Ok(None) };
    runtime()?.block_on(control::request(&plan.control, word)).map(Some)
}

fn tell(json: bool, what: &impl Serialize, show: impl FnOnce()) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(what)?);
    } else {
        show();
    }
    Ok(())
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_current_thread().enable_all().build()?)
}
