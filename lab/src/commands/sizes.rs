//! `sizes`: gossip at several sizes, plotted.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use lab::drill::Drill;
use lab::drills::simulated;
use lab::reports::page;
use lab::reports::summary::{self, GossipSummary, Summary};
use lab::stand_ins::baseline::{Defects, Routing};
use lab::witness::events::Events;

/// Sizes to play, and the directory for the plots.
#[derive(Args)]
pub struct SizesArguments {
    #[arg(long, num_args = 1.., default_values_t = [100, 200, 400, 700, 1000])]
    proxies: Vec<usize>,
    /// Directory for gossip-time.svg and gossip-bytes.svg
    #[arg(long)]
    out: PathBuf,
}

/// Plays each size, prints a table and writes the plots.
pub fn run(arguments: &SizesArguments) -> Result<ExitCode> {
    let summaries = arguments.proxies.iter().map(|&size| play(size)).collect::<Result<Vec<_>>>()?;
    summary::print_gossip(&summaries);
    write_plots(&summaries, &arguments.out)?;
    Ok(ExitCode::SUCCESS)
}

fn play(size: usize) -> Result<Summary> {
    let mut drill = Drill::named("gossip-100")?;
    drill.fleet.proxies = size;
    drill.validate()?;
    let cluster = simulated::run(drill, Routing::Ours, Defects::default(), Events::default())?;
    Ok(Summary::of(&cluster, &size.to_string(), true))
}

fn write_plots(summaries: &[Summary], folder: &Path) -> Result<()> {
    // A size at which no proxy detected a silent server has no point.
    let line = |name: &str, of: &dyn Fn(&GossipSummary) -> Option<f64>| -> page::Line {
        let points = summaries.iter().filter_map(|s| Some((s.proxies as f64, of(s.gossip.as_ref()?)?)));
        (name.to_owned(), points.collect())
    };
    let seconds = |milliseconds: Option<f64>| milliseconds.map(|milliseconds| milliseconds / 1000.0);
    let times = [
        line("median", &|gossip| seconds(gossip.know_median)),
        line("99 of 100", &|gossip| seconds(gossip.know_p99)),
        line("last", &|gossip| seconds(gossip.know_worst)),
    ];
    let most = line("most in any second", &|gossip| Some(gossip.most_bytes as f64));
    let bytes = [most, line("mean", &|gossip| Some(gossip.mean_bytes))];
    fs::create_dir_all(folder)?;
    let title = "Time to know of a silent server, 30% lost";
    fs::write(folder.join("gossip-time.svg"), page::plot(title, ["proxies", "s"], &times, &[])?)?;
    let title = "Bytes a proxy sends in a second, cap 16000";
    fs::write(folder.join("gossip-bytes.svg"), page::plot(title, ["proxies", "bytes"], &bytes, &[])?)?;
    Ok(())
}
