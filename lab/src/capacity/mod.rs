//! What the parts of a border proxy cost by the size of the fleet: measured worlds, fits, files of figures.
//!
//! [`measure`] plays the [`worlds`], each a fleet of [`members`] under a virtual clock, fits a line through
//! each figure ([`fit`], [`figure`]) and writes the [`report`] files that docs/CAPACITY.md is made of.

pub mod figure;
pub mod fit;
pub mod members;
pub mod report;
pub mod worlds;

use std::path::Path;
use std::thread;

use anyhow::{Result, anyhow};

use figure::{Figure, Sample};
use report::Report;
use worlds::{Measured, WORLDS};

/// Seeds of each size.
const SEEDS: u64 = 2;
/// Cores that measuring may take at a time.
const CORES: usize = 2;

/// Measures all worlds and writes a file for each subsystem into a folder. `quick` takes one seed.
///
/// # Errors
///
/// Where a world can't be made, or a file not written.
pub fn measure(out: &Path, quick: bool, mut progress: impl FnMut(&str)) -> Result<()> {
    let seeds = if quick { 1 } else { SEEDS };
    for world in &WORLDS {
        let mut plays: Vec<(usize, u64)> = Vec::new();
        for &size in world.sizes {
            plays.extend((0..seeds).map(|seed| (size, seed)));
        }
        let mut values = Vec::new();
        for some in plays.chunks(CORES) {
            values.extend(play_beside(world, some)?);
            progress(&format!("{}: {} of {} plays", world.subsystem, values.len(), plays.len()));
        }
        report_of(world, &plays, &values)?.write(out)?;
    }
    Ok(())
}

/// Plays several at once, each on a thread of its own: processor time is counted by thread.
fn play_beside(world: &Measured, plays: &[(usize, u64)]) -> Result<Vec<Vec<f64>>> {
    let play = world.play;
    thread::scope(|scope| {
        let running: Vec<_> =
            plays.iter().map(|&(size, seed)| scope.spawn(move || play(size, seed))).collect();
        running.into_iter().map(|one| one.join().map_err(|_| anyhow!("a world broke off"))?).collect()
    })
}

fn report_of(world: &Measured, plays: &[(usize, u64)], values: &[Vec<f64>]) -> Result<Report> {
    let mut figures = Vec::new();
    for (place, subject) in (world.subjects)().into_iter().enumerate() {
        let samples = plays.iter().zip(values).map(|(&(size, seed), values)| Sample {
            size: size as f64,
            seed,
            value: values[place],
        });
        figures.push(Figure::of(subject, samples.collect(), world.left_out as f64)?);
    }
    Ok(Report { subsystem: world.subsystem.to_owned(), commit: commit(), machine: machine(), figures })
}

/// The text that is measured, as the caller's environment tells it.
fn commit() -> String {
    std::env::var("FROSTTHREAD_COMMIT").unwrap_or_else(|_| "not told".to_owned())
}

fn machine() -> String {
    let cores = thread::available_parallelism().map_or(0, usize::from);
    format!("{cores} cores, shared with other work; virtual links, no sockets")
}
