//! Which central servers are eligible for a conversation now, and which of them gets it.

use super::*;

/// During a cool-down the earnings of a call count as at least this share of the mean earnings.
const MIN_EARNINGS_SHARE: f64 = 0.01;
/// A caller must still wait for this multiple of the expected delay.
const MIN_WAIT_IN_DELAYS: f64 = 1.5;
/// Fractional part of the golden ratio; its multiples spread one random draw evenly over the central servers.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

impl Proxy {
    /// The test of the design: whether the delay of set-ups, with the share of this call added, stays within
    /// the quoted time except for the grade's violation probability.
    pub(super) fn passes_quantile_test(&self, central: &Central, grade: &Grade) -> bool {
        if central.histogram.samples() < MIN_QUANTILE_SAMPLES {
            return true;
        }
        let alpha = 1.0 / (1.0 + central.sent_times.len() as f64);
        quantile_after(&central.histogram, grade.violation_probability, alpha) * grade.limit <= grade.quoted
    }

    /// Departure from the design: a central server gets only as many concurrent attempts as it answers well
    /// before set-ups are sent again, which would add work. Attempts in flight use up the limit, so a hung,
    /// slow or silent server stops getting work by itself. An attempt older than twice the target delay
    /// lowers the limit before it ends. With a limit below 1 the server has a cool-down between attempts,
    /// which is longer for low earnings. While its latest answer was late, high earnings do not shorten the
    /// cool-down, so that trying the server again is not left to those calls.
    pub(super) fn has_capacity(&self, central: &Central, expected_earnings: f64) -> bool {
        let oldest_age = central.queued().map(|attempt| self.now - attempt.sent_at).fold(0.0, f64::max);
        let concurrency_limit = central.concurrency_limit
            * (OVERLOAD_AGE_IN_TARGET_DELAYS * self.target_delay / oldest_age).min(1.0);
        let in_flight = central.queued().count();
        if concurrency_limit < 1.0 {
            let mut cool_down_factor =
                (self.mean_earnings / expected_earnings.max(MIN_EARNINGS_SHARE * self.mean_earnings)).powi(2);
            if central.latest_delay > self.target_delay {
                cool_down_factor = cool_down_factor.max(1.0);
            }
            in_flight == 0 && self.now - central.cool_down_since >= central.cool_down * cool_down_factor
        } else {
            in_flight as f64 + 1.0 <= concurrency_limit + central.dither
        }
    }

    /// The share of conversations that may go to a central server by its reported rate. Departure from the
    /// design: where this proxy has few answers of its own and the server reports how many set-ups it can
    /// handle, a drop of that rate is shared at random by all proxies: each admits the same part of what it
    /// would send. This guards against a sudden loss of speed, which the answers to one proxy show only after
    /// seconds, for any cause that the server itself notices. It hurts where the reported rate is too low, so
    /// a report is trusted only for one window.
    pub(super) fn rate_admission_share(&self, central: &Central) -> f64 {
        let fresh = self.now - central.rate_reported_at < self.window;
        if fresh && central.histogram.samples() < SCARCE_SAMPLES {
            RATE_TOLERANCE * central.reported_rate / central.best_reported_rate
        } else {
            1.0
        }
    }

    /// The share of conversations that may go to a central server by its free lines. Departure from the
    /// design: while attempts are rejected because no line is free, all proxies compete for the same few
    /// lines. Each admits, at random and in proportion to earnings, the part that the free lines cover of all
    /// lines that are released and taken again before the next report. This guards against bursts of
    /// rejections, which cost the processor work, and against calls with low earnings that occupy the few
    /// lines. It leaves a few lines idle.
    pub(super) fn line_admission_share(&self, central: &Central, expected_earnings: f64) -> f64 {
        if self.now - central.no_free_line_at > self.window {
            return 1.0;
        }
        let relative_earnings = expected_earnings / self.mean_earnings;
        relative_earnings * central.free_lines * self.mean_hold
            / (central.lines * central.lines_report_interval)
    }

