//! One zone's nodes and events.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Decided, NodePlayed, Plan};
use crate::scale::layout::{Layout, NodeId, Scope};
use crate::scale::meter::{CameIntoForce, Meter, thread_time};
use crate::scale::network::{Network, Span, Stall};
use crate::scale::node::{Fleet, Node, NotNow, Version};
use crate::scale::script::FaultKind;

/// A change that a node did not take is offered again after so many milliseconds.
const OFFER_AGAIN: f64 = 50.0;

/// Nodes are looked at again after so many milliseconds at the earliest, as a real loop's clock goes on
/// meanwhile: a due time that rounding puts before its condition would otherwise be now for ever.
const LEAST_WAIT: f64 = 0.05;

/// A message on its way to another zone.
pub struct Flight {
    pub arrives: f64,
    pub to: NodeId,
    from: NodeId,
    datagram: Vec<u8>,
    source: usize,
    number: u64,
}

enum What {
    Arrive { from: NodeId, datagram: Vec<u8> },
    Look,
    Start,
    Kill,
    SaveDisk,
    LoseDisk,
    Offer { proposal: usize },
}

/// Ordered by time; at the same time by the zone that it came from, and its number there.
struct Event {
    at: f64,
    source: usize,
    number: u64,
    node: NodeId,
    what: What,
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the greatest first: the earliest is to be that.
        other.at.total_cmp(&self.at).then((other.source, other.number).cmp(&(self.source, self.number)))
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

struct Seat<N> {
    node: Option<N>,
    life: u32,
    look_at: f64,
    disk: Vec<u8>,
    /// An older copy of it, for a node that loses the newer one.
    old_disk: Vec<u8>,
    scopes: Vec<Scope>,
    /// Versions in force in this life, and ever, by scope.
    versions: Vec<Version>,
    newest: Vec<Version>,
    stalls: Vec<Stall>,
    meter: Meter,
}

/// One zone.
pub struct Shard<'a, F: Fleet> {
    layout: &'a Layout,
    plan: &'a Plan<'a>,
    zone: usize,
    ids: Vec<NodeId>,
    /// The place of each node of the layout here.
    places: Vec<u32>,
    seats: Vec<Seat<F::Node>>,
    events: BinaryHeap<Event>,
    count: u64,
    chance: Pcg64Mcg,
    hasher: blake3::Hasher,
    arrived: u64,
    sent: Vec<Flight>,
    decided: Vec<Decided>,
}

/// What a zone came to.
pub struct Ended {
    pub digest: blake3::Hash,
    pub arrived: u64,
    pub decided: Vec<Decided>,
    pub nodes: Vec<(NodeId, NodePlayed)>,
}

