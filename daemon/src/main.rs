//! The program `frostthread`: runs a border proxy, checks settings, and sends operators' requests to a
//! running proxy.

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
use daemon::settings::{self, ProxySettings};
use daemon::{control, durable_files, keys, run, serve};
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
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a border proxy until SIGTERM
    Run {
        #[arg(long)]
        config: PathBuf,
        /// Format of log lines
        #[arg(long, value_enum, default_value_t = LogFormat::Plain)]
        log: LogFormat,
    },
    /// Run a border proxy as the platform starts it, until SIGTERM: LB_CONFIG is the configuration file,
    /// LB_LISTEN the callers' address
    Serve {
        /// Format of log lines
        #[arg(long, value_enum, default_value_t = LogFormat::Plain)]
        log: LogFormat,
    },
    /// Print all errors in a settings file (- for standard input); exit code 2 if there are any
    Check { file: PathBuf },
    /// Print a full example of the settings, with a comment on each
    Settings,
    /// Print which other proxies a running border proxy knows
    Members {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Print which servers are suspected to be silent, by whom, and whether a running border proxy believes
    /// it
    Suspicions {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Print the fleet limits as a running border proxy applies them
    Limits {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Print the council as a running border proxy sees it; add or remove a member
    Council {
        #[command(subcommand)]
        subcommand: CouncilCommand,
    },
    /// Drain a central server by a decision of the fleet: no proxy sends it new calls
    Drain {
        server: String,
        /// Kept with the decision
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// End a drain
    Undrain {
        server: String,
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// Replace the proxies of the fleet in waves, by a decision of the fleet
    Release {
        #[command(subcommand)]
        subcommand: ReleaseCommand,
    },
    /// Print which servers and proxies are unavailable by the fleet's decision, since when and why
    Outs {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Print a running border proxy's scopes of distributed state, and how old they are
    Distribution {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Print which subscribers of a running control machine have the newest changes, and which lack them
    Changes {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Make a running border proxy read its key files and roster again
    Rekey {
        #[arg(long)]
        config: PathBuf,
    },
    /// Print call detail records
    Records {
        #[command(subcommand)]
        subcommand: RecordsCommand,
    },
    /// Create key files, or print their public keys
    Key {
        #[command(subcommand)]
        subcommand: KeyCommand,
    },
    /// Print a running border proxy's servers, conversations and counters
    Status {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum CouncilCommand {
    /// Print the council's state
    State {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Give a proxy of the roster a vote
    Add {
        proxy: String,
        /// The number of its stored state, needed if no member has heard from it: `council state` there
        /// prints it
        #[arg(long)]
        life: Option<u64>,
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// Take a proxy's vote
    Remove {
        proxy: String,
        #[command(flatten)]
        options: DecisionOptions,
    },
}

#[derive(Subcommand)]
enum ReleaseCommand {
    /// Copy a file into this proxy's state directory, and make all proxies look for it in theirs
    Stage {
        file: PathBuf,
        #[arg(long, value_enum)]
        kind: StagedKind,
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// Replace all proxies in waves once all are ready, or continue after a halt
    Start {
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// Let no further proxy be replaced
    Halt {
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// Revert all proxies that run the release, the newest wave first
    Back {
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// Give up an unavailable proxy: it no longer counts towards those that may be unavailable
    WriteOff {
        proxy: String,
        #[arg(long)]
        why: String,
        #[command(flatten)]
        options: DecisionOptions,
    },
    /// Print the release's state
    State {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum StagedKind {
    Settings,
    Program,
}

impl From<StagedKind> for Kind {
    fn from(staged: StagedKind) -> Self {
        match staged {
            StagedKind::Settings => Self::Settings,
            StagedKind::Program => Self::Program,
        }
    }
}

/// How a decision is requested. Exit code 3 if it is refused, 1 if it was not decided in time.
#[derive(Args)]
struct DecisionOptions {
    #[arg(long)]
    config: PathBuf,
    /// Only print the predicted outcome, by what the proxy knows
    #[arg(long)]
    dry_run: bool,
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum KeyCommand {
    /// Write a random secret key to a new file, and print its public key
    New { file: PathBuf },
    /// Print the public key of a secret key file, as rosters list it
    Public { file: PathBuf },
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Plain,
    Json,
}

impl LogFormat {
    fn install(self) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
        let subscriber = subscriber.with_ansi(io::stderr().is_terminal());
        match self {
            Self::Plain => subscriber.init(),
            Self::Json => subscriber.json().init(),
        }
    }
}

fn main() -> ExitCode {
    match execute(CommandLine::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("frostthread: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a settings file; prints its errors and returns none if there are any.
fn read_settings(file: &Path) -> Result<Option<ProxySettings>> {
    let mut source = String::new();
    if file == Path::new("-") {
        io::stdin().read_to_string(&mut source)?;
    } else {
        source = fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
    }
    match settings::read(&source) {
        Ok(proxy_settings) => Ok(Some(proxy_settings)),
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", file.display());
            }
            Ok(None)
        }
    }
}

fn execute(command: Command) -> Result<ExitCode> {
    let invalid_settings = ExitCode::from(2);
    match command {
        Command::Settings => print!("{}", settings::EXAMPLE),
        Command::Check { file } => {
            let Some(proxy_settings) = read_settings(&file)? else { return Ok(invalid_settings) };
            println!("{}: valid settings of {}", file.display(), proxy_settings.name);
        }
        Command::Serve { log } => {
            log.install();
            runtime()?.block_on(serve::serve())?;
        }
        Command::Run { config, log } => {
            log.install();
            let Some(proxy_settings) = read_settings(&config)? else { return Ok(invalid_settings) };
            run_with_releases(proxy_settings, config)?;
        }
        Command::Release { subcommand } => return execute_release(subcommand),
        Command::Records { subcommand } => records::execute(&subcommand)?,
        Command::Key { subcommand: KeyCommand::New { file } } => println!("{}", keys::generate(&file)?),
        Command::Key { subcommand: KeyCommand::Public { file } } => println!("{}", keys::public(&file)?),
        Command::Rekey { config } => {
            if request::<serde_json::Value>(&config, "rekey")?.is_none() {
                return Ok(invalid_settings);
            }
            println!("keys reloaded");
        }
        Command::Members { config, json } => {
            let Some(gossip) = request::<GossipStatus>(&config, "gossip")? else {
                return Ok(invalid_settings);
            };
            print_status(json, &gossip.members, || show_members(&gossip))?;
        }
        Command::Suspicions { config, json } => {
            let Some(gossip) = request::<GossipStatus>(&config, "gossip")? else {
                return Ok(invalid_settings);
            };
            print_status(json, &gossip.suspicions, || show_suspicions(&gossip))?;
        }
        Command::Limits { config, json } => {
            let Some(limits) = request::<LimitsStatus>(&config, "limits")? else {
                return Ok(invalid_settings);
            };
            print_status(json, &limits, || show_limits(&limits))?;
        }
        Command::Council { subcommand: CouncilCommand::State { config, json } } => {
            let Some(council) = request::<CouncilStatus>(&config, "council")? else {
                return Ok(invalid_settings);
            };
            print_status(json, &council, || show_council(&council))?;
        }
        Command::Council { subcommand: CouncilCommand::Add { proxy, life, options } } => {
            return submit(OperatorCommand::Add { proxy, generation: life }, &options);
        }
        Command::Council { subcommand: CouncilCommand::Remove { proxy, options } } => {
            return submit(OperatorCommand::Remove { proxy }, &options);
        }
        Command::Drain { server, why, options } => {
            return submit(OperatorCommand::Drain { server, why }, &options);
        }
        Command::Undrain { server, options } => return submit(OperatorCommand::Undrain { server }, &options),
        Command::Outs { config, json } => {
            let Some(outs) = request::<AvailabilityStatus>(&config, "outs")? else {
                return Ok(invalid_settings);
            };
            print_status(json, &outs, || show_outs(&outs))?;
        }
        Command::Distribution { config, json } => {
            let Some(status) = request::<DistributionStatus>(&config, "distribution")? else {
                return Ok(invalid_settings);
            };
            print_status(json, &status, || show_distribution(&status))?;
        }
        Command::Changes { config, json } => {
            let Some(changes) = request::<Vec<ChangeStatus>>(&config, "changes")? else {
                return Ok(invalid_settings);
            };
            print_status(json, &changes, || show_changes(&changes))?;
        }
        Command::Status { config, json } => {
            let Some(status) = request::<Status>(&config, "status")? else { return Ok(invalid_settings) };
            print_status(json, &status, || show(&status))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a proxy, and replaces it by releases; continues with the current program where a release can't run.
fn run_with_releases(mut proxy_settings: ProxySettings, config: PathBuf) -> Result<()> {
    durable_files::create_dir_all(&proxy_settings.state_dir)
        .with_context(|| format!("state directory {}", proxy_settings.state_dir.display()))?;
    let mut target = None;
    match release::start(&proxy_settings.state_dir)? {
        Start::Current(running_release) => proxy_settings.running_release = running_release,
        Start::Become(found) => target = Some(found),
    }
    proxy_settings.config_file = config;
    loop {
        if let Some(target) = target.take() {
            let error = target.exec();
            tracing::error!("release.unrun: {error}");
            release::mark_failed(&proxy_settings.state_dir, &error.to_string())?;
            if let Start::Current(running_release) = release::start(&proxy_settings.state_dir)? {
                proxy_settings.running_release = running_release;
            }
        }
        let runtime = runtime()?;
        let Some(replacement) = runtime.block_on(run::run(proxy_settings.clone()))? else {
            // A write that a disk does not finish must not keep the process: nothing depends on it any more.
            runtime.shutdown_background();
            return Ok(());
        };
        // Waits for such writes: the next run must find the files as this one leaves them.
        drop(runtime);
        match release::install(&proxy_settings.state_dir, &proxy_settings.config_file, &replacement) {
            Ok(next) => target = Some(next),
            Err(error) => {
                tracing::error!("release.uninstalled: {error:#}");
                proxy_settings.running_release.failed = Some((replacement.release, format!("{error:#}")));
            }
        }
    }
}

fn execute_release(subcommand: ReleaseCommand) -> Result<ExitCode> {
    match subcommand {
        ReleaseCommand::Stage { file, kind, why, options } => {
            let Some(proxy_settings) = read_settings(&options.config)? else { return Ok(ExitCode::from(2)) };
            let sum = release::stage(&proxy_settings.state_dir, &file)?;
            eprintln!("each proxy looks for the file in its state directory as staged/{}", hex::encode(sum));
            submit(OperatorCommand::Stage { kind: kind.into(), sum: hex::encode(sum), why }, &options)
        }
        ReleaseCommand::Start { options } => submit(OperatorCommand::Start, &options),
        ReleaseCommand::Halt { why, options } => submit(OperatorCommand::Halt { why }, &options),
        ReleaseCommand::Back { options } => submit(OperatorCommand::Back, &options),
        ReleaseCommand::WriteOff { proxy, why, options } => {
            submit(OperatorCommand::WriteOff { proxy, why }, &options)
        }
        ReleaseCommand::State { config, json } => {
            let Some(outs) = request::<AvailabilityStatus>(&config, "outs")? else {
                return Ok(ExitCode::from(2));
            };
            print_status(json, &outs.release, || show_release(outs.release.as_ref()))?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Submits a command to the council, or predicts its outcome; prints the result.
fn submit(operator_command: OperatorCommand, options: &DecisionOptions) -> Result<ExitCode> {
    let request_line = CommandRequest { command: operator_command, dry_run: options.dry_run };
    let Some(outcome) = request::<CommandOutcome>(&options.config, &serde_json::to_string(&request_line)?)?
    else {
        return Ok(ExitCode::from(2));
    };
    print_status(options.json, &outcome, || match &outcome {
        CommandOutcome::Done { .. } if options.dry_run => println!("would be decided"),
        CommandOutcome::Done { decision } => println!("decided, as decision {decision}"),
        CommandOutcome::Already => println!("already in effect"),
        CommandOutcome::Refused { why } => println!("refused: {why}"),
    })?;
    Ok(if matches!(outcome, CommandOutcome::Refused { .. }) { ExitCode::from(3) } else { ExitCode::SUCCESS })
}

/// Sends a request to the proxy that runs with these settings; none if the settings are invalid.
fn request<T: DeserializeOwned>(config: &Path, word: &str) -> Result<Option<T>> {
    let Some(proxy_settings) = read_settings(config)? else { return Ok(None) };
    runtime()?.block_on(control::request(&proxy_settings.control_socket, word)).map(Some)
}

/// Prints a status as JSON, or with `show`.
fn print_status(json: bool, status: &impl Serialize, show: impl FnOnce()) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(status)?);
    } else {
        show();
    }
    Ok(())
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_current_thread().enable_all().build()?)
}
