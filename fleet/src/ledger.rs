//! One limit at one member: the permits that it has a part of, has lent and has borrowed. No I/O.
//!
//! A limit of `n` set-ups in any window is `n` permits; one that was used rests for a window. Each member has
//! a part of its own for good ([`Ledger::set_part`]) and may lend of it. [`Ledger::try_acquire`] uses a permit, if
//! one is free. [`Ledger::ask`], [`Ledger::pending`], [`Ledger::granted`], [`Ledger::give_back`] and
//! [`Ledger::returned`] move permits between two members: whoever lends lets go first, and what is lent
//! lapses by itself on both clocks, on the taker's first. docs/fleet.md proves that all members together
//! never pass the limit. Times are milliseconds on the member's own clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member, by the hash of its key.
pub type Id = u64;

/// Of so many permits that are wanted one more is kept borrowed, to spare.
const SPARE_DIVISOR: usize = 8;

/// Loans to one borrower that are kept apart, at most: one that asks more often meanwhile gets nothing.
const MAX_LOANS_PER_BORROWER: usize = 8;

/// Spans of a rest over which misses are counted.
const COUNT_PERIODS: f64 = 16.0;

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
    pub fn cool_down(&self, window: f64) -> f64 {
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
    expires_at: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Requester {
    requested_at: f64,
    /// It got less than it wanted, and it has no permit at all.
    short: bool,
    no_permits: bool,
}

/// What was asked of a lender.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    serial: u64,
    requested_at: f64,
    want: usize,
    /// When it was last said.
    last_sent_at: f64,
}

#[derive(Clone, Debug, Default)]
struct Borrowed {
    count: usize,
    expires_at: f64,
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
    cool_down: f64,
    started_at: f64,
    /// From when on all that an earlier life gave away has lapsed, or been let go of, and rested.
    recovered_at: f64,
    part: usize,
    used: VecDeque<f64>,
    lent: BTreeMap<Borrower, Vec<Loan>>,
    borrowed: BTreeMap<Id, Borrowed>,
    /// What it has asked for and not heard of.
    pending: BTreeMap<Id, PendingRequest>,
    /// Lenders whose loans have lapsed and rested here, and are not told yet.
    ended: BTreeSet<Id>,
    /// Lenders that left an ask unanswered to its end.
    unresponsive: BTreeSet<Id>,
    serial: u64,
    /// Who has lately asked here.
    requesters: BTreeMap<Id, Requester>,
    /// Where others go without, this member's own use and a loan take turns.
    own_turn: bool,
    /// Set-ups that went or found no permit over a lease and a rest, in a few spans: what is lent is missing
    /// for so long.
    demand: VecDeque<(f64, usize)>,
    /// Set-ups that found no permit over a rest, in a few spans.
    shortage: VecDeque<(f64, usize)>,
}

impl Ledger {
    /// `began` is when the process started: what it lent in an earlier life lapses from then on. `serial` is
    /// drawn by chance, so that what was meant for an earlier life is not taken for this one's.
    pub fn new(terms: LoanTerms, window: f64, started_at: f64, serial: u64) -> Self {
        Self {
            terms,
            cool_down: terms.cool_down(window),
            started_at,
            recovered_at: started_at + terms.lease + terms.cool_down(window),
            part: 0,
            used: VecDeque::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            ended: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            serial,
            requesters: BTreeMap::new(),
            own_turn: true,
            demand: VecDeque::new(),
            shortage: VecDeque::new(),
        }
    }

    /// How many permits are its own; less than before where the limit fell, though more may be lent as yet.
    pub fn set_part(&mut self, part: usize) {
        self.part = part;
    }

    pub fn part(&self) -> usize {
        self.part
    }

    pub fn cool_down(&self) -> f64 {
        self.cool_down
    }

    fn floor(&self) -> usize {
        (self.part as f64 * self.terms.floor) as usize
    }

    /// Forgets what no longer matters.
    fn expire(&mut self, now: f64) {
        let (cool_down, lease) = (self.cool_down, self.terms.lease);
        let drop_cooled_down = |used: &mut VecDeque<f64>| {
            while used.front().is_some_and(|&at| at + cool_down <= now) {
                used.pop_front();
            }
        };
        drop_cooled_down(&mut self.used);
        self.shortage.retain(|(at, _)| at + cool_down > now);
        self.demand.retain(|(at, _)| at + lease + cool_down > now);
        for borrowed in self.borrowed.values_mut() {
            drop_cooled_down(&mut borrowed.used);
        }
        for (lender, _) in self.borrowed.extract_if(.., |_, b| b.expires_at <= now && b.used.is_empty()) {
            self.ended.insert(lender);
        }
        // Whoever had it may have used it until the very end.
        for loans in self.lent.values_mut() {
            loans.retain(|loan| loan.expires_at + cool_down > now);
        }
        self.lent.retain(|_, loans| !loans.is_empty());
        for (lender, _) in self.pending.extract_if(.., |_, pending| now - pending.requested_at >= lease) {
            self.unresponsive.insert(lender);
        }
        self.requesters.retain(|_, requester| now - requester.requested_at < cool_down);
    }

