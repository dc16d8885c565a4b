//! One limit of a whole fleet under faults, in virtual time: the most set-ups in any window under each
//! scheme, and how much of the limit was used. [`run`] runs one case. The schemes other than the program's
//! own are baselines.

use std::collections::{BTreeMap, BTreeSet};

use clap::ValueEnum;
use fleet::{Fleet, FleetTerms, Id, LoanTerms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The window of the limit, and the step of the clock, in milliseconds.
pub const WINDOW_MS: f64 = 1000.0;
const STEP_MS: f64 = 5.0;
const SERVER: &str = "s@0";
/// Largest share by which a clock runs fast or slow.
const MAX_DRIFT: f64 = 0.05;
/// Periods before the fault, with it and after it.
const BEFORE_MS: f64 = 5000.0;
const DURING_MS: f64 = 10_000.0;
const AFTER_MS: f64 = 5000.0;
/// How long a member stays stopped.
const STOPPED_MS: f64 = 4000.0;

/// How the members hold the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scheme {
    /// Permits lent between pairs, as the program does.
    Lent,
    /// An equal share each.
    Alone,
    /// Shares by the demand that members last reported to each other. A baseline: it exceeds the limit when
    /// links fail.
    Counts,
}

/// The fault of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    None,
    /// 30% of messages are lost, throughout.
    Loss,
    /// The two halves receive nothing from each other.
    Halves,
    /// The first half receives nothing from the second, which receives its messages.
    OneWay,
    /// A third is restarted at once.
    Restart,
    /// A tenth is stopped, and continues after four seconds.
    Stop,
    /// All demand moves from the first tenth to the last.
    Moves,
}

/// One run's parameters.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub way: Scheme,
    pub fault: Fault,
    pub members: usize,
    /// Limit of set-ups per second over all members.
    pub rate: f64,
    /// Demand over the rate. A tenth of the members has half of the demand.
    pub load: f64,
    pub seed: u64,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The most set-ups in any window, and when that window ended, in milliseconds.
    pub max_in_window: usize,
    pub window_end: f64,
    /// Set-ups sent since the fault, over what was demanded or allowed, whichever is less.
    pub used: f64,
    /// Bytes that one member sent in its busiest second, without transport headers.
    pub bytes: usize,
}

/// A share of the limit by reported demand.
struct DemandShare {
    own: f64,
    reported: BTreeMap<usize, f64>,
    credit: f64,
    report_at: f64,
}

enum Holder {
    Lent(Box<Fleet>),
    Alone { credit: f64 },
    Counts(DemandShare),
}

enum Message {
    Permits(Vec<u8>),
    Demand(f64),
}

struct TestCluster {
    case: Case,
    now: f64,
    rng: Pcg64Mcg,
    clock_rates: Vec<f64>,
    holders: Vec<Holder>,
    stopped: BTreeSet<usize>,
    cut: bool,
    /// Messages by delivery time and number.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    message_count: u64,
    waiting: Vec<f64>,
    setup_times: Vec<f64>,
    bytes_sent: BTreeMap<(usize, u64), usize>,
}

