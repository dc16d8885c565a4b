//! A conversation comes: how long its caller has waited, and what it is worth.

use super::*;

/// Two callers' patience is the same within this share of the time limit.
const SAME_PATIENCE: f64 = 0.002;

impl Proxy {
    /// Takes a conversation; it is placed with [`Handle::enqueue`].
    pub fn accept(&mut self, call: &Call) -> Handle {
        let in_share = call.tenant.map_or(1.0, |tenant| self.in_share(tenant));
        let waited = self.waited(call);
        let grade = &self.grades[call.grade];
        let mut worth = grade.earnings * in_share;
        // The quoted time runs from the caller's first try.
        let former = call.number.and_then(|number| self.numbers.get(&number));
        let former = former.filter(|n| n.gap == 0.0 && self.now - n.first < grade.limit);
        let marked = self.now - if call.redial { grade.quoted } else { waited };
        let taken = former.map_or(marked, |n| n.first);
        if taken + grade.quoted <= self.now {
            worth *= grade.late;
        }
        let conversation = Conversation {
            grade: call.grade,
            first: call.preferred_pool,
            number: call.number,
            taken,
            chance: self.rng.random(),
            until: self.now + call.remaining,
            worth,
            rest_until: f64::NEG_INFINITY,
            ..Conversation::default()
        };
        Handle(self.conversations.insert(conversation) as u32)
    }

    /// Departure: how long the caller had waited before this proxy had a turn, by what is left of the time
    /// that most callers give a try. After a stall of its own a proxy so knows who still can stand in time.
    /// No longer than the proxy itself had no turn: some callers come with little patience.
    pub(super) fn waited(&mut self, call: &Call) -> f64 {
        let limit = self.grades[call.grade].limit;
        let (usual, firm) = &mut self.patience;
        let left = call.remaining / limit;
        if (left - *usual).abs() < SAME_PATIENCE {
            *firm = (*firm + 1).min(FLOOR as u32);
        } else if *firm == 0 {
            (*usual, *firm) = (left, 1);
        } else {
            *firm -= 1;
        }
        let short = *usual - left;
        if short > SAME_PATIENCE { (short * limit).min(self.stall.0) } else { 0.0 }
    }

    /// The part of its earnings that the tenant's next conversation may expect to keep, taking this proxy's
    /// traffic for a fair sample of everyone's. Departure: where the fleet counts, what it says stands
    /// instead, since traffic is uneven: busy proxies took their own for everyone's.
    pub(super) fn in_share(&mut self, tenant: usize) -> f64 {
        let (now, window) = (self.now, self.window);
        let recent = &mut self.tenants[tenant];
        recent.push_back(now);
        while recent.front().is_some_and(|&at| at < now - window) {
            recent.pop_front();
        }
        let rate = recent.len() as f64 / window * 1000.0 * f64::from(self.terms.proxies);
        let guess = (self.terms.tenants[tenant].quota / rate).min(1.0);
        let inside = self.shares[tenant].map_or(guess, f64::from);
        inside + (1.0 - inside) * self.terms.over_share
    }
}