    /// Set aside for a borrower: it uses one loan at a time, whichever came to it last.
    fn reserved_for(loans: &[Loan]) -> usize {
        loans.iter().map(|loan| loan.count).max().unwrap_or(0)
    }

    fn lent(&self) -> usize {
        self.lent.values().map(|loans| Self::reserved_for(loans)).sum()
    }

    /// All members have let go of what an earlier life of this one lent them; they may have used it just
    /// before.
    pub fn earlier_loans_cleared(&mut self, now: f64) {
        self.recovered_at = self.recovered_at.min(now + self.cool_down);
    }

    /// Whether all that an earlier life gave away has lapsed, or been let go of, and rested.
    pub fn is_recovered(&self, now: f64) -> bool {
        now >= self.recovered_at
    }

    /// A lender has started again: what its earlier life lent, or was asked for, is not used any more.
    pub fn drop_loans_from(&mut self, lender: Id) {
        self.pending.remove(&lender);
        if let Some(borrowed) = self.borrowed.get_mut(&lender) {
            (borrowed.count, borrowed.expires_at) = (0, f64::NEG_INFINITY);
        }
    }

    fn own_free(&self, now: f64) -> usize {
        let own = if now >= self.recovered_at {
            self.part
        } else if now >= self.started_at + self.cool_down {
            self.floor()
        } else {
            0
        };
        own.saturating_sub(self.lent() + self.used.len() + self.reserved_for_requesters())
    }

    /// Kept free for whoever has no permit at all, where it is not this member's own turn: else those, as
    /// where there are fewer permits than members, would never get any from members that have demand of their
    /// own. Never of the floor. Costs what lies idle until one asks again; such as ask without need take
    /// every other permit at most.
    fn reserved_for_requesters(&self) -> usize {
        let waits = !self.own_turn && self.requesters.values().any(|requester| requester.no_permits);
        usize::from(waits && self.part > self.floor())
    }

    fn borrowed_free(borrowed: &Borrowed, now: f64) -> usize {
        if now < borrowed.expires_at { borrowed.count.saturating_sub(borrowed.used.len()) } else { 0 }
    }

    /// How many set-ups may go now.
    pub fn free_permits(&mut self, now: f64) -> usize {
        self.expire(now);
        let borrowed: usize = self.borrowed.values().map(|b| Self::borrowed_free(b, now)).sum();
        self.own_free(now) + borrowed
    }

    /// Uses a permit: a borrowed one first, that lapses soonest. False where none is free.
    pub fn try_acquire(&mut self, now: f64) -> bool {
        self.expire(now);
        let own = self.own_free(now);
        let usable_loans = self.borrowed.values_mut().filter(|b| Self::borrowed_free(b, now) > 0);
        let used = match usable_loans.min_by(|a, b| a.expires_at.total_cmp(&b.expires_at)) {
            Some(borrowed) => &mut borrowed.used,
            None if own > 0 => {
                self.own_turn = false;
                &mut self.used
            }
            None => return false,
        };
        used.push_back(now);
        add(&mut self.demand, now, self.cool_down / COUNT_PERIODS, 1);
        true
    }

    fn wanted(&self) -> usize {
        let used = self.used.len() + self.borrowed.values().map(|b| b.used.len()).sum::<usize>();
        used.saturating_add(self.shortage_count())
    }

    /// How many permits its own demand has lately kept in use, or would have.
    fn usual_demand(&self) -> usize {
        let period = self.cool_down + self.terms.lease;
        let count: usize =
            self.demand.iter().map(|(_, count)| count).fold(0, |sum, count| sum.saturating_add(*count));
        (count as f64 * self.cool_down / period).round() as usize
    }

    /// So many set-ups more found no permit, each told once.
    pub fn record_shortage(&mut self, now: f64, count: usize) {
        let period = self.cool_down / COUNT_PERIODS;
        add(&mut self.shortage, now, period, count);
        add(&mut self.demand, now, period, count);
    }

