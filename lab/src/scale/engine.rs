//! A virtual clock over all nodes, sharded by zone over some threads.
//!
//! Each zone's events are played in order of time by one thread. Nothing passes between zones faster than the
//! shortest delay between them, so that all zones may be played at once up to that much after the earliest
//! event; then what they sent each other is handed over, in an order that does not hang on threads. The same
//! seed therefore gives the same course for any number of threads; [`Played::digest`] is over all messages as
//! they arrived.

mod shard;

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Barrier, Mutex};
use std::time::{Duration, Instant};

use super::layout::{Layout, NodeId};
use super::meter::{CameIntoForce, Cost};
use super::network::Network;
use super::node::{Fleet, NewValue, Version};
use super::resources;
use super::script::Script;
use shard::{Flight, Shard};

/// Where there is only one zone, it is played so many milliseconds at once.
const ALONE: f64 = 100.0;
/// Progress is told once in so many virtual milliseconds.
const TELL_EVERY: f64 = 5_000.0;

/// A change that is to be made, and where and when.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub at: f64,
    pub by: NodeId,
    pub change: NewValue,
}

/// What a run is given.
pub struct Plan<'a> {
    pub layout: &'a Layout,
    pub script: &'a Script,
    pub proposals: &'a [Proposal],
    pub seed: u64,
    pub threads: usize,
    /// The run is broken off when it has taken so long by the wall clock.
    pub most: Duration,
}

/// A proposal as it was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decided {
    pub number: usize,
    pub version: Version,
    pub at: f64,
}

/// What became of one node.
#[derive(Clone, Debug, Default)]
pub struct NodePlayed {
    pub cost: Cost,
    pub came: Vec<CameIntoForce>,
    pub went_back: u64,
    /// Bytes of state at the end; 0 where it did not run then.
    pub state_bytes: usize,
}

/// A run that was played.
#[derive(Clone, Debug)]
pub struct Played {
    pub nodes: Vec<NodePlayed>,
    pub decided: Vec<Decided>,
    /// Over all messages as they arrived and all versions as they came into force.
    pub digest: String,
    /// Messages that arrived.
    pub arrived: u64,
    /// The virtual time that was reached, in milliseconds.
    pub reached: f64,
    pub took: Duration,
    /// Resident memory of this process with all nodes, less what it had before, in bytes.
    pub resident: f64,
}

/// Plays a fleet to its script's end; `progress` is told the virtual time reached in milliseconds.
pub fn play<F: Fleet>(fleet: &F, plan: &Plan<'_>, progress: &(dyn Fn(f64) + Sync)) -> Played {
    let (began, resident) = (Instant::now(), resources::resident());
    let zones = plan.layout.terms.zones;
    let network = Network::new(plan.script);
    let engine = Engine {
        plan,
        zones: (0..zones).map(|zone| Mutex::new(Shard::new(plan, zone))).collect(),
        mail: [0, 1].map(|_| (0..zones * zones).map(|_| Mutex::new(Vec::new())).collect()),
        network,
        fleet,
        window: Window::new(),
        began,
        resident,
        progress,
    };
    let threads = plan.threads.clamp(1, zones);
    let barrier = Barrier::new(threads);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| engine.work(&barrier));
        }
    });
    engine.played()
}

/// The stretch that is played now.
struct Window {
    /// Times in milliseconds, as bits.
    end: AtomicU64,
    earliest: AtomicU64,
    next: AtomicUsize,
    round: AtomicUsize,
    over: AtomicBool,
    told: AtomicU64,
}

impl Window {
    fn new() -> Self {
        Self {
            end: AtomicU64::new(0),
            earliest: AtomicU64::new(0),
            next: AtomicUsize::new(0),
            round: AtomicUsize::new(0),
            over: AtomicBool::new(false),
            told: AtomicU64::new(0),
        }
    }
}

