//! `frostthread`: runs a border proxy, checks its settings, asks a running one for its status.

use std::fs;
use std::io::{self, IsTerminal, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use border::status::{GossipStatus, LimitStatus, LimitsStatus, MemberStatus, Status, SuspicionStatus};
use clap::{Parser, Subcommand, ValueEnum};
use daemon::records::{self, RecordsCommand};
use daemon::settings::{self, Plan};
use daemon::{control, keys, run, serve};
use serde::Serialize;
use serde::de::DeserializeOwned;
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
            runtime()?.block_on(run::run(plan))?;
        }
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
        Command::Status { config, json } => {
            let Some(status) = ask::<Status>(&config, "status")? else { return Ok(wrong) };
            tell(json, &status, || show(&status))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Asks the proxy that runs by some settings; nothing where those are unfit.
fn ask<T: DeserializeOwned>(config: &Path, word: &str) -> Result<Option<T>> {
    let Some(plan) = plan(config)? else { return Ok(None) };
    runtime()?.block_on(control::ask(&plan.control, word)).map(Some)
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

fn show_members(gossip: &GossipStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        proxy: &'a str,
        address: &'a str,
        standing: &'a str,
    }
    fn row(m: &MemberStatus) -> Row<'_> {
        Row { proxy: &m.name, address: &m.address, standing: &m.standing }
    }
    println!("{}", Table::new(gossip.members.iter().map(row)).with(Style::sharp()));
    let tally = gossip.tally;
    println!(
        "sent {} packets, {} bytes, put off {}; dropped: malformed {}, untagged {}, forged {}, replayed {}, \
         bad statements {}; clashes {}",
        tally.packets,
        tally.sent_bytes,
        gossip.deferred,
        tally.malformed,
        tally.untagged,
        tally.forged,
        tally.replayed,
        tally.bad_statements,
        tally.clashes
    );
}

fn show_suspicions(gossip: &GossipStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        server: &'a str,
        believed: bool,
        accusers: String,
        vouchers: usize,
        since: String,
        own_answer: String,
    }
    fn row(s: &SuspicionStatus) -> Row<'_> {
        Row {
            server: &s.server,
            believed: s.believed,
            accusers: format!("{}: {}", s.accusers.len(), s.accusers.join(" ")),
            vouchers: s.vouchers,
            since: format!("{:.1} s", s.age / 1000.0),
            own_answer: s.answered.map_or("never".to_owned(), |ago| format!("{:.1} s ago", ago / 1000.0)),
        }
    }
    println!("{}", Table::new(gossip.suspicions.iter().map(row)).with(Style::sharp()));
}

fn show_limits(status: &LimitsStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        server: &'a str,
        limit: String,
        own: usize,
        lent: usize,
        borrowed: usize,
        used: usize,
        free: usize,
        why: &'a str,
    }
    fn row(l: &LimitStatus) -> Row<'_> {
        Row {
            server: &l.server,
            limit: format!("{} in {:.1} s", l.permits, l.window_ms / 1000.0),
            own: l.part,
            lent: l.lent,
            borrowed: l.borrowed,
            used: l.resting,
            free: l.free,
            why: &l.why,
        }
    }
    println!("{}", Table::new(status.limits.iter().map(row)).with(Style::sharp()));
    let counts = status.counts;
    println!(
        "asked {}, lent {}, borrowed {}, missed {}; dropped: malformed {}, unknown {}, over {}, stray {}",
        counts.asked,
        counts.lent,
        counts.borrowed,
        counts.missed,
        counts.malformed,
        counts.unknown,
        counts.over,
        counts.stray
    );
}

fn show(status: &Status) {
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
    println!(
        "unrouted {}, turned away {}, unrecordable {}",
        tally.unrouted, tally.turned_away, tally.unrecordable
    );
    if let Some(watch) = status.watch {
        println!(
            "watched: {} of {} turns would differ; {} turns in all",
            watch.differing, watch.seen, watch.turns
        );
        println!(
            "elsewhere {}, other time-out {}, held back {}, sooner {}, given up {}, kept {}, other advice {}, \
             called off {}, unprobed {}, probed {}",
            watch.elsewhere,
            watch.time_out,
            watch.held_back,
            watch.sooner,
            watch.given_up,
            watch.kept,
            watch.advice,
            watch.called_off,
            watch.unprobed,
            watch.probed
        );
    }
}
