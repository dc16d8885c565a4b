//! Which central servers may have a conversation now, and which of them has it.

use super::*;

/// A call is taken to be worth at least this share of mean earnings when its line rests.
const MIN_EARNINGS_SHARE: f64 = 0.01;
/// A caller should still wait for so many times the delay that is to be expected.
const MIN_WAIT_IN_DELAYS: f64 = 1.5;
/// Spreads one draw evenly over the central servers.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

impl Proxy {
    /// The design's test: would the set-up's delay, with this call's own share added, stay inside the quoted
    /// time at all but the grade's violation probability?
    pub(super) fn passes_quantile_test(&self, central: &Central, grade: &Grade) -> bool {
        if central.histogram.samples() < MIN_QUANTILE_SAMPLES {
            return true;
        }
        let alpha = 1.0 / (1.0 + central.sent_times.len() as f64);
        quantile_after(&central.histogram, grade.violation_probability, alpha) * grade.limit <= grade.quoted
    }

    /// Departure: the line to a central server takes only as many shots as it answers well within the span
    /// after which waiting set-ups breed work. Shots out fill it, so that a hung, slow or silent one stops
    /// taking work by itself; one of twice the standing delay shrinks the line before it ends. Where the line
    /// takes less than one, it rests between shots, longer for low earners; high earners do not go sooner
    /// while its latest answer was late, so that trying it again is not left to them.
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

    /// Departure: where own answers are scarce and a central server says how many set-ups it can take, a fall
    /// of that rate is shared by all that shoot at it, by chance: each proxy lets through that part of what
    /// it would send. Guards against a sudden loss of speed, which one proxy's own answers show only after
    /// seconds; holds for any cause that the server itself notices. Hurts where the rate is told too low:
    /// hence its short trust.
    pub(super) fn rate_admission_share(&self, central: &Central) -> f64 {
        let fresh = self.now - central.rate_reported_at < self.window;
        if fresh && central.histogram.samples() < SCARCE_SAMPLES {
            RATE_TOLERANCE * central.reported_rate / central.best_reported_rate
        } else {
            1.0
        }
    }

    /// Departure: while shots come back for want of a line, all proxies are after the same few. Each lets
    /// through, by chance, what the free ones cover of the lines that change hands before the next word of
    /// them, in proportion to earnings. Guards against storms of nacks, which cost the processor work, and
    /// against low earners that hold what lines there are; leaves a few lines idle.
    pub(super) fn line_admission_share(&self, central: &Central, expected_earnings: f64) -> f64 {
        if self.now - central.no_free_line_at > self.window {
            return 1.0;
        }
        let relative_earnings = expected_earnings / self.mean_earnings;
        relative_earnings * central.free_lines * self.mean_hold
            / (central.lines * central.lines_report_interval)
    }

    /// Departure: how long a central server that turned a shot back has still asked to be left alone, where
    /// such waits are kept. Guards full processors from shots that would only cost them more work; hurts
    /// where one names too long a wait.
    pub(super) fn remaining_retry_after(&self, central: &Central) -> f64 {
        if self.terms.respect_retry_after { central.retry_at - self.now } else { 0.0 }
    }

    /// Departure: no shot whose caller will have gone before an answer like the latest one there has come,
    /// since its work would be wasted. Guards against callers with little patience; catches late redials too.
    /// Hurts where the latest answer was an odd one out, so no delay counts for more than that of a jammed
    /// line.
    pub(super) fn caller_can_wait(&self, central: &Central, conversation: &Conversation) -> bool {
        let delay = central.latest_delay.min(OVERLOAD_AGE_IN_TARGET_DELAYS * self.target_delay);
        conversation.caller_deadline - self.now > MIN_WAIT_IN_DELAYS * delay
    }

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

    /// Departure: the draw goes by free lines too, so that all that turn away from one central server do not
    /// meet at the smallest.
    pub(super) fn free_line_weight(&self, index: usize) -> f64 {
        let free_lines = self.centrals[index].as_ref().map_or(0.0, |c| c.free_lines);
        if free_lines.is_finite() { free_lines.max(1.0) } else { 1.0 }
    }

