//! `drill`: plays a drill, alone or next to other routings, and checks the rules.

use std::fs::{self, File};
use std::io::BufWriter;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use clap::Args;
use lab::drill::{Drill, ReplacementMethod};
use lab::drills::{simulated, sockets};
use lab::reports::page;
use lab::reports::summary::{self, Summary};
use lab::stand_ins::baseline::{Defects, Routing};
use lab::witness::events::Events;

/// Which drill to play, what to change in it, what to compare it with and which files to write.
#[derive(Args)]
pub struct DrillArguments {
    drill: String,
    /// Run under a virtual clock, in this process
    #[arg(long = "virtual")]
    simulated: bool,
    #[arg(long)]
    proxies: Option<usize>,
    #[arg(long)]
    servers: Option<usize>,
    /// First tries a second
    #[arg(long)]
    rate: Option<f64>,
    /// That rate as a share of the servers' capacity when all are healthy
    #[arg(long)]
    of_capacity: Option<f64>,
    #[arg(long)]
    seconds: Option<f64>,
    #[arg(long)]
    seed: Option<u64>,
    /// Play it again with another routing: random, round-robin or least-out
    #[arg(long)]
    against: Vec<Routing>,
    /// Let proxies gossip, whatever the drill's file has
    #[arg(long)]
    gossip: bool,
    /// Share of gossip messages that is lost
    #[arg(long)]
    gossip_loss: Option<f64>,
    /// Members besides the proxies that report every server as silent
    #[arg(long = "liars", value_name = "LIARS")]
    faulty_members: Option<usize>,
    /// How many faulty members the suspicion rule tolerates
    #[arg(long = "liars-borne", value_name = "LIARS_BORNE")]
    max_faulty: Option<usize>,
    /// Do not give the proxies the fleet's limit, so that the check must catch them
    #[arg(long)]
    unlimited: bool,
    /// How the proxies of a drill with a release are replaced
    #[arg(long, value_enum)]
    release_by: Option<ReplacementMethod>,
    /// Play it again without gossip
    #[arg(long)]
    without_gossip: bool,
    /// Write summary.json, events.jsonl (of the first run only) and report.html to this directory
    #[arg(long)]
    out: Option<PathBuf>,
    /// Print one JSON object instead of tables
    #[arg(long)]
    json: bool,
}

/// Plays the drill and its comparisons; fails if a rule was violated.
pub fn run(arguments: &DrillArguments) -> Result<ExitCode> {
    let drill = configured_drill(arguments)?;
    if let Some(folder) = &arguments.out {
        fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    }
    let mut summaries = Vec::new();
    for (index, (routing, drill)) in runs(&drill, arguments).into_iter().enumerate() {
        let events = match &arguments.out {
            Some(folder) if index == 0 => {
                Events::to(BufWriter::new(File::create(folder.join("events.jsonl"))?))
            }
            _ => Events::default(),
        };
        summaries.push(play(drill, routing, events, arguments.simulated)?);
    }
    if let Some(folder) = &arguments.out {
        page::write(folder, &drill, &summaries)?;
    }
    if arguments.json {
        println!("{}", serde_json::to_string(&summaries)?);
    } else {
        print(&drill, &summaries);
    }
    let ours = &summaries[0];
    let passed = ours.gossip.as_ref().is_none_or(|gossip| gossip.passed());
    Ok(if ours.broken() > 0 || !passed { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Reads the drill and applies the arguments to it.
fn configured_drill(arguments: &DrillArguments) -> Result<Drill> {
    let mut drill = Drill::named(&arguments.drill)?;
    let set = |to: &mut usize, from: Option<usize>| *to = from.unwrap_or(*to);
    set(&mut drill.fleet.proxies, arguments.proxies);
    set(&mut drill.fleet.servers, arguments.servers);
    drill.load.rate = arguments.rate.unwrap_or(drill.load.rate);
    drill.load.of_capacity = arguments.of_capacity.unwrap_or(drill.load.of_capacity);
    drill.seconds = arguments.seconds.unwrap_or(drill.seconds);
    drill.seed = arguments.seed.unwrap_or(drill.seed);
    drill.gossip.on |= arguments.gossip;
    drill.gossip.limit_announced &= !arguments.unlimited;
    if let Some((play, by)) = drill.release.as_mut().zip(arguments.release_by) {
        play.method = by;
    }
    ensure!(!(arguments.simulated && drill.release.is_some()), "a release is played on sockets");
    drill.gossip.loss = arguments.gossip_loss.unwrap_or(drill.gossip.loss);
    set(&mut drill.gossip.faulty_members, arguments.faulty_members);
    set(&mut drill.gossip.max_faulty, arguments.max_faulty);
    drill.validate()?;
    Ok(drill)
}

/// The runs to play: the module first, then the requested routings and the drill without gossip.
fn runs(drill: &Drill, arguments: &DrillArguments) -> Vec<(Routing, Drill)> {
    let mut runs: Vec<(Routing, Drill)> = std::iter::once(Routing::Ours)
        .chain(arguments.against.iter().copied())
        .map(|routing| (routing, drill.clone()))
        .collect();
    if arguments.without_gossip {
        let mut without = drill.clone();
        without.gossip.on = false;
        runs.push((Routing::Ours, without));
    }
    runs
}

fn play(drill: Drill, routing: Routing, events: Events, simulated: bool) -> Result<Summary> {
    if simulated {
        let cluster = simulated::run(drill, routing, Defects::default(), events)?;
        return Ok(Summary::of(&cluster, &routing.to_string(), true));
    }
    let played = sockets::play(drill, Some(routing), events)?;
    Ok(Summary::of(&played.cluster, &routing.to_string(), false).with_cost(&played.costs))
}

fn print(drill: &Drill, summaries: &[Summary]) {
    let ours = &summaries[0];
    println!(
        "{}: {} proxies, {} servers, seed {}; {} callers, {} tries",
        ours.drill, ours.proxies, ours.servers, ours.seed, ours.people, ours.tries
    );
    ours.print_rules();
    summary::print_comparison(summaries);
    if drill.gossip.on {
        summary::print_gossip(summaries);
    }
    for (cpu, memory) in summaries.iter().filter_map(|summary| summary.cost) {
        println!("a proxy: {cpu:.0} ms of processor time, {:.1} MiB at the end", memory / 1_048_576.0);
    }
    println!(
        "highest load of a cold server: {:.0}% of what overloads it; {} answers could not be checked \
         for time, since the first two copies of their NEW were lost",
        ours.cold_peak * 100.0,
        ours.unknowable
    );
}
