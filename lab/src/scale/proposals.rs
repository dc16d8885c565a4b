//! The changes that a script proposes: when, at which node, of which scope.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::engine::Proposal;
use super::layout::{Layout, NodeId, Scope};
use super::node::ConfigChange;
use super::script::{FaultKind, Script};

/// Shares of changes that concern a service, a zone and a region; the others concern the whole fleet. This
/// assumes that most changes of configuration belong to one service.
const SERVICE_SHARE: f64 = 0.8;
const ZONE_SHARE: f64 = 0.08;
const REGION_SHARE: f64 = 0.06;
/// Number of keys that are changed repeatedly in each scope, and bytes of a value.
const KEYS_PER_SCOPE: usize = 16;
const VALUE_BYTES: usize = 64;
/// A change is proposed at a control machine that no fault affects within this many seconds.
const UNDISTURBED_SECONDS: f64 = 10.0;

/// All changes of a script in order of time, and the numbers of those that belong to bursts.
pub fn plan(layout: &Layout, script: &Script, seed: u64) -> (Vec<Proposal>, Vec<usize>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xc4a6);
    let ordinary = (0..).map(|index| index as f64 * script.changes.every);
    let ordinary = ordinary.take_while(|at| *at <= script.changes.until);
    let mut times: Vec<(f64, bool)> = ordinary.map(|at| (at, false)).collect();
    for fault in &script.faults {
        if let FaultKind::Burst { changes } = fault.kind {
            times.extend((0..changes).map(|index| (fault.at + index as f64 / changes as f64, true)));
        }
    }
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let bursts = times.iter().enumerate().filter(|(_, (_, burst))| *burst).map(|(number, _)| number);
    let bursts = bursts.collect();
    let mut proposals = Vec::new();
    for (number, (at, _)) in times.into_iter().enumerate() {
        let proposer = undisturbed(layout, script, at, number);
        proposals.push(Proposal {
            proposed_at: script.to_ms(at),
            proposer,
            change: change(layout, number, &mut rng),
        });
    }
    (proposals, bursts)
}

fn change(layout: &Layout, number: usize, rng: &mut Pcg64Mcg) -> ConfigChange {
    let draw: f64 = rng.random();
    let scope = if draw < SERVICE_SHARE {
        Scope::Service(rng.random_range(0..layout.service_sizes().len()) as u32)
    } else if draw < SERVICE_SHARE + ZONE_SHARE {
        Scope::Zone(rng.random_range(0..layout.terms.zones) as u16)
    } else if draw < SERVICE_SHARE + ZONE_SHARE + REGION_SHARE {
        Scope::Region(rng.random_range(0..layout.terms.regions) as u16)
    } else {
        Scope::All
    };
    let key = format!("key-{}", rng.random_range(0..KEYS_PER_SCOPE));
    let mut value = vec![0; VALUE_BYTES];
    value[..8].copy_from_slice(&(number as u64).to_le_bytes());
    ConfigChange { scope, key, value }
}

/// A control machine that no fault affects around `at`; the search starts at another one for each number.
fn undisturbed(layout: &Layout, script: &Script, at: f64, number: usize) -> NodeId {
    let is_affected = |control: NodeId| {
        let active_faults = script.faults.iter().filter(|fault| {
            fault.at <= at + UNDISTURBED_SECONDS && fault.ends_at() + UNDISTURBED_SECONDS >= at
        });
        active_faults.into_iter().any(|fault| fault.affected_nodes(layout, 0, 0).contains(&control))
    };
    let candidates = (0..layout.controls).map(|index| (number + index) % layout.controls);
    candidates.into_iter().find(|&control| !is_affected(control)).unwrap_or(0)
}
