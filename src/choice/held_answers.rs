//! Answers that the host holds back until they are recorded: how long their callers are kept waiting.

use std::collections::BTreeSet;

use ordered_float::OrderedFloat;

use super::*;

/// Established conversations whose callers have not been told yet, in order of their callers' deadlines.
#[derive(Clone, Default)]
pub(super) struct HeldAnswers(BTreeSet<(OrderedFloat<f64>, u32)>);

impl HeldAnswers {
    fn insert(&mut self, caller_deadline: f64, handle: Handle) {
        self.0.insert((OrderedFloat(caller_deadline), handle.0));
    }

    /// Removes a conversation; returns whether its answer was held.
    pub(super) fn remove(&mut self, caller_deadline: f64, handle: Handle) -> bool {
        self.0.remove(&(OrderedFloat(caller_deadline), handle.0))
    }

    /// Removes the first conversation whose caller's deadline has passed.
    fn pop_overdue(&mut self, now: f64) -> Option<Handle> {
        if self.next_deadline() > now {
            return None;
        }
        self.0.pop_first().map(|(_, handle)| Handle(handle))
    }

    /// The earliest deadline of a caller; infinity without any.
    pub(super) fn next_deadline(&self) -> f64 {
        self.0.first().map_or(f64::INFINITY, |(deadline, _)| deadline.0)
    }
}

impl Handle {
    /// The conversation was established, but its caller is not told before [`Handle::answer_sent`]. Call it after
    /// [`Handle::established`].
    pub fn answer_held(self, proxy: &mut Proxy) {
        if let Some(conversation) = proxy.conversations.get(self.key()) {
            proxy.held_answers.insert(conversation.caller_deadline, self);
        }
    }

    /// The caller of a conversation whose answer was held has been told.
    pub fn answer_sent(self, proxy: &mut Proxy) {
        if let Some(conversation) = proxy.conversations.get(self.key()) {
            proxy.held_answers.remove(conversation.caller_deadline, self);
        }
    }
}

impl Proxy {
    /// Departure from the design: an established conversation whose answer is still held when its caller is about to
    /// give up is given up. So the caller gets an answer in time, and its central server is not left with a call that
    /// nobody took.
    pub(super) fn give_up_held_answers(&mut self, host: &mut impl Host) {
        while let Some(handle) = self.held_answers.pop_overdue(self.now) {
            // The call is cancelled at its central server.
            self.conversations[handle.key()].release_until = self.now + self.terms.release + 1.0;
            self.give_up(handle, host);
        }
    }
}
