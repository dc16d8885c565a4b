//! The virtual clock of a scale run, sharded by zone over threads.
//!
//! One thread at a time runs a zone's events in order of time. No message passes between zones in less than
//! the minimum delay between them, so all zones can run in parallel for that long after the earliest event.
//! Then the messages between zones are delivered, in an order that does not depend on threads. So the same
//! seed gives the same run for any number of threads; [`RunResult::digest`] covers all messages as they
//! arrived.

mod shard;

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Barrier, Mutex};
use std::time::{Duration, Instant};

use super::layout::{Layout, NodeId};
use super::meter::{Cost, InForceEvent};
use super::network::Network;
use super::node::{ConfigChange, Fleet, Version};
use super::resources;
use super::script::Script;
use shard::{MessageInTransit, Shard};

/// Window in milliseconds when there is only one zone.
const SINGLE_ZONE_WINDOW_MS: f64 = 100.0;
/// Virtual milliseconds between two reports of progress.
const PROGRESS_INTERVAL_MS: f64 = 5_000.0;

/// A change to propose: when (milliseconds since the run began), at which node, and what.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub proposed_at: f64,
    pub proposer: NodeId,
    pub change: ConfigChange,
}

/// Input of a run.
pub struct Plan<'a> {
    pub layout: &'a Layout,
    pub script: &'a Script,
    pub proposals: &'a [Proposal],
    pub seed: u64,
    pub threads: usize,
    /// The run is stopped after this much wall-clock time.
    pub max_wall_time: Duration,
}

/// A decided proposal: its number, the version, and when the proposer learned of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecidedChange {
    pub number: usize,
    pub version: Version,
    pub decided_at: f64,
}

/// What was measured at one node.
#[derive(Clone, Debug, Default)]
pub struct NodeResult {
    pub cost: Cost,
    pub in_force_events: Vec<InForceEvent>,
    pub went_back: u64,
    /// Bytes of state at the end; 0 if the node was not running then.
    pub state_bytes: usize,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    pub nodes: Vec<NodeResult>,
    pub decided: Vec<DecidedChange>,
    /// Hash over all messages as they arrived and all versions as they came into force.
    pub digest: String,
    pub messages_arrived: u64,
    /// Virtual time reached, in milliseconds.
    pub reached_ms: f64,
    pub wall_time: Duration,
    /// Increase of this process's resident memory over the run, in bytes.
    pub resident_bytes: f64,
}

/// Runs a fleet to the end of its script; `progress` gets the virtual time reached, in milliseconds.
pub fn run<F: Fleet>(fleet: &F, plan: &Plan<'_>, progress: &(dyn Fn(f64) + Sync)) -> RunResult {
    let (started_at, resident_before) = (Instant::now(), resources::resident_bytes());
    let zones = plan.layout.terms.zones;
    let network = Network::new(plan.script);
    let engine = Engine {
        plan,
        zones: (0..zones).map(|zone| Mutex::new(Shard::new(plan, zone))).collect(),
        mailboxes: [0, 1].map(|_| (0..zones * zones).map(|_| Mutex::new(Vec::new())).collect()),
        network,
        fleet,
        window: Window::new(),
        started_at,
        resident_before,
        progress,
    };
    let threads = plan.threads.clamp(1, zones);
    let barrier = Barrier::new(threads);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| engine.work_loop(&barrier));
        }
    });
    engine.into_result()
}

/// The window of virtual time that is run now, shared by the threads.
struct Window {
    /// Times in milliseconds, as the bits of an `f64`; so is `next_progress`.
    end: AtomicU64,
    earliest: AtomicU64,
    next_zone: AtomicUsize,
    round: AtomicUsize,
    finished: AtomicBool,
    next_progress: AtomicU64,
}

impl Window {
    fn new() -> Self {
        Self {
            end: AtomicU64::new(0),
            earliest: AtomicU64::new(0),
            next_zone: AtomicUsize::new(0),
            round: AtomicUsize::new(0),
            finished: AtomicBool::new(false),
            next_progress: AtomicU64::new(0),
        }
    }
}