    /// Departure from the design: the remaining wait, in milliseconds, that a central server requested when
    /// it rejected an attempt, where such waits are respected; not positive when it is over. This guards busy
    /// processors from attempts that would only cost them more work. It hurts where a server names too long a
    /// wait.
    pub(super) fn remaining_retry_after(&self, central: &Central) -> f64 {
        if self.terms.respect_retry_after { central.retry_at - self.now } else { 0.0 }
    }

    /// Departure from the design: no attempt whose caller will have hung up before an answer as late as the
    /// server's latest one, since its work would be wasted. This guards against callers with short timeouts
    /// and also catches late redials. It hurts where the latest answer was an outlier, so a delay counts for
    /// no more than that of an overloaded server.
    pub(super) fn caller_can_wait(&self, central: &Central, conversation: &Conversation) -> bool {
        let delay = central.latest_delay.min(OVERLOAD_AGE_IN_TARGET_DELAYS * self.target_delay);
        conversation.caller_deadline - self.now > MIN_WAIT_IN_DELAYS * delay
    }

    /// Whether a central server may get an attempt of the conversation now.
    pub(super) fn is_eligible(&self, index: usize, conversation: &Conversation) -> bool {
        let Some(central) = &self.centrals[index] else { return false };
        let grade = &self.grades[conversation.grade];
        central.state == State::Running
            && grade.pools.contains(&central.pool)
            && (central.free_lines > 0.0 || self.now - central.free_lines_reported_at > self.window)
            && conversation.random_draw < self.rate_admission_share(central)
            && (conversation.random_draw + index as f64 * GOLDEN_RATIO_FRACTION).fract()
                < self.line_admission_share(central, conversation.expected_earnings)
            && self.has_capacity(central, conversation.expected_earnings)
            && self.passes_quantile_test(central, grade)
            && self.remaining_retry_after(central) <= 0.0
            && self.caller_can_wait(central, conversation)
            && !self.is_too_cold(central)
            && !self.is_suspected_silent(central)
    }

    /// Departure from the design: the random choice is weighted by free lines too, so that calls which move
    /// away from one central server do not all meet at the smallest one.
    pub(super) fn free_line_weight(&self, index: usize) -> f64 {
        let free_lines = self.centrals[index].as_ref().map_or(0.0, |c| c.free_lines);
        if free_lines.is_finite() { free_lines.max(1.0) } else { 1.0 }
    }

    /// Chooses a server of the preferred pool if one is eligible, otherwise a weighted random one among the
    /// eligible servers.
    pub(super) fn choose_server(&mut self, handle: Handle) -> Option<usize> {
        let conversation = &self.conversations[handle.key()];
        let mut eligible: Vec<usize> =
            (0..self.centrals.len()).filter(|&i| self.is_eligible(i, conversation)).collect();
        // Departure from the design: the fleet-wide limit is applied last, so that it never opens a server
        // that another rule closes. A conversation that it alone withholds is counted at the server that it
        // would have gone to.
        let preferred_pool = conversation.preferred_pool;
        let is_limited = |&&i: &&usize| self.centrals[i].as_ref().is_some_and(|c| c.fleet_limit == Some(0));
        let withheld: Vec<usize> = eligible.iter().filter(is_limited).copied().collect();
        eligible.retain(|i| !withheld.contains(i));
        let intended = |&&i: &&usize| self.centrals[i].as_ref().is_some_and(|c| c.pool == preferred_pool);
        let intended =
            withheld.iter().find(intended).or(withheld.first().filter(|_| eligible.is_empty())).copied();
        if let Some(central) = intended.and_then(|i| self.centrals[i].as_mut()) {
            central.withheld_by_limit += u32::from(!std::mem::replace(
                &mut self.conversations[handle.key()].counted_as_withheld,
                true,
            ));
        }
        let conversation = &self.conversations[handle.key()];
        // Departure from the design: after an attempt that found no connection, no answer or a fault, the
        // other servers go first. This guards against spending all attempts at one silent or faulty server
        // whose limit is still high, and shows whether a fault is in the call. It hurts where only the answer
        // was lost.
        if eligible.len() > 1 {
            eligible.retain(|&i| conversation.failed_server != Some(i));
        }
        let pool = |i: usize| self.centrals[i].as_ref().expect("eligible servers are known").pool;
        if let Some(&preferred) = eligible.iter().find(|&&i| pool(i) == conversation.preferred_pool) {
            return Some(preferred);
        }
        let weights: Vec<f64> =
            eligible.iter().map(|&i| self.update_weight(i) * self.free_line_weight(i)).collect();
        let mut draw = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let position = weights.iter().position(|w| {
            draw -= w;
            draw <= 0.0
        });
        position.or(eligible.len().checked_sub(1)).map(|position| eligible[position])
    }

