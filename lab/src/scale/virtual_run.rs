//! Executes a scale run under the virtual clock and evaluates it.

use std::time::Duration;

use anyhow::{Result, ensure};

use super::engine::{self, Plan, RunResult};
use super::evaluation::{self, RoleCost};
use super::flat::FlatFleet;
use super::layout::{Layout, LayoutTerms};
use super::node::Fleet;
use super::proposals;
use super::report::Report;
use super::resources::{self, Free, Need};
use super::script::Script;
use super::tier::TierFleet;

/// Estimated bytes that a node holds per other node it gossips with, and for itself.
const FLAT_BYTES_PER_PAIR: f64 = 900.0;
const BYTES_PER_NODE: f64 = 200_000.0;

/// Settings of a scale run.
#[derive(Clone, Debug)]
pub struct VirtualRun {
    pub layout: LayoutTerms,
    pub script: Script,
    pub seed: u64,
    pub threads: usize,
    /// Every node gossips with every other, without control machines.
    pub flat: bool,
    /// The run is stopped after this much wall-clock time.
    pub max_wall_time: Duration,
}

impl VirtualRun {
    /// Estimate of the resources that the run needs.
    pub fn need(&self) -> Need {
        let controls = self.layout.regions * self.layout.controls_per_region;
        let nodes = (self.layout.proxies + controls) as f64;
        let pairs = if self.flat { nodes * nodes } else { nodes * controls as f64 };
        let memory = pairs * FLAT_BYTES_PER_PAIR + nodes * BYTES_PER_NODE;
        Need { memory, processes: 1, descriptors: 0 }
    }

    /// Executes the run; `progress` gets the virtual time reached, in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the machine lacks the resources, the layout or script is invalid, or the time runs out.
    pub fn execute(&self, progress: &(dyn Fn(f64) + Sync)) -> Result<Report> {
        resources::check(&self.need(), &Free::now())?;
        let layout = Layout::new(self.layout, self.seed)?;
        self.script.check(&layout)?;
        if self.flat {
            self.run_fleet(&FlatFleet::new(&layout), &layout, progress)
        } else {
            self.run_fleet(&TierFleet::new(&layout, self.seed), &layout, progress)
        }
    }

    fn run_fleet<F: Fleet>(
        &self,
        fleet: &F,
        layout: &Layout,
        progress: &(dyn Fn(f64) + Sync),
    ) -> Result<Report> {
        let (proposals, bursts) = proposals::plan(layout, &self.script, self.seed);
        let plan = Plan {
            layout,
            script: &self.script,
            proposals: &proposals,
            seed: self.seed,
            threads: self.threads,
            max_wall_time: self.max_wall_time,
        };
        let result = engine::run(fleet, &plan, progress);
        let (reached, end) = (result.reached_ms / 1000.0, self.script.end_ms() / 1000.0);
        ensure!(reached >= end, "stopped after {:?} at {reached:.1} of {end:.1} s", self.max_wall_time);
        let in_force = evaluation::in_force(layout, &self.script, self.seed, (&proposals, &bursts), &result);
        Ok(self.report(layout, in_force, &result))
    }

    fn report(&self, layout: &Layout, in_force: evaluation::InForce, result: &RunResult) -> Report {
        let seconds = self.script.seconds;
        let (controls, proxies) = result.nodes.split_at(layout.controls);
        let proxy = RoleCost::from_nodes(proxies.iter(), seconds);
        Report {
            script: self.script.name.clone(),
            seed: self.seed,
            simulated: true,
            flat: self.flat,
            layout: self.layout,
            controls: layout.controls,
            seconds,
            misses: evaluation::misses(&in_force, &proxy),
            in_force,
            control: RoleCost::from_nodes(controls.iter(), seconds),
            proxy,
            resident_per_node: result.resident_bytes / layout.node_count() as f64,
            messages_arrived: result.messages_arrived,
            digest: result.digest.clone(),
            threads: self.threads,
            wall_seconds: result.wall_time.as_secs_f64(),
        }
    }
}
