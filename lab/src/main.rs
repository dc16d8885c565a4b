//! `frostthread-lab`: plays drills against border proxies, on sockets or under a virtual clock, and judges
//! the rules from what passed.

mod commands {
    pub mod scale;
}

use std::fs::{self, File};
use std::io::BufWriter;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use clap::{Args, Parser, Subcommand, ValueEnum};
use commands::scale::ScaleLine;
use lab::alone::{self, ServerPlay};
use lab::baseline::{Broken, Plain, Routing};
use lab::drill::{Drill, LinkFaults, Tenant};
use lab::events::Events;
use lab::permits::{self, Case, Fault, Outcome, Way};
use lab::release::By;
use lab::report::{self, Summary};
use lab::{page, platform, simulated, sockets};
use tabled::{Table, Tabled, settings::Style};

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
    /// Measure one proxy on sockets beside callers that go straight to the server
    Load {
        /// Set-ups a second; several are tried in turn
        #[arg(long, default_values_t = [100.0, 400.0, 800.0])]
        rate: Vec<f64>,
        #[arg(long, default_value_t = 8.0)]
        seconds: f64,
        /// How long conversations stand, in seconds
        #[arg(long, default_value_t = 60.0)]
        hold: f64,
    },
    /// Play gossip-100 virtually at several sizes; print and plot time to know and bytes against size
    Sizes {
        #[arg(long, num_args = 1.., default_values_t = [100, 200, 400, 700, 1000])]
        proxies: Vec<usize>,
        /// Directory for gossip-time.svg and gossip-bytes.svg
        #[arg(long)]
        out: PathBuf,
    },
    /// Play one limit of a whole fleet under faults, virtual; exit code 1 if a window had more than the limit
    Limits {
        #[arg(long, default_value_t = 40)]
        members: usize,
        /// Set-ups a second over all of them
        #[arg(long, default_value_t = 80.0)]
        rate: f64,
        /// What is wanted, over the rate
        #[arg(long, num_args = 1.., default_values_t = [0.7, 1.5])]
        load: Vec<f64>,
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// How the limit is held
        #[arg(long, value_enum, num_args = 1.., default_values_t = [Way::Alone, Way::Lent])]
        way: Vec<Way>,
        /// Only these faults
        #[arg(long, value_enum, num_args = 1..)]
        fault: Vec<Fault>,
    },
    /// Play thousands of hollow proxies; exit code 1 and the first miss if a limit was not kept
    Scale(ScaleLine),
    /// Run a stand-in central server; prints its entry for the pool list, then serves
    Server(ServerLine),
    /// Serve a pool list from a file of entries, one JSON object a line, and its changes as they are made
    List {
        file: PathBuf,
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Seconds by which changes are late
        #[arg(long, default_value_t = 0.0)]
        late: f64,
        #[arg(long)]
        seconds: Option<f64>,
    },
    /// Call proxies; exit code 1 if a conversation taken did not get exactly one answer in time
    Caller(CallerLine),
    /// Pass datagrams on, with faults each way
    Relay {
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
    },
    /// Start a border proxy as the platform does, before stand-in SIP servers, and call it; exit code 1
    /// unless every call stood and was released
    Platform {
        #[arg(long, default_value_t = 100)]
        calls: usize,
    },
    /// The border proxy of that
    #[command(hide = true)]
    Serve,
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
struct ServerLine {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[arg(long, default_value = "central")]
    name: String,
    #[arg(long, default_value_t = 0)]
    pool: u16,
    /// Conversations a second
    #[arg(long, default_value_t = 50.0)]
    capacity: f64,
    /// It has just started
    #[arg(long)]
    cold: bool,
    /// So many times slower
    #[arg(long, default_value_t = 1.0)]
    slow: f64,
    /// Takes set-ups and answers none, from this second on for so many
    #[arg(long, num_args = 2, value_names = ["FROM", "FOR"])]
    hang: Option<Vec<f64>>,
    /// Says nothing from this second on
    #[arg(long)]
    silent: Option<f64>,
    /// The part of set-ups that a fault ends
    #[arg(long, default_value_t = 0.0)]
    faulty: f64,
    /// Conversations at once; unbounded if left out
    #[arg(long)]
    lines: Option<usize>,
    /// Says nothing of its load
    #[arg(long)]
    no_reports: bool,
    #[arg(long)]
    seconds: Option<f64>,
}

