//! The sum of set-ups over all members never exceeds the limit, in any order of events up to a given depth.
//! Faults injected on purpose are each found by the same search.

use fleet::LoanTerms;
use fleet::ledger::Ledger;
use rstest::rstest;

const WINDOW: f64 = 50.0;
const LEASE: f64 = 100.0;
const PERMITS: usize = 2;
/// Rates of the members' clocks: the lender's is fast, one borrower's is slow.
const RATES: [f64; 3] = [1.1, 0.9, 1.0];
const DEPTH: usize = 7;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Loans and cool-downs have no margin for clock drift.
    NoMargin,
    /// A borrower uses the permits before the lender has granted them.
    BorrowerFirst,
    /// A restarted member does not wait until its earlier loans have ended.
    NoRecoveryWait,
    /// After a restart of the lender, one member that has cleared its loan counts for all.
    OneClearedForAll,
}

#[derive(Clone, Debug)]
enum Message {
    Request { from: usize, generation: u64, serial: u64 },
    Grant { to: usize, serial: u64, count: usize },
    Return { from: usize, generation: u64, serial: u64 },
    Started { to: usize, generation: u64 },
    Cleared { from: usize, generation: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Request(usize),
    Deliver,
    /// The first message is held back: delivered after all others, perhaps after its lease.
    Delay,
    Lose,
    Duplicate,
    GiveBack(usize),
    Acquire(usize),
    /// Killed and started again at once. A pause needs no step: it is a member that takes no steps.
    Restart(usize),
    Wait(f64),
}

const STEPS: [Step; 14] = [
    Step::Request(1),
    Step::Request(2),
    Step::Deliver,
    Step::Delay,
    Step::Lose,
    Step::Duplicate,
    Step::GiveBack(1),
    Step::Acquire(0),
    Step::Acquire(1),
    Step::Acquire(2),
    Step::Restart(0),
    Step::Restart(1),
    Step::Wait(27.0),
    Step::Wait(110.0),
];

/// Member 0 owns all permits; the others borrow.
#[derive(Clone)]
struct Cluster {
    fault: Fault,
    now: f64,
    members: Vec<Ledger>,
    generations: [u64; 3],
    /// Members that no longer use what an earlier generation of the lender lent.
    cleared: [bool; 3],
    messages: Vec<Message>,
    acquired_at: Vec<f64>,
}

impl Cluster {
    fn new(fault: Fault) -> Self {
        let mut cluster = Self {
            fault,
            now: 1000.0,
            members: Vec::new(),
            generations: [0; 3],
            cleared: [false; 3],
            messages: Vec::new(),
            acquired_at: Vec::new(),
        };
        for i in 0..3 {
            // They have been running for long.
            let ledger = cluster.ledger(i, f64::NEG_INFINITY);
            cluster.members.push(ledger);
        }
        cluster
    }

    /// Everything is lent to one member, and the lender has just restarted.
    fn lent_by_an_earlier_generation(fault: Fault) -> Self {
        let mut cluster = Self::new(fault);
        for step in [Step::Request(1), Step::Deliver, Step::Deliver, Step::Restart(0)] {
            assert_eq!(cluster.step(step), (true, true));
        }
        cluster
    }

    fn ledger(&self, member: usize, started_at: f64) -> Ledger {
        let drift = if self.fault == Fault::NoMargin { 0.0 } else { 0.1 };
        let terms = LoanTerms { lease: LEASE, drift, spread: 0.0, floor: 0.0 };
        let mut ledger = Ledger::new(terms, WINDOW, started_at, 1000 * self.generations[member]);
        ledger.set_part(if member == 0 { PERMITS } else { 0 });
        ledger
    }

    fn clock(&self, member: usize) -> f64 {
        self.now * RATES[member]
    }

