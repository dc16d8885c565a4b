//! Runs many frostthread instances on the simulator's wire, over standard input and output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use anyhow::{Context, Result};
use frostthread_simhost::{fleet::Fleet, wire};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("frostthread-simhost: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut fleet = Fleet::default();
    while let Some(batch) = wire::read_batch(&mut input)? {
        fleet.process(&batch)?.send(&mut output).context("reply")?;
    }
    Ok(())
}