#[derive(Args)]
struct CallerLine {
    /// Where the proxies take callers
    #[arg(required = true)]
    proxies: Vec<SocketAddr>,
    /// Grades, tenants and load of a drill
    #[arg(long, default_value = "calm")]
    drill: String,
    /// What numbers called begin with, one a service grade in order
    #[arg(long)]
    called: Vec<String>,
    /// User names of tenants, called for in equal parts
    #[arg(long)]
    tenant: Vec<String>,
    /// First tries a second
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Seconds for which a try is waited for
    #[arg(long)]
    patience: Option<f64>,
    #[arg(long)]
    redials: Option<u32>,
    /// The part of the refused who follow advice
    #[arg(long)]
    honour: Option<f64>,
    #[arg(long)]
    seed: Option<u64>,
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
    /// What that is of the servers' capacity when all is well
    #[arg(long)]
    of_capacity: Option<f64>,
    #[arg(long)]
    seconds: Option<f64>,
    #[arg(long)]
    seed: Option<u64>,
    /// Play it again with another routing: random, round-robin or least-out
    #[arg(long)]
    against: Vec<Routing>,
    /// Let proxies gossip, whatever the drill says
    #[arg(long)]
    gossip: bool,
    /// Lose such a part of their messages
    #[arg(long)]
    gossip_loss: Option<f64>,
    /// Members beside the proxies that call every server silent
    #[arg(long)]
    liars: Option<usize>,
    /// Of how many members it is borne that they lie
    #[arg(long)]
    liars_borne: Option<usize>,
    /// Do not tell the proxies of the fleet's limit: the check is to catch them
    #[arg(long)]
    unlimited: bool,
    /// How the proxies of a drill with a release are replaced
    #[arg(long, value_enum)]
    release_by: Option<By>,
    /// Play it again without gossip
    #[arg(long)]
    without_gossip: bool,
    /// Keep summary.json, events.jsonl (ours only) and report.html in this directory
    #[arg(long)]
    out: Option<PathBuf>,
    /// One JSON object in place of tables
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Drill(line) => drill(&line),
        Command::Load { rate, seconds, hold } => load(&rate, seconds, hold),
        Command::Sizes { proxies, out } => sizes(&proxies, &out),
        Command::Limits { members, rate, load, seeds, way, fault } => {
            let faults = if fault.is_empty() { Fault::value_variants().to_vec() } else { fault };
            let case = |load, fault, way| Case { way, fault, members, rate, load, seed: 0 };
            let cases = load.into_iter().flat_map(|load| faults.iter().map(move |&fault| (load, fault)));
            let cases = cases.flat_map(|(load, fault)| way.iter().map(move |&way| case(load, fault, way)));
            Ok(limits(cases, seeds))
        }
        Command::Scale(line) => commands::scale::scale(&line),
        Command::Server(line) => server(line),
        Command::List { file, listen, late, seconds } => {
            block_on(alone::list(listen, &file, late, seconds)).map(|()| ExitCode::SUCCESS)
        }
        Command::Caller(line) => caller(line),
        Command::Relay { to, listen, loss, double, reorder, seed, seconds } => {
            let faults = LinkFaults { loss, double, reorder };
            block_on(alone::relay(listen, to, faults, seed, seconds)).map(|()| ExitCode::SUCCESS)
        }
        Command::Platform { calls } => platform_visit(calls),
        Command::Serve => block_on(daemon::serve::serve()).map(|()| ExitCode::SUCCESS),
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

fn platform_visit(calls: usize) -> Result<ExitCode> {
    let released = platform::visit(&std::env::current_exe()?, &["serve"], calls)?;
    println!("{calls} calls, {released} stood and were released in the usual way");
    Ok(if released == calls { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn drill(line: &DrillLine) -> Result<ExitCode> {
    let mut drill = Drill::named(&line.drill)?;
    let set = |to: &mut usize, from: Option<usize>| *to = from.unwrap_or(*to);
    set(&mut drill.fleet.proxies, line.proxies);
    set(&mut drill.fleet.servers, line.servers);
    drill.load.rate = line.rate.unwrap_or(drill.load.rate);
    drill.load.of_capacity = line.of_capacity.unwrap_or(drill.load.of_capacity);
    drill.seconds = line.seconds.unwrap_or(drill.seconds);
    drill.seed = line.seed.unwrap_or(drill.seed);
    drill.gossip.on |= line.gossip;
    drill.gossip.limit_told &= !line.unlimited;
    if let Some((play, by)) = drill.release.as_mut().zip(line.release_by) {
        play.by = by;
    }
    ensure!(!(line.simulated && drill.release.is_some()), "a release is played on sockets");
    drill.gossip.loss = line.gossip_loss.unwrap_or(drill.gossip.loss);
    set(&mut drill.gossip.liars, line.liars);
    set(&mut drill.gossip.liars_borne, line.liars_borne);
    drill.check()?;
    if let Some(folder) = &line.out {
        fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    }
    let mut summaries = Vec::new();
    let mut plays: Vec<(Routing, Drill)> = std::iter::once(Routing::Ours)
        .chain(line.against.iter().copied())
        .map(|r| (r, drill.clone()))
        .collect();
    if line.without_gossip {
        let mut without = drill.clone();
        without.gossip.on = false;
        plays.push((Routing::Ours, without));
    }
    for (place, (routing, drill)) in plays.into_iter().enumerate() {
        let events = match &line.out {
            Some(folder) if place == 0 => {
                Events::to(BufWriter::new(File::create(folder.join("events.jsonl"))?))
            }
            _ => Events::default(),
        };
        summaries.push(if line.simulated {
            let world = simulated::run(drill, routing, Broken::default(), events)?;
            Summary::of(&world, &routing.to_string(), true)
        } else {
            let played = sockets::play(drill, Some(routing), events)?;
            Summary::of(&played.world, &routing.to_string(), false).costing(&played.costs)
        });
    }
    if let Some(folder) = &line.out {
        page::write(folder, &drill, &summaries)?;
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
        if drill.gossip.on {
            report::print_gossip(&summaries);
        }
        for (cpu, memory) in summaries.iter().filter_map(|summary| summary.cost) {
            println!("a proxy: {cpu:.0} ms of processor time, {:.1} MiB at the end", memory / 1_048_576.0);
        }
        println!(
            "nearest to pushing a cold server over: {:.0}% of what it bears; {} answers could not be judged \
             for time, since the first two copies of their NEW were lost",
            ours.cold_peak * 100.0,
            ours.unknowable
        );
    }
    let sound = ours.gossip.as_ref().is_none_or(|gossip| gossip.sound());
    Ok(if ours.broken() > 0 || !sound { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// One proxy, one server with next to no work: what the proxy adds to a set-up, and what it costs.
fn load(rates: &[f64], seconds: f64, hold: f64) -> Result<ExitCode> {
    #[derive(Tabled)]
    struct Row {
        rate: f64,
        stood: String,
        straight_p50: String,
        straight_p99: String,
        proxy_p50: String,
        proxy_p99: String,
        added_p99: String,
        cpu: String,
        memory_each: String,
    }
    let mut rows = Vec::new();
    for &rate in rates {
        let mut drill = Drill::named("calm")?;
        (drill.fleet.proxies, drill.fleet.servers) = (1, 1);
        (drill.load.rate, drill.load.of_capacity, drill.seconds) = (rate, 0.05, seconds);
        drill.grades.iter_mut().for_each(|grade| grade.hold = hold);
        drill.check()?;
        let straight = sockets::play(drill.clone(), None, Events::default())?;
        let ours = sockets::play(drill, Some(Routing::Ours), Events::default())?;
        let summary = Summary::of(&ours.world, "ours", false);
        let plain = Summary::of(&straight.world, "straight", false);
        let standing = ours.world.callers.standing().max(1) as f64;
        let cost = ours.costs[0];
        rows.push(Row {
            rate,
            stood: format!("{:.1}%", summary.served * 100.0),
            straight_p50: format!("{:.0} ms", plain.delay_median),
            straight_p99: format!("{:.0} ms", plain.delay_p99),
            proxy_p50: format!("{:.0} ms", summary.delay_median),
            proxy_p99: format!("{:.0} ms", summary.delay_p99),
            added_p99: format!("{:.0} ms", summary.delay_p99 - plain.delay_p99),
            cpu: format!("{:.0} us a set-up", cost.cpu * 1000.0 / summary.people as f64),
            memory_each: format!(
                "{:.1} KiB of {standing}",
                (cost.memory[1] - cost.memory[0]) / standing / 1024.0
            ),
        });
    }
    println!("{}", Table::new(rows).with(Style::sharp()));
    println!(
        "delays are from a caller's NEW to its ANSWER, the lab's own link of 1 to 2 ms each way in them"
    );
    Ok(ExitCode::SUCCESS)
}

fn name_of(value: &impl ValueEnum) -> String {
    value.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned())
}

/// Plays each case by several seeds, and tells of the first window that had more than the limit.
fn limits(cases: impl Iterator<Item = Case>, seeds: u64) -> ExitCode {
    let mut broken = None;
    for case in cases {
        let (fault, way) = (name_of(&case.fault), name_of(&case.way));
        let outcomes: Vec<Outcome> = (0..seeds).map(|seed| permits::play(Case { seed, ..case })).collect();
        let used = |pick: fn(f64, f64) -> f64, from| outcomes.iter().map(|o| o.used).fold(from, pick);
        let (least, greatest) = (used(f64::min, f64::INFINITY), used(f64::max, 0.0));
        let mean = outcomes.iter().map(|o| o.used).sum::<f64>() / outcomes.len().max(1) as f64;
        let most = outcomes.iter().map(|o| o.most).max().unwrap_or(0);
        let bytes = outcomes.iter().map(|o| o.bytes).max().unwrap_or(0);
        let over = most.saturating_sub(case.rate as usize);
        println!(
            "load {}, {fault}, {way}: over by {over}; used {mean:.3} ({least:.3} to {greatest:.3}); {bytes} bytes",
            case.load
        );
        let first = (0..).zip(&outcomes).find(|(_, o)| o.most > case.rate as usize);
        broken = broken.or(first.map(|(seed, o)| {
            format!(
                "{way}, {fault}, seed {seed}: {} set-ups in the window that ends at {:.0} ms",
                o.most, o.at
            )
        }));
    }
    match broken {
        Some(broken) => {
            println!("BROKEN: {broken}");
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}

fn sizes(proxies: &[usize], out: &Path) -> Result<ExitCode> {
    let mut summaries = Vec::new();
    for &size in proxies {
        let mut drill = Drill::named("gossip-100")?;
        drill.fleet.proxies = size;
        drill.check()?;
        let world = simulated::run(drill, Routing::Ours, Broken::default(), Events::default())?;
        summaries.push(Summary::of(&world, &size.to_string(), true));
    }
    report::print_gossip(&summaries);
    // Where nobody came to know there is no point.
    let line = |name: &str, of: &dyn Fn(&report::GossipSummary) -> Option<f64>| -> page::Line {
        let points = summaries.iter().filter_map(|s| Some((s.proxies as f64, of(s.gossip.as_ref()?)?)));
        (name.to_owned(), points.collect())
    };
    let known = |ms: Option<f64>| ms.map(|ms| ms / 1000.0);
    let times = [
        line("median", &|g| known(g.know_median)),
        line("99 of 100", &|g| known(g.know_p99)),
        line("last", &|g| known(g.know_worst)),
    ];
    let most = line("most in any second", &|g| Some(g.most_bytes as f64));
    let bytes = [most, line("mean", &|g| Some(g.mean_bytes))];
    fs::create_dir_all(out)?;
    let title = "Time to know of a silent server, 30% lost";
    fs::write(out.join("gossip-time.svg"), page::plot(title, ["proxies", "s"], &times, &[])?)?;
    let title = "Bytes a proxy sends in a second, cap 16000";
    fs::write(out.join("gossip-bytes.svg"), page::plot(title, ["proxies", "bytes"], &bytes, &[])?)?;
    Ok(ExitCode::SUCCESS)
}

fn server(line: ServerLine) -> Result<ExitCode> {
    let play = ServerPlay {
        listen: line.listen,
        name: line.name,
        pool: line.pool,
        capacity: line.capacity,
        cold: line.cold,
        slow: line.slow,
        hang: line.hang.map(|hang| (hang[0], hang[1])),
        silent: line.silent.unwrap_or(f64::INFINITY),
        faulty: line.faulty,
        lines: line.lines,
        reports: !line.no_reports,
        seconds: line.seconds,
    };
    block_on(alone::server(play)).map(|()| ExitCode::SUCCESS)
}

fn caller(line: CallerLine) -> Result<ExitCode> {
    let mut drill = Drill::named(&line.drill)?;
    (drill.load.rate, drill.seconds) = (line.rate, line.seconds);
    drill.load.patience = line.patience.unwrap_or(drill.load.patience);
    drill.load.redials = line.redials.unwrap_or(drill.load.redials);
    drill.load.honour = line.honour.unwrap_or(drill.load.honour);
    drill.seed = line.seed.unwrap_or(drill.seed);
    if !line.called.is_empty() {
        drill.grades.truncate(line.called.len());
    }
    for (grade, called) in drill.grades.iter_mut().zip(line.called) {
        grade.called = Some(called);
    }
    if !line.tenant.is_empty() {
        let share = 1.0 / line.tenant.len() as f64;
        drill.tenants = line.tenant.into_iter().map(|name| Tenant { name, share }).collect();
    }
    drill.check()?;
    let sound = block_on(alone::callers(drill, &line.proxies))?;
    Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}

fn proxy(routing: Routing, config: &Path) -> Result<ExitCode> {
    let source = std::fs::read_to_string(config)?;
    let plan = daemon::settings::read(&source).map_err(|faults| anyhow::anyhow!("{faults:?}"))?;
    let decide = |terms, seed, now| Plain::new(routing, Broken::default(), terms, seed, now);
    block_on(daemon::run::run_deciding(plan, decide))?;
    Ok(ExitCode::SUCCESS)
}
