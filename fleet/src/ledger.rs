//! One limit at one member: the permits that it has a part of, has lent and has borrowed. No I/O.
//!
//! A limit of `n` set-ups in any window is `n` permits; one that was used rests for a window. Each member has a part of
//! its own for good ([`Ledger::set_part`]) and may lend of it. [`Ledger::take`] uses a permit, if one is free.
//! [`Ledger::ask`], [`Ledger::asked`], [`Ledger::granted`], [`Ledger::give_back`] and [`Ledger::returned`] move permits
//! between two members: whoever lends lets go first, and what is lent lapses by itself on both clocks, on the taker's
//! first. docs/fleet.md proves that all members together never pass the limit. Times are milliseconds on the member's
//! own clock.

use std::collections::{BTreeMap, VecDeque};

/// A member, by the hash of its key.
pub type Id = u64;

/// Loans to one borrower that are kept apart, at most: one that asks more often meanwhile gets nothing.
const MOST_LOANS: usize = 8;

/// Spans of a rest over which misses are counted.
const SPANS: f64 = 16.0;

/// What is agreed of loans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanTerms {
    /// For how long permits are lent, on the lender's clock.
    pub lease: f64,
    /// The part by which a member's clock may run fast or slow.
    pub drift: f64,
    /// By how much the ways of two set-ups to a server may differ.
    pub spread: f64,
    /// The part of its own permits that a member never lends.
    pub floor: f64,
}

impl LoanTerms {
    /// How long a permit rests after use, so that a window has passed by any clock, on any way.
    pub fn rest(&self, window: f64) -> f64 {
        (window + self.spread) * (1.0 + self.drift)
    }

    /// How long a taker uses what it was lent, from when it asked: shorter by what the two clocks may differ.
    pub fn usable(&self, lease: f64) -> f64 {
        lease.min(self.lease) * (1.0 - self.drift) / (1.0 + self.drift)
    }
}

/// One life of a borrower.
type Borrower = (Id, u64);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Loan {
    serial: u64,
    count: usize,
    until: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Asker {
    at: f64,
    /// It got less than it wanted, and it has no permit at all.
    short: bool,
    bare: bool,
}

#[derive(Clone, Debug, Default)]
struct Borrowed {
    count: usize,
    until: f64,
    used: VecDeque<f64>,
}

/// Where a member stands with one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    pub part: usize,
    pub lent: usize,
    pub borrowed: usize,
    /// Permits that rest after use.
    pub resting: usize,
    pub free: usize,
    /// It started lately and does not know yet what it gave away before.
    pub waits_out: bool,
}

/// One limit at one member.
#[derive(Clone, Debug)]
pub struct Ledger {
    terms: LoanTerms,
    rest: f64,
    began: f64,
    part: usize,
    used: VecDeque<f64>,
    lent: BTreeMap<Borrower, Vec<Loan>>,
    borrowed: BTreeMap<Id, Borrowed>,
    /// What it has asked for and not heard of, and when.
    pending: BTreeMap<Id, (u64, f64)>,
    serial: u64,
    /// Who has lately asked here.
    askers: BTreeMap<Id, Asker>,
    /// Where others go without, this member's own use and a loan take turns.
    own_turn: bool,
    /// The most that was wanted here in a rest, and when: what is lent is missing for a lease and a rest.
    peak: (usize, f64),
    /// Set-ups that found no permit over a rest, in a few spans.
    short: VecDeque<(f64, usize)>,
}

impl Ledger {
    /// `began` is when the process started: what it lent in an earlier life lapses from then on. `serial` is drawn by
    /// chance, so that what was meant for an earlier life is not taken for this one's.
    pub fn new(terms: LoanTerms, window: f64, began: f64, serial: u64) -> Self {
        Self {
            terms,
            rest: terms.rest(window),
            began,
            part: 0,
            used: VecDeque::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            serial,
            askers: BTreeMap::new(),
            own_turn: true,
            peak: (0, f64::NEG_INFINITY),
            short: VecDeque::new(),
        }
    }

    /// How many permits are its own; less than before where the limit fell, though more may be lent as yet.
    pub fn set_part(&mut self, part: usize) {
        self.part = part;
    }

    pub fn part(&self) -> usize {
        self.part
    }

    pub fn rest(&self) -> f64 {
        self.rest
    }

    fn floor(&self) -> usize {
        (self.part as f64 * self.terms.floor) as usize
    }

    /// Forgets what no longer matters.
    fn pass(&mut self, now: f64) {
        let (rest, lease) = (self.rest, self.terms.lease);
        let rested = |used: &mut VecDeque<f64>| {
            while used.front().is_some_and(|&at| at + rest <= now) {
                used.pop_front();
            }
        };
        rested(&mut self.used);
        self.short.retain(|(at, _)| at + rest > now);
        for borrowed in self.borrowed.values_mut() {
            rested(&mut borrowed.used);
        }
        self.borrowed.retain(|_, b| b.until > now || !b.used.is_empty());
        // Whoever had it may have used it until the very end.
        for loans in self.lent.values_mut() {
            loans.retain(|loan| loan.until + rest > now);
        }
        self.lent.retain(|_, loans| !loans.is_empty());
        self.pending.retain(|_, (_, at)| now - *at < lease);
        self.askers.retain(|_, asker| now - asker.at < lease + rest);
    }

