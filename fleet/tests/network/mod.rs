//! Members on one virtual clock, each with its own clock that runs fast or slow, and the links between them.

use fleet::{Fleet, FleetTerms, Id, LoanTerms};
use links::Links;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const WINDOW: f64 = 1000.0;
pub const SERVER: &str = "s-1@0";
/// Keeps the links' random numbers apart from the members'.
const LINKS_SEED: u64 = 0x11;

pub fn terms() -> FleetTerms {
    let loans = LoanTerms { lease: 2000.0, drift: 0.05, spread: 0.0, floor: 0.0 };
    FleetTerms { loans, tick_interval: 100.0 }
}

pub struct Network {
    pub now: f64,
    pub members: Vec<Fleet>,
    clocks: Vec<f64>,
    /// Stopped members get no turns.
    pub stopped: Vec<bool>,
    pub links: Links<Vec<u8>>,
    pub rate: f64,
    pub rng: Pcg64Mcg,
    pub acquired_at: Vec<f64>,
    pub wanted: Vec<f64>,
}

impl Network {
    /// Creates members that have been running long enough to know what they lent.
    pub fn new(members: usize, rate: f64, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let clocks = (0..members).map(|_| 0.95 + 0.1 * rng.random::<f64>()).collect();
        let mut network = Self {
            now: 0.0,
            members: Vec::new(),
            clocks,
            stopped: vec![false; members],
            links: Links::new(10.0, seed ^ LINKS_SEED),
            rate,
            rng,
            acquired_at: Vec::new(),
            wanted: vec![0.0; members],
        };
        for member in 0..members {
            let fleet = network.new_member(member);
            network.members.push(fleet);
        }
        network.run(5000.0, &vec![0.0; members]);
        network
    }

    fn new_member(&mut self, member: usize) -> Fleet {
        let all = 0..self.wanted.len() as Id;
        let seed = self.rng.random();
        let mut fleet = Fleet::new(member as Id, all, terms(), seed, self.now * self.clocks[member]);
        assert!(fleet.set_limit(SERVER, self.rate, WINDOW));
        fleet
    }

    pub fn restart(&mut self, member: usize) {
        self.members[member] = self.new_member(member);
    }

    pub fn set_limit(&mut self, rate: f64) {
        self.rate = rate;
        for member in &mut self.members {
            member.set_limit(SERVER, rate, WINDOW);
        }
    }

    fn send(&mut self, from: usize) {
        while let Some(out) = self.members[from].outgoing() {
            self.links.send(self.now, from, out.to as usize, out.bytes);
        }
    }

    /// Runs for `duration` milliseconds with `demand` set-ups per second wanted at each member.
    pub fn run(&mut self, duration: f64, demand: &[f64]) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 5.0;
            while let Some((from, to, bytes)) = self.links.next_arrival(self.now) {
                if !self.stopped[to] {
                    let clock = self.now * self.clocks[to];
                    self.members[to].receive(clock, from as Id, &bytes);
                    self.send(to);
                }
            }
            for (member, &demand) in demand.iter().enumerate() {
                // Only as many wait as arrive in a short time; the rest are sent elsewhere.
                let max = (demand * 0.2).max(2.0);
                let wanted_before = self.wanted[member];
                let wanted = wanted_before + demand * 0.005;
                let arrived = wanted as usize - wanted_before as usize;
                // Refused and gone.
                self.wanted[member] = if wanted > max { wanted - 1.0 } else { wanted };
                if self.stopped[member] {
                    continue;
                }
                let clock = self.now * self.clocks[member];
                let fleet = &mut self.members[member];
                while self.wanted[member] >= 1.0 && fleet.free_permits(clock, SERVER) > Some(0) {
                    assert!(fleet.try_acquire(clock, SERVER));
                    self.wanted[member] -= 1.0;
                    self.acquired_at.push(self.now);
                }
                if self.wanted[member] >= 1.0 {
                    fleet.record_shortage(clock, SERVER, arrived);
                }
                fleet.turn(clock);
                self.send(member);
            }
        }
    }

    pub fn acquired_since(&self, since: f64) -> usize {
        self.acquired_at.iter().filter(|&&at| at > since).count()
    }

    /// The most set-ups in any window that ends after `since`.
    pub fn max_in_window(&self, since: f64) -> usize {
        let mut first = 0;
        let mut max = 0;
        for (i, &at) in self.acquired_at.iter().enumerate() {
            while self.acquired_at[first] <= at - WINDOW {
                first += 1;
            }
            if at >= since {
                max = max.max(i + 1 - first);
            }
        }
        max
    }
}