impl<'a, F: Fleet> Shard<'a, F> {
    pub fn new(plan: &'a Plan<'a>, zone: usize) -> Self {
        let ids = plan.layout.in_zone(zone);
        let mut places = vec![u32::MAX; plan.layout.nodes()];
        ids.iter().enumerate().for_each(|(place, &node)| places[node] = place as u32);
        let from = plan.script.at(0.0);
        let seats = ids.iter().map(|&node| {
            let scopes = plan.layout.scopes(node);
            let none = vec![0; scopes.len()];
            Seat {
                node: None,
                life: 0,
                look_at: f64::INFINITY,
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
            seats: seats.collect(),
            places,
            events: BinaryHeap::new(),
            count: 0,
            chance: Pcg64Mcg::seed_from_u64(plan.seed ^ (zone as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            hasher: blake3::Hasher::new(),
            arrived: 0,
            sent: Vec::new(),
            decided: Vec::new(),
            ids,
        };
        shard.ids.clone().into_iter().for_each(|node| shard.plan_event(0.0, node, What::Start));
        shard.plan_faults();
        shard.plan_proposals();
        shard
    }

    fn plan_event(&mut self, at: f64, node: NodeId, what: What) {
        self.count += 1;
        self.events.push(Event { at, source: self.zone, number: self.count, node, what });
    }

    fn plan_proposals(&mut self) {
        let plan = self.plan;
        for (proposal, of) in plan.proposals.iter().enumerate() {
            if self.layout.site(of.by).zone == self.zone {
                self.plan_event(of.at, of.by, What::Offer { proposal });
            }
        }
    }

    fn plan_faults(&mut self) {
        let plan = self.plan;
        for (place, fault) in plan.script.faults.iter().enumerate() {
            let (from, until) = (plan.script.at(fault.at), plan.script.at(fault.ends()));
            let span = Span { from, until };
            for node in fault.nodes(plan.layout, place, plan.seed) {
                if self.layout.site(node).zone != self.zone {
                    continue;
                }
                match fault.kind {
                    FaultKind::KillProxies { .. }
                    | FaultKind::KillZone { .. }
                    | FaultKind::KillControl { .. } => {
                        self.plan_event(from, node, What::Kill);
                        self.plan_event(until, node, What::Start);
                    }
                    FaultKind::OldDisk { older, .. } => {
                        self.plan_event((from - older * 1000.0).max(0.0), node, What::SaveDisk);
                        self.plan_event(from, node, What::Kill);
                        self.plan_event(until, node, What::LoseDisk);
                        self.plan_event(until, node, What::Start);
                    }
                    FaultKind::PauseProxies { .. } | FaultKind::PauseControl { .. } => {
                        self.seat(node).stalls.push(Stall::Paused(span));
                    }
                    FaultKind::SlowProxies { every, .. } => {
                        self.seat(node).stalls.push(Stall::Slow(span, every * 1000.0));
                    }
                    FaultKind::CutZone { .. }
                    | FaultKind::CutRegion { .. }
                    | FaultKind::Burst { .. }
                    | FaultKind::Loss { .. } => {}
                }
            }
        }
    }

    fn seat(&mut self, node: NodeId) -> &mut Seat<F::Node> {
        &mut self.seats[self.places[node] as usize]
    }

    /// Takes what was sent here from another zone.
    pub fn deliver(&mut self, flights: &mut Vec<Flight>) {
        for Flight { arrives, to, from, datagram, source, number } in flights.drain(..) {
            let what = What::Arrive { from, datagram };
            self.events.push(Event { at: arrives, source, number, node: to, what });
        }
    }

    /// When the next event is due.
    pub fn due(&self) -> f64 {
        self.events.peek().map_or(f64::INFINITY, |event| event.at)
    }

    /// What was sent to other zones.
    pub fn sent(&mut self) -> Vec<Flight> {
        std::mem::take(&mut self.sent)
    }

    /// Plays all events before the end.
    pub fn play(&mut self, fleet: &F, network: &Network, end: f64) {
        while self.due() < end {
            let event = self.events.pop().expect("just seen");
            self.happen(fleet, network, event);
        }
    }

    fn happen(&mut self, fleet: &F, network: &Network, event: Event) {
        let Event { at: now, node, what, .. } = event;
        match what {
            What::Start => self.start(fleet, network, now, node),
            What::Kill => {
                let seat = self.seat(node);
                if let Some(killed) = seat.node.take() {
                    seat.disk = killed.disk();
                }
                seat.look_at = f64::INFINITY;
            }
            What::SaveDisk => {
                let seat = self.seat(node);
                seat.old_disk = seat.node.as_ref().map_or_else(|| seat.disk.clone(), Node::disk);
            }
            What::LoseDisk => {
                let seat = self.seat(node);
                seat.disk = std::mem::take(&mut seat.old_disk);
            }
            what @ (What::Arrive { .. } | What::Look | What::Offer { .. }) => {
                let acts_at = self.seat(node).stalls.iter().fold(now, |at, stall| stall.acts_at(at));
                if acts_at > now {
                    return self.plan_event(acts_at, node, what);
                }
                self.act(network, now, node, what);
            }
        }
    }

    fn start(&mut self, fleet: &F, network: &Network, now: f64, node: NodeId) {
        let seat = self.seat(node);
        let mut started = fleet.start(node, seat.life, &seat.disk, now);
        seat.life += 1;
        seat.versions.fill(0);
        started.turn(now);
        seat.node = Some(started);
        self.settle(network, now, node);
    }

    /// A message arrives, something falls due or a change is offered.
    fn act(&mut self, network: &Network, now: f64, node: NodeId, what: What) {
        let plan = self.plan;
        if let What::Arrive { from, datagram } = &what {
            self.arrived += 1;
            self.hasher.update(&now.to_le_bytes());
            self.hasher.update(&(*from as u64).to_le_bytes());
            self.hasher.update(&(node as u64).to_le_bytes());
            self.hasher.update(datagram);
        }
        let seat = self.seat(node);
        let Some(running) = &mut seat.node else { return };
        let began = thread_time();
        let mut offer_again = None;
        match what {
            What::Arrive { from, datagram } => {
                seat.meter.received(now, datagram.len());
                running.receive(now, Layout::address(from), &datagram);
            }
            What::Look if now < seat.look_at => return,
            What::Look => seat.look_at = f64::INFINITY,
            What::Offer { proposal } => {
                let offered = running.propose(now, proposal, &plan.proposals[proposal].change);
                offer_again = (offered == Err(NotNow)).then_some(proposal);
            }
            _ => unreachable!("handled before"),
        }
        running.turn(now);
        seat.meter.worked(now, thread_time() - began);
        if let Some(proposal) = offer_again {
            self.plan_event(now + OFFER_AGAIN, node, What::Offer { proposal });
        }
        self.settle(network, now, node);
    }

    /// Sends what a node has to send, and looks at what has come into force there.
    fn settle(&mut self, network: &Network, now: f64, node: NodeId) {
        let place = self.places[node] as usize;
        let seat = &mut self.seats[place];
        let Some(running) = &mut seat.node else { return };
        let began = thread_time();
        let mut outgoing = Vec::new();
        while let Some((to, datagram)) = running.outgoing() {
            outgoing.push((to, datagram));
        }
        seat.meter.worked(now, thread_time() - began);
        while let Some((number, version)) = running.decided() {
            self.decided.push(Decided { number, version, at: now });
        }
        for (slot, &scope) in seat.scopes.iter().enumerate() {
            let version = running.in_force(scope);
            if version < seat.versions[slot] {
                seat.meter.went_back += 1;
            }
            seat.versions[slot] = version;
            if version > seat.newest[slot] {
                seat.newest[slot] = version;
                seat.meter.came.push(CameIntoForce { at: now, slot: slot as u16, version });
                self.hasher.update(&now.to_le_bytes());
                self.hasher.update(&version.to_le_bytes());
            }
        }
        let due = running.due().max(now + LEAST_WAIT);
        if due < seat.look_at {
            seat.look_at = due;
            self.plan_event(due, node, What::Look);
        }
        for (to, datagram) in outgoing {
            self.seats[place].meter.sent(now, datagram.len());
            if let Some(to) = self.layout.node_at(to) {
                self.send(network, now, node, to, datagram);
            }
        }
    }

    fn send(&mut self, network: &Network, now: f64, from: NodeId, to: NodeId, datagram: Vec<u8>) {
        let longer = 1.0 + self.layout.terms.jitter * self.chance.random::<f64>();
        if self.chance.random::<f64>() < network.loss(now, self.layout, from, to) {
            return;
        }
        let arrives = now + self.layout.delay(from, to) * longer;
        if self.layout.site(to).zone == self.zone {
            return self.plan_event(arrives, to, What::Arrive { from, datagram });
        }
        self.count += 1;
        let (source, number) = (self.zone, self.count);
        self.sent.push(Flight { arrives, to, from, datagram, source, number });
    }

    pub fn ended(self) -> Ended {
        let nodes = self.ids.iter().zip(self.seats).map(|(&node, seat)| {
            let state_bytes = seat.node.as_ref().map_or(0, Node::state_bytes);
            let (cost, went_back) = (seat.meter.cost(), seat.meter.went_back);
            (node, NodePlayed { cost, came: seat.meter.came, went_back, state_bytes })
        });
        Ended {
            digest: self.hasher.finalize(),
            arrived: self.arrived,
            decided: self.decided,
            nodes: nodes.collect(),
        }
    }
}
