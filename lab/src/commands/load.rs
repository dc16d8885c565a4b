//! `load`: one proxy and one server with almost no work, compared with callers that have no proxy.

use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::drill::Drill;
use lab::drills::sockets;
use lab::reports::summary::Summary;
use lab::stand_ins::baseline::Routing;
use lab::witness::events::Events;
use tabled::{Table, Tabled, settings::Style};

/// Rates to try, and for how long.
#[derive(Args)]
pub struct LoadArguments {
    /// Set-ups a second; several are tried in turn
    #[arg(long, default_values_t = [100.0, 400.0, 800.0])]
    rate: Vec<f64>,
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Mean length of a conversation, in seconds
    #[arg(long, default_value_t = 60.0)]
    hold: f64,
}

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

/// Measures each rate and prints a table: the delay that the proxy adds to a set-up, and its cost.
pub fn run(arguments: &LoadArguments) -> Result<ExitCode> {
    let rows = arguments.rate.iter().map(|&rate| measure(rate, arguments)).collect::<Result<Vec<_>>>()?;
    println!("{}", Table::new(rows).with(Style::sharp()));
    println!(
        "delays are from a caller's NEW to its ANSWER, the lab's own link of 1 to 2 ms each way in them"
    );
    Ok(ExitCode::SUCCESS)
}

fn measure(rate: f64, arguments: &LoadArguments) -> Result<Row> {
    let mut drill = Drill::named("calm")?;
    (drill.fleet.proxies, drill.fleet.servers) = (1, 1);
    (drill.load.rate, drill.load.of_capacity, drill.seconds) = (rate, 0.05, arguments.seconds);
    drill.grades.iter_mut().for_each(|grade| grade.hold = arguments.hold);
    drill.validate()?;
    let straight = sockets::play(drill.clone(), None, Events::default())?;
    let ours = sockets::play(drill, Some(Routing::Ours), Events::default())?;
    let summary = Summary::of(&ours.cluster, "ours", false);
    let plain = Summary::of(&straight.cluster, "straight", false);
    let established = ours.cluster.callers.established_count().max(1) as f64;
    let cost = ours.costs[0];
    let memory_each = (cost.memory[1] - cost.memory[0]) / established / 1024.0;
    Ok(Row {
        rate,
        stood: format!("{:.1}%", summary.served * 100.0),
        straight_p50: format!("{:.0} ms", plain.delay_median),
        straight_p99: format!("{:.0} ms", plain.delay_p99),
        proxy_p50: format!("{:.0} ms", summary.delay_median),
        proxy_p99: format!("{:.0} ms", summary.delay_p99),
        added_p99: format!("{:.0} ms", summary.delay_p99 - plain.delay_p99),
        cpu: format!("{:.0} us a set-up", cost.cpu * 1000.0 / summary.people as f64),
        memory_each: format!("{memory_each:.1} KiB of {established}"),
    })
}
