//! The nodes and events of one zone.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{DecidedChange, NodeResult, Plan};
use crate::scale::layout::{Layout, NodeId, Scope};
use crate::scale::meter::{InForceEvent, Meter, thread_cpu_ns};
use crate::scale::network::{Network, Period, Stall};
use crate::scale::node::{Fleet, Node, NotReady, Version};
use crate::scale::script::FaultKind;

/// Milliseconds after which a change that a node did not accept is proposed again.
const PROPOSE_RETRY_MS: f64 = 50.0;

/// Minimum milliseconds until a node's next turn, as the clock of a real loop also advances. A due time that
/// rounding puts before its condition would otherwise be due now forever.
const MIN_TURN_INTERVAL_MS: f64 = 0.05;

/// A message in transit to another zone.
pub struct MessageInTransit {
    pub arrives_at: f64,
    pub to: NodeId,
    from: NodeId,
    datagram: Vec<u8>,
    source_zone: usize,
    number: u64,
}

enum EventKind {
    Arrival { from: NodeId, datagram: Vec<u8> },
    Turn,
    Start,
    Kill,
    SaveDisk,
    RestoreOldDisk,
    Propose { proposal: usize },
}

/// An event, ordered by time, then by the zone that it came from and its number there.
struct Event {
    due_at: f64,
    source_zone: usize,
    number: u64,
    node: NodeId,
    kind: EventKind,
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap pops the greatest first, so the earliest event must be the greatest.
        other
            .due_at
            .total_cmp(&self.due_at)
            .then((other.source_zone, other.number).cmp(&(self.source_zone, self.number)))
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

struct NodeState<N> {
    node: Option<N>,
    generation: u32,
    turn_at: f64,
    disk: Vec<u8>,
    /// An older copy of the disk, for a node that loses the newer one.
    old_disk: Vec<u8>,
    scopes: Vec<Scope>,
    /// Versions in force, by scope: those of this generation, and the highest ever.
    versions: Vec<Version>,
    newest: Vec<Version>,
    stalls: Vec<Stall>,
    meter: Meter,
}

/// The nodes, pending events and links of one zone.
pub struct Shard<'a, F: Fleet> {
    layout: &'a Layout,
    plan: &'a Plan<'a>,
    zone: usize,
    node_ids: Vec<NodeId>,
    /// For each node of the layout its index in `states`; `u32::MAX` if it is in another zone.
    local_indexes: Vec<u32>,
    states: Vec<NodeState<F::Node>>,
    events: BinaryHeap<Event>,
    last_event_number: u64,
    rng: Pcg64Mcg,
    hasher: blake3::Hasher,
    messages_arrived: u64,
    outbox: Vec<MessageInTransit>,
    decided: Vec<DecidedChange>,
}

/// Result of one zone.
pub struct ShardResult {
    pub digest: blake3::Hash,
    pub messages_arrived: u64,
    pub decided: Vec<DecidedChange>,
    pub nodes: Vec<(NodeId, NodeResult)>,
}