    /// Set aside for a borrower: it uses one loan at a time, whichever came to it last.
    fn set_aside(loans: &[Loan]) -> usize {
        loans.iter().map(|loan| loan.count).max().unwrap_or(0)
    }

    fn lent(&self) -> usize {
        self.lent.values().map(|loans| Self::set_aside(loans)).sum()
    }

    /// Since when it knows for sure what is lent: all that an earlier life gave away has lapsed and rested.
    fn sure_at(&self) -> f64 {
        self.began + self.terms.lease + self.rest
    }

    fn own_free(&self, now: f64) -> usize {
        let own = if now >= self.sure_at() {
            self.part
        } else if now >= self.began + self.rest {
            self.floor()
        } else {
            0
        };
        own.saturating_sub(self.lent() + self.used.len() + self.promised())
    }

    /// Kept free for whoever has no permit at all, where it is not this member's own turn: else those, as where there are
    /// fewer permits than members, would never get any from members that have demand of their own. Never of the
    /// floor. Costs what lies idle until one asks again; such as ask without need take every other permit at most.
    fn promised(&self) -> usize {
        let waits = !self.own_turn && self.askers.values().any(|asker| asker.bare);
        usize::from(waits && self.part > self.floor())
    }

    fn borrowed_free(borrowed: &Borrowed, now: f64) -> usize {
        if now < borrowed.until { borrowed.count.saturating_sub(borrowed.used.len()) } else { 0 }
    }

    /// How many set-ups may go now.
    pub fn free(&mut self, now: f64) -> usize {
        self.pass(now);
        let borrowed: usize = self.borrowed.values().map(|b| Self::borrowed_free(b, now)).sum();
        self.own_free(now) + borrowed
    }

    /// Uses a permit: a borrowed one first, that lapses soonest. False where none is free.
    pub fn take(&mut self, now: f64) -> bool {
        self.pass(now);
        let own = self.own_free(now);
        let fit = self.borrowed.values_mut().filter(|b| Self::borrowed_free(b, now) > 0);
        let used = match fit.min_by(|a, b| a.until.total_cmp(&b.until)) {
            Some(borrowed) => &mut borrowed.used,
            None if own > 0 => {
                self.own_turn = false;
                &mut self.used
            }
            None => return false,
        };
        used.push_back(now);
        self.note_peak(now);
        true
    }

    fn wanted(&self) -> usize {
        let used = self.used.len() + self.borrowed.values().map(|b| b.used.len()).sum::<usize>();
        used.saturating_add(self.short())
    }

    fn note_peak(&mut self, now: f64) {
        let wanted = self.wanted();
        if wanted >= self.peak.0 || now - self.peak.1 > self.terms.lease + self.rest {
            self.peak = (wanted, now);
        }
    }

    /// So many set-ups more found no permit, each told once.
    pub fn missed(&mut self, now: f64, count: usize) {
        let span = self.rest / SPANS;
        match self.short.back_mut().filter(|(at, _)| now - *at < span) {
            Some((_, sum)) => *sum = sum.saturating_add(count),
            None if count > 0 => self.short.push_back((now, count)),
            None => {}
        }
        self.note_peak(now);
    }

