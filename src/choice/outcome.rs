//! The events of a conversation and its attempts, and how they change the state of central servers.

use super::*;

/// The concurrency limit is at most this multiple of the recently used concurrency, plus a part that grows
/// with the proxy's share of the fleet.
const LIMIT_HEADROOM: f64 = 2.0;
/// That part for a single proxy. Where few proxies share a central server, each must be able to use what
/// another one leaves.
const LIMIT_HEADROOM_OF_ONE_PROXY: f64 = 16.0;
/// One answer raises the concurrency limit by at most this factor.
const MAX_GROWTH_FACTOR: f64 = 2.0;
/// One answer lowers the concurrency limit by no more than this factor.
const MIN_CUT_FACTOR: f64 = 0.5;
/// How fast a concurrency limit grows: attempts for each window of good answers.
const GROWTH_PER_WINDOW: f64 = 0.25;

impl Proxy {
    /// Departure from the design: a fault counts as 1 in its server's histogram. Otherwise a server that
    /// quickly fails everything would look best and attract all traffic. A fault counts once for a
    /// conversation, when it is established or given up, and not if the conversation had a fault at another
    /// server too, since then the fault is in the call. This guards against calls that no server can set up,
    /// whatever is wrong with them, which would close all servers. It hurts where several servers fail often
    /// at the same time: a call that fails at two of them is not counted.
    pub(super) fn record_fault(&mut self, fault_server: Option<usize>) {
        if let Some(central) = fault_server.and_then(|index| self.centrals[index].as_mut()) {
            central.add_sample(self.now, 1.0);
        }
    }

    /// Removes an attempt from those in flight, records its delay and adjusts the server's concurrency limit.
    /// Without a `delay` the attempt counts as infinitely late. `min_ratio` is the least ratio recorded in
    /// the histogram; `None` records nothing there. A superseded attempt changes nothing else.
    fn record_answer(
        &mut self,
        index: usize,
        handle: Handle,
        delay: Option<f64>,
        time_limit: f64,
        min_ratio: Option<f64>,
    ) {
        let (now, target_delay, window) = (self.now, self.target_delay, self.window);
        let proxy_share = 1.0 / f64::from(self.terms.proxies);
        let Some(central) = &mut self.centrals[index] else { return };
        let at_limit = central.queued().count() as f64 + 1.0 > central.concurrency_limit;
        let Some(position) = central.in_flight.iter().position(|attempt| attempt.handle == handle) else {
            return;
        };
        let InFlight { sent_at, superseded, .. } = central.in_flight.swap_remove(position);
        if superseded {
            return;
        }
        let effective_delay = delay.unwrap_or(f64::INFINITY);
        if let Some(min_ratio) = min_ratio {
            central.add_sample(now, (effective_delay / time_limit).clamp(min_ratio, 1.0));
        }
        central.latest_delay = effective_delay;
        if effective_delay > target_delay {
            if sent_at >= central.limit_cut_at {
                let cut_factor = (target_delay / effective_delay).max(MIN_CUT_FACTOR);
                central.concurrency_limit =
                    (central.concurrency_limit * cut_factor).max(MIN_FLEET_IN_FLIGHT * proxy_share);
                central.limit_cut_at = now;
            }
        } else if at_limit {
            let headroom = 1.0 - effective_delay / target_delay;
            let grown_limit = central.concurrency_limit
                + GROWTH_PER_WINDOW * (headroom + 0.2) / central.concurrency_limit.max(0.5);
            let used_concurrency = (central.sent_times.len() as f64 + 1.0) * target_delay / window;
            central.concurrency_limit = grown_limit.min(central.concurrency_limit * MAX_GROWTH_FACTOR).min(
                ((LIMIT_HEADROOM + LIMIT_HEADROOM_OF_ONE_PROXY * proxy_share) * used_concurrency)
                    .max(INITIAL_FLEET_IN_FLIGHT * proxy_share),
            );
        }
        if delay.is_some() {
            central.mean_delay += NEW_VALUE_WEIGHT * (effective_delay - central.mean_delay);
        }
        let base_cool_down = effective_delay.min(2.0 * target_delay);
        (central.cool_down_since, central.cool_down) =
            (now, base_cool_down * (1.0 / central.concurrency_limit.min(1.0) - 1.0));
        self.update_weight(index);
    }
}

impl Handle {
    /// Key in [`Proxy::conversations`].
    pub(super) fn key(self) -> usize {
        self.0 as usize
    }

    /// Queues the conversation for its first decision: [`Proxy::run_pending`] sends it, holds it or gives it
    /// up.
    pub fn enqueue(self, proxy: &mut Proxy) {
        proxy.held.push(self);
    }

    /// The conversation was established.
    pub fn established(self, proxy: &mut Proxy) {
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        conversation.established = true;
        let fault_server = conversation.fault_server.take();
        let number = conversation.number;
        let Some(attempt) = &conversation.attempt else { return };
        let (index, sent_at, delay) = (attempt.server, attempt.sent_at, proxy.now - attempt.sent_at);
        let time_limit = proxy.grades[conversation.grade].limit;
        proxy.record_answer(index, self, Some(delay), time_limit, Some(0.0));
        proxy.record_fault(fault_server);
        if let Some(central) = &mut proxy.centrals[index] {
            central.last_heard_at = proxy.now;
            central.last_established = Some(EstablishedAttempt { sent_at, delay });
            let is_earlier = |other: &&mut InFlight| other.sent_at < sent_at && !other.superseded;
            let superseded =
                central.in_flight.iter_mut().filter(is_earlier).map(|other| other.superseded = true).count();
            proxy.lost_answer_share += (superseded as f64
                - (1 + superseded) as f64 * proxy.lost_answer_share)
                / MIN_QUANTILE_SAMPLES as f64;
        }
        if let Some(number) = number {
            proxy.update_backoff(number, false);
        }
    }