struct Engine<'a, F: Fleet> {
    plan: &'a Plan<'a>,
    zones: Vec<Mutex<Shard<'a, F>>>,
    /// What is on its way between zones, by sender and receiver: one set is filled while the other is read.
    mail: [Vec<Mutex<Vec<Flight>>>; 2],
    network: Network,
    fleet: &'a F,
    window: Window,
    began: Instant,
    /// Resident memory of this process before.
    resident: f64,
    progress: &'a (dyn Fn(f64) + Sync),
}

impl<F: Fleet> Engine<'_, F> {
    fn work(&self, barrier: &Barrier) {
        loop {
            if barrier.wait().is_leader() {
                self.open_window();
            }
            barrier.wait();
            if self.window.over.load(Ordering::Acquire) {
                return;
            }
            let end = f64::from_bits(self.window.end.load(Ordering::Acquire));
            let round = self.window.round.load(Ordering::Acquire);
            loop {
                let zone = self.window.next.fetch_add(1, Ordering::AcqRel);
                let Some(shard) = self.zones.get(zone) else { break };
                let next =
                    self.play_zone(&mut shard.lock().expect("no other thread failed"), zone, round, end);
                // Times are not negative, so that their bits are in the same order.
                self.window.earliest.fetch_min(next.to_bits(), Ordering::AcqRel);
            }
        }
    }

    /// By one thread, while the others wait.
    fn open_window(&self) {
        let window = &self.window;
        let earliest = f64::from_bits(window.earliest.swap(f64::INFINITY.to_bits(), Ordering::AcqRel));
        let ahead = self.plan.layout.shortest_between_zones().unwrap_or(ALONE);
        let late = self.began.elapsed() >= self.plan.most;
        window.over.store(earliest >= self.plan.script.end_ms() || late, Ordering::Release);
        window.end.store((earliest + ahead).min(self.plan.script.end_ms()).to_bits(), Ordering::Release);
        window.next.store(0, Ordering::Release);
        window.round.fetch_add(1, Ordering::AcqRel);
        let told = f64::from_bits(window.told.load(Ordering::Acquire));
        if earliest >= told {
            window.told.store((earliest + TELL_EVERY).to_bits(), Ordering::Release);
            (self.progress)(earliest);
        }
    }

    /// Plays one zone up to the end of the window; gives when it, or what it sent, is due next.
    fn play_zone(&self, shard: &mut Shard<'_, F>, zone: usize, round: usize, end: f64) -> f64 {
        let zones = self.zones.len();
        let (filled, read) = (&self.mail[round % 2], &self.mail[(round + 1) % 2]);
        for from in 0..zones {
            shard.deliver(&mut read[from * zones + zone].lock().expect("no other thread failed"));
        }
        shard.play(self.fleet, &self.network, end);
        let mut earliest = shard.due();
        for flight in shard.sent() {
            earliest = earliest.min(flight.arrives);
            let to = self.plan.layout.site(flight.to).zone;
            filled[zone * zones + to].lock().expect("no other thread failed").push(flight);
        }
        earliest
    }

    fn played(self) -> Played {
        let resident = (resources::resident() - self.resident).max(0.0);
        let reached = f64::from_bits(self.window.end.load(Ordering::Acquire));
        let mut nodes = vec![NodePlayed::default(); self.plan.layout.nodes()];
        let (mut decided, mut arrived, mut hasher) = (Vec::new(), 0, blake3::Hasher::new());
        for shard in self.zones {
            let shard = shard.into_inner().expect("no thread failed");
            let ended = shard.ended();
            hasher.update(ended.digest.as_bytes());
            arrived += ended.arrived;
            decided.extend(ended.decided);
            ended.nodes.into_iter().for_each(|(node, played)| nodes[node] = played);
        }
        decided.sort_by_key(|of: &Decided| of.number);
        let digest = hasher.finalize().to_hex().to_string();
        Played { nodes, decided, digest, arrived, reached, took: self.began.elapsed(), resident }
    }
}
