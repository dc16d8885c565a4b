//! Evaluates the result of a run against the limits of the target.

use std::collections::BTreeMap;

use serde::Serialize;

use super::engine::{DecidedChange, NodeResult, Proposal, RunResult};
use super::layout::{Layout, NodeId, Scope};
use super::meter::InForceEvent;
use super::network::Period;
use super::script::{FaultKind, Script};

/// Maximum milliseconds until a change is in force everywhere.
pub const MAX_IN_FORCE_MS: f64 = 4_000.0;
/// Maximum bytes of a border proxy in any second, sent and received together.
pub const MAX_BYTES_PER_SECOND: f64 = 8_000.0;
/// Maximum processor time of a border proxy, in milliseconds per second.
pub const MAX_PROCESSOR_MS_PER_SECOND: f64 = 14.0;
/// Maximum bytes of state of a border proxy.
pub const MAX_STATE_BYTES: f64 = 128.0 * 1024.0 * 1024.0;

/// Distribution of some values: count, mean, median, 99th percentile, maximum (`last`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    pub count: usize,
    pub mean: f64,
    pub median: f64,
    pub p99: f64,
    pub last: f64,
}

impl Spread {
    pub fn from_values(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let index = (share * values.len() as f64).ceil() as usize;
            values.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        let count = values.len();
        let mean = values.iter().fold(0.0, |sum, value| sum + value) / count.max(1) as f64;
        Self { count, mean, median: quantile(0.5), p99: quantile(0.99), last: quantile(1.0) }
    }
}

/// How long changes took to come into force, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct InForce {
    pub changes: usize,
    pub decided: usize,
    /// From the proposal until the proposer knows the decision.
    pub decision_ms: Spread,
    /// From the proposal until it is in force, over all subscribers of all changes. For a subscriber that a
    /// fault cut off or stopped, from the fault's end.
    pub all_ms: Spread,
    /// The same for changes of bursts only.
    pub burst_ms: Spread,
    /// The same for subscribers cut off or stopped by a fault only.
    pub back_ms: Spread,
    /// Number of pairs of a change and a subscriber that lacks it at the end.
    pub never: usize,
    /// How often a version in force went back.
    pub went_back: u64,
}

/// Cost per second of the nodes of one role, over the measured time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleCost {
    pub nodes: usize,
    /// Sent and received together.
    pub bytes_per_second: Spread,
    /// Each node's worst second.
    pub worst_second_bytes: Spread,
    pub sent_bytes_per_second: Spread,
    pub messages_per_second: Spread,
    pub processor_ms_per_second: Spread,
    pub worst_second_processor_ms: Spread,
    pub state_bytes: Spread,
}

impl RoleCost {
    pub fn from_nodes<'a>(nodes: impl Iterator<Item = &'a NodeResult> + Clone, seconds: f64) -> Self {
        let spread =
            |figure: &dyn Fn(&NodeResult) -> f64| Spread::from_values(nodes.clone().map(figure).collect());
        Self {
            nodes: nodes.clone().count(),
            bytes_per_second: spread(&|node| node.cost.bytes as f64 / seconds),
            worst_second_bytes: spread(&|node| node.cost.worst_second_bytes as f64),
            sent_bytes_per_second: spread(&|node| node.cost.sent_bytes as f64 / seconds),
            messages_per_second: spread(&|node| node.cost.messages as f64 / seconds),
            processor_ms_per_second: spread(&|node| node.cost.processor_ns as f64 / 1e6 / seconds),
            worst_second_processor_ms: spread(&|node| node.cost.worst_second_processor_ns as f64 / 1e6),
            state_bytes: spread(&|node| node.state_bytes as f64),
        }
    }
}

/// The periods in which faults cut off or stopped each node.
fn absences(layout: &Layout, script: &Script, seed: u64) -> BTreeMap<NodeId, Vec<Period>> {
    let mut absences: BTreeMap<NodeId, Vec<Period>> = BTreeMap::new();
    for (index, fault) in script.faults.iter().enumerate() {
        if matches!(fault.kind, FaultKind::Burst { .. } | FaultKind::Loss { .. }) {
            continue;
        }
        let period = Period { from: script.to_ms(fault.at), until: script.to_ms(fault.ends_at()) };
        for node in fault.affected_nodes(layout, index, seed) {
            absences.entry(node).or_default().push(period);
        }
    }
    absences
}