    /// The attempt, or the conversation that it established, has ended. With `finished` no final answer to
    /// the caller is due; a conversation whose answer is held is not finished by the end of its call.
    pub fn attempt_ended(self, proxy: &mut Proxy, ending: Ending, finished: bool, host: &mut impl Host) {
        let now = proxy.now;
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        let attempt = conversation.attempt.take();
        if attempt.is_none() && !finished {
            return;
        }
        let time_limit = proxy.grades[conversation.grade].limit;
        let number = conversation.number;
        let (established, closed) = (conversation.established, conversation.closed || finished);
        let answer_was_held = proxy.held_answers.remove(conversation.caller_deadline, self);
        if answer_was_held {
            conversation.established = false;
        }
        if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
            conversation.release_until = now + proxy.terms.release + 1.0;
        }
        let may_have_run =
            !matches!(ending, Ending::Rejected | Ending::NoFreeLine | Ending::NoConnection | Ending::NotSent);
        // After faults at two servers the call itself is taken to be faulty and is not tried again.
        let attempt_server = attempt.as_ref().map(|attempt| attempt.server);
        let earlier_fault = conversation.fault_server.filter(|_| ending == Ending::Error);
        let call_is_faulty = earlier_fault.is_some() && earlier_fault != attempt_server;
        if ending == Ending::Error {
            conversation.fault_server = if call_is_faulty { None } else { attempt_server };
        }
        // A call that both sides have completed is not repeated for a caller who was not told in time.
        let was_completed = answer_was_held && ending == Ending::Ok;
        let may_retry = !closed
            && !call_is_faulty
            && !was_completed
            && conversation.attempts < proxy.terms.max_attempts
            && conversation.caller_deadline > now
            && (!may_have_run || proxy.grades[conversation.grade].repeatable);
        if let Some(attempt) = attempt.filter(|_| !established) {
            if matches!(ending, Ending::TimedOut | Ending::NoConnection | Ending::Error) {
                conversation.failed_server = Some(attempt.server);
            }
            // An attempt that was not sent or was cancelled had no answer either.
            let unanswered = [Ending::TimedOut, Ending::NoConnection, Ending::Cancelled, Ending::NotSent];
            if let Some(central) =
                proxy.centrals[attempt.server].as_mut().filter(|_| !unanswered.contains(&ending))
            {
                central.last_heard_at = now;
            }
            let age = now - attempt.sent_at;
            match ending {
                // A cancelled attempt was late if it was cancelled late. Before that its delay is unknown.
                Ending::Cancelled if age <= proxy.target_delay => {
                    if let Some(central) = &mut proxy.centrals[attempt.server] {
                        central.remove_without_answer(self, now);
                    }
                }
                Ending::Ok | Ending::Cancelled | Ending::Busy => {
                    proxy.record_answer(attempt.server, self, Some(age), time_limit, Some(0.0))
                }
                Ending::NotSent | Ending::NoFreeLine => {
                    if let Some(central) = &mut proxy.centrals[attempt.server] {
                        central.in_flight.retain(|other| other.handle != self);
                        if ending == Ending::NoFreeLine {
                            (central.free_lines, central.free_lines_reported_at, central.no_free_line_at) =
                                (0.0, now, now);
                        }
                    }
                }
                // A reset or fault tells no more about the server's load than the age of the attempt, though
                // it counts as 1 in the histogram; a fault does so once it is known to be the server's.
                Ending::Error => proxy.record_answer(attempt.server, self, Some(age), time_limit, None),
                Ending::Reset => proxy.record_answer(attempt.server, self, Some(age), time_limit, Some(1.0)),
                _ => proxy.record_answer(attempt.server, self, None, time_limit, Some(1.0)),
            }
            // Departure from the design: nobody listens there. The network reports this at once, so there is
            // no delay that would use up the concurrency limit. The server is closed except for single
            // attempts, about one per window, so that one conversation does not spend all its attempts in an
            // instant. It is closed no longer than that, since it may return without notice. This applies to
            // any refusal before the processor, and hurts where one is reported for a server that is up.
            if ending == Ending::NoConnection {
                let cool_down = proxy.window * (0.5 + proxy.rng.random::<f64>());
                let initial_limit = INITIAL_FLEET_IN_FLIGHT / f64::from(proxy.terms.proxies);
                if let Some(central) = &mut proxy.centrals[attempt.server] {
                    central.concurrency_limit =
                        central.concurrency_limit.max(initial_limit).min(MIN_CUT_FACTOR);
                    central.cool_down = cool_down;
                }
            }
        }
        let busy_number = number.filter(|_| ending == Ending::Busy);
        if let Some(number) = busy_number
            && proxy.update_backoff(number, true)
        {
            host.log(&format!("number {number} is busy, backing off"));
        }
        if closed {
            let conversation = proxy.conversations.remove(self.key());
            proxy.record_fault(conversation.fault_server);
        } else if busy_number.is_some() {
            proxy.give_up(self, host);
        } else if may_retry {
            proxy.held.push(self);
        } else {
            let conversation = proxy.conversations.remove(self.key());
            proxy.record_fault(conversation.fault_server);
            host.fail(self);
        }
    }

    /// The caller has hung up.
    pub fn caller_gone(self, proxy: &mut Proxy) {
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        conversation.closed = true;
        if conversation.attempt.is_none() {
            proxy.held.retain(|&held| held != self);
            let conversation = proxy.conversations.remove(self.key());
            proxy.record_fault(conversation.fault_server);
        }
    }
}
