//! The sum over all members never passes the limit: every order of what can happen, to a stated depth, and
//! long random ones. Three faults put in on purpose are each found by the same search.

use fleet::LoanTerms;
use fleet::ledger::Ledger;
use rstest::rstest;

const WINDOW: f64 = 50.0;
const LEASE: f64 = 100.0;
const PERMITS: usize = 2;
/// Rates of the members' clocks: the lender's fast, a borrower's slow.
const RATES: [f64; 3] = [1.1, 0.9, 1.0];
const DEPTH: usize = 7;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    NoMargin,
    TakerFirst,
    NoWaitingOut,
    /// After a start one member that lets go is taken for all.
    OneForAll,
}

#[derive(Clone, Debug)]
enum Letter {
    Ask { from: usize, life: u64, serial: u64 },
    Grant { to: usize, serial: u64, count: usize },
    Return { from: usize, life: u64, serial: u64 },
    Started { to: usize, life: u64 },
    Cleared { from: usize, life: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Ask(usize),
    Deliver,
    /// The first letter is held back: delivered after all others, perhaps past its lease.
    Delay,
    Lose,
    Double,
    GiveBack(usize),
    Take(usize),
    /// Killed and started again at once. A pause needs no step: it is a member that takes none.
    Restart(usize),
    Pass(f64),
}

const STEPS: [Step; 14] = [
    Step::Ask(1),
    Step::Ask(2),
    Step::Deliver,
    Step::Delay,
    Step::Lose,
    Step::Double,
    Step::GiveBack(1),
    Step::Take(0),
    Step::Take(1),
    Step::Take(2),
    Step::Restart(0),
    Step::Restart(1),
    Step::Pass(27.0),
    Step::Pass(110.0),
];

/// Member 0 has all permits for its own, the others borrow.
#[derive(Clone)]
struct World {
    fault: Fault,
    now: f64,
    members: Vec<Ledger>,
    lives: [u64; 3],
    /// Who has let go of what an earlier life of the lender lent.
    cleared: [bool; 3],
    letters: Vec<Letter>,
    taken: Vec<f64>,
}

impl World {
    fn new(fault: Fault) -> Self {
        let mut world = Self {
            fault,
            now: 1000.0,
            members: Vec::new(),
            lives: [0; 3],
            cleared: [false; 3],
            letters: Vec::new(),
            taken: Vec::new(),
        };
        for i in 0..3 {
            // They have run for long.
            let ledger = world.ledger(i, f64::NEG_INFINITY);
            world.members.push(ledger);
        }
        world
    }

    /// All is lent to one member, and the lender has just started again.
    fn lent_by_a_former_life(fault: Fault) -> Self {
        let mut world = Self::new(fault);
        for step in [Step::Ask(1), Step::Deliver, Step::Deliver, Step::Restart(0)] {
            assert_eq!(world.step(step), (true, true));
        }
        world
    }

    fn ledger(&self, member: usize, began: f64) -> Ledger {
        let drift = if self.fault == Fault::NoMargin { 0.0 } else { 0.1 };
        let terms = LoanTerms { lease: LEASE, drift, spread: 0.0, floor: 0.0 };
        let mut ledger = Ledger::new(terms, WINDOW, began, 1000 * self.lives[member]);
        ledger.set_part(if member == 0 { PERMITS } else { 0 });
        ledger
    }

    fn clock(&self, member: usize) -> f64 {
        self.now * RATES[member]
    }

