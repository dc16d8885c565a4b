//! Timers that any border proxy keeps for the module, whatever its protocol: timeouts of attempts, the
//! module's next wake, and endings of attempts that occur while the module runs and are reported to it
//! afterwards.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use frostthread::host::{Ending, Handle};
use ordered_float::OrderedFloat;

/// Timers of a proxy; `K` identifies an attempt in its protocol.
pub struct Timers<K> {
    timeouts: BinaryHeap<Reverse<(OrderedFloat<f64>, K)>>,
    wake: f64,
    deferred_endings: VecDeque<(Handle, Ending)>,
}

impl<K: Ord> Default for Timers<K> {
    fn default() -> Self {
        Self { timeouts: BinaryHeap::new(), wake: f64::INFINITY, deferred_endings: VecDeque::new() }
    }
}

impl<K: Ord + Clone> Timers<K> {
    /// Starts the timeout of an attempt that is in flight until `at`.
    pub fn start_timeout(&mut self, at: f64, attempt: K) {
        self.timeouts.push(Reverse((OrderedFloat(at), attempt)));
    }

    /// The next attempt whose timeout has passed; it may have ended before.
    pub fn next_timed_out(&mut self, now: f64) -> Option<K> {
        let Reverse((at, _)) = self.timeouts.peek()?;
        if at.0 > now {
            return None;
        }
        self.timeouts.pop().map(|Reverse((_, attempt))| attempt)
    }

    /// Sets the time of the next wake. It replaces the previous one, as the module sets it again only when
    /// that time has passed.
    pub fn set_wake(&mut self, at: f64) {
        self.wake = at;
    }

    /// Clears the wake if its time has passed: any event at that time or later counts as the wake, for the
    /// module too.
    pub fn clear_passed_wake(&mut self, now: f64) {
        if self.wake <= now {
            self.wake = f64::INFINITY;
        }
    }

    /// The earliest time of a wake or a timeout.
    pub fn due(&self) -> f64 {
        let next_timeout = self.timeouts.peek().map_or(f64::INFINITY, |Reverse((at, _))| at.0);
        self.wake.min(next_timeout)
    }

    /// Stores the ending of an attempt until the module has finished its run.
    pub fn defer_ending(&mut self, handle: Handle, ending: Ending) {
        self.deferred_endings.push_back((handle, ending));
    }

    /// Takes all endings that were not yet reported to the module.
    pub fn take_deferred_endings(&mut self) -> VecDeque<(Handle, Ending)> {
        std::mem::take(&mut self.deferred_endings)
    }
}
