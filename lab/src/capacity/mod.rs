//! Measures what the parts of a border proxy cost by the size of the fleet.
//!
//! [`measure`] runs the [`scenarios`], each on a [`cluster`] under a virtual clock, fits a line through each
//! figure ([`fit`], [`figure`]) and writes the [`report`] files from which docs/CAPACITY.md is made.

pub mod cluster;
pub mod figure;
pub mod fit;
pub mod report;
pub mod scenarios;

use std::path::Path;
use std::thread;

use anyhow::{Result, anyhow};

use figure::{Figure, Sample};
use report::Report;
use scenarios::{SCENARIOS, Scenario};

/// Number of seeds with which each size is run.
const SEEDS: u64 = 2;
/// Maximum number of scenarios run at a time, each on a thread of its own.
const MAX_THREADS: usize = 2;

/// Measures all scenarios and writes one file per subsystem into a folder; `quick` uses one seed per size.
///
/// # Errors
///
/// Fails if a scenario cannot be run or a file cannot be written.
pub fn measure(out: &Path, quick: bool, mut progress: impl FnMut(&str)) -> Result<()> {
    let seeds = if quick { 1 } else { SEEDS };
    for scenario in &SCENARIOS {
        let mut runs: Vec<(usize, u64)> = Vec::new();
        for &size in scenario.sizes {
            runs.extend((0..seeds).map(|seed| (size, seed)));
        }
        let mut values = Vec::new();
        for batch in runs.chunks(MAX_THREADS) {
            values.extend(run_in_parallel(scenario, batch)?);
            progress(&format!("{}: {} of {} runs", scenario.subsystem, values.len(), runs.len()));
        }
        build_report(scenario, &runs, &values)?.write(out)?;
    }
    Ok(())
}

/// Runs several at once, each on a thread of its own, since processor time is counted by thread.
fn run_in_parallel(scenario: &Scenario, runs: &[(usize, u64)]) -> Result<Vec<Vec<f64>>> {
    let run = scenario.run;
    thread::scope(|scope| {
        let handles: Vec<_> = runs.iter().map(|&(size, seed)| scope.spawn(move || run(size, seed))).collect();
        handles
            .into_iter()
            .map(|handle| handle.join().map_err(|_| anyhow!("the thread of a scenario panicked"))?)
            .collect()
    })
}

fn build_report(scenario: &Scenario, runs: &[(usize, u64)], values: &[Vec<f64>]) -> Result<Report> {
    let mut figures = Vec::new();
    for (index, subject) in (scenario.subjects)().into_iter().enumerate() {
        let samples = runs.iter().zip(values).map(|(&(size, seed), values)| Sample {
            size: size as f64,
            seed,
            value: values[index],
        });
        figures.push(Figure::from_samples(subject, samples.collect(), scenario.left_out as f64)?);
    }
    Ok(Report { subsystem: scenario.subsystem.to_owned(), commit: commit(), machine: machine(), figures })
}

/// The measured commit, from the environment variable `FROSTTHREAD_COMMIT`.
fn commit() -> String {
    std::env::var("FROSTTHREAD_COMMIT").unwrap_or_else(|_| "not told".to_owned())
}

fn machine() -> String {
    let cores = thread::available_parallelism().map_or(0, usize::from);
    format!("{cores} cores, shared with other work; virtual links, no sockets")
}