    /// Returns whether the step changed anything, and whether the limit still holds.
    fn step(&mut self, step: Step) -> (bool, bool) {
        match step {
            Step::Request(i) => {
                let now = self.clock(i);
                if self.members[i].awaits_answer(0) {
                    return (false, true);
                }
                let serial = self.members[i].request(now, 0, PERMITS);
                if self.fault == Fault::BorrowerFirst {
                    self.members[i].accept_grant(now, 0, serial, PERMITS, LEASE);
                }
                self.messages.push(Message::Request { from: i, generation: self.generations[i], serial });
            }
            Step::Deliver | Step::Lose | Step::Duplicate | Step::Delay if self.messages.is_empty() => {
                return (false, true);
            }
            Step::Delay if self.messages.len() < 2 => return (false, true),
            Step::Deliver => {
                let message = self.messages.remove(0);
                self.deliver(message);
            }
            Step::Delay => self.messages.rotate_left(1),
            Step::Lose => drop(self.messages.remove(0)),
            Step::Duplicate => self.messages.push(self.messages[0].clone()),
            Step::GiveBack(i) => {
                let now = self.clock(i);
                // The end of a loan that expired and cooled down is reported in the same way.
                let ended = self.members[i].take_ended_loans(now).first().map(|&(_, serial)| serial);
                let has = self.members[i].awaits_answer(0) || self.members[i].borrowed_from(0, now) > 0;
                let given = ended.or_else(|| self.members[i].give_back(now, 0).filter(|_| has));
                let Some(serial) = given else { return (false, true) };
                self.messages.push(Message::Return { from: i, generation: self.generations[i], serial });
            }
            Step::Acquire(i) => {
                let mut any = false;
                let clock = self.clock(i);
                while self.members[i].try_acquire(clock) {
                    any = true;
                    self.acquired_at.push(self.now);
                    let since = self.now - WINDOW;
                    if self.acquired_at.iter().filter(|&&at| at > since + 1e-9).count() > PERMITS {
                        return (true, false);
                    }
                }
                return (any, true);
            }
            Step::Restart(i) => {
                self.generations[i] += 1;
                let waits = self.fault != Fault::NoRecoveryWait;
                let started_at = if waits { self.clock(i) } else { f64::NEG_INFINITY };
                self.members[i] = self.ledger(i, started_at);
                if i == 0 {
                    self.cleared = [true, false, false];
                    let generation = self.generations[0];
                    self.messages.extend([2, 1].map(|to| Message::Started { to, generation }));
                }
            }
            Step::Wait(duration) => self.now += duration,
        }
        (true, true)
    }

    fn deliver(&mut self, message: Message) {
        let now = self.clock(0);
        match message {
            Message::Request { from, generation, serial } => {
                let (count, _) =
                    self.members[0].handle_request(now, (from as u64, generation), serial, PERMITS, true);
                self.messages.push(Message::Grant { to: from, serial, count });
            }
            Message::Grant { to, serial, count } => {
                let now = self.clock(to);
                self.members[to].accept_grant(now, 0, serial, count, LEASE);
            }
            Message::Return { from, generation, serial } => {
                self.members[0].accept_return(now, (from as u64, generation), serial)
            }
            Message::Started { to, generation } => {
                self.members[to].drop_loans_from(0);
                self.messages.push(Message::Cleared { from: to, generation });
            }
            Message::Cleared { from, generation } if generation == self.generations[0] => {
                self.cleared[from] = true;
                if self.fault == Fault::OneClearedForAll || self.cleared == [true; 3] {
                    self.members[0].earlier_loans_cleared(now);
                }
            }
            Message::Cleared { .. } => {}
        }
    }
}

/// Returns the first order of steps that breaks the limit; `visited` counts the states reached.
fn search(cluster: &Cluster, depth: usize, path: &mut Vec<Step>, visited: &mut u64) -> Option<Vec<Step>> {
    if depth == 0 {
        return None;
    }
    for step in STEPS {
        // Two waits in a row are like one wait.
        if matches!((path.last(), step), (Some(Step::Wait(_)), Step::Wait(_))) {
            continue;
        }
        let mut next = cluster.clone();
        let (changed, holds) = next.step(step);
        if !changed {
            continue;
        }
        *visited += 1;
        path.push(step);
        if !holds {
            return Some(path.clone());
        }
        if let Some(found) = search(&next, depth - 1, path, visited) {
            return Some(found);
        }
        path.pop();
    }
    None
}

#[rstest]
#[case::at_start(Cluster::new)]
#[case::after_a_restart(Cluster::lent_by_an_earlier_generation)]
fn no_order_of_seven_steps_exceeds_the_limit(#[case] cluster: fn(Fault) -> Cluster) {
    let mut visited = 0;
    let found = search(&cluster(Fault::None), DEPTH, &mut Vec::new(), &mut visited);
    assert_eq!(found, None);
    assert!(visited > 100_000, "{visited}");
}

#[rstest]
#[case::no_margin_for_clock_drift(Cluster::new, Fault::NoMargin)]
#[case::borrower_uses_before_the_lender_grants(Cluster::new, Fault::BorrowerFirst)]
#[case::no_wait_after_a_restart(Cluster::new, Fault::NoRecoveryWait)]
#[case::one_cleared_member_counts_for_all(Cluster::lent_by_an_earlier_generation, Fault::OneClearedForAll)]
fn each_injected_fault_is_found(#[case] cluster: fn(Fault) -> Cluster, #[case] fault: Fault) {
    let found = search(&cluster(fault), DEPTH, &mut Vec::new(), &mut 0);
    assert!(found.is_some(), "{fault:?} was not found");
}
