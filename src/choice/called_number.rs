//! Called numbers with busy lines or with recently refused calls.

use super::*;

/// A called number with a recently refused call, or whose lines were all busy.
#[derive(Clone)]
pub(super) struct CalledNumber {
    /// When its caller's first try was accepted.
    pub(super) first_accepted_at: f64,
    /// When a call to it was last refused, found it busy, or was established during a backoff.
    pub(super) last_seen_at: f64,
    /// No attempt to it before this time.
    pub(super) not_before: f64,
    /// Pause between attempts, which grows while its lines stay busy.
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
    /// Departure from the design: a number whose lines were all busy gets no attempt until its backoff is
    /// over, since each attempt would cost any central server work without result.
    pub(super) fn is_backing_off(&self, number: u64) -> bool {
        self.called_numbers.get(&number).is_some_and(|n| self.now < n.not_before)
    }

    /// Doubles a number's backoff when its lines are all busy, and halves it when a conversation is
    /// established. Returns whether the backoff has just reached its maximum, the window.
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
