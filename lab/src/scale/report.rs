//! The report of a run, as text and as JSON.

use std::fmt::{self, Write};

use serde::Serialize;

use super::evaluation::{InForce, RoleCost, Spread};
use super::layout::LayoutTerms;

/// Outcome of a run. All that does not depend on the machine is the same for the same seed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub script: String,
    pub seed: u64,
    /// Run under a virtual clock instead of on sockets.
    pub simulated: bool,
    /// Run without control machines.
    pub flat: bool,
    pub layout: LayoutTerms,
    pub controls: usize,
    /// Seconds that were measured.
    pub seconds: f64,
    pub in_force: InForce,
    pub proxy: RoleCost,
    pub control: RoleCost,
    /// Resident memory of this process per node, in bytes.
    pub resident_per_node: f64,
    pub messages_arrived: u64,
    pub digest: String,
    pub threads: usize,
    pub wall_seconds: f64,
    /// The limits that were not kept, one line each.
    pub misses: Vec<String>,
}

fn write_row(out: &mut String, what: &str, spread: &Spread) {
    let Spread { mean, median, p99, last, .. } = spread;
    let _ = writeln!(out, "  {what:<34} {mean:>10.1} {median:>10.1} {p99:>10.1} {last:>10.1}");
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        let kind = if self.flat { "flat" } else { "over control machines" };
        let clock = if self.simulated { "virtual" } else { "on sockets" };
        let (proxies, controls) = (self.layout.proxies, self.controls);
        writeln!(
            formatter,
            "{}: {proxies} proxies, {controls} control machines, {kind}, {clock}",
            self.script
        )?;
        let seed = self.seed;
        writeln!(formatter, "seed {seed}, {} s measured in {:.0} s", self.seconds, self.wall_seconds)?;
        let in_force = &self.in_force;
        writeln!(
            formatter,
            "{} changes, {} decided, {} never in force",
            in_force.changes, in_force.decided, in_force.never
        )?;
        let _ = writeln!(text, "  {:<34} {:>10} {:>10} {:>10} {:>10}", "", "mean", "median", "99th", "last");
        write_row(&mut text, "decided after ms", &in_force.decision_ms);
        write_row(&mut text, "in force after ms", &in_force.all_ms);
        write_row(&mut text, "  in a burst", &in_force.burst_ms);
        write_row(&mut text, "  since back", &in_force.back_ms);
        for (role, cost) in [("proxy", &self.proxy), ("control machine", &self.control)] {
            let _ = writeln!(text, "{role}");
            write_row(&mut text, "bytes a second", &cost.bytes_per_second);
            write_row(&mut text, "bytes in the worst second", &cost.worst_second_bytes);
            write_row(&mut text, "messages a second", &cost.messages_per_second);
            write_row(&mut text, "processor ms a second", &cost.processor_ms_per_second);
            write_row(&mut text, "processor ms in the worst second", &cost.worst_second_processor_ms);
            write_row(&mut text, "state bytes", &cost.state_bytes);
        }
        formatter.write_str(&text)?;
        match self.misses.as_slice() {
            [] => writeln!(formatter, "all limits kept"),
            misses => misses.iter().try_for_each(|miss| writeln!(formatter, "missed: {miss}")),
        }
    }
}
