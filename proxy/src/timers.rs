//! What every entry keeps for the module, whatever its wire: shots' time-outs, when it wants to be woken, and
//! shots that ended while it was speaking, which it must be told of when it has finished.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use frostthread::host::{Ending, Handle};
use ordered_float::OrderedFloat;

/// `K` names a shot on its wire.
pub struct Timers<K> {
    time_outs: BinaryHeap<Reverse<(OrderedFloat<f64>, K)>>,
    wake: f64,
    unheard: VecDeque<(Handle, Ending)>,
}

impl<K: Ord> Default for Timers<K> {
    fn default() -> Self {
        Self { time_outs: BinaryHeap::new(), wake: f64::INFINITY, unheard: VecDeque::new() }
    }
}

impl<K: Ord + Clone> Timers<K> {
    /// The shot is to be given up then, if it is still out.
    pub fn start_timeout(&mut self, at: f64, shot: K) {
        self.time_outs.push(Reverse((OrderedFloat(at), shot)));
    }

    /// The next shot whose time is over; it may have ended long ago.
    pub fn next_timed_out(&mut self, now: f64) -> Option<K> {
        let Reverse((at, _)) = self.time_outs.peek()?;
        if at.0 > now {
            return None;
        }
        self.time_outs.pop().map(|Reverse((_, shot))| shot)
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

    /// When the module or a shot's time wants attention.
    pub fn due(&self) -> f64 {
        let time_out = self.time_outs.peek().map_or(f64::INFINITY, |Reverse((at, _))| at.0);
        self.wake.min(time_out)
    }

    /// The shot has ended, and the module is to be told when it has finished speaking.
    pub fn defer_ending(&mut self, handle: Handle, ending: Ending) {
        self.unheard.push_back((handle, ending));
    }

    /// All that the module has not heard yet.
    pub fn take_deferred_endings(&mut self) -> VecDeque<(Handle, Ending)> {
        std::mem::take(&mut self.unheard)
    }
}
