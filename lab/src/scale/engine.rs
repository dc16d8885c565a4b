//! A virtual clock over all nodes, sharded by zone over some threads.
//!
//! Each zone's events are played in order of time by one thread. Nothing passes between zones faster than the
//! shortest delay between them, so that all zones may be played at once up to that much after the earliest
//! event; then what they sent each other is handed over, in an order that does not hang on threads. The same
//! seed therefore gives the same course for any number of threads; [`RunResult::digest`] is over all messages as
//! they arrived.

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

/// Where there is only one zone, it is played so many milliseconds at once.
const SINGLE_ZONE_WINDOW_MS: f64 = 100.0;
/// Progress is next_progress once in so many virtual milliseconds.
const PROGRESS_INTERVAL_MS: f64 = 5_000.0;

/// A change that is to be made, and where and when.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub proposed_at: f64,
    pub proposer: NodeId,
    pub change: ConfigChange,
}

/// What a run is given.
pub struct Plan<'a> {
    pub layout: &'a Layout,
    pub script: &'a Script,
    pub proposals: &'a [Proposal],
    pub seed: u64,
    pub threads: usize,
    /// The run is broken off when it has taken so long by the wall clock.
    pub max_wall_time: Duration,
}

/// A proposal as it was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecidedChange {
    pub number: usize,
    pub version: Version,
    pub decided_at: f64,
}

/// What became of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeResult {
    pub cost: Cost,
    pub in_force_events: Vec<InForceEvent>,
    pub went_back: u64,
    /// Bytes of state at the end; 0 where it did not run then.
    pub state_bytes: usize,
}

/// A run that was played.
#[derive(Clone, Debug)]
pub struct RunResult {
    pub nodes: Vec<NodeResult>,
    pub decided: Vec<DecidedChange>,
    /// Over all messages as they arrived and all versions as they came into force.
    pub digest: String,
    /// Messages that arrived.
    pub messages_arrived: u64,
    /// The virtual time that was reached, in milliseconds.
    pub reached_ms: f64,
    pub wall_time: Duration,
    /// Resident memory of this process with all nodes, less what it had before, in bytes.
    pub resident_bytes: f64,
}

/// Plays a fleet to its script's end; `progress` is next_progress the virtual time reached in milliseconds.
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

/// The stretch that is played now.
struct Window {
    /// Times in milliseconds, as bits.
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
    /// What is on its way between zones, by sender and receiver: one set is filled while the other is read.
    mailboxes: [Vec<Mutex<Vec<MessageInTransit>>>; 2],
    network: Network,
    fleet: &'a F,
    window: Window,
    started_at: Instant,
    /// Resident memory of this process before.
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
                // Times are not negative, so that their bits are in the same order.
                self.window.earliest.fetch_min(next.to_bits(), Ordering::AcqRel);
            }
        }
    }

    /// By one thread, while the others wait.
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

    /// Plays one zone up to the end of the window; gives when it, or what it sent, is due next.
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
