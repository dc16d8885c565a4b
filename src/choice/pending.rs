//! The work of each turn: held conversations are sent, held further or given up, and lost attempts cancelled.

use super::*;

/// Above this share of lost answers, an attempt without an answer may have lost its answer too.
const MAX_LOST_ANSWER_SHARE: f64 = 0.05;
/// An answer is quick up to this share of the target delay.
const QUICK_ANSWER_IN_TARGET_DELAYS: f64 = 0.25;

impl Proxy {
    /// Runs all pending decisions. Call it after all events of one point in time. It sends what can be sent,
    /// in descending order of earnings, and gives up at once what can no longer be answered in time.
    pub fn run_pending(&mut self, host: &mut impl Host) {
        let window_start = self.now - self.window;
        for central in self.centrals.iter_mut().flatten() {
            central.forget_before(window_start);
        }
        self.cancel_lost_attempts(host);
        self.give_up_held_answers(host);
        self.probe(host);
        self.called_numbers.expire(self.now);
        let priority = |c: &Conversation| (-c.expected_earnings, c.accepted_at);
        let mut held = std::mem::take(&mut self.held);
        held.sort_by(|a, b| {
            let (a, b) = (&self.conversations[a.key()], &self.conversations[b.key()]);
            priority(a).partial_cmp(&priority(b)).expect("finite")
        });
        let hold_capacity = self.hold_capacity();
        let mut wake_at = f64::INFINITY;
        for handle in held {
            let conversation = &self.conversations[handle.key()];
            let (release_until, latest_send_time) =
                (conversation.release_until, self.latest_send_time(conversation));
            let released = release_until <= self.now;
            let backing_off = conversation.number.is_some_and(|n| self.is_backing_off(n));
            let chosen = if released && !backing_off { self.choose_server(handle) } else { None };
            if let Some(index) = chosen {
                self.send_attempt(handle, index, host);
            } else if backing_off || latest_send_time < self.now || self.held.len() >= hold_capacity {
                self.give_up(handle, host);
            } else {
                self.held.push(handle);
                wake_at = wake_at.min(latest_send_time + 1.0).min(if released {
                    f64::INFINITY
                } else {
                    release_until
                });
            }
        }
        if !self.held.is_empty() || self.centrals.iter().flatten().any(|c| !c.in_flight.is_empty()) {
            wake_at = wake_at.min(self.now + TURN_INTERVAL_IN_TARGET_DELAYS * self.target_delay);
        }
        wake_at = wake_at.min(self.held_answers.next_deadline());
        if wake_at < self.wake_at {
            self.wake_at = wake_at;
            host.wake(wake_at);
        }
    }

    /// Departure from the design: an attempt without an answer after the target delay is cancelled while
    /// there is time to wait for the release and get an answer to another attempt. This applies if it was
    /// superseded, or if attempts were superseded recently and its server's latest answer was quick. It
    /// guards against lost answers and also catches silent servers. It hurts where a server slows down
    /// suddenly while answers get lost elsewhere. A cancelled attempt counts as lost, not as late: it lowers
    /// no concurrency limit.
    pub(super) fn cancel_lost_attempts(&mut self, host: &mut impl Host) {
        for central in self.centrals.iter_mut().flatten().filter(|_| self.terms.may_cancel) {
            let quick = self.lost_answer_share > MAX_LOST_ANSWER_SHARE
                && central.latest_delay <= QUICK_ANSWER_IN_TARGET_DELAYS * self.target_delay;
            let is_lost = |attempt: &&mut InFlight| (attempt.superseded || quick) && !attempt.cancelled;
            for attempt in central.in_flight.iter_mut().filter(is_lost) {
                let Some(conversation) = self.conversations.get(attempt.handle.key()) else { continue };
                let grade = &self.grades[conversation.grade];
                let next_answer_at =
                    self.now + self.terms.release + central.mean_delay.max(self.target_delay * 0.1);
                let may_retry = conversation.attempts < self.terms.max_attempts && grade.repeatable;
                if may_retry
                    && self.now - attempt.sent_at > self.target_delay
                    && next_answer_at < conversation.accepted_at + grade.quoted
                {
                    (attempt.cancelled, attempt.superseded) = (true, true);
                    host.cancel(attempt.handle, conversation.attempts as u16 - 1);
                }
            }
        }
    }

    /// How many conversations are worth holding: as many as were recently sent in half the shortest quoted
    /// time.
    pub(super) fn hold_capacity(&self) -> usize {
        let recent_attempts: usize = self.centrals.iter().flatten().map(|c| c.sent_times.len()).sum();
        2 + (recent_attempts as f64 * 0.5 * self.min_quoted_time / self.window) as usize
    }

    /// Ends a conversation that has no attempt in flight, or whose answer is held: refuses it, or fails it if it may
    /// have been carried out and must not be repeated.
    pub(super) fn give_up(&mut self, handle: Handle, host: &mut impl Host) {
        let conversation = self.conversations.remove(handle.key());
        self.record_fault(conversation.fault_server);
        if !self.grades[conversation.grade].repeatable && conversation.attempts > 0 {
            return host.fail(handle);
        }
        if let Some(number) = conversation.number {
            self.called_numbers.record_refusal(self.now, number, conversation.accepted_at);
        }
        // If all servers have requested a pause, the caller retries no earlier than the first one accepts
        // attempts.
        let running = self.centrals.iter().flatten().filter(|c| c.state == State::Running);
        let shortest_wait = running.map(|c| self.remaining_retry_after(c)).fold(f64::INFINITY, f64::min);
        let shortest_wait = if shortest_wait.is_finite() { shortest_wait } else { 0.0 };
        // The caller does not return before its last attempt is released.
        let shortest_wait = shortest_wait.max(conversation.release_until - self.now);
        let jitter = 0.5 + 0.5 * self.rng.random::<f64>();
        let retry_after = self
            .terms
            .max_retry_after
            .map(|max_retry_after| (max_retry_after * jitter).max(shortest_wait).min(max_retry_after));
        host.refuse(handle, retry_after);
    }
}
