//! What every entry keeps for the module, whatever its wire: shots' time-outs, when it wants to be woken, and
//! shots that ended while it was speaking, which it must be told of when it has finished.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use frostthread::host::{Ending, Handle};
use ordered_float::OrderedFloat;

/// `K` names a attempt on its wire.
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
    /// The attempt is to be given up then, if it is still out.
    pub fn start_timeout(&mut self, at: f64, attempt: K) {
        self.timeouts.push(Reverse((OrderedFloat(at), attempt)));
    }

    /// The next attempt whose time is over; it may have ended long ago.
    pub fn next_timed_out(&mut self, now: f64) -> Option<K> {
        let Reverse((at, _)) = self.timeouts.peek()?;
        if at.0 > now {
            return None;
        }
        self.timeouts.pop().map(|Reverse((_, attempt))| attempt)
    }

    /// The module asks again only once it has taken the former time for past: this one replaces it.
    pub fn set_wake(&mut self, at: f64) {
        self.wake = at;
    }

    /// As the module does: whatever comes at that time or later stands for the wake.
    pub fn clear_passed_wake(&mut self, now: f64) {
        if self.wake <= now {
            self.wake = f64::INFINITY;
        }
    }

    /// When the module or a attempt's time wants attention.
    pub fn due(&self) -> f64 {
        let time_out = self.timeouts.peek().map_or(f64::INFINITY, |Reverse((at, _))| at.0);
        self.wake.min(time_out)
    }

    /// The attempt has ended, and the module is to be told when it has finished speaking.
    pub fn defer_ending(&mut self, handle: Handle, ending: Ending) {
        self.deferred_endings.push_back((handle, ending));
    }

    /// All that the module has not heard yet.
    pub fn take_deferred_endings(&mut self) -> VecDeque<(Handle, Ending)> {
        std::mem::take(&mut self.deferred_endings)
    }
}
