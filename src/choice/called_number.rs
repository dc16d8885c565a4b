//! Called numbers with busy lines or with recently refused calls.

use std::collections::BTreeSet;

use ordered_float::OrderedFloat;

use super::*;

/// Most called numbers that are remembered. Callers may use ever new numbers, so the records that expire first are
/// forgotten beyond this.
const MAX_CALLED_NUMBERS: usize = 8192;

/// A called number with a recently refused call, or whose lines were all busy.
#[derive(Clone)]
pub(super) struct CalledNumber {
    /// When its caller's first try was accepted.
    pub(super) first_accepted_at: f64,
    /// When a call to it was last refused, found it busy, or was established during a backoff.
    last_seen_at: f64,
    /// No attempt to it before this time.
    not_before: f64,
    /// Pause between attempts, which grows while its lines stay busy.
    pub(super) backoff: f64,
}

impl CalledNumber {
    fn new(first_accepted_at: f64) -> Self {
        Self {
            first_accepted_at,
            last_seen_at: first_accepted_at,
            not_before: first_accepted_at,
            backoff: 0.0,
        }
    }

    /// Doubles the backoff up to `max_backoff`, from at least `min_backoff` on. Returns whether it has just reached
    /// the maximum.
    fn lengthen_backoff(&mut self, now: f64, min_backoff: f64, max_backoff: f64) -> bool {
        let previous_backoff = self.backoff;
        self.backoff = (2.0 * previous_backoff).max(min_backoff).min(max_backoff);
        (self.last_seen_at, self.not_before) = (now, now + self.backoff);
        self.backoff > previous_backoff && self.backoff >= max_backoff
    }

    fn halve_backoff(&mut self, now: f64) {
        self.backoff *= 0.5;
        (self.last_seen_at, self.not_before) = (now, now + self.backoff);
    }

    /// When the record is of no more use, if it is kept for `lifetime` after its last use.
    fn expires_at(&self, lifetime: f64) -> OrderedFloat<f64> {
        OrderedFloat(self.last_seen_at.max(self.not_before) + lifetime)
    }
}

/// The records of called numbers, a limited number of them.
#[derive(Clone)]
pub(super) struct CalledNumbers {
    /// How long a record is kept after its last use.
    lifetime: f64,
    records: HashMap<u64, CalledNumber>,
    by_expiry: BTreeSet<(OrderedFloat<f64>, u64)>,
}

impl CalledNumbers {
    pub(super) fn new(lifetime: f64) -> Self {
        Self { lifetime, records: HashMap::new(), by_expiry: BTreeSet::new() }
    }

    pub(super) fn get(&self, number: u64) -> Option<&CalledNumber> {
        self.records.get(&number)
    }

    /// Removes the records that are too old to matter.
    pub(super) fn expire(&mut self, now: f64) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| expires_at.0 <= now) {
            self.remove_first_to_expire();
        }
    }

    /// Records that a call to the number was refused, whose caller's first try was accepted at `accepted_at`.
    pub(super) fn record_refusal(&mut self, now: f64, number: u64, accepted_at: f64) {
        let mut record = self.remove(number).unwrap_or_else(|| CalledNumber::new(accepted_at));
        record.last_seen_at = now;
        self.insert(number, record);
    }

    /// Records that all lines of the number were busy. Returns whether its backoff has just reached the maximum.
    fn record_busy(&mut self, now: f64, number: u64, min_backoff: f64, max_backoff: f64) -> bool {
        let mut record = self.remove(number).unwrap_or_else(|| CalledNumber::new(now));
        let has_reached_maximum = record.lengthen_backoff(now, min_backoff, max_backoff);
        self.insert(number, record);
        has_reached_maximum
    }

    /// Records that a call to the number was established. Without a backoff the number is forgotten.
    fn record_established(&mut self, now: f64, number: u64) {
        if let Some(mut record) = self.remove(number).filter(|record| record.backoff > 0.0) {
            record.halve_backoff(now);
            self.insert(number, record);
        }
    }

    fn insert(&mut self, number: u64, record: CalledNumber) {
        while self.records.len() >= MAX_CALLED_NUMBERS {
            self.remove_first_to_expire();
        }
        self.by_expiry.insert((record.expires_at(self.lifetime), number));
        self.records.insert(number, record);
    }

    fn remove(&mut self, number: u64) -> Option<CalledNumber> {
        let record = self.records.remove(&number)?;
        self.by_expiry.remove(&(record.expires_at(self.lifetime), number));
        Some(record)
    }

    fn remove_first_to_expire(&mut self) {
        if let Some((_, number)) = self.by_expiry.pop_first() {
            self.records.remove(&number);
        }
    }
}

impl Proxy {
    /// Departure from the design: a number whose lines were all busy gets no attempt until its backoff is
    /// over, since each attempt would cost any central server work without result.
    pub(super) fn is_backing_off(&self, number: u64) -> bool {
        self.called_numbers.get(number).is_some_and(|n| self.now < n.not_before)
    }

    /// Doubles a number's backoff when its lines are all busy, and halves it when a conversation is
    /// established. Returns whether the backoff has just reached its maximum, the window.
    pub(super) fn update_backoff(&mut self, number: u64, busy: bool) -> bool {
        if busy {
            return self.called_numbers.record_busy(self.now, number, self.terms.release, self.window);
        }
        self.called_numbers.record_established(self.now, number);
        false
    }
}
