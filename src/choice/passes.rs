//! Which central servers may have a conversation now, and which of them has it.

use super::*;

/// A call is taken to be worth at least this share of mean earnings when its line rests.
const LEAST_WORTH: f64 = 0.01;
/// A caller should still wait for so many times the delay that is to be expected.
const PATIENT: f64 = 1.5;
/// Spreads one draw evenly over the central servers.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

impl Proxy {
    /// The design's test: would the set-up's delay, with this call's own share added, stay inside the quoted
    /// time at all but the grade's violation probability?
    pub(super) fn passes_quantile(&self, central: &Central, grade: &Grade) -> bool {
        if central.histogram.samples() < FLOOR {
            return true;
        }
        let alpha = 1.0 / (1.0 + central.sent.len() as f64);
        quantile_after(&central.histogram, grade.violation, alpha) * grade.limit <= grade.quoted
    }

    /// Departure: the line to a central server takes only as many shots as it answers well within the span
    /// after which waiting set-ups breed work. Shots out fill it, so that a hung, slow or silent one stops
    /// taking work by itself; one of twice the standing delay shrinks the line before it ends. Where the line
    /// takes less than one, it rests between shots, longer for low earners; high earners do not go sooner
    /// while its latest answer was late, so that trying it again is not left to them.
    pub(super) fn has_room(&self, central: &Central, worth: f64) -> bool {
        let oldest = central.waiting().map(|shot| self.now - shot.at).fold(0.0, f64::max);
        let allowance = central.allowance * (JAMMED * self.standing / oldest).min(1.0);
        let out = central.waiting().count();
        if allowance < 1.0 {
            let mut by_worth = (self.mean_earnings / worth.max(LEAST_WORTH * self.mean_earnings)).powi(2);
            if central.latest > self.standing {
                by_worth = by_worth.max(1.0);
            }
            out == 0 && self.now - central.rests >= central.rest * by_worth
        } else {
            out as f64 + 1.0 <= allowance + central.dither
        }
    }

    /// Departure: where own answers are scarce and a central server says how many set-ups it can take, a fall
    /// of that rate is shared by all that shoot at it, by chance: each proxy lets through that part of what
    /// it would send. Guards against a sudden loss of speed, which one proxy's own answers show only after
    /// seconds; holds for any cause that the server itself notices. Hurts where the rate is told too low:
    /// hence its short trust.
    pub(super) fn admitted(&self, central: &Central) -> f64 {
        let fresh = self.now - central.told_rate < self.window;
        if fresh && central.histogram.samples() < SCARCE {
            RATE_SLACK * central.rate / central.best_rate
        } else {
            1.0
        }
    }

    /// Departure: while shots come back for want of a line, all proxies are after the same few. Each lets
    /// through, by chance, what the free ones cover of the lines that change hands before the next word of
    /// them, in proportion to earnings. Guards against storms of nacks, which cost the processor work, and
    /// against low earners that hold what lines there are; leaves a few lines idle.
    pub(super) fn line_share(&self, central: &Central, worth: f64) -> f64 {
        if self.now - central.lineless > self.window {
            return 1.0;
        }
        let earns = worth / self.mean_earnings;
        earns * central.free * self.mean_hold / (central.lines * central.word_gap)
    }

    /// Departure: how long a central server that turned a shot back has still asked to be left alone, where
    /// such waits are kept. Guards full processors from shots that would only cost them more work; hurts
    /// where one names too long a wait.
    pub(super) fn away(&self, central: &Central) -> f64 {
        if self.terms.respect_retry_after { central.back_at - self.now } else { 0.0 }
    }

    /// Departure: no shot whose caller will have gone before an answer like the latest one there has come,
    /// since its work would be wasted. Guards against callers with little patience; catches late redials too.
    /// Hurts where the latest answer was an odd one out, so no delay counts for more than that of a jammed
    /// line.
    pub(super) fn lives_to_see(&self, central: &Central, conversation: &Conversation) -> bool {
        let delay = central.latest.min(JAMMED * self.standing);
        conversation.until - self.now > PATIENT * delay
    }

    pub(super) fn passes(&self, index: usize, conversation: &Conversation) -> bool {
        let Some(central) = &self.centrals[index] else { return false };
        let grade = &self.grades[conversation.grade];
        central.state == State::Running
            && grade.pools.contains(&central.pool)
            && (central.free > 0.0 || self.now - central.told_free > self.window)
            && conversation.chance < self.admitted(central)
            && (conversation.chance + index as f64 * GOLDEN).fract()
                < self.line_share(central, conversation.worth)
            && self.has_room(central, conversation.worth)
            && self.passes_quantile(central, grade)
            && self.away(central) <= 0.0
            && self.lives_to_see(central, conversation)
            && !self.too_cold(central)
            && !self.shunned(central)
    }

    /// Departure: the draw goes by free lines too, so that all that turn away from one central server do not
    /// meet at the smallest.
    pub(super) fn room(&self, index: usize) -> f64 {
        let free = self.centrals[index].as_ref().map_or(0.0, |c| c.free);
        if free.is_finite() { free.max(1.0) } else { 1.0 }
    }