struct Engine<'a, F: Fleet> {
    plan: &'a Plan<'a>,
    zones: Vec<Mutex<Shard<'a, F>>>,
    /// Messages between zones, by sending and receiving zone: one set is filled while the other is read.
    mailboxes: [Vec<Mutex<Vec<MessageInTransit>>>; 2],
    network: Network,
    fleet: &'a F,
    window: Window,
    started_at: Instant,
    /// Resident memory of this process before the run, in bytes.
    resident_before: f64,
    progress: &'a (dyn Fn(f64) + Sync),
}

impl<F: Fleet> Engine<'_, F> {
    fn work_loop(&self, barrier: &Barrier) {
        loop {
            if barrier.wait().is_leader() {
                self.open_window();
            }
            barrier.wait();
            if self.window.finished.load(Ordering::Acquire) {
                return;
            }
            let end = f64::from_bits(self.window.end.load(Ordering::Acquire));
            let round = self.window.round.load(Ordering::Acquire);
            loop {
                let zone = self.window.next_zone.fetch_add(1, Ordering::AcqRel);
                let Some(shard) = self.zones.get(zone) else { break };
                let next =
                    self.run_zone(&mut shard.lock().expect("no other thread failed"), zone, round, end);
                // Times are not negative, so their bits sort as the times do.
                self.window.earliest.fetch_min(next.to_bits(), Ordering::AcqRel);
            }
        }
    }

    /// Starts the next window; called by one thread while the others wait.
    fn open_window(&self) {
        let window = &self.window;
        let earliest = f64::from_bits(window.earliest.swap(f64::INFINITY.to_bits(), Ordering::AcqRel));
        let ahead = self.plan.layout.min_delay_between_zones().unwrap_or(SINGLE_ZONE_WINDOW_MS);
        let out_of_time = self.started_at.elapsed() >= self.plan.max_wall_time;
        window.finished.store(earliest >= self.plan.script.end_ms() || out_of_time, Ordering::Release);
        window.end.store((earliest + ahead).min(self.plan.script.end_ms()).to_bits(), Ordering::Release);
        window.next_zone.store(0, Ordering::Release);
        window.round.fetch_add(1, Ordering::AcqRel);
        let next_progress = f64::from_bits(window.next_progress.load(Ordering::Acquire));
        if earliest >= next_progress {
            window.next_progress.store((earliest + PROGRESS_INTERVAL_MS).to_bits(), Ordering::Release);
            (self.progress)(earliest);
        }
    }

    /// Runs one zone to the end of the window; returns the time of its next event or earliest sent message.
    fn run_zone(&self, shard: &mut Shard<'_, F>, zone: usize, round: usize, end: f64) -> f64 {
        let zones = self.zones.len();
        let (filled, read) = (&self.mailboxes[round % 2], &self.mailboxes[(round + 1) % 2]);
        for from in 0..zones {
            shard.deliver(&mut read[from * zones + zone].lock().expect("no other thread failed"));
        }
        shard.run_until(self.fleet, &self.network, end);
        let mut earliest = shard.due();
        for message in shard.take_outbox() {
            earliest = earliest.min(message.arrives_at);
            let to = self.plan.layout.site(message.to).zone;
            filled[zone * zones + to].lock().expect("no other thread failed").push(message);
        }
        earliest
    }

    fn into_result(self) -> RunResult {
        let resident_bytes = (resources::resident_bytes() - self.resident_before).max(0.0);
        let reached_ms = f64::from_bits(self.window.end.load(Ordering::Acquire));
        let mut nodes = vec![NodeResult::default(); self.plan.layout.node_count()];
        let (mut decided, mut messages_arrived, mut hasher) = (Vec::new(), 0, blake3::Hasher::new());
        for shard in self.zones {
            let shard = shard.into_inner().expect("no thread failed");
            let shard_result = shard.into_result();
            hasher.update(shard_result.digest.as_bytes());
            messages_arrived += shard_result.messages_arrived;
            decided.extend(shard_result.decided);
            shard_result.nodes.into_iter().for_each(|(node, node_result)| nodes[node] = node_result);
        }
        decided.sort_by_key(|decided_change: &DecidedChange| decided_change.number);
        let digest = hasher.finalize().to_hex().to_string();
        RunResult {
            nodes,
            decided,
            digest,
            messages_arrived,
            reached_ms,
            wall_time: self.started_at.elapsed(),
            resident_bytes,
        }
    }
}
