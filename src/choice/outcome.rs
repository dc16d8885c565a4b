//! What becomes of shots, and what is learnt from it.

use super::*;

/// The most of a line's lately used room that its allowance may be: this, and more where few share a central
/// server, so that each must be able to fill what another leaves; the most that one answer adds or cuts.
const LIMIT_HEADROOM: f64 = 2.0;
const LIMIT_HEADROOM_OF_ONE_PROXY: f64 = 16.0;
const MAX_GROWTH_FACTOR: f64 = 2.0;
const MIN_CUT_FACTOR: f64 = 0.5;
/// How fast an allowance grows: shots for each window's worth of good answers.
const GROWTH_PER_WINDOW: f64 = 0.25;

impl Proxy {
    /// Departure: a fault counts as 1 in its server's histogram, else one that fails everything quickly would
    /// look best and draw all traffic; but once for a conversation, when it stands or is given up, and not
    /// where it met another elsewhere, for then it is the conversation's own. Guards against callers whose
    /// calls no server can use, which would close all of them; holds whatever is wrong with the call. Hurts
    /// where several servers fail much at once: what fails at two of them is not counted.
    pub(super) fn record_fault(&mut self, fault_server: Option<usize>) {
        if let Some(central) = fault_server.and_then(|index| self.centrals[index].as_mut()) {
            central.add_sample(self.now, 1.0);
        }
    }

    /// Takes a shot off its line and counts its delay, or nothing; an answer moves the line's allowance.
    /// `least` is what its ratio counts for at the least.
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
            central.mean_delay += 0.25 * (effective_delay - central.mean_delay);
        }
        let base_cool_down = effective_delay.min(2.0 * target_delay);
        (central.cool_down_since, central.cool_down) =
            (now, base_cool_down * (1.0 / central.concurrency_limit.min(1.0) - 1.0));
        self.update_weight(index);
    }
}

impl Handle {
    pub(super) fn key(self) -> usize {
        self.0 as usize
    }

    /// Lets the conversation in: [`Proxy::run_pending`] finds its first way, or holds it, or gives it up.
    pub fn enqueue(self, proxy: &mut Proxy) {
        proxy.held.push(self);
    }

    /// The conversation stands.
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

    /// The shot, or the conversation that stood by it, has ended; `finished` when no answer is owed.
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
        if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
            conversation.release_until = now + proxy.terms.release + 1.0;
        }
        let may_have_run =
            !matches!(ending, Ending::Rejected | Ending::NoFreeLine | Ending::NoConnection | Ending::NotSent);
        // Two servers say that it can't be set up: they are not asked again.
        let attempt_server = attempt.as_ref().map(|attempt| attempt.server);
        let earlier_fault = conversation.fault_server.filter(|_| ending == Ending::Error);
        let call_is_faulty = earlier_fault.is_some() && earlier_fault != attempt_server;
        if ending == Ending::Error {
            conversation.fault_server = if call_is_faulty { None } else { attempt_server };
        }
        let may_retry = !closed
            && !call_is_faulty
            && conversation.attempts < proxy.terms.max_attempts
            && conversation.caller_deadline > now
            && (!may_have_run || proxy.grades[conversation.grade].repeatable);
        if let Some(attempt) = attempt.filter(|_| !established) {
            if matches!(ending, Ending::TimedOut | Ending::NoConnection | Ending::Error) {
                conversation.failed_server = Some(attempt.server);
            }
            // What never left, or was called off, was not answered either.
            let unanswered = [Ending::TimedOut, Ending::NoConnection, Ending::Cancelled, Ending::NotSent];
            if let Some(central) =
                proxy.centrals[attempt.server].as_mut().filter(|_| !unanswered.contains(&ending))
            {
                central.last_heard_at = now;
            }
            let age = now - attempt.sent_at;
            match ending {
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
                // A cut or fault says nothing of the line but its age, though it counts as 1 in the
                // histogram: a fault when it shows whose it is.
                Ending::Error => proxy.record_answer(attempt.server, self, Some(age), time_limit, None),
                Ending::Reset => proxy.record_answer(attempt.server, self, Some(age), time_limit, Some(1.0)),
                _ => proxy.record_answer(attempt.server, self, None, time_limit, Some(1.0)),
            }
            // Departure: nobody listens there, which its network tells at once, not after a wait that would
            // fill the line: closed but for single shots, about one a window, lest one conversation spends
            // all in an instant. No longer, since it may be back without any word of it. Holds for any
            // refusal before the processor; hurts where one is told for a server that is up.
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
            host.log(&format!("number {number} is busy, gapped"));
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

    /// The caller has gone.
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
