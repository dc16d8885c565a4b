//! What was measured, held against the limits.

use std::collections::BTreeMap;

use serde::Serialize;

use super::engine::{Decided, NodePlayed, Played, Proposal};
use super::layout::{Layout, NodeId, Scope};
use super::meter::CameIntoForce;
use super::network::Span;
use super::script::{FaultKind, Script};

/// A change is in force everywhere within so many milliseconds.
pub const IN_FORCE_WITHIN: f64 = 4_000.0;
/// A border proxy spends at most so many bytes in any second, both ways together.
pub const MOST_BYTES: f64 = 8_000.0;
/// Of processor time at most so many milliseconds a second.
pub const MOST_PROCESSOR: f64 = 14.0;
/// Of memory at most so many bytes.
pub const MOST_MEMORY: f64 = 128.0 * 1024.0 * 1024.0;

/// Some figures in order: how many, median, 99th of a hundred, largest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    pub count: usize,
    pub mean: f64,
    pub median: f64,
    pub p99: f64,
    pub last: f64,
}

impl Spread {
    pub fn of(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (part * figures.len() as f64).ceil() as usize;
            figures.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        let count = figures.len();
        let mean = figures.iter().fold(0.0, |sum, figure| sum + figure) / count.max(1) as f64;
        Self { count, mean, median: at(0.5), p99: at(0.99), last: at(1.0) }
    }
}

/// How long changes took to come into force, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct InForce {
    pub changes: usize,
    pub decided: usize,
    /// From the proposal to the decision, as the proposer knew it.
    pub decision_ms: Spread,
    /// From the proposal until it is in force, over all subscribers of all changes. For a subscriber that a
    /// fault kept away, from the fault's end.
    pub all_ms: Spread,
    /// The same for changes of bursts alone.
    pub burst_ms: Spread,
    /// The same for subscribers that were kept away alone.
    pub back_ms: Spread,
    /// Subscribers of changes that did not have them at the end.
    pub never: usize,
    /// Times that a version in force went back.
    pub went_back: u64,
}

/// What nodes of one role cost, a second, over the time measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleCost {
    pub nodes: usize,
    /// Both ways together.
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
    pub fn of<'a>(nodes: impl Iterator<Item = &'a NodePlayed> + Clone, seconds: f64) -> Self {
        let spread = |of: &dyn Fn(&NodePlayed) -> f64| Spread::of(nodes.clone().map(of).collect());
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

/// When a subscriber was kept away by faults.
fn absences(layout: &Layout, script: &Script, seed: u64) -> BTreeMap<NodeId, Vec<Span>> {
    let mut absences: BTreeMap<NodeId, Vec<Span>> = BTreeMap::new();
    for (place, fault) in script.faults.iter().enumerate() {
        if matches!(fault.kind, FaultKind::Burst { .. } | FaultKind::Loss { .. }) {
            continue;
        }
        let span = Span { from: script.at(fault.at), until: script.at(fault.ends()) };
        for node in fault.nodes(layout, place, seed) {
            absences.entry(node).or_default().push(span);
        }
    }
    absences
}

fn subscribers(layout: &Layout) -> BTreeMap<Scope, Vec<(NodeId, u16)>> {
    let mut subscribers: BTreeMap<Scope, Vec<(NodeId, u16)>> = BTreeMap::new();
    for node in layout.controls..layout.nodes() {
        for (slot, scope) in layout.scopes(node).into_iter().enumerate() {
            subscribers.entry(scope).or_default().push((node, slot as u16));
        }
    }
    subscribers
}

/// When a decision came into force at a node.
fn came(log: &[CameIntoForce], slot: u16, decided: &Decided) -> Option<f64> {
    log.iter().find(|came| came.slot == slot && came.version >= decided.version).map(|came| came.at)
}

/// Judges when each change came into force at each subscriber of its scope.
pub fn in_force(
    layout: &Layout,
    script: &Script,
    seed: u64,
    (proposals, bursts): (&[Proposal], &[usize]),
    played: &Played,
) -> InForce {
    let (absences, subscribers) = (absences(layout, script, seed), subscribers(layout));
    let (mut all, mut burst, mut back, mut never) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for decided in &played.decided {
        let proposal = &proposals[decided.number];
        for &(node, slot) in subscribers.get(&proposal.change.scope).into_iter().flatten() {
            let Some(at) = came(&played.nodes[node].came, slot, decided) else {
                never += 1;
                continue;
            };
            let kept_away = absences.get(&node).into_iter().flatten();
            let until = kept_away.filter(|span| span.from < at && span.until > proposal.at);
            let since = until.map(|span| span.until).fold(proposal.at, f64::max);
            let took = (at - since).max(0.0);
            all.push(took);
            if bursts.contains(&decided.number) {
                burst.push(took);
            }
            if since > proposal.at {
                back.push(took);
            }
        }
    }
    let decisions = played.decided.iter().map(|of| of.at - proposals[of.number].at).collect();
    InForce {
        changes: proposals.len(),
        decided: played.decided.len(),
        decision_ms: Spread::of(decisions),
        all_ms: Spread::of(all),
        burst_ms: Spread::of(burst),
        back_ms: Spread::of(back),
        never,
        went_back: played.nodes.iter().map(|node| node.went_back).sum(),
    }
}

/// Limits that were not kept, the first one first.
pub fn misses(in_force: &InForce, proxy: &RoleCost) -> Vec<String> {
    let mut misses = Vec::new();
    let mut hold = |kept: bool, miss: String| {
        if !kept {
            misses.push(miss);
        }
    };
    let (made, decided) = (in_force.changes, in_force.decided);
    hold(decided == made, format!("{decided} of {made} changes were decided"));
    hold(in_force.never == 0, format!("{} subscribers lack a change at the end", in_force.never));
    let last = in_force.all_ms.last;
    hold(
        last <= IN_FORCE_WITHIN,
        format!("a change in force after {last:.0} ms, limit {IN_FORCE_WITHIN:.0}"),
    );
    hold(in_force.went_back == 0, format!("a version in force went back {} times", in_force.went_back));
    let bytes = proxy.worst_second_bytes.last;
    hold(bytes <= MOST_BYTES, format!("{bytes:.0} bytes in a proxy's worst second, limit {MOST_BYTES:.0}"));
    let processor = proxy.processor_ms_per_second.last;
    let line = format!("{processor:.1} ms of processor time a second at a proxy, limit {MOST_PROCESSOR:.0}");
    hold(processor <= MOST_PROCESSOR, line);
    let memory = proxy.state_bytes.last;
    hold(memory <= MOST_MEMORY, format!("{memory:.0} bytes of state at a proxy, limit {MOST_MEMORY:.0}"));
    misses
}