fn subscribers(layout: &Layout) -> BTreeMap<Scope, Vec<(NodeId, u16)>> {
    let mut subscribers: BTreeMap<Scope, Vec<(NodeId, u16)>> = BTreeMap::new();
    for node in layout.controls..layout.node_count() {
        for (slot, scope) in layout.scopes(node).into_iter().enumerate() {
            subscribers.entry(scope).or_default().push((node, slot as u16));
        }
    }
    subscribers
}

/// When a decision came into force at a node, from the node's events.
fn in_force_at(events: &[InForceEvent], slot: u16, decided: &DecidedChange) -> Option<f64> {
    events
        .iter()
        .find(|event| event.slot == slot && event.version >= decided.version)
        .map(|event| event.in_force_at)
}

/// Evaluates when each change came into force at each subscriber of its scope.
pub fn in_force(
    layout: &Layout,
    script: &Script,
    seed: u64,
    (proposals, bursts): (&[Proposal], &[usize]),
    result: &RunResult,
) -> InForce {
    let (absences, subscribers) = (absences(layout, script, seed), subscribers(layout));
    let (mut all, mut burst, mut back, mut never) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for decided in &result.decided {
        let proposal = &proposals[decided.number];
        for &(node, slot) in subscribers.get(&proposal.change.scope).into_iter().flatten() {
            let Some(at) = in_force_at(&result.nodes[node].in_force_events, slot, decided) else {
                never += 1;
                continue;
            };
            let absent = absences.get(&node).into_iter().flatten();
            let until = absent.filter(|period| period.from < at && period.until > proposal.proposed_at);
            let since = until.map(|period| period.until).fold(proposal.proposed_at, f64::max);
            let delay = (at - since).max(0.0);
            all.push(delay);
            if bursts.contains(&decided.number) {
                burst.push(delay);
            }
            if since > proposal.proposed_at {
                back.push(delay);
            }
        }
    }
    let decisions = result
        .decided
        .iter()
        .map(|decided| decided.decided_at - proposals[decided.number].proposed_at)
        .collect();
    InForce {
        changes: proposals.len(),
        decided: result.decided.len(),
        decision_ms: Spread::from_values(decisions),
        all_ms: Spread::from_values(all),
        burst_ms: Spread::from_values(burst),
        back_ms: Spread::from_values(back),
        never,
        went_back: result.nodes.iter().map(|node| node.went_back).sum(),
    }
}

/// The limits that were not kept, one line each.
pub fn misses(in_force: &InForce, proxy: &RoleCost) -> Vec<String> {
    let mut misses = Vec::new();
    let mut check = |kept: bool, miss: String| {
        if !kept {
            misses.push(miss);
        }
    };
    let (made, decided) = (in_force.changes, in_force.decided);
    check(decided == made, format!("{decided} of {made} changes were decided"));
    check(in_force.never == 0, format!("{} subscribers lack a change at the end", in_force.never));
    let last = in_force.all_ms.last;
    check(
        last <= MAX_IN_FORCE_MS,
        format!("a change in force after {last:.0} ms, limit {MAX_IN_FORCE_MS:.0}"),
    );
    check(in_force.went_back == 0, format!("a version in force went back {} times", in_force.went_back));
    let bytes = proxy.worst_second_bytes.last;
    check(
        bytes <= MAX_BYTES_PER_SECOND,
        format!("{bytes:.0} bytes in a proxy's worst second, limit {MAX_BYTES_PER_SECOND:.0}"),
    );
    let processor = proxy.processor_ms_per_second.last;
    let line = format!(
        "{processor:.1} ms of processor time a second at a proxy, limit {MAX_PROCESSOR_MS_PER_SECOND:.0}"
    );
    check(processor <= MAX_PROCESSOR_MS_PER_SECOND, line);
    let memory = proxy.state_bytes.last;
    check(
        memory <= MAX_STATE_BYTES,
        format!("{memory:.0} bytes of state at a proxy, limit {MAX_STATE_BYTES:.0}"),
    );
    misses
}