    /// Gives whether the step changed anything, and whether the limit still holds.
    fn step(&mut self, step: Step) -> (bool, bool) {
        match step {
            Step::Ask(i) => {
                let now = self.clock(i);
                if self.members[i].awaits(0) {
                    return (false, true);
                }
                let serial = self.members[i].ask(now, 0, PERMITS);
                if self.fault == Fault::TakerFirst {
                    self.members[i].granted(now, 0, serial, PERMITS, LEASE);
                }
                self.letters.push(Letter::Ask { from: i, life: self.lives[i], serial });
            }
            Step::Deliver | Step::Lose | Step::Double | Step::Delay if self.letters.is_empty() => {
                return (false, true);
            }
            Step::Delay if self.letters.len() < 2 => return (false, true),
            Step::Deliver => {
                let letter = self.letters.remove(0);
                self.deliver(letter);
            }
            Step::Delay => self.letters.rotate_left(1),
            Step::Lose => drop(self.letters.remove(0)),
            Step::Double => self.letters.push(self.letters[0].clone()),
            Step::GiveBack(i) => {
                let now = self.clock(i);
                // What has lapsed and rested is told in the same way.
                let ended = self.members[i].ended(now).first().map(|&(_, serial)| serial);
                let has = self.members[i].awaits(0) || self.members[i].lent_by(0, now) > 0;
                let given = ended.or_else(|| self.members[i].give_back(now, 0).filter(|_| has));
                let Some(serial) = given else { return (false, true) };
                self.letters.push(Letter::Return { from: i, life: self.lives[i], serial });
            }
            Step::Take(i) => {
                let mut any = false;
                let clock = self.clock(i);
                while self.members[i].try_acquire(clock) {
                    any = true;
                    self.taken.push(self.now);
                    let since = self.now - WINDOW;
                    if self.taken.iter().filter(|&&at| at > since + 1e-9).count() > PERMITS {
                        return (true, false);
                    }
                }
                return (any, true);
            }
            Step::Restart(i) => {
                self.lives[i] += 1;
                let waits = self.fault != Fault::NoWaitingOut;
                let began = if waits { self.clock(i) } else { f64::NEG_INFINITY };
                self.members[i] = self.ledger(i, began);
                if i == 0 {
                    self.cleared = [true, false, false];
                    let life = self.lives[0];
                    self.letters.extend([2, 1].map(|to| Letter::Started { to, life }));
                }
            }
            Step::Pass(span) => self.now += span,
        }
        (true, true)
    }

    fn deliver(&mut self, letter: Letter) {
        let now = self.clock(0);
        match letter {
            Letter::Ask { from, life, serial } => {
                let (count, _) = self.members[0].asked(now, (from as u64, life), serial, PERMITS, true);
                self.letters.push(Letter::Grant { to: from, serial, count });
            }
            Letter::Grant { to, serial, count } => {
                let now = self.clock(to);
                self.members[to].granted(now, 0, serial, count, LEASE);
            }
            Letter::Return { from, life, serial } => {
                self.members[0].returned(now, (from as u64, life), serial)
            }
            Letter::Started { to, life } => {
                self.members[to].forsake(0);
                self.letters.push(Letter::Cleared { from: to, life });
            }
            Letter::Cleared { from, life } if life == self.lives[0] => {
                self.cleared[from] = true;
                if self.fault == Fault::OneForAll || self.cleared == [true; 3] {
                    self.members[0].cleared(now);
                }
            }
            Letter::Cleared { .. } => {}
        }
    }
}

/// The first order of steps found that breaks the limit, and how many orders were looked at.
fn search(world: &World, depth: usize, path: &mut Vec<Step>, looked: &mut u64) -> Option<Vec<Step>> {
    if depth == 0 {
        return None;
    }
    for step in STEPS {
        // Two spells of time are one, and what is taken at one instant is taken in any order.
        if matches!((path.last(), step), (Some(Step::Pass(_)), Step::Pass(_))) {
            continue;
        }
        let mut next = world.clone();
        let (changed, holds) = next.step(step);
        if !changed {
            continue;
        }
        *looked += 1;
        path.push(step);
        if !holds {
            return Some(path.clone());
        }
        if let Some(found) = search(&next, depth - 1, path, looked) {
            return Some(found);
        }
        path.pop();
    }
    None
}

#[rstest]
#[case::at_rest(World::new)]
#[case::after_a_start(World::lent_by_a_former_life)]
fn no_order_of_seven_steps_passes_the_limit(#[case] world: fn(Fault) -> World) {
    let mut looked = 0;
    let found = search(&world(Fault::None), DEPTH, &mut Vec::new(), &mut looked);
    assert_eq!(found, None);
    assert!(looked > 100_000, "{looked}");
}

#[rstest]
#[case::no_margin_for_clocks(World::new, Fault::NoMargin)]
#[case::taker_before_giver(World::new, Fault::TakerFirst)]
#[case::no_waiting_out_after_a_start(World::new, Fault::NoWaitingOut)]
#[case::one_let_go_for_all(World::lent_by_a_former_life, Fault::OneForAll)]
fn each_fault_put_in_on_purpose_is_found(#[case] world: fn(Fault) -> World, #[case] fault: Fault) {
    let found = search(&world(fault), DEPTH, &mut Vec::new(), &mut 0);
    assert!(found.is_some(), "{fault:?} went unnoticed");
}
