//! What becomes of shots, and what is learnt from it.

use super::*;

/// The most of a line's lately used room that its allowance may be: this, and more where few share a central
/// server, so that each must be able to fill what another leaves; the most that one answer adds or cuts.
const SLACK: f64 = 2.0;
const SLACK_OF_ONE: f64 = 16.0;
const STEEPEST_GROWTH: f64 = 2.0;
const DEEPEST_CUT: f64 = 0.5;
/// How fast an allowance grows: shots for each window's worth of good answers.
const GROWTH: f64 = 0.25;

impl Proxy {
    /// Departure: a fault counts as 1 in its server's histogram, else one that fails everything quickly would
    /// look best and draw all traffic; but once for a conversation, when it stands or is given up, and not
    /// where it met another elsewhere, for then it is the conversation's own. Guards against callers whose
    /// calls no server can use, which would close all of them; holds whatever is wrong with the call. Hurts
    /// where several servers fail much at once: what fails at two of them is not counted.
    pub(super) fn charge(&mut self, fault: Option<usize>) {
        if let Some(central) = fault.and_then(|index| self.centrals[index].as_mut()) {
            central.sample(self.now, 1.0);
        }
    }

    /// Takes a shot off its line and counts its delay, or nothing; an answer moves the line's allowance.
    /// `least` is what its ratio counts for at the least.
    fn answered(&mut self, index: usize, handle: Handle, delay: Option<f64>, limit: f64, least: Option<f64>) {
        let (now, standing, window) = (self.now, self.standing, self.window);
        let part = 1.0 / f64::from(self.terms.proxies);
        let Some(central) = &mut self.centrals[index] else { return };
        let full = central.waiting().count() as f64 + 1.0 > central.allowance;
        let Some(place) = central.out.iter().position(|shot| shot.handle == handle) else { return };
        let Out { at: sent, overtaken, .. } = central.out.swap_remove(place);
        if overtaken {
            return;
        }
        let took = delay.unwrap_or(f64::INFINITY);
        if let Some(least) = least {
            central.sample(now, (took / limit).clamp(least, 1.0));
        }
        central.latest = took;
        if took > standing {
            if sent >= central.cut_at {
                let cut = (standing / took).max(DEEPEST_CUT);
                central.allowance = (central.allowance * cut).max(LEAST_OUT * part);
                central.cut_at = now;
            }
        } else if full {
            let room = 1.0 - took / standing;
            let grown = central.allowance + GROWTH * (room + 0.2) / central.allowance.max(0.5);
            let used = (central.sent.len() as f64 + 1.0) * standing / window;
            central.allowance = grown
                .min(central.allowance * STEEPEST_GROWTH)
                .min(((SLACK + SLACK_OF_ONE * part) * used).max(FIRST_OUT * part));
        }
        if delay.is_some() {
            central.delay += 0.25 * (took - central.delay);
        }
        let span = took.min(2.0 * standing);
        (central.rests, central.rest) = (now, span * (1.0 / central.allowance.min(1.0) - 1.0));
        self.weigh(index);
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
        conversation.stands = true;
        let fault = conversation.fault.take();
        let number = conversation.number;
        let Some(shot) = &conversation.shot else { return };
        let (index, sent, delay) = (shot.server, shot.at, proxy.now - shot.at);
        let limit = proxy.grades[conversation.grade].limit;
        proxy.answered(index, self, Some(delay), limit, Some(0.0));
        proxy.charge(fault);
        if let Some(central) = &mut proxy.centrals[index] {
            central.heard = proxy.now;
            let lost = |out: &&mut Out| out.at < sent && !out.overtaken;
            let overtaken = central.out.iter_mut().filter(lost).map(|out| out.overtaken = true).count();
            proxy.lost += (overtaken as f64 - (1 + overtaken) as f64 * proxy.lost) / FLOOR as f64;
        }
        if let Some(number) = number {
            proxy.space(number, false);
        }
    }