    fn shortage_count(&self) -> usize {
        self.shortage.iter().map(|(_, count)| count).fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// When a permit that is in use or lent here is free again, at the earliest.
    pub fn due(&self, now: f64) -> f64 {
        let cooled_down_at =
            self.used.front().into_iter().chain(self.borrowed.values().filter_map(|b| b.used.front()));
        let cooled_down_at = cooled_down_at.map(|at| at + self.cool_down);
        let sure = [self.started_at + self.cool_down, self.recovered_at];
        let lapses = self.lent.values().flatten().map(|loan| loan.expires_at + self.cool_down);
        cooled_down_at.chain(sure).chain(lapses).filter(|&at| at > now).fold(f64::INFINITY, f64::min)
    }

    /// How many permits more than it has would serve what was lately wanted, one to spare; less than none
    /// where it has more.
    pub fn shortfall(&mut self, now: f64) -> isize {
        self.expire(now);
        let has = self.own_free(now) + self.used.len();
        let borrowed = self.borrowed.values().filter(|b| now < b.expires_at).map(|b| b.count);
        let wanted_permits = self.wanted();
        wanted_permits.saturating_add(wanted_permits / SPARE_DIVISOR).min(usize::from(u16::MAX)) as isize
            - (has + borrowed.sum::<usize>()) as isize
    }

    /// Lenders whose loan ends within half a lease: to be asked again, if it is still wanted.
    pub fn expiring_loans(&self, now: f64) -> Vec<(Id, usize)> {
        let threshold = now + 0.5 * self.terms.usable(self.terms.lease);
        let expiring = self.borrowed.iter().filter(|(id, b)| {
            b.count > 0 && b.expires_at > now && b.expires_at < threshold && !self.pending.contains_key(id)
        });
        expiring.map(|(&id, b)| (id, b.count)).collect()
    }

    /// Whether a lender was asked and has not answered yet.
    pub fn awaits_answer(&self, lender: Id) -> bool {
        self.pending.contains_key(&lender)
    }

    /// Whether a lender's answers may not come through, as where a link is cut one way: it is asked for
    /// nothing first, since what it grants would lie idle there.
    pub fn is_unresponsive(&self, lender: Id) -> bool {
        self.unresponsive.contains(&lender)
    }

    /// Whether it has no permit of its own nor any loan.
    pub fn has_no_permits(&self, now: f64) -> bool {
        self.part == 0 && !self.borrowed.values().any(|b| b.expires_at > now && b.count > 0)
    }

    /// What a lender lends at present.
    pub fn borrowed_from(&self, lender: Id, now: f64) -> usize {
        self.borrowed.get(&lender).filter(|b| b.expires_at > now).map_or(0, |b| b.count)
    }

    /// Notes that a lender is asked now; gives the serial that its grant must name.
    pub fn request(&mut self, now: f64, lender: Id, want: usize) -> u64 {
        self.serial += 1;
        self.pending.insert(
            lender,
            PendingRequest { serial: self.serial, requested_at: now, want, last_sent_at: now },
        );
        self.serial
    }

    /// What was asked a while ago, or said again, and not answered: lenders, serials and how many were
    /// wanted. To be said again just so, since a grant that was lost lies idle at the lender.
    pub fn requests_to_resend(&mut self, now: f64, interval: f64) -> Vec<(Id, u64, usize)> {
        let max_age = 0.5 * self.terms.usable(self.terms.lease);
        let late = |pending: &&mut PendingRequest| {
            now - pending.last_sent_at >= interval && now - pending.requested_at < max_age
        };
        let mut resends = Vec::new();
        for (&lender, pending) in &mut self.pending {
            if let Some(pending) = Some(pending).filter(late) {
                pending.last_sent_at = now;
                resends.push((lender, pending.serial, pending.want));
            }
        }
        resends
    }

    /// Another asks for permits: gives how many it is lent, which may be none, and how many more could be.
    /// From now on they are not used here until they have lapsed and rested.
    pub fn handle_request(
        &mut self,
        now: f64,
        from: Borrower,
        serial: u64,
        want: usize,
        no_permits: bool,
    ) -> (usize, usize) {
        self.expire(now);
        // Doubled on its way: the same answer again, and no longer.
        if let Some(loan) = self.lent.get(&from).and_then(|loans| loans.iter().find(|l| l.serial == serial)) {
            return (loan.count, 0);
        }
        let others: usize =
            self.lent.iter().filter(|(to, _)| **to != from).map(|(_, l)| Self::reserved_for(l)).sum();
        let keep = self
            .floor()
            .max(self.used.len())
            .max(self.usual_demand().min(self.part - self.reserved_for_requesters()));
        let available = if now >= self.recovered_at { self.part.saturating_sub(keep) } else { 0 };
        let remaining = available.saturating_sub(others);
        // What many want is shared evenly, but a loan in use goes on: one that lapses rests before another
        // has it. Only who has no permit at all goes before that.
        let count_short_requesters = |no_permits: bool| {
            let waits = |(id, requester): &(&Id, &Requester)| {
                **id != from.0 && requester.short && (requester.no_permits || !no_permits)
            };
            self.requesters.iter().filter(waits).count()
        };
        let (short, no_permits_short) = (count_short_requesters(false), count_short_requesters(true));
        let share = available.div_ceil(short + 1);
        let loans = self.lent.entry(from).or_default();
        let has = Self::reserved_for(loans);
        let is_renewal = has > 0;
        let even = if no_permits_short == 0 { share.max(has) } else { share };
        let is_turn = no_permits_short == 0 || !is_renewal || share < available;
        let count =
            if is_turn && loans.len() < MAX_LOANS_PER_BORROWER { want.min(remaining).min(even) } else { 0 };
        if count > 0 {
            let expires_at = now + self.terms.lease;
            // What ends sooner and was not more is covered by this.
            loans.retain(|loan| loan.count > count);
            loans.push(Loan { serial, count, expires_at });
            self.own_turn = true;
        }
        if loans.is_empty() {
            self.lent.remove(&from);
        }
        let short = count < want && !is_renewal;
        self.requesters
            .insert(from.0, Requester { requested_at: now, short, no_permits: short && no_permits });
        (count, remaining.saturating_sub(count))
    }

    /// A lender's answer. False where nothing of the kind was asked, or it comes too late: nothing changes
    /// then.
    pub fn accept_grant(&mut self, now: f64, lender: Id, serial: u64, count: usize, lease: f64) -> bool {
        let Some(&PendingRequest { requested_at, .. }) =
            self.pending.get(&lender).filter(|pending| pending.serial == serial)
        else {
            return false;
        };
        self.pending.remove(&lender);
        self.unresponsive.remove(&lender);
        let expires_at = requested_at + self.terms.usable(lease);
        if count == 0 || now >= expires_at {
            return count == 0;
        }
        let borrowed = self.borrowed.entry(lender).or_default();
        (borrowed.count, borrowed.expires_at) = (count, expires_at);
        true
    }

    /// Lets go of what a lender lent, before it is told so: gives the serial up to which all is given back.
    /// None where it was used and has not rested since: the lender could use it at once.
    pub fn give_back(&mut self, now: f64, lender: Id) -> Option<u64> {
        self.expire(now);
        if self.borrowed.get(&lender).is_some_and(|borrowed| !borrowed.used.is_empty()) {
            return None;
        }
        self.drop_loans_from(lender);
        Some(self.serial)
    }

    /// Lenders whose loans have lapsed and rested here, each once, with the serial up to which nothing is
    /// used any more: told so they need not wait for the longest that it could have been.
    pub fn take_ended_loans(&mut self, now: f64) -> Vec<(Id, u64)> {
        self.expire(now);
        let ended = std::mem::take(&mut self.ended);
        // What is asked for again may be granted already.
        let finished = ended
            .into_iter()
            .filter(|lender| !self.awaits_answer(*lender) && !self.borrowed.contains_key(lender));
        finished.map(|lender| (lender, self.serial)).collect()
    }

    /// Lenders with more than is wanted: those that can be given back whole.
    pub fn surplus_lenders(&mut self, now: f64) -> Vec<Id> {
        let mut surplus = -self.shortfall(now);
        let mut lenders = Vec::new();
        for (&lender, borrowed) in self.borrowed.iter().filter(|(_, b)| b.expires_at > now && b.count > 0) {
            if borrowed.used.is_empty() && borrowed.count as isize <= surplus {
                surplus -= borrowed.count as isize;
                lenders.push(lender);
            }
        }
        lenders
    }

    /// A borrower has let go of all that it was lent up to a serial, which had rested there
    /// ([`Ledger::give_back`]).
    pub fn accept_return(&mut self, now: f64, from: Borrower, serial: u64) {
        for loan in self.lent.get_mut(&from).into_iter().flatten().filter(|loan| loan.serial <= serial) {
            loan.expires_at = loan.expires_at.min(now - self.cool_down);
        }
    }

    pub fn status(&mut self, now: f64) -> LedgerStatus {
        let free = self.free_permits(now);
        let borrowed = self.borrowed.values().filter(|b| now < b.expires_at).map(|b| b.count).sum();
        let cooling_down = self.used.len() + self.borrowed.values().map(|b| b.used.len()).sum::<usize>();
        let (part, lent, recovering) = (self.part, self.lent(), !self.is_recovered(now));
        LedgerStatus { part, lent, borrowed, cooling_down, free, recovering }
    }
}

/// Counts by spans, so that a flood takes no room.
fn add(counts: &mut VecDeque<(f64, usize)>, now: f64, period: f64, count: usize) {
    match counts.back_mut().filter(|(at, _)| now - *at < period) {
        Some((_, sum)) => *sum = sum.saturating_add(count),
        None if count > 0 => counts.push_back((now, count)),
        None => {}
    }
}