    fn short(&self) -> usize {
        self.short.iter().map(|(_, count)| count).fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// When a permit that is in use or lent here is free again, at the earliest.
    pub fn due(&self, now: f64) -> f64 {
        let rests =
            self.used.front().into_iter().chain(self.borrowed.values().filter_map(|b| b.used.front()));
        let rests = rests.map(|at| at + self.rest);
        let sure = [self.began + self.rest, self.sure_at()];
        let lapses = self.lent.values().flatten().map(|loan| loan.until + self.rest);
        rests.chain(sure).chain(lapses).filter(|&at| at > now).fold(f64::INFINITY, f64::min)
    }

    /// How many permits more than it has would serve what was lately wanted, one to spare; less than none where it
    /// has more.
    pub fn need(&mut self, now: f64) -> isize {
        self.pass(now);
        let has = self.own_free(now) + self.used.len();
        let borrowed = self.borrowed.values().filter(|b| now < b.until).map(|b| b.count);
        let wanted = self.wanted();
        wanted.saturating_add(usize::from(wanted > 0)).min(usize::from(u16::MAX)) as isize
            - (has + borrowed.sum::<usize>()) as isize
    }

    /// Lenders whose loan ends within half a lease: to be asked again, if it is still wanted.
    pub fn ending(&self, now: f64) -> Vec<(Id, usize)> {
        let soon = now + 0.5 * self.terms.usable(self.terms.lease);
        let ending = self.borrowed.iter().filter(|(id, b)| {
            b.count > 0 && b.until > now && b.until < soon && !self.pending.contains_key(id)
        });
        ending.map(|(&id, b)| (id, b.count)).collect()
    }

    /// Whether a lender was asked and has not answered yet.
    pub fn awaits(&self, lender: Id) -> bool {
        self.pending.contains_key(&lender)
    }

    /// Whether it has no permit of its own nor any loan.
    pub fn is_bare(&self, now: f64) -> bool {
        self.part == 0 && !self.borrowed.values().any(|b| b.until > now && b.count > 0)
    }

    /// What a lender lends at present.
    pub fn lent_by(&self, lender: Id, now: f64) -> usize {
        self.borrowed.get(&lender).filter(|b| b.until > now).map_or(0, |b| b.count)
    }

    /// Notes that a lender is asked now; gives the serial that its grant must name.
    pub fn ask(&mut self, now: f64, lender: Id) -> u64 {
        self.serial += 1;
        self.pending.insert(lender, (self.serial, now));
        self.serial
    }

    /// Another asks for permits: gives how many it is lent, which may be none, and how many more could be. From now on
    /// they are not used here until they have lapsed and rested.
    pub fn asked(
        &mut self,
        now: f64,
        from: Borrower,
        serial: u64,
        want: usize,
        bare: bool,
    ) -> (usize, usize) {
        self.pass(now);
        // Doubled on its way: the same answer again, and no longer.
        if let Some(loan) = self.lent.get(&from).and_then(|loans| loans.iter().find(|l| l.serial == serial)) {
            return (loan.count, 0);
        }
        let others: usize =
            self.lent.iter().filter(|(to, _)| **to != from).map(|(_, l)| Self::set_aside(l)).sum();
        let lately = now - self.peak.1 <= self.terms.lease + self.rest;
        let wanted = if lately { self.peak.0 } else { self.wanted() };
        let keep = self.floor().max(self.used.len()).max(wanted.min(self.part - self.promised()));
        let room = if now >= self.sure_at() { self.part.saturating_sub(keep) } else { 0 };
        let left = room.saturating_sub(others);
        // What many want is shared evenly; who went without goes before one whose loan would only go on.
        let short = self.askers.iter().filter(|(id, asker)| **id != from.0 && asker.short).count();
        let share = room.div_ceil(short + 1);
        let loans = self.lent.entry(from).or_default();
        let goes_on = Self::set_aside(loans) > 0;
        let turn = short == 0 || !goes_on || share < room;
        let count = if turn && loans.len() < MOST_LOANS { want.min(left).min(share) } else { 0 };
        if count > 0 {
            let until = now + self.terms.lease;
            // What ends sooner and was not more is covered by this.
            loans.retain(|loan| loan.count > count);
            loans.push(Loan { serial, count, until });
            self.own_turn = true;
        }
        if loans.is_empty() {
            self.lent.remove(&from);
        }
        let short = count < want && !goes_on;
        self.askers.insert(from.0, Asker { at: now, short, bare: short && bare });
        (count, left.saturating_sub(count))
    }

    /// A lender's answer. False where nothing of the kind was asked, or it comes too late: nothing changes then.
    pub fn granted(&mut self, now: f64, lender: Id, serial: u64, count: usize, lease: f64) -> bool {
        let Some(&(_, at)) = self.pending.get(&lender).filter(|(asked, _)| *asked == serial) else {
            return false;
        };
        self.pending.remove(&lender);
        let until = at + self.terms.usable(lease);
        if count == 0 || now >= until {
            return count == 0;
        }
        let borrowed = self.borrowed.entry(lender).or_default();
        (borrowed.count, borrowed.until) = (count, until);
        true
    }

    /// Lets go of what a lender lent, before it is told so: gives the serial up to which all is given back.
    pub fn give_back(&mut self, lender: Id) -> u64 {
        self.pending.remove(&lender);
        if let Some(borrowed) = self.borrowed.get_mut(&lender) {
            (borrowed.count, borrowed.until) = (0, f64::NEG_INFINITY);
        }
        self.serial
    }

    /// Lenders with more than is wanted: those that can be given back whole.
    pub fn spare(&mut self, now: f64) -> Vec<Id> {
        let mut over = -self.need(now);
        let mut spare = Vec::new();
        for (&lender, borrowed) in self.borrowed.iter().filter(|(_, b)| b.until > now && b.count > 0) {
            if borrowed.used.is_empty() && borrowed.count as isize <= over {
                over -= borrowed.count as isize;
                spare.push(lender);
            }
        }
        spare
    }

    /// A borrower has let go of all that it was lent up to a serial. It may have used it just before.
    pub fn returned(&mut self, now: f64, from: Borrower, serial: u64) {
        for loan in self.lent.get_mut(&from).into_iter().flatten().filter(|loan| loan.serial <= serial) {
            loan.until = loan.until.min(now);
        }
    }

    pub fn standing(&mut self, now: f64) -> Standing {
        let free = self.free(now);
        let borrowed = self.borrowed.values().filter(|b| now < b.until).map(|b| b.count).sum();
        let resting = self.used.len() + self.borrowed.values().map(|b| b.used.len()).sum::<usize>();
        let (part, lent, waits_out) = (self.part, self.lent(), now < self.sure_at());
        Standing { part, lent, borrowed, resting, free, waits_out }
    }
}
