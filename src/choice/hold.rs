//! Held, shot, called off or given up: each turn.

use super::*;

/// Past this share of lost shots answers are taken to get lost; an answer is quick under this share of the
/// standing delay.
const LOSING: f64 = 0.05;
const QUICK: f64 = 0.25;

impl Proxy {
    /// To be called when all that has come at one time is told: shoots what can be shot, best earners first,
    /// and gives up at once what can no longer stand in time.
    pub fn run_pending(&mut self, host: &mut impl Host) {
        let then = self.now - self.window;
        for central in self.centrals.iter_mut().flatten() {
            central.forget_before(then);
        }
        self.call_off(host);
        self.probe(host);
        let (now, limit) = (self.now, self.longest_limit);
        self.numbers.retain(|_, n| now - n.seen.max(n.not_before) < limit);
        let order = |c: &Conversation| (-c.worth, c.taken);
        let mut held = std::mem::take(&mut self.held);
        held.sort_by(|a, b| {
            let (a, b) = (&self.conversations[a.key()], &self.conversations[b.key()]);
            order(a).partial_cmp(&order(b)).expect("finite")
        });
        let room = self.hold_room();
        let mut due = f64::INFINITY;
        for handle in held {
            let conversation = &self.conversations[handle.key()];
            let (rest, latest) = (conversation.rest_until, self.latest(conversation));
            let rested = rest <= self.now;
            let gapped = conversation.number.is_some_and(|n| self.gapped(n));
            let choice = if rested && !gapped { self.choose(handle) } else { None };
            if let Some(index) = choice {
                self.shoot(handle, index, host);
            } else if gapped || latest < self.now || self.held.len() >= room {
                self.give_up(handle, host);
            } else {
                self.held.push(handle);
                due = due.min(latest + 1.0).min(if rested { f64::INFINITY } else { rest });
            }
        }
        if !self.held.is_empty() || self.centrals.iter().flatten().any(|c| !c.out.is_empty()) {
            due = due.min(self.now + BEAT * self.standing);
            if due < self.wake_at {
                self.wake_at = due;
                host.wake(due);
            }
        }
    }

    /// Departure: a shot that still has no answer after the standing delay is called off while there is time
    /// to wait out the release and be answered by another, if it was overtaken, or if shots lately were and
    /// its server's latest answer was quick. Guards against answers that get lost; catches silent servers.
    /// Hurts where a server slows down all at once while answers get lost elsewhere. Lost, not late: it
    /// narrows no line.
    pub(super) fn call_off(&mut self, host: &mut impl Host) {
        for central in self.centrals.iter_mut().flatten().filter(|_| self.terms.may_cancel) {
            let quick = self.lost > LOSING && central.latest <= QUICK * self.standing;
            let late = |shot: &&mut Out| (shot.overtaken || quick) && !shot.cancelled;
            for shot in central.out.iter_mut().filter(late) {
                let Some(conversation) = self.conversations.get(shot.handle.key()) else { continue };
                let grade = &self.grades[conversation.grade];
                let end = self.now + self.terms.release + central.delay.max(self.standing * 0.1);
                let again = conversation.shots < self.terms.max_attempts && grade.repeatable;
                if again && self.now - shot.at > self.standing && end < conversation.taken + grade.quoted {
                    (shot.cancelled, shot.overtaken) = (true, true);
                    host.cancel(shot.handle, conversation.shots as u16 - 1);
                }
            }
        }
    }

    /// How many conversations are worth holding: what the lines have lately taken in half a quoted time.
    pub(super) fn hold_room(&self) -> usize {
        let sent: usize = self.centrals.iter().flatten().map(|c| c.sent.len()).sum();
        2 + (sent as f64 * 0.5 * self.shortest_quoted / self.window) as usize
    }

    pub(super) fn give_up(&mut self, handle: Handle, host: &mut impl Host) {
        let conversation = self.conversations.remove(handle.key());
        self.charge(conversation.fault);
        if !self.grades[conversation.grade].repeatable && conversation.shots > 0 {
            return host.fail(handle);
        }
        if let Some(number) = conversation.number {
            let entry = self.numbers.entry(number).or_insert_with(|| Number::new(conversation.taken));
            entry.seen = self.now;
        }
        // Not before the first server takes shots again, where all have asked to be left alone.
        let running = self.centrals.iter().flatten().filter(|c| c.state == State::Running);
        let away = running.map(|c| self.away(c)).fold(f64::INFINITY, f64::min);
        let away = if away.is_finite() { away } else { 0.0 };
        let spread = 0.5 + 0.5 * self.rng.random::<f64>();
        let advice = self.terms.max_retry_after.map(|most| (most * spread).max(away).min(most));
        host.refuse(handle, advice);
    }
}
