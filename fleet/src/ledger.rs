//! One limit at one member: the permits of its own part, those lent and those borrowed. No I/O.
//!
//! A limit of `n` set-ups in any window is `n` permits. A used permit cools down for a window before it can
//! be used again. Each member permanently owns a part of the permits ([`Ledger::set_part`]) and may lend some
//! of them. [`Ledger::try_acquire`] uses a permit if one is free. [`Ledger::request`],
//! [`Ledger::handle_request`], [`Ledger::accept_grant`], [`Ledger::give_back`] and [`Ledger::accept_return`]
//! move permits between two members: the lender stops using them first, and a loan expires by itself on both
//! clocks, on the borrower's first. docs/fleet.md proves that all members together never exceed the limit.
//! Times are milliseconds on the member's own clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member, by the hash of its key.
pub type Id = u64;

/// One spare permit is kept for each this many that are wanted.
const SPARE_DIVISOR: usize = 8;

/// Maximum number of separate loans to one borrower: further requests get nothing meanwhile.
const MAX_LOANS_PER_BORROWER: usize = 8;

/// Number of counting periods in one cool-down.
const COUNT_PERIODS: f64 = 16.0;

/// Configuration of loans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanTerms {
    /// How long permits are lent, in milliseconds on the lender's clock.
    pub lease: f64,
    /// Fraction by which a member's clock may run fast or slow.
    pub drift: f64,
    /// Maximum difference between the transit times of two set-ups to a server, in milliseconds.
    pub spread: f64,
    /// Fraction of its own part that a member never lends.
    pub floor: f64,
}

impl LoanTerms {
    /// How long a used permit cools down, so that a window has passed on any clock and at any transit time.
    pub fn cool_down(&self, window: f64) -> f64 {
        (window + self.spread) * (1.0 + self.drift)
    }

    /// How long a borrower may use a loan, counted from its request: shorter than the lease by the maximum
    /// drift of the two clocks.
    pub fn usable(&self, lease: f64) -> f64 {
        lease.min(self.lease) * (1.0 - self.drift) / (1.0 + self.drift)
    }
}

/// A borrower: the member and the generation of its process.
type Borrower = (Id, u64);

/// A loan to a borrower.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Loan {
    serial: u64,
    count: usize,
    expires_at: f64,
}

/// A member that recently requested permits.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Requester {
    requested_at: f64,
    /// It got less than it wanted.
    short: bool,
    /// It has no permit at all.
    no_permits: bool,
}

/// A request to a lender that has not been answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    serial: u64,
    requested_at: f64,
    want: usize,
    /// When it was last sent.
    last_sent_at: f64,
}

/// What one lender lends to this member.
#[derive(Clone, Debug, Default)]
struct Borrowed {
    count: usize,
    expires_at: f64,
    used: VecDeque<f64>,
}

/// State of one limit at one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStatus {
    /// Permits that the member owns.
    pub part: usize,
    /// Permits reserved for borrowers.
    pub lent: usize,
    /// Permits borrowed from other members.
    pub borrowed: usize,
    /// Used permits that cool down.
    pub cooling_down: usize,
    /// Permits that can be used now.
    pub free: usize,
    /// The member started recently and does not know yet what it lent before.
    pub recovering: bool,
}

/// One limit at one member.
#[derive(Clone, Debug)]
pub struct Ledger {
    terms: LoanTerms,
    cool_down: f64,
    started_at: f64,
    /// From then on everything that an earlier generation lent has expired or been cleared, and has cooled
    /// down.
    recovered_at: f64,
    part: usize,
    used: VecDeque<f64>,
    lent: BTreeMap<Borrower, Vec<Loan>>,
    borrowed: BTreeMap<Id, Borrowed>,
    /// Requests without an answer, by lender.
    pending: BTreeMap<Id, PendingRequest>,
    /// Lenders whose loans have expired and cooled down here and who have not been notified yet.
    ended: BTreeSet<Id>,
    /// Lenders that left a request unanswered until it expired.
    unresponsive: BTreeSet<Id>,
    serial: u64,
    /// Members that recently requested permits here.
    requesters: BTreeMap<Id, Requester>,
    /// While other members lack permits, this member's own use and loans alternate.
    own_turn: bool,
    /// Set-ups that were sent or found no permit during a lease and a cool-down, by counting period: a loan
    /// is missing here for that long.
    demand: VecDeque<(f64, usize)>,
    /// Set-ups that found no permit during a cool-down, by counting period.
    shortage: VecDeque<(f64, usize)>,
}