    /// The shot, or the conversation that stood by it, has ended; `finished` when no answer is owed.
    pub fn attempt_ended(self, proxy: &mut Proxy, ending: Ending, finished: bool, host: &mut impl Host) {
        let now = proxy.now;
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        let shot = conversation.shot.take();
        if shot.is_none() && !finished {
            return;
        }
        let limit = proxy.grades[conversation.grade].limit;
        let number = conversation.number;
        let (stands, over) = (conversation.stands, conversation.over || finished);
        if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
            conversation.rest_until = now + proxy.terms.release + 1.0;
        }
        let ran =
            !matches!(ending, Ending::Rejected | Ending::NoFreeLine | Ending::NoConnection | Ending::NotSent);
        // Two servers say that it can't be set up: they are not asked again.
        let shot_at = shot.as_ref().map(|shot| shot.server);
        let fault = conversation.fault.filter(|_| ending == Ending::Error);
        let own = fault.is_some() && fault != shot_at;
        if ending == Ending::Error {
            conversation.fault = if own { None } else { shot_at };
        }
        let again = !over
            && !own
            && conversation.shots < proxy.terms.max_attempts
            && conversation.until > now
            && (!ran || proxy.grades[conversation.grade].repeatable);
        if let Some(shot) = shot.filter(|_| !stands) {
            if matches!(ending, Ending::TimedOut | Ending::NoConnection | Ending::Error) {
                conversation.failed_at = Some(shot.server);
            }
            // What never left, or was called off, was not answered either.
            let unheard = [Ending::TimedOut, Ending::NoConnection, Ending::Cancelled, Ending::NotSent];
            if let Some(central) = proxy.centrals[shot.server].as_mut().filter(|_| !unheard.contains(&ending))
            {
                central.heard = now;
            }
            let age = now - shot.at;
            match ending {
                Ending::Ok | Ending::Cancelled | Ending::Busy => {
                    proxy.answered(shot.server, self, Some(age), limit, Some(0.0))
                }
                Ending::NotSent | Ending::NoFreeLine => {
                    if let Some(central) = &mut proxy.centrals[shot.server] {
                        central.out.retain(|out| out.handle != self);
                        if ending == Ending::NoFreeLine {
                            (central.free, central.told_free, central.lineless) = (0.0, now, now);
                        }
                    }
                }
                // A cut or fault says nothing of the line but its age, though it counts as 1 in the
                // histogram: a fault when it shows whose it is.
                Ending::Error => proxy.answered(shot.server, self, Some(age), limit, None),
                Ending::Reset => proxy.answered(shot.server, self, Some(age), limit, Some(1.0)),
                _ => proxy.answered(shot.server, self, None, limit, Some(1.0)),
            }
            // Departure: nobody listens there, which its network tells at once, not after a wait that would
            // fill the line: closed but for single shots, about one a window, lest one conversation spends
            // all in an instant. No longer, since it may be back without any word of it. Holds for any
            // refusal before the processor; hurts where one is told for a server that is up.
            if ending == Ending::NoConnection {
                let rest = proxy.window * (0.5 + proxy.rng.random::<f64>());
                let first = FIRST_OUT / f64::from(proxy.terms.proxies);
                if let Some(central) = &mut proxy.centrals[shot.server] {
                    central.allowance = central.allowance.max(first).min(DEEPEST_CUT);
                    central.rest = rest;
                }
            }
        }
        let busy = number.filter(|_| ending == Ending::Busy);
        if let Some(number) = busy
            && proxy.space(number, true)
        {
            host.log(&format!("number {number} is busy, gapped"));
        }
        if over {
            let conversation = proxy.conversations.remove(self.key());
            proxy.charge(conversation.fault);
        } else if busy.is_some() {
            proxy.give_up(self, host);
        } else if again {
            proxy.held.push(self);
        } else {
            let conversation = proxy.conversations.remove(self.key());
            proxy.charge(conversation.fault);
            host.fail(self);
        }
    }

    /// The caller has gone.
    pub fn caller_gone(self, proxy: &mut Proxy) {
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        conversation.over = true;
        if conversation.shot.is_none() {
            proxy.held.retain(|&held| held != self);
            let conversation = proxy.conversations.remove(self.key());
            proxy.charge(conversation.fault);
        }
    }
}