    /// First choice while it passes; else a draw among the others that pass.
    pub(super) fn choose_server(&mut self, handle: Handle) -> Option<usize> {
        let conversation = &self.conversations[handle.key()];
        let mut eligible: Vec<usize> =
            (0..self.centrals.len()).filter(|&i| self.is_eligible(i, conversation)).collect();
        // Departure: the fleet's limit comes last, so that it never opens what all else closes; whom it alone
        // keeps away is counted where it would have gone.
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
        // Departure: after a shot that found nobody, no answer or a fault the others go first. Guards against
        // spending all shots at one silent or faulty server whose line is still wide, and shows whether a
        // fault is the conversation's own; hurts where the answer alone was lost.
        if eligible.len() > 1 {
            eligible.retain(|&i| conversation.failed_server != Some(i));
        }
        let pool = |i: usize| self.centrals[i].as_ref().expect("passes").pool;
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

    /// Moves a standing in the draw: down at once with the mean ratio, up again over a window.
    pub(super) fn update_weight(&mut self, index: usize) -> f64 {
        let Some(central) = &mut self.centrals[index] else { return 0.0 };
        let target_weight = 1.0 / central.histogram.mean();
        let step = ((self.now - central.weight_updated_at) / self.window).min(1.0);
        central.weight = target_weight.min(central.weight + step * target_weight);
        central.weight_updated_at = self.now;
        central.weight
    }

    pub(super) fn send_attempt(&mut self, handle: Handle, index: usize, host: &mut impl Host) {
        let (now, half_open_interval) = (self.now, self.half_open_interval());
        let only_server = self.centrals.iter().flatten().filter(|c| c.state == State::Running).count() < 2;
        let conversation = &mut self.conversations[handle.key()];
        let grade = &self.grades[conversation.grade];
        let caller_remaining = conversation.caller_deadline - now;
        let central = self.centrals[index].as_mut().expect("listed");
        // Leaves room to wait out the release and be answered elsewhere within the quoted time.
        let time_before_retry =
            conversation.accepted_at + grade.quoted - now - self.terms.release - self.target_delay;
        let last_attempt =
            conversation.attempts + 1 >= self.terms.max_attempts || only_server || !grade.repeatable;
        let timeout = if last_attempt || time_before_retry < 2.0 * self.target_delay {
            caller_remaining
        } else {
            time_before_retry.min(caller_remaining)
        };
        // Departure: where waits are told and the latest answer was in time, a shot ends with the quoted
        // time, so that what would stand late does not keep its place in a processor's queue. Guards against
        // servers that grow slow; catches hung ones too. Hurts where answers wait behind set-ups, as the work
        // is done by then: hence not where no wait is told, nor where answers come late anyway.
        let quoted_remaining = conversation.accepted_at + grade.quoted - now;
        let wait_is_known = central.reports_wait && central.latest_delay <= self.min_quoted_time;
        let timeout =
            if wait_is_known && quoted_remaining > 0.0 { timeout.min(quoted_remaining) } else { timeout };
        conversation.attempts += 1;
        conversation.attempt = Some(Attempt { server: index, sent_at: now });
        central.in_flight.push(InFlight { handle, sent_at: now, superseded: false, cancelled: false });
        central.sent_times.push_back(now);
        central.fleet_limit = central.fleet_limit.map(|attempts| attempts.saturating_sub(1));
        central.dither = self.rng.random();
        if central.suspicion.is_some() {
            central.next_half_open_at = now + half_open_interval * (0.5 + self.rng.random::<f64>());
        }
        host.send_attempt(handle, Server(index as u32), timeout);
    }

    /// The latest moment at which a shot can still be answered within the quoted time.
    pub(super) fn latest_send_time(&self, conversation: &Conversation) -> f64 {
        let min_delay = self.centrals.iter().flatten().filter(|c| c.state == State::Running);
        let min_delay = min_delay.map(|c| c.mean_delay).fold(f64::INFINITY, f64::min).min(self.target_delay);
        let quoted_limit =
            conversation.accepted_at + self.grades[conversation.grade].quoted - 1.2 * min_delay;
        quoted_limit.min(conversation.caller_deadline - 2.0 * min_delay.max(0.1 * self.target_delay))
    }
}