impl Ledger {
    /// `started_at` is when the process started: loans of an earlier generation expire counted from then.
    /// `serial` is random, so that messages meant for an earlier generation are not mistaken for this one's.
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

    /// Sets how many permits the member owns. If the limit fell this may be less than what is lent at
    /// present.
    pub fn set_part(&mut self, part: usize) {
        self.part = part;
    }

    /// How many permits the member owns.
    pub fn part(&self) -> usize {
        self.part
    }

    /// How long a used permit cools down, in milliseconds.
    pub fn cool_down(&self) -> f64 {
        self.cool_down
    }

    /// Own permits that are never lent.
    fn floor(&self) -> usize {
        (self.part as f64 * self.terms.floor) as usize
    }

    /// Removes what has expired or cooled down.
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
        // The borrower may have used its permits until the loan expired.
        for loans in self.lent.values_mut() {
            loans.retain(|loan| loan.expires_at + cool_down > now);
        }
        self.lent.retain(|_, loans| !loans.is_empty());
        for (lender, _) in self.pending.extract_if(.., |_, pending| now - pending.requested_at >= lease) {
            self.unresponsive.insert(lender);
        }
        self.requesters.retain(|_, requester| now - requester.requested_at < cool_down);
    }

    /// Permits reserved for a borrower: it uses one loan at a time, the last one that reached it.
    fn reserved_for(loans: &[Loan]) -> usize {
        loans.iter().map(|loan| loan.count).max().unwrap_or(0)
    }

    fn lent(&self) -> usize {
        self.lent.values().map(|loans| Self::reserved_for(loans)).sum()
    }

    /// All members have stopped using what an earlier generation of this one lent; they may have used it just
    /// before.
    pub fn earlier_loans_cleared(&mut self, now: f64) {
        self.recovered_at = self.recovered_at.min(now + self.cool_down);
    }

    /// Whether everything that an earlier generation lent has expired or been cleared, and has cooled down.
    pub fn is_recovered(&self, now: f64) -> bool {
        now >= self.recovered_at
    }

    /// The lender has restarted: what its earlier generation lent is no longer used, and requests to it are
    /// dropped.
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

    /// Permits kept free for a member that has none at all, while it is not this member's own turn. Without
    /// this, where there are fewer permits than members, such members would never get any from members with
    /// demand of their own. Never part of the floor. The cost is a permit that stays idle until the next
    /// request; members that request without need take at most every other permit.
    fn reserved_for_requesters(&self) -> usize {
        let waits = !self.own_turn && self.requesters.values().any(|requester| requester.no_permits);
        usize::from(waits && self.part > self.floor())
    }

    fn borrowed_free(borrowed: &Borrowed, now: f64) -> usize {
        if now < borrowed.expires_at { borrowed.count.saturating_sub(borrowed.used.len()) } else { 0 }
    }

    /// How many set-ups may be sent now.
    pub fn free_permits(&mut self, now: f64) -> usize {
        self.expire(now);
        let borrowed: usize = self.borrowed.values().map(|b| Self::borrowed_free(b, now)).sum();
        self.own_free(now) + borrowed
    }

    /// Uses a permit: a borrowed one first, of the loan that expires first. Returns false if none is free.
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

    /// How many permits the member's own recent demand kept in use or would have kept in use.
    fn usual_demand(&self) -> usize {
        let period = self.cool_down + self.terms.lease;
        let count: usize =
            self.demand.iter().map(|(_, count)| count).fold(0, |sum, count| sum.saturating_add(*count));
        (count as f64 * self.cool_down / period).round() as usize
    }

    /// Records that `count` more set-ups found no permit; each set-up is reported once.
    pub fn record_shortage(&mut self, now: f64, count: usize) {
        let period = self.cool_down / COUNT_PERIODS;
        add(&mut self.shortage, now, period, count);
        add(&mut self.demand, now, period, count);
    }

    fn shortage_count(&self) -> usize {
        self.shortage.iter().map(|(_, count)| count).fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// The earliest time when a permit that is in use or lent becomes free again.
    pub fn due(&self, now: f64) -> f64 {
        let cooled_down_at =
            self.used.front().into_iter().chain(self.borrowed.values().filter_map(|b| b.used.front()));
        let cooled_down_at = cooled_down_at.map(|at| at + self.cool_down);
        let recovery_times = [self.started_at + self.cool_down, self.recovered_at];
        let expiry_times = self.lent.values().flatten().map(|loan| loan.expires_at + self.cool_down);
        cooled_down_at
            .chain(recovery_times)
            .chain(expiry_times)
            .filter(|&at| at > now)
            .fold(f64::INFINITY, f64::min)
    }

    /// How many more permits would serve the recent demand with a spare; negative if there are more than
    /// needed.
    pub fn shortfall(&mut self, now: f64) -> isize {
        self.expire(now);
        let has = self.own_free(now) + self.used.len();
        let borrowed = self.borrowed.values().filter(|b| now < b.expires_at).map(|b| b.count);
        let wanted_permits = self.wanted();
        wanted_permits.saturating_add(wanted_permits / SPARE_DIVISOR).min(usize::from(u16::MAX)) as isize
            - (has + borrowed.sum::<usize>()) as isize
    }

    /// Lenders whose loan ends within half a lease, to be requested again if it is still needed.
    pub fn expiring_loans(&self, now: f64) -> Vec<(Id, usize)> {
        let threshold = now + 0.5 * self.terms.usable(self.terms.lease);
        let expiring = self.borrowed.iter().filter(|(id, b)| {
            b.count > 0 && b.expires_at > now && b.expires_at < threshold && !self.pending.contains_key(id)
        });
        expiring.map(|(&id, b)| (id, b.count)).collect()
    }

    /// Whether a request to this lender is unanswered.
    pub fn awaits_answer(&self, lender: Id) -> bool {
        self.pending.contains_key(&lender)
    }

    /// Whether the lender's answers may not arrive, as when a link is cut one way. It is first asked for zero
    /// permits, since permits that it grants would lie idle.
    pub fn is_unresponsive(&self, lender: Id) -> bool {
        self.unresponsive.contains(&lender)
    }

    /// Whether the member has neither permits of its own nor a loan.
    pub fn has_no_permits(&self, now: f64) -> bool {
        self.part == 0 && !self.borrowed.values().any(|b| b.expires_at > now && b.count > 0)
    }

    /// How many permits the lender lends at present.
    pub fn borrowed_from(&self, lender: Id, now: f64) -> usize {
        self.borrowed.get(&lender).filter(|b| b.expires_at > now).map_or(0, |b| b.count)
    }

    /// Records a request to a lender and returns the serial that the grant must name.
    pub fn request(&mut self, now: f64, lender: Id, want: usize) -> u64 {
        self.serial += 1;
        self.pending.insert(
            lender,
            PendingRequest { serial: self.serial, requested_at: now, want, last_sent_at: now },
        );
        self.serial
    }

    /// Requests that were last sent at least `interval` ago and have not been answered: lender, serial and
    /// wanted permits. They are sent again unchanged, since the permits of a lost grant lie idle at the
    /// lender.
    pub fn requests_to_resend(&mut self, now: f64, interval: f64) -> Vec<(Id, u64, usize)> {
        let max_age = 0.5 * self.terms.usable(self.terms.lease);
        let is_overdue = |pending: &&mut PendingRequest| {
            now - pending.last_sent_at >= interval && now - pending.requested_at < max_age
        };
        let mut resends = Vec::new();
        for (&lender, pending) in &mut self.pending {
            if let Some(pending) = Some(pending).filter(is_overdue) {
                pending.last_sent_at = now;
                resends.push((lender, pending.serial, pending.want));
            }
        }
        resends
    }

    /// Another member requests permits. Returns how many it is lent, possibly none, and how many more could
    /// be lent. From now on they are not used here until they have expired and cooled down.
    pub fn handle_request(
        &mut self,
        now: f64,
        from: Borrower,
        serial: u64,
        want: usize,
        no_permits: bool,
    ) -> (usize, usize) {
        self.expire(now);
        // A duplicated request gets the same answer again, and the loan is not extended.
        let loans = self.lent.get(&from).map_or(&[][..], Vec::as_slice);
        if let Some(loan) = loans.iter().find(|loan| loan.serial == serial) {
            return (loan.count, 0);
        }
        // The borrower has dropped a request that is older than one it was granted, and does not accept a grant for it.
        // A loan for it would replace the newer one, and its return would free permits that are in use.
        if loans.iter().any(|loan| loan.serial > serial) {
            return (0, 0);
        }
        let lent_to_others: usize =
            self.lent.iter().filter(|(to, _)| **to != from).map(|(_, l)| Self::reserved_for(l)).sum();
        let kept = self
            .floor()
            .max(self.used.len())
            .max(self.usual_demand().min(self.part - self.reserved_for_requesters()));
        let available = if now >= self.recovered_at { self.part.saturating_sub(kept) } else { 0 };
        let remaining = available.saturating_sub(lent_to_others);
        // Permits that many members want are shared evenly, but a loan in use is renewed, because an expired
        // one cools down before another member can have it. Only a member without any permit takes precedence
        // over that.
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
        let even_share = if no_permits_short == 0 { share.max(has) } else { share };
        let may_lend = no_permits_short == 0 || !is_renewal || share < available;
        let count = if may_lend && loans.len() < MAX_LOANS_PER_BORROWER {
            want.min(remaining).min(even_share)
        } else {
            0
        };
        if count > 0 {
            let expires_at = now + self.terms.lease;
            // Loans that end earlier and are not larger are covered by the new one.
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

    /// A lender's answer. Returns false, and changes nothing, if there was no such request or the answer is
    /// too late.
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

    /// Stops using a lender's loan before the lender is told, and returns the serial up to which everything
    /// is given back. `None` if it was used and has not cooled down since: the lender could use it at once.
    pub fn give_back(&mut self, now: f64, lender: Id) -> Option<u64> {
        self.expire(now);
        if self.borrowed.get(&lender).is_some_and(|borrowed| !borrowed.used.is_empty()) {
            return None;
        }
        self.drop_loans_from(lender);
        Some(self.serial)
    }

    /// Lenders whose loans have expired and cooled down here, each once, with the serial up to which nothing
    /// is used any more. Once notified, they need not wait for the longest possible end.
    pub fn take_ended_loans(&mut self, now: f64) -> Vec<(Id, u64)> {
        self.expire(now);
        let ended = std::mem::take(&mut self.ended);
        // A loan that is requested again may have been granted already.
        let finished = ended
            .into_iter()
            .filter(|lender| !self.awaits_answer(*lender) && !self.borrowed.contains_key(lender));
        finished.map(|lender| (lender, self.serial)).collect()
    }

    /// Lenders whose whole loan is more than is needed and can be given back.
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

    /// A borrower no longer uses anything that it was lent up to this serial, and all of it had cooled down
    /// there ([`Ledger::give_back`]).
    pub fn accept_return(&mut self, now: f64, from: Borrower, serial: u64) {
        for loan in self.lent.get_mut(&from).into_iter().flatten().filter(|loan| loan.serial <= serial) {
            loan.expires_at = loan.expires_at.min(now - self.cool_down);
        }
    }

    /// The current state, for operators.
    pub fn status(&mut self, now: f64) -> LedgerStatus {
        let free = self.free_permits(now);
        let borrowed = self.borrowed.values().filter(|b| now < b.expires_at).map(|b| b.count).sum();
        let cooling_down = self.used.len() + self.borrowed.values().map(|b| b.used.len()).sum::<usize>();
        let (part, lent, recovering) = (self.part, self.lent(), !self.is_recovered(now));
        LedgerStatus { part, lent, borrowed, cooling_down, free, recovering }
    }
}

/// Adds to counts by period, so that memory is bounded even in a flood of set-ups.
fn add(counts: &mut VecDeque<(f64, usize)>, now: f64, period: f64, count: usize) {
    match counts.back_mut().filter(|(at, _)| now - *at < period) {
        Some((_, sum)) => *sum = sum.saturating_add(count),
        None if count > 0 => counts.push_back((now, count)),
        None => {}
    }
}
