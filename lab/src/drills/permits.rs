//! One limit of a whole fleet under faults, virtual: who holds it how, the most that passed in any window,
//! and how much of it was of use. [`play`] runs one case; ways beside the program's own are baselines, for
//! the check to catch.

use std::collections::{BTreeMap, BTreeSet};

use clap::ValueEnum;
use fleet::{Fleet, FleetTerms, Id, LoanTerms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The window of the limit, and the step of the clock, in milliseconds.
pub const WINDOW: f64 = 1000.0;
const STEP: f64 = 5.0;
const SERVER: &str = "s@0";
/// A clock runs fast or slow by this part at the most.
const DRIFT: f64 = 0.05;
/// Spells before the fault, with it and after it.
const BEFORE: f64 = 5000.0;
const DURING: f64 = 10_000.0;
const AFTER: f64 = 5000.0;
/// A stopped member is let go on after this.
const STOPPED: f64 = 4000.0;

/// How the members hold the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Way {
    /// Permits lent between pairs, as the program does.
    Lent,
    /// An equal part each.
    Alone,
    /// Parts by the demand that members last told each other of. A baseline: it passes the limit when links
    /// fail.
    Counts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    None,
    /// Three in ten messages are lost, throughout.
    Loss,
    /// Two halves hear nothing of each other.
    Halves,
    /// The first half hears nothing of the second, which hears it.
    OneWay,
    /// A third is started again at once.
    Restart,
    /// A tenth is stopped, and goes on after four seconds.
    Stop,
    /// All demand moves from the first tenth to the last.
    Moves,
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub way: Way,
    pub fault: Fault,
    pub members: usize,
    /// Set-ups a second over all.
    pub rate: f64,
    /// What is wanted, over the rate. A tenth of the members wants half of it.
    pub load: f64,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The most set-ups in any window, and when that ended.
    pub most: usize,
    pub at: f64,
    /// Set-ups that went since the fault, over what was wanted or allowed, whichever is less.
    pub used: f64,
    /// Bytes that one member sent in its worst second, without what carries them.
    pub bytes: usize,
}

/// Parts by told demand.
struct Counter {
    own: f64,
    told: BTreeMap<usize, f64>,
    credit: f64,
    tell_at: f64,
}

enum Holder {
    Lent(Box<Fleet>),
    Alone { credit: f64 },
    Counts(Counter),
}

enum Letter {
    Words(Vec<u8>),
    Demand(f64),
}

struct World {
    case: Case,
    now: f64,
    chance: Pcg64Mcg,
    clocks: Vec<f64>,
    holders: Vec<Holder>,
    stopped: BTreeSet<usize>,
    cut: bool,
    /// Letters by when they come.
    flying: BTreeMap<(u64, u64), (usize, usize, Letter)>,
    letters: u64,
    wanted: Vec<f64>,
    went: Vec<f64>,
    sent: BTreeMap<(usize, u64), usize>,
}

