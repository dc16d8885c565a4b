//! Accepts conversations: how long the caller has waited already, and the expected earnings.

use super::*;

/// Most recent arrivals of a tenant that are remembered; above this the estimate of its rate stays as it is.
const MAX_RECENT_ARRIVALS: usize = 8192;
/// Two caller timeouts are equal if they differ by less than this share of the time limit.
const SAME_TIMEOUT_SHARE: f64 = 0.002;

impl Proxy {
    /// Accepts a conversation. It takes part in decisions after [`Handle::enqueue`].
    pub fn accept(&mut self, call: &Call) -> Handle {
        let expected_share = call.tenant.map_or(1.0, |tenant| self.expected_share(tenant));
        let waited = self.waited_before_turn(call);
        let grade = &self.grades[call.grade];
        let mut expected_earnings = grade.earnings * expected_share;
        // The quoted time starts with the caller's first try.
        let earlier_try = call.number.and_then(|number| self.called_numbers.get(number));
        let earlier_try =
            earlier_try.filter(|n| n.backoff == 0.0 && self.now - n.first_accepted_at < grade.limit);
        let started_waiting_at = self.now - if call.redial { grade.quoted } else { waited };
        let accepted_at = earlier_try.map_or(started_waiting_at, |n| n.first_accepted_at);
        if accepted_at + grade.quoted <= self.now {
            expected_earnings *= grade.late_share;
        }
        let conversation = Conversation {
            grade: call.grade,
            preferred_pool: call.preferred_pool,
            number: call.number,
            accepted_at,
            random_draw: self.rng.random(),
            caller_deadline: self.now + call.remaining,
            expected_earnings,
            release_until: f64::NEG_INFINITY,
            ..Conversation::default()
        };
        Handle(self.conversations.insert(conversation) as u32)
    }

    /// Departure from the design: how long the caller had waited before this proxy had a turn, in
    /// milliseconds, estimated from the remaining part of the timeout that most callers use. So after a stall
    /// of its own a proxy knows which calls can still be answered in time. The result is at most the time for
    /// which the proxy had no turn, since some callers have short timeouts.
    pub(super) fn waited_before_turn(&mut self, call: &Call) -> f64 {
        let limit = self.grades[call.grade].limit;
        let (usual_timeout, confidence) = &mut self.caller_timeout;
        let remaining_share = call.remaining / limit;
        if (remaining_share - *usual_timeout).abs() < SAME_TIMEOUT_SHARE {
            *confidence = (*confidence + 1).min(MIN_QUANTILE_SAMPLES as u32);
        } else if *confidence == 0 {
            (*usual_timeout, *confidence) = (remaining_share, 1);
        } else {
            *confidence -= 1;
        }
        let missing_share = *usual_timeout - remaining_share;
        if missing_share > SAME_TIMEOUT_SHARE { (missing_share * limit).min(self.stall.0) } else { 0.0 }
    }

    /// The part of its earnings that the tenant's next conversation is expected to keep, assuming that this
    /// proxy's traffic is a fair sample of all proxies' traffic. Departure from the design: where the fleet
    /// counts the tenant's traffic, its result replaces this estimate, since traffic is uneven and busy
    /// proxies took their own traffic for everyone's.
    pub(super) fn expected_share(&mut self, tenant: usize) -> f64 {
        let (now, window) = (self.now, self.window);
        let recent = &mut self.tenant_arrivals[tenant];
        recent.push_back(now);
        while recent.len() > MAX_RECENT_ARRIVALS
            || recent.front().is_some_and(|&accepted_at| accepted_at < now - window)
        {
            recent.pop_front();
        }
        let rate = recent.len() as f64 / window * MS_PER_SECOND * f64::from(self.terms.proxies);
        let estimated_share = (self.terms.tenants[tenant].quota / rate).min(1.0);
        let within_share = self.tenants_within_share[tenant].map_or(estimated_share, f64::from);
        within_share + (1.0 - within_share) * self.terms.over_share
    }
}