    /// Updates and returns a server's weight in the random choice, which is the inverse of its mean ratio:
    /// lower at once, higher again only over a window.
    pub(super) fn update_weight(&mut self, index: usize) -> f64 {
        let Some(central) = &mut self.centrals[index] else { return 0.0 };
        let target_weight = 1.0 / central.histogram.mean();
        let step = ((self.now - central.weight_updated_at) / self.window).min(1.0);
        central.weight = target_weight.min(central.weight + step * target_weight);
        central.weight_updated_at = self.now;
        central.weight
    }

    /// Sends an attempt of the conversation to a central server.
    pub(super) fn send_attempt(&mut self, handle: Handle, index: usize, host: &mut impl Host) {
        let (now, half_open_interval) = (self.now, self.half_open_interval());
        let only_server = self.centrals.iter().flatten().filter(|c| c.state == State::Running).count() < 2;
        let conversation = &mut self.conversations[handle.key()];
        let grade = &self.grades[conversation.grade];
        let caller_remaining = conversation.caller_deadline - now;
        let central = self.centrals[index].as_mut().expect("the chosen server is known");
        // Leaves time to wait for the release and to be answered elsewhere within the quoted time.
        let time_before_retry =
            conversation.accepted_at + grade.quoted - now - self.terms.release - self.target_delay;
        let last_attempt =
            conversation.attempts + 1 >= self.terms.max_attempts || only_server || !grade.repeatable;
        let timeout = if last_attempt || time_before_retry < 2.0 * self.target_delay {
            caller_remaining
        } else {
            time_before_retry.min(caller_remaining)
        };
        // Departure from the design: where waits are reported and the latest answer was in time, an attempt
        // times out with its quoted time, so that a set-up that would be late does not keep its place in a
        // processor's queue. This guards against servers that become slow and also catches hung ones. It
        // hurts where answers wait behind set-ups, since the work is done by then. So it does not apply where
        // no wait is reported, nor where answers are late anyway.
        let quoted_remaining = conversation.accepted_at + grade.quoted - now;
        let wait_is_known = central.reports_wait && central.latest_delay <= self.min_quoted_time;
        let timeout =
            if wait_is_known && quoted_remaining > 0.0 { timeout.min(quoted_remaining) } else { timeout };
        conversation.attempts += 1;
        conversation.attempt = Some(Attempt { server: index, sent_at: now });
        central.in_flight.push(InFlight { handle, sent_at: now, superseded: false, cancelled: false });
        central.sent_times.push_back(now);
        central.last_sent_at = now;
        central.fleet_limit = central.fleet_limit.map(|attempts| attempts.saturating_sub(1));
        central.dither = self.rng.random();
        if central.suspicion.is_some() {
            central.next_half_open_at = now + half_open_interval * (0.5 + self.rng.random::<f64>());
        }
        host.send_attempt(handle, Server(index as u32), timeout);
    }

    /// The latest time at which an attempt can be sent and still be answered within the quoted time.
    pub(super) fn latest_send_time(&self, conversation: &Conversation) -> f64 {
        let min_delay = self.centrals.iter().flatten().filter(|c| c.state == State::Running);
        let min_delay = min_delay.map(|c| c.mean_delay).fold(f64::INFINITY, f64::min).min(self.target_delay);
        let quoted_limit =
            conversation.accepted_at + self.grades[conversation.grade].quoted - 1.2 * min_delay;
        quoted_limit.min(conversation.caller_deadline - 2.0 * min_delay.max(0.1 * self.target_delay))
    }
}
