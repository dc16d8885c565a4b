//! One limit at one member: the permits that it has a part of, has lent and has borrowed. No I/O.
//!
//! A limit of `n` set-ups in any window is `n` permits; one that was used rests for a window. Each member has
//! a part of its own for good ([`Ledger::set_part`]) and may lend of it. [`Ledger::try_acquire`] uses a permit, if
//! one is free. [`Ledger::ask`], [`Ledger::asked`], [`Ledger::granted`], [`Ledger::give_back`] and
//! [`Ledger::returned`] move permits between two members: whoever lends lets go first, and what is lent
//! lapses by itself on both clocks, on the taker's first. docs/fleet.md proves that all members together
//! never pass the limit. Times are milliseconds on the member's own clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member, by the hash of its key.
pub type Id = u64;

/// Of so many permits that are wanted one more is kept borrowed, to spare.
const SPARE: usize = 8;

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

/// What was asked of a lender.
#[derive(Clone, Copy, Debug)]
struct Pending {
    serial: u64,
    at: f64,
    want: usize,
    /// When it was last said.
    said: f64,
}

#[derive(Clone, Debug, Default)]
struct Borrowed {
    count: usize,
    until: f64,
    used: VecDeque<f64>,
}

/// Where a member stands with one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStatus {
    pub part: usize,
    pub lent: usize,
    pub borrowed: usize,
    /// Permits that rest after use.
    pub cooling_down: usize,
    pub free: usize,
    /// It started lately and does not know yet what it gave away before.
    pub recovering: bool,
}

/// One limit at one member.
#[derive(Clone, Debug)]
pub struct Ledger {
    terms: LoanTerms,
    rest: f64,
    began: f64,
    /// From when on all that an earlier life gave away has lapsed, or been let go of, and rested.
    sure_at: f64,
    part: usize,
    used: VecDeque<f64>,
    lent: BTreeMap<Borrower, Vec<Loan>>,
    borrowed: BTreeMap<Id, Borrowed>,
    /// What it has asked for and not heard of.
    pending: BTreeMap<Id, Pending>,
    /// Lenders whose loans have lapsed and rested here, and are not told yet.
    ended: BTreeSet<Id>,
    /// Lenders that left an ask unanswered to its end.
    mute: BTreeSet<Id>,
    serial: u64,
    /// Who has lately asked here.
    askers: BTreeMap<Id, Asker>,
    /// Where others go without, this member's own use and a loan take turns.
    own_turn: bool,
    /// Set-ups that went or found no permit over a lease and a rest, in a few spans: what is lent is missing
    /// for so long.
    demand: VecDeque<(f64, usize)>,
    /// Set-ups that found no permit over a rest, in a few spans.
    short: VecDeque<(f64, usize)>,
}

