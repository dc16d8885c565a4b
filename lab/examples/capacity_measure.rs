//! Writes the figures of docs/CAPACITY.md into a folder and prints their table, until `scale --slopes` does.

use std::path::PathBuf;

use lab::capacity::{measure, report};

fn main() -> anyhow::Result<()> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "docs/capacity".to_owned()));
    measure(&folder, false, |line| eprintln!("{line}"))?;
    print!("{}", report::table(&report::Report::read_all(&folder)?)?);
    Ok(())
}
