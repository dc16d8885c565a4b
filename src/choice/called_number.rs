//! Called numbers whose lines are busy, or that were lately given up.

use super::*;

/// A called number that was lately given up, or whose lines were all busy.
#[derive(Clone)]
pub(super) struct CalledNumber {
    /// When its caller's first try was taken, and when that was last given up.
    pub(super) first_accepted_at: f64,
    pub(super) last_seen_at: f64,
    /// No shot for it before this; the gap between shots, which grows while its lines stay busy.
    pub(super) not_before: f64,
    pub(super) backoff: f64,
}

impl CalledNumber {
    pub(super) fn new(first_accepted_at: f64) -> Self {
        Self {
            first_accepted_at,
            last_seen_at: first_accepted_at,
            not_before: first_accepted_at,
            backoff: 0.0,
        }
    }
}

impl Proxy {
    /// Departure: a number whose lines were all busy gets no shot until its gap is over, since each would
    /// cost every central server work for nothing.
    pub(super) fn is_backing_off(&self, number: u64) -> bool {
        self.called_numbers.get(&number).is_some_and(|n| self.now < n.not_before)
    }

    /// Widens a number's gap when its lines are all busy, and narrows it when a conversation stands. True
    /// when the gap reaches its full width.
    pub(super) fn update_backoff(&mut self, number: u64, busy: bool) -> bool {
        let now = self.now;
        if busy {
            let record = self.called_numbers.entry(number).or_insert_with(|| CalledNumber::new(now));
            let previous_backoff = record.backoff;
            record.backoff = (2.0 * previous_backoff).max(self.terms.release).min(self.window);
            (record.last_seen_at, record.not_before) = (now, now + record.backoff);
            return record.backoff > previous_backoff && record.backoff >= self.window;
        } else if self.called_numbers.get(&number).is_some_and(|n| n.backoff == 0.0) {
            self.called_numbers.remove(&number);
        } else if let Some(record) = self.called_numbers.get_mut(&number) {
            record.backoff *= 0.5;
            (record.last_seen_at, record.not_before) = (now, now + record.backoff);
        }
        false
    }
}