impl TestCluster {
    fn new(case: Case) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
        let clock_rates =
            (0..case.members).map(|_| 1.0 - MAX_DRIFT + 2.0 * MAX_DRIFT * rng.random::<f64>()).collect();
        let mut cluster = Self {
            case,
            now: 0.0,
            rng,
            clock_rates,
            holders: Vec::new(),
            stopped: BTreeSet::new(),
            cut: false,
            in_flight: BTreeMap::new(),
            message_count: 0,
            waiting: vec![0.0; case.members],
            setup_times: Vec::new(),
            bytes_sent: BTreeMap::new(),
        };
        for member in 0..case.members {
            let holder = cluster.new_holder(member);
            cluster.holders.push(holder);
        }
        cluster
    }

    fn clock(&self, member: usize) -> f64 {
        self.now * self.clock_rates[member]
    }

    fn new_holder(&mut self, member: usize) -> Holder {
        match self.case.way {
            Scheme::Alone => Holder::Alone { credit: 0.0 },
            Scheme::Counts => Holder::Counts(DemandShare {
                own: 0.0,
                reported: BTreeMap::new(),
                credit: 0.0,
                report_at: self.now,
            }),
            Scheme::Lent => {
                let loans = LoanTerms { lease: 2.0 * WINDOW_MS, drift: MAX_DRIFT, spread: 0.0, floor: 0.0 };
                let terms = FleetTerms { loans, tick_interval: 0.1 * WINDOW_MS };
                let all = 0..self.case.members as Id;
                let mut fleet = Fleet::new(member as Id, all, terms, self.rng.random(), self.clock(member));
                fleet.set_limit(SERVER, self.case.rate, WINDOW_MS);
                Holder::Lent(Box::new(fleet))
            }
        }
    }

    /// Draws whether a message reaches its receiver.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let half = |member: usize| member < self.case.members / 2;
        let cut = match self.case.fault {
            Fault::Halves => self.cut && half(from) != half(to),
            Fault::OneWay => self.cut && !half(from) && half(to),
            _ => false,
        };
        let lost = self.case.fault == Fault::Loss && self.rng.random::<f64>() < 0.3;
        !cut && !lost
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Permits(bytes) => bytes.len(),
            Message::Demand(_) => 8,
        };
        *self.bytes_sent.entry((from, (self.now / 1000.0) as u64)).or_default() += bytes;
        if self.is_delivered(from, to) {
            self.message_count += 1;
            let deliver_at = self.now + 10.0 * self.rng.random::<f64>();
            self.in_flight.insert((deliver_at as u64, self.message_count), (from, to, message));
        }
    }

    fn send_all(&mut self, from: usize) {
        let mut out = Vec::new();
        if let Holder::Lent(fleet) = &mut self.holders[from] {
            out.extend(std::iter::from_fn(|| fleet.outgoing()));
        }
        for out in out {
            self.send(from, out.to as usize, Message::Permits(out.bytes));
        }
    }

    fn deliver(&mut self) {
        while let Some(flight) =
            self.in_flight.first_entry().filter(|flight| flight.key().0 as f64 <= self.now)
        {
            let (from, to, message) = flight.remove();
            if self.stopped.contains(&to) {
                continue;
            }
            let clock = self.clock(to);
            match (&mut self.holders[to], message) {
                (Holder::Lent(fleet), Message::Permits(bytes)) => fleet.receive(clock, from as Id, &bytes),
                (Holder::Counts(share), Message::Demand(demand)) => drop(share.reported.insert(from, demand)),
                _ => {}
            }
            self.send_all(to);
        }
    }

    /// One step of a member with a demand of `demand` set-ups per second.
    fn turn(&mut self, member: usize, demand: f64) {
        let before = self.waiting[member];
        // Callers arrive at random, at most one in a step.
        let arrived = usize::from(self.rng.random::<f64>() < demand * STEP_MS / 1000.0);
        let queued = before + arrived as f64;
        // A caller that waits too long is refused and leaves.
        self.waiting[member] = if queued > (0.2 * demand).max(2.0) { queued - 1.0 } else { queued };
        if self.stopped.contains(&member) {
            return;
        }
        let (now, clock, rate) = (self.now, self.clock(member), self.case.rate);
        let equal = rate / self.case.members as f64 * STEP_MS / 1000.0;
        let mut reports = None;
        match &mut self.holders[member] {
            Holder::Lent(fleet) => {
                while self.waiting[member] >= 1.0 && fleet.free_permits(clock, SERVER) > Some(0) {
                    fleet.try_acquire(clock, SERVER);
                    self.waiting[member] -= 1.0;
                    self.setup_times.push(now);
                }
                if self.waiting[member] >= 1.0 {
                    fleet.record_shortage(clock, SERVER, arrived);
                }
                fleet.turn(clock);
            }
            Holder::Alone { credit } => *credit = (*credit + equal).min(1.0),
            Holder::Counts(share) => {
                share.own += 0.01 * (demand - share.own);
                let all: f64 = share.own + share.reported.values().sum::<f64>();
                let part = rate * share.own / all.max(f64::MIN_POSITIVE);
                share.credit = (share.credit + part * STEP_MS / 1000.0).min(1.0);
                if now >= share.report_at {
                    share.report_at = now + 0.1 * WINDOW_MS;
                    reports = Some(share.own);
                }
            }
        }
        if let Holder::Alone { credit } | Holder::Counts(DemandShare { credit, .. }) =
            &mut self.holders[member]
            && *credit >= 1.0 - 1e-9
            && self.waiting[member] >= 1.0
        {
            *credit -= 1.0;
            self.waiting[member] -= 1.0;
            self.setup_times.push(now);
        }
        for to in (0..self.case.members).filter(|&to| reports.is_some() && to != member) {
            self.send(member, to, Message::Demand(reports.unwrap_or_default()));
        }
        self.send_all(member);
    }

    fn advance(&mut self, duration: f64, moved: bool) {
        let Case { members, rate, load, .. } = self.case;
        let tenth = members.div_ceil(10);
        let hot = |member: usize| if moved { member + tenth >= members } else { member < tenth };
        let each = |member: usize| {
            let among = if hot(member) { tenth } else { members - tenth };
            load * rate * 0.5 / among as f64
        };
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver();
            for member in 0..members {
                self.turn(member, each(member));
            }
        }
    }
}

/// Runs one case.
pub fn run(case: Case) -> Outcome {
    let mut cluster = TestCluster::new(case);
    cluster.advance(BEFORE_MS, false);
    let since = cluster.now;
    cluster.cut = true;
    match case.fault {
        Fault::Restart => {
            for member in (0..case.members).step_by(3) {
                cluster.holders[member] = cluster.new_holder(member);
            }
        }
        Fault::Stop => cluster.stopped = (0..case.members.div_ceil(10)).collect(),
        _ => {}
    }
    let moved = case.fault == Fault::Moves;
    cluster.advance(STOPPED_MS, moved);
    cluster.stopped.clear();
    cluster.advance(DURING_MS - STOPPED_MS, moved);
    cluster.cut = false;
    cluster.advance(AFTER_MS, moved);

    let (mut first, mut max_in_window, mut window_end) = (0, 0, 0.0);
    for (i, &when) in cluster.setup_times.iter().enumerate() {
        while cluster.setup_times[first] <= when - WINDOW_MS {
            first += 1;
        }
        if i + 1 - first > max_in_window {
            (max_in_window, window_end) = (i + 1 - first, when);
        }
    }
    let served = cluster.setup_times.iter().filter(|&&when| when > since).count() as f64;
    let used = served / ((cluster.now - since) / 1000.0 * case.rate * case.load.min(1.0));
    Outcome {
        max_in_window,
        window_end,
        used,
        bytes: cluster.bytes_sent.values().copied().max().unwrap_or(0),
    }
}