impl<'a, F: Fleet> Shard<'a, F> {
    pub fn new(plan: &'a Plan<'a>, zone: usize) -> Self {
        let node_ids = plan.layout.nodes_in_zone(zone);
        let mut local_indexes = vec![u32::MAX; plan.layout.node_count()];
        node_ids.iter().enumerate().for_each(|(index, &node)| local_indexes[node] = index as u32);
        let from = plan.script.to_ms(0.0);
        let states = node_ids.iter().map(|&node| {
            let scopes = plan.layout.scopes(node);
            let none = vec![0; scopes.len()];
            NodeState {
                node: None,
                generation: 0,
                turn_at: f64::INFINITY,
                disk: Vec::new(),
                old_disk: Vec::new(),
                scopes,
                versions: none.clone(),
                newest: none,
                stalls: Vec::new(),
                meter: Meter::new(from),
            }
        });
        let mut shard = Self {
            layout: plan.layout,
            plan,
            zone,
            states: states.collect(),
            local_indexes,
            events: BinaryHeap::new(),
            last_event_number: 0,
            rng: Pcg64Mcg::seed_from_u64(plan.seed ^ (zone as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            hasher: blake3::Hasher::new(),
            messages_arrived: 0,
            outbox: Vec::new(),
            decided: Vec::new(),
            node_ids,
        };
        shard.node_ids.clone().into_iter().for_each(|node| shard.schedule(0.0, node, EventKind::Start));
        shard.schedule_faults();
        shard.schedule_proposals();
        shard
    }

    fn schedule(&mut self, due_at: f64, node: NodeId, kind: EventKind) {
        self.last_event_number += 1;
        self.events.push(Event {
            due_at,
            source_zone: self.zone,
            number: self.last_event_number,
            node,
            kind,
        });
    }

    fn schedule_proposals(&mut self) {
        let plan = self.plan;
        for (proposal, proposed) in plan.proposals.iter().enumerate() {
            if self.layout.site(proposed.proposer).zone == self.zone {
                self.schedule(proposed.proposed_at, proposed.proposer, EventKind::Propose { proposal });
            }
        }
    }

    fn schedule_faults(&mut self) {
        let plan = self.plan;
        for (index, fault) in plan.script.faults.iter().enumerate() {
            let (from, until) = (plan.script.to_ms(fault.at), plan.script.to_ms(fault.ends_at()));
            let period = Period { from, until };
            for node in fault.affected_nodes(plan.layout, index, plan.seed) {
                if self.layout.site(node).zone != self.zone {
                    continue;
                }
                match fault.kind {
                    FaultKind::KillProxies { .. }
                    | FaultKind::KillZone { .. }
                    | FaultKind::KillControl { .. } => {
                        self.schedule(from, node, EventKind::Kill);
                        self.schedule(until, node, EventKind::Start);
                    }
                    FaultKind::OldDisk { older, .. } => {
                        self.schedule((from - older * 1000.0).max(0.0), node, EventKind::SaveDisk);
                        self.schedule(from, node, EventKind::Kill);
                        self.schedule(until, node, EventKind::RestoreOldDisk);
                        self.schedule(until, node, EventKind::Start);
                    }
                    FaultKind::PauseProxies { .. } | FaultKind::PauseControl { .. } => {
                        self.state(node).stalls.push(Stall::Paused(period));
                    }
                    FaultKind::SlowProxies { every, .. } => {
                        self.state(node).stalls.push(Stall::Slow(period, every * 1000.0));
                    }
                    FaultKind::CutZone { .. }
                    | FaultKind::CutRegion { .. }
                    | FaultKind::Burst { .. }
                    | FaultKind::Loss { .. } => {}
                }
            }
        }
    }

    fn state(&mut self, node: NodeId) -> &mut NodeState<F::Node> {
        &mut self.states[self.local_indexes[node] as usize]
    }

    /// Queues messages that were sent here from another zone.
    pub fn deliver(&mut self, messages: &mut Vec<MessageInTransit>) {
        for MessageInTransit { arrives_at, to, from, datagram, source_zone, number } in messages.drain(..) {
            let kind = EventKind::Arrival { from, datagram };
            self.events.push(Event { due_at: arrives_at, source_zone, number, node: to, kind });
        }
    }

    /// Time of the next event.
    pub fn due(&self) -> f64 {
        self.events.peek().map_or(f64::INFINITY, |event| event.due_at)
    }

    /// Removes and returns the messages sent to other zones.
    pub fn take_outbox(&mut self) -> Vec<MessageInTransit> {
        std::mem::take(&mut self.outbox)
    }

    /// Runs all events before `end`.
    pub fn run_until(&mut self, fleet: &F, network: &Network, end: f64) {
        while self.due() < end {
            let event = self.events.pop().expect("due() saw an event");
            self.handle(fleet, network, event);
        }
    }

    fn handle(&mut self, fleet: &F, network: &Network, event: Event) {
        let Event { due_at: now, node, kind, .. } = event;
        match kind {
            EventKind::Start => self.start(fleet, network, now, node),
            EventKind::Kill => {
                let state = self.state(node);
                if let Some(killed) = state.node.take() {
                    state.disk = killed.disk();
                }
                state.turn_at = f64::INFINITY;
            }
            EventKind::SaveDisk => {
                let state = self.state(node);
                state.old_disk = state.node.as_ref().map_or_else(|| state.disk.clone(), Node::disk);
            }
            EventKind::RestoreOldDisk => {
                let state = self.state(node);
                state.disk = std::mem::take(&mut state.old_disk);
            }
            kind @ (EventKind::Arrival { .. } | EventKind::Turn | EventKind::Propose { .. }) => {
                let acts_at =
                    self.state(node).stalls.iter().fold(now, |acts_at, stall| stall.acts_at(acts_at));
                if acts_at > now {
                    return self.schedule(acts_at, node, kind);
                }
                self.dispatch(network, now, node, kind);
            }
        }
    }

    fn start(&mut self, fleet: &F, network: &Network, now: f64, node: NodeId) {
        let state = self.state(node);
        let mut started = fleet.start(node, state.generation, &state.disk, now);
        state.generation += 1;
        state.versions.fill(0);
        started.turn(now);
        state.node = Some(started);
        self.collect_outputs(network, now, node);
    }

    /// Handles an arriving message, a turn that is due, or a change to propose.
    fn dispatch(&mut self, network: &Network, now: f64, node: NodeId, kind: EventKind) {
        let plan = self.plan;
        if let EventKind::Arrival { from, datagram } = &kind {
            self.messages_arrived += 1;
            self.hasher.update(&now.to_le_bytes());
            self.hasher.update(&(*from as u64).to_le_bytes());
            self.hasher.update(&(node as u64).to_le_bytes());
            self.hasher.update(datagram);
        }
        let state = self.state(node);
        let Some(running) = &mut state.node else { return };
        let started_at = thread_cpu_ns();
        let mut retry = None;
        match kind {
            EventKind::Arrival { from, datagram } => {
                state.meter.record_received(now, datagram.len());
                running.receive(now, Layout::address(from), &datagram);
            }
            EventKind::Turn if now < state.turn_at => return,
            EventKind::Turn => state.turn_at = f64::INFINITY,
            EventKind::Propose { proposal } => {
                let proposed = running.propose(now, proposal, &plan.proposals[proposal].change);
                retry = (proposed == Err(NotReady)).then_some(proposal);
            }
            _ => unreachable!("handled before"),
        }
        running.turn(now);
        state.meter.record_cpu(now, thread_cpu_ns() - started_at);
        if let Some(proposal) = retry {
            self.schedule(now + PROPOSE_RETRY_MS, node, EventKind::Propose { proposal });
        }
        self.collect_outputs(network, now, node);
    }

    /// Sends a node's outgoing messages and records what has come into force there.
    fn collect_outputs(&mut self, network: &Network, now: f64, node: NodeId) {
        let index = self.local_indexes[node] as usize;
        let state = &mut self.states[index];
        let Some(running) = &mut state.node else { return };
        let started_at = thread_cpu_ns();
        let mut outgoing = Vec::new();
        while let Some((to, datagram)) = running.outgoing() {
            outgoing.push((to, datagram));
        }
        state.meter.record_cpu(now, thread_cpu_ns() - started_at);
        while let Some((number, version)) = running.next_decided() {
            self.decided.push(DecidedChange { number, version, decided_at: now });
        }
        for (slot, &scope) in state.scopes.iter().enumerate() {
            let version = running.in_force(scope);
            if version < state.versions[slot] {
                state.meter.went_back += 1;
            }
            state.versions[slot] = version;
            if version > state.newest[slot] {
                state.newest[slot] = version;
                state.meter.in_force_events.push(InForceEvent {
                    in_force_at: now,
                    slot: slot as u16,
                    version,
                });
                self.hasher.update(&now.to_le_bytes());
                self.hasher.update(&version.to_le_bytes());
            }
        }
        let due = running.due().max(now + MIN_TURN_INTERVAL_MS);
        if due < state.turn_at {
            state.turn_at = due;
            self.schedule(due, node, EventKind::Turn);
        }
        for (to, datagram) in outgoing {
            self.states[index].meter.record_sent(now, datagram.len());
            if let Some(to) = self.layout.node_at(to) {
                self.send(network, now, node, to, datagram);
            }
        }
    }

    fn send(&mut self, network: &Network, now: f64, from: NodeId, to: NodeId, datagram: Vec<u8>) {
        let jitter_factor = 1.0 + self.layout.terms.jitter * self.rng.random::<f64>();
        if self.rng.random::<f64>() < network.loss(now, self.layout, from, to) {
            return;
        }
        let arrives_at = now + self.layout.delay(from, to) * jitter_factor;
        if self.layout.site(to).zone == self.zone {
            return self.schedule(arrives_at, to, EventKind::Arrival { from, datagram });
        }
        self.last_event_number += 1;
        let (source_zone, number) = (self.zone, self.last_event_number);
        self.outbox.push(MessageInTransit { arrives_at, to, from, datagram, source_zone, number });
    }

    pub fn into_result(self) -> ShardResult {
        let nodes = self.node_ids.iter().zip(self.states).map(|(&node, state)| {
            let state_bytes = state.node.as_ref().map_or(0, Node::state_bytes);
            let (cost, went_back) = (state.meter.cost(), state.meter.went_back);
            (node, NodeResult { cost, in_force_events: state.meter.in_force_events, went_back, state_bytes })
        });
        ShardResult {
            digest: self.hasher.finalize(),
            messages_arrived: self.messages_arrived,
            decided: self.decided,
            nodes: nodes.collect(),
        }
    }
}