impl World {
    fn new(case: Case) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(case.seed);
        let clocks = (0..case.members).map(|_| 1.0 - DRIFT + 2.0 * DRIFT * chance.random::<f64>()).collect();
        let mut world = Self {
            case,
            now: 0.0,
            chance,
            clocks,
            holders: Vec::new(),
            stopped: BTreeSet::new(),
            cut: false,
            flying: BTreeMap::new(),
            letters: 0,
            wanted: vec![0.0; case.members],
            went: Vec::new(),
            sent: BTreeMap::new(),
        };
        for member in 0..case.members {
            let holder = world.fresh(member);
            world.holders.push(holder);
        }
        world
    }

    fn clock(&self, member: usize) -> f64 {
        self.now * self.clocks[member]
    }

    fn fresh(&mut self, member: usize) -> Holder {
        match self.case.way {
            Way::Alone => Holder::Alone { credit: 0.0 },
            Way::Counts => {
                Holder::Counts(Counter { own: 0.0, told: BTreeMap::new(), credit: 0.0, tell_at: self.now })
            }
            Way::Lent => {
                let loans = LoanTerms { lease: 2.0 * WINDOW, drift: DRIFT, spread: 0.0, floor: 0.0 };
                let terms = FleetTerms { loans, tick_interval: 0.1 * WINDOW };
                let all = 0..self.case.members as Id;
                let mut fleet =
                    Fleet::new(member as Id, all, terms, self.chance.random(), self.clock(member));
                fleet.set_limit(SERVER, self.case.rate, WINDOW);
                Holder::Lent(Box::new(fleet))
            }
        }
    }

    /// Whether what one says reaches the other.
    fn heard(&mut self, from: usize, to: usize) -> bool {
        let half = |member: usize| member < self.case.members / 2;
        let cut = match self.case.fault {
            Fault::Halves => self.cut && half(from) != half(to),
            Fault::OneWay => self.cut && !half(from) && half(to),
            _ => false,
        };
        let lost = self.case.fault == Fault::Loss && self.chance.random::<f64>() < 0.3;
        !cut && !lost
    }

    fn post(&mut self, from: usize, to: usize, letter: Letter) {
        let bytes = match &letter {
            Letter::Words(bytes) => bytes.len(),
            Letter::Demand(_) => 8,
        };
        *self.sent.entry((from, (self.now / 1000.0) as u64)).or_default() += bytes;
        if self.heard(from, to) {
            self.letters += 1;
            let at = self.now + 10.0 * self.chance.random::<f64>();
            self.flying.insert((at as u64, self.letters), (from, to, letter));
        }
    }

    fn post_all(&mut self, from: usize) {
        let mut out = Vec::new();
        if let Holder::Lent(fleet) = &mut self.holders[from] {
            out.extend(std::iter::from_fn(|| fleet.outgoing()));
        }
        for out in out {
            self.post(from, out.to as usize, Letter::Words(out.bytes));
        }
    }

    fn deliver(&mut self) {
        while let Some(flight) = self.flying.first_entry().filter(|flight| flight.key().0 as f64 <= self.now)
        {
            let (from, to, letter) = flight.remove();
            if self.stopped.contains(&to) {
                continue;
            }
            let clock = self.clock(to);
            match (&mut self.holders[to], letter) {
                (Holder::Lent(fleet), Letter::Words(bytes)) => fleet.receive(clock, from as Id, &bytes),
                (Holder::Counts(counter), Letter::Demand(demand)) => drop(counter.told.insert(from, demand)),
                _ => {}
            }
            self.post_all(to);
        }
    }

    /// One step of a member that wants `demand` set-ups a second.
    fn turn(&mut self, member: usize, demand: f64) {
        let before = self.wanted[member];
        // Callers come by chance, one in a step at the most here.
        let fresh = usize::from(self.chance.random::<f64>() < demand * STEP / 1000.0);
        let came = before + fresh as f64;
        // Who waits too long is refused, and gone.
        self.wanted[member] = if came > (0.2 * demand).max(2.0) { came - 1.0 } else { came };
        if self.stopped.contains(&member) {
            return;
        }
        let (now, clock, rate) = (self.now, self.clock(member), self.case.rate);
        let equal = rate / self.case.members as f64 * STEP / 1000.0;
        let mut tells = None;
        match &mut self.holders[member] {
            Holder::Lent(fleet) => {
                while self.wanted[member] >= 1.0 && fleet.free_permits(clock, SERVER) > Some(0) {
                    fleet.try_acquire(clock, SERVER);
                    self.wanted[member] -= 1.0;
                    self.went.push(now);
                }
                if self.wanted[member] >= 1.0 {
                    fleet.record_shortage(clock, SERVER, fresh);
                }
                fleet.turn(clock);
            }
            Holder::Alone { credit } => *credit = (*credit + equal).min(1.0),
            Holder::Counts(counter) => {
                counter.own += 0.01 * (demand - counter.own);
                let all: f64 = counter.own + counter.told.values().sum::<f64>();
                let part = rate * counter.own / all.max(f64::MIN_POSITIVE);
                counter.credit = (counter.credit + part * STEP / 1000.0).min(1.0);
                if now >= counter.tell_at {
                    counter.tell_at = now + 0.1 * WINDOW;
                    tells = Some(counter.own);
                }
            }
        }
        if let Holder::Alone { credit } | Holder::Counts(Counter { credit, .. }) = &mut self.holders[member]
            && *credit >= 1.0 - 1e-9
            && self.wanted[member] >= 1.0
        {
            *credit -= 1.0;
            self.wanted[member] -= 1.0;
            self.went.push(now);
        }
        for to in (0..self.case.members).filter(|&to| tells.is_some() && to != member) {
            self.post(member, to, Letter::Demand(tells.unwrap_or_default()));
        }
        self.post_all(member);
    }

    fn pass(&mut self, span: f64, moved: bool) {
        let Case { members, rate, load, .. } = self.case;
        let tenth = members.div_ceil(10);
        let hot = |member: usize| if moved { member + tenth >= members } else { member < tenth };
        let each = |member: usize| {
            let among = if hot(member) { tenth } else { members - tenth };
            load * rate * 0.5 / among as f64
        };
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for member in 0..members {
                self.turn(member, each(member));
            }
        }
    }
}

/// Plays one case.
pub fn play(case: Case) -> Outcome {
    let mut world = World::new(case);
    world.pass(BEFORE, false);
    let since = world.now;
    world.cut = true;
    match case.fault {
        Fault::Restart => {
            for member in (0..case.members).step_by(3) {
                world.holders[member] = world.fresh(member);
            }
        }
        Fault::Stop => world.stopped = (0..case.members.div_ceil(10)).collect(),
        _ => {}
    }
    let moved = case.fault == Fault::Moves;
    world.pass(STOPPED, moved);
    world.stopped.clear();
    world.pass(DURING - STOPPED, moved);
    world.cut = false;
    world.pass(AFTER, moved);

    let (mut first, mut most, mut at) = (0, 0, 0.0);
    for (i, &when) in world.went.iter().enumerate() {
        while world.went[first] <= when - WINDOW {
            first += 1;
        }
        if i + 1 - first > most {
            (most, at) = (i + 1 - first, when);
        }
    }
    let served = world.went.iter().filter(|&&when| when > since).count() as f64;
    let used = served / ((world.now - since) / 1000.0 * case.rate * case.load.min(1.0));
    Outcome { most, at, used, bytes: world.sent.values().copied().max().unwrap_or(0) }
}