    /// First choice while it passes; else a draw among the others that pass.
    pub(super) fn choose(&mut self, handle: Handle) -> Option<usize> {
        let conversation = &self.conversations[handle.key()];
        let mut passing: Vec<usize> =
            (0..self.centrals.len()).filter(|&i| self.passes(i, conversation)).collect();
        // Departure: the fleet's limit comes last, so that it never opens what all else closes; whom it alone
        // keeps away is counted where it would have gone.
        let first = conversation.first;
        let kept_away = |&&i: &&usize| self.centrals[i].as_ref().is_some_and(|c| c.allotted == Some(0));
        let away: Vec<usize> = passing.iter().filter(kept_away).copied().collect();
        passing.retain(|i| !away.contains(i));
        let meant = |&&i: &&usize| self.centrals[i].as_ref().is_some_and(|c| c.pool == first);
        let meant = away.iter().find(meant).or(away.first().filter(|_| passing.is_empty())).copied();
        if let Some(central) = meant.and_then(|i| self.centrals[i].as_mut()) {
            central.short += u32::from(!std::mem::replace(&mut self.conversations[handle.key()].short, true));
        }
        let conversation = &self.conversations[handle.key()];
        // Departure: after a shot that found nobody, no answer or a fault the others go first. Guards against
        // spending all shots at one silent or faulty server whose line is still wide, and shows whether a
        // fault is the conversation's own; hurts where the answer alone was lost.
        if passing.len() > 1 {
            passing.retain(|&i| conversation.failed_at != Some(i));
        }
        let pool = |i: usize| self.centrals[i].as_ref().expect("passes").pool;
        if let Some(&first) = passing.iter().find(|&&i| pool(i) == conversation.first) {
            return Some(first);
        }
        let weights: Vec<f64> = passing.iter().map(|&i| self.weigh(i) * self.room(i)).collect();
        let mut draw = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let at = weights.iter().position(|w| {
            draw -= w;
            draw <= 0.0
        });
        at.or(passing.len().checked_sub(1)).map(|at| passing[at])
    }

    /// Moves a standing in the draw: down at once with the mean ratio, up again over a window.
    pub(super) fn weigh(&mut self, index: usize) -> f64 {
        let Some(central) = &mut self.centrals[index] else { return 0.0 };
        let deserved = 1.0 / central.histogram.mean();
        let step = ((self.now - central.weighed) / self.window).min(1.0);
        central.weight = deserved.min(central.weight + step * deserved);
        central.weighed = self.now;
        central.weight
    }

    pub(super) fn shoot(&mut self, handle: Handle, index: usize, host: &mut impl Host) {
        let (now, gap) = (self.now, self.trial_gap());
        let alone = self.centrals.iter().flatten().filter(|c| c.state == State::Running).count() < 2;
        let conversation = &mut self.conversations[handle.key()];
        let grade = &self.grades[conversation.grade];
        let left = conversation.until - now;
        let central = self.centrals[index].as_mut().expect("listed");
        // Leaves room to wait out the release and be answered elsewhere within the quoted time.
        let early = conversation.taken + grade.quoted - now - self.terms.release - self.standing;
        let last = conversation.shots + 1 >= self.terms.max_attempts || alone || !grade.repeatable;
        let time_out = if last || early < 2.0 * self.standing { left } else { early.min(left) };
        // Departure: where waits are told and the latest answer was in time, a shot ends with the quoted
        // time, so that what would stand late does not keep its place in a processor's queue. Guards against
        // servers that grow slow; catches hung ones too. Hurts where answers wait behind set-ups, as the work
        // is done by then: hence not where no wait is told, nor where answers come late anyway.
        let in_time = conversation.taken + grade.quoted - now;
        let told = central.tells_wait && central.latest <= self.shortest_quoted;
        let time_out = if told && in_time > 0.0 { time_out.min(in_time) } else { time_out };
        conversation.shots += 1;
        conversation.shot = Some(Shot { server: index, at: now });
        central.out.push(Out { handle, at: now, overtaken: false, cancelled: false });
        central.sent.push_back(now);
        central.allotted = central.allotted.map(|shots| shots.saturating_sub(1));
        central.dither = self.rng.random();
        if central.suspicion.is_some() {
            central.trial = now + gap * (0.5 + self.rng.random::<f64>());
        }
        host.send_attempt(handle, Server(index as u32), time_out);
    }

    /// The latest moment at which a shot can still be answered within the quoted time.
    pub(super) fn latest(&self, conversation: &Conversation) -> f64 {
        let quickest = self.centrals.iter().flatten().filter(|c| c.state == State::Running);
        let quickest = quickest.map(|c| c.delay).fold(f64::INFINITY, f64::min).min(self.standing);
        let quoted = conversation.taken + self.grades[conversation.grade].quoted - 1.2 * quickest;
        quoted.min(conversation.until - 2.0 * quickest.max(0.1 * self.standing))
    }
}
