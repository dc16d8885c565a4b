//! Replay protection for the packets of one peer.

/// Which of a peer's packets have been seen: the highest counter and the 64 counters up to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Whether the packet is new; marks it as seen. Packets more than 63 behind the highest are refused.
    pub(crate) fn admit(&mut self, incarnation: u64, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self { incarnation, highest: counter, seen: 1 };
            return true;
        }
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = if ahead < 64 { self.seen << ahead | 1 } else { 1 };
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        let bit = if behind < 64 { 1u64 << behind } else { return false };
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
