//! Called numbers whose lines are busy, or that were lately given up.

use super::*;

/// A called number that was lately given up, or whose lines were all busy.
#[derive(Clone)]
pub(super) struct Number {
    /// When its caller's first try was taken, and when that was last given up.
    pub(super) first: f64,
    pub(super) seen: f64,
    /// No shot for it before this; the gap between shots, which grows while its lines stay busy.
    pub(super) not_before: f64,
    pub(super) gap: f64,
}

impl Number {
    pub(super) fn new(first: f64) -> Self {
        Self { first, seen: first, not_before: first, gap: 0.0 }
    }
}

impl Proxy {
    /// Departure: a number whose lines were all busy gets no shot until its gap is over, since each would
    /// cost every central server work for nothing.
    pub(super) fn gapped(&self, number: u64) -> bool {
        self.numbers.get(&number).is_some_and(|n| self.now < n.not_before)
    }

    /// Widens a number's gap when its lines are all busy, and narrows it when a conversation stands. True
    /// when the gap reaches its full width.
    pub(super) fn space(&mut self, number: u64, busy: bool) -> bool {
        let now = self.now;
        if busy {
            let entry = self.numbers.entry(number).or_insert_with(|| Number::new(now));
            let former = entry.gap;
            entry.gap = (2.0 * former).max(self.terms.release).min(self.window);
            (entry.seen, entry.not_before) = (now, now + entry.gap);
            return entry.gap > former && entry.gap >= self.window;
        } else if self.numbers.get(&number).is_some_and(|n| n.gap == 0.0) {
            self.numbers.remove(&number);
        } else if let Some(entry) = self.numbers.get_mut(&number) {
            entry.gap *= 0.5;
            (entry.seen, entry.not_before) = (now, now + entry.gap);
        }
        false
    }
}