impl Ledger {
    /// `began` is when the process started: what it lent in an earlier life lapses from then on. `serial` is
    /// drawn by chance, so that what was meant for an earlier life is not taken for this one's.
    pub fn new(terms: LoanTerms, window: f64, began: f64, serial: u64) -> Self {
        Self {
            terms,
            rest: terms.rest(window),
            began,
            sure_at: began + terms.lease + terms.rest(window),
            part: 0,
            used: VecDeque::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            ended: BTreeSet::new(),
            mute: BTreeSet::new(),
            serial,
            askers: BTreeMap::new(),
            own_turn: true,
            demand: VecDeque::new(),
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
        self.demand.retain(|(at, _)| at + lease + rest > now);
        for borrowed in self.borrowed.values_mut() {
            rested(&mut borrowed.used);
        }
        for (lender, _) in self.borrowed.extract_if(.., |_, b| b.until <= now && b.used.is_empty()) {
            self.ended.insert(lender);
        }
        // Whoever had it may have used it until the very end.
        for loans in self.lent.values_mut() {
            loans.retain(|loan| loan.until + rest > now);
        }
        self.lent.retain(|_, loans| !loans.is_empty());
        for (lender, _) in self.pending.extract_if(.., |_, asked| now - asked.at >= lease) {
            self.mute.insert(lender);
        }
        self.askers.retain(|_, asker| now - asker.at < rest);
    }

    /// Set aside for a borrower: it uses one loan at a time, whichever came to it last.
    fn set_aside(loans: &[Loan]) -> usize {
        loans.iter().map(|loan| loan.count).max().unwrap_or(0)
    }

    fn lent(&self) -> usize {
        self.lent.values().map(|loans| Self::set_aside(loans)).sum()
    }

    /// All members have let go of what an earlier life of this one lent them; they may have used it just
    /// before.
    pub fn cleared(&mut self, now: f64) {
        self.sure_at = self.sure_at.min(now + self.rest);
    }

    /// Whether all that an earlier life gave away has lapsed, or been let go of, and rested.
    pub fn is_recovered(&self, now: f64) -> bool {
        now >= self.sure_at
    }

    /// A lender has started again: what its earlier life lent, or was asked for, is not used any more.
    pub fn forsake(&mut self, lender: Id) {
        self.pending.remove(&lender);
        if let Some(borrowed) = self.borrowed.get_mut(&lender) {
            (borrowed.count, borrowed.until) = (0, f64::NEG_INFINITY);
        }
    }

    fn own_free(&self, now: f64) -> usize {
        let own = if now >= self.sure_at {
            self.part
        } else if now >= self.began + self.rest {
            self.floor()
        } else {
            0
        };
        own.saturating_sub(self.lent() + self.used.len() + self.promised())
    }

    /// Kept free for whoever has no permit at all, where it is not this member's own turn: else those, as
    /// where there are fewer permits than members, would never get any from members that have demand of their
    /// own. Never of the floor. Costs what lies idle until one asks again; such as ask without need take
    /// every other permit at most.
    fn promised(&self) -> usize {
        let waits = !self.own_turn && self.askers.values().any(|asker| asker.bare);
        usize::from(waits && self.part > self.floor())
    }

    fn borrowed_free(borrowed: &Borrowed, now: f64) -> usize {
        if now < borrowed.until { borrowed.count.saturating_sub(borrowed.used.len()) } else { 0 }
    }

    /// How many set-ups may go now.
    pub fn free_permits(&mut self, now: f64) -> usize {
        self.pass(now);
        let borrowed: usize = self.borrowed.values().map(|b| Self::borrowed_free(b, now)).sum();
        self.own_free(now) + borrowed
    }

    /// Uses a permit: a borrowed one first, that lapses soonest. False where none is free.
    pub fn try_acquire(&mut self, now: f64) -> bool {
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
        add(&mut self.demand, now, self.rest / SPANS, 1);
        true
    }

    fn wanted(&self) -> usize {
        let used = self.used.len() + self.borrowed.values().map(|b| b.used.len()).sum::<usize>();
        used.saturating_add(self.short())
    }

    /// How many permits its own demand has lately kept in use, or would have.
    fn usual(&self) -> usize {
        let span = self.rest + self.terms.lease;
        let count: usize =
            self.demand.iter().map(|(_, count)| count).fold(0, |sum, count| sum.saturating_add(*count));
        (count as f64 * self.rest / span).round() as usize
    }

    /// So many set-ups more found no permit, each told once.
    pub fn record_shortage(&mut self, now: f64, count: usize) {
        let span = self.rest / SPANS;
        add(&mut self.short, now, span, count);
        add(&mut self.demand, now, span, count);
    }

    fn short(&self) -> usize {
        self.short.iter().map(|(_, count)| count).fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// When a permit that is in use or lent here is free again, at the earliest.
    pub fn due(&self, now: f64) -> f64 {
        let rests =
            self.used.front().into_iter().chain(self.borrowed.values().filter_map(|b| b.used.front()));
        let rests = rests.map(|at| at + self.rest);
        let sure = [self.began + self.rest, self.sure_at];
        let lapses = self.lent.values().flatten().map(|loan| loan.until + self.rest);
        rests.chain(sure).chain(lapses).filter(|&at| at > now).fold(f64::INFINITY, f64::min)
    }

    /// How many permits more than it has would serve what was lately wanted, one to spare; less than none
    /// where it has more.
    pub fn need(&mut self, now: f64) -> isize {
        self.pass(now);
        let has = self.own_free(now) + self.used.len();
        let borrowed = self.borrowed.values().filter(|b| now < b.until).map(|b| b.count);
        let wanted = self.wanted();
        wanted.saturating_add(wanted / SPARE).min(usize::from(u16::MAX)) as isize
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

    /// Whether a lender's answers may not come through, as where a link is cut one way: it is asked for
    /// nothing first, since what it grants would lie idle there.
    pub fn is_mute(&self, lender: Id) -> bool {
        self.mute.contains(&lender)
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
    pub fn ask(&mut self, now: f64, lender: Id, want: usize) -> u64 {
        self.serial += 1;
        self.pending.insert(lender, Pending { serial: self.serial, at: now, want, said: now });
        self.serial
    }

    /// What was asked a while ago, or said again, and not answered: lenders, serials and how many were
    /// wanted. To be said again just so, since a grant that was lost lies idle at the lender.
    pub fn unanswered(&mut self, now: f64, gap: f64) -> Vec<(Id, u64, usize)> {
        let until = 0.5 * self.terms.usable(self.terms.lease);
        let late = |asked: &&mut Pending| now - asked.said >= gap && now - asked.at < until;
        let mut again = Vec::new();
        for (&lender, asked) in &mut self.pending {
            if let Some(asked) = Some(asked).filter(late) {
                asked.said = now;
                again.push((lender, asked.serial, asked.want));
            }
        }
        again
    }

    /// Another asks for permits: gives how many it is lent, which may be none, and how many more could be.
    /// From now on they are not used here until they have lapsed and rested.
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
        let keep = self.floor().max(self.used.len()).max(self.usual().min(self.part - self.promised()));
        let room = if now >= self.sure_at { self.part.saturating_sub(keep) } else { 0 };
        let left = room.saturating_sub(others);
        // What many want is shared evenly, but a loan in use goes on: one that lapses rests before another
        // has it. Only who has no permit at all goes before that.
        let others_short = |bare: bool| {
            let waits = |(id, asker): &(&Id, &Asker)| **id != from.0 && asker.short && (asker.bare || !bare);
            self.askers.iter().filter(waits).count()
        };
        let (short, bare_short) = (others_short(false), others_short(true));
        let share = room.div_ceil(short + 1);
        let loans = self.lent.entry(from).or_default();
        let has = Self::set_aside(loans);
        let goes_on = has > 0;
        let even = if bare_short == 0 { share.max(has) } else { share };
        let turn = bare_short == 0 || !goes_on || share < room;
        let count = if turn && loans.len() < MOST_LOANS { want.min(left).min(even) } else { 0 };
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

    /// A lender's answer. False where nothing of the kind was asked, or it comes too late: nothing changes
    /// then.
    pub fn granted(&mut self, now: f64, lender: Id, serial: u64, count: usize, lease: f64) -> bool {
        let Some(&Pending { at, .. }) = self.pending.get(&lender).filter(|asked| asked.serial == serial)
        else {
            return false;
        };
        self.pending.remove(&lender);
        self.mute.remove(&lender);
        let until = at + self.terms.usable(lease);
        if count == 0 || now >= until {
            return count == 0;
        }
        let borrowed = self.borrowed.entry(lender).or_default();
        (borrowed.count, borrowed.until) = (count, until);
        true
    }

    /// Lets go of what a lender lent, before it is told so: gives the serial up to which all is given back.
    /// None where it was used and has not rested since: the lender could use it at once.
    pub fn give_back(&mut self, now: f64, lender: Id) -> Option<u64> {
        self.pass(now);
        if self.borrowed.get(&lender).is_some_and(|borrowed| !borrowed.used.is_empty()) {
            return None;
        }
        self.forsake(lender);
        Some(self.serial)
    }

    /// Lenders whose loans have lapsed and rested here, each once, with the serial up to which nothing is
    /// used any more: told so they need not wait for the longest that it could have been.
    pub fn ended(&mut self, now: f64) -> Vec<(Id, u64)> {
        self.pass(now);
        let ended = std::mem::take(&mut self.ended);
        // What is asked for again may be granted already.
        let over =
            ended.into_iter().filter(|lender| !self.awaits(*lender) && !self.borrowed.contains_key(lender));
        over.map(|lender| (lender, self.serial)).collect()
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

    /// A borrower has let go of all that it was lent up to a serial, which had rested there
    /// ([`Ledger::give_back`]).
    pub fn returned(&mut self, now: f64, from: Borrower, serial: u64) {
        for loan in self.lent.get_mut(&from).into_iter().flatten().filter(|loan| loan.serial <= serial) {
            loan.until = loan.until.min(now - self.rest);
        }
    }

    pub fn status(&mut self, now: f64) -> LedgerStatus {
        let free = self.free_permits(now);
        let borrowed = self.borrowed.values().filter(|b| now < b.until).map(|b| b.count).sum();
        let cooling_down = self.used.len() + self.borrowed.values().map(|b| b.used.len()).sum::<usize>();
        let (part, lent, recovering) = (self.part, self.lent(), !self.is_recovered(now));
        LedgerStatus { part, lent, borrowed, cooling_down, free, recovering }
    }
}

/// Counts by spans, so that a flood takes no room.
fn add(counts: &mut VecDeque<(f64, usize)>, now: f64, span: f64, count: usize) {
    match counts.back_mut().filter(|(at, _)| now - *at < span) {
        Some((_, sum)) => *sum = sum.saturating_add(count),
        None if count > 0 => counts.push_back((now, count)),
        None => {}
    }
}
