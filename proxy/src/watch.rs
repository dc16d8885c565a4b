//! Evaluation of proposed terms before they come into force. The module decides under the current terms, and
//! a share of its turns is decided a second time, on a copy, under the proposed terms. Differences are
//! counted by kind; nothing of the second decision is carried out.
//!
//! Wrap the module in [`Watched::new`]; without proposed terms it only forwards. [`Watched::differences`] has
//! the counts. Each turn starts from what has really happened, so differences do not accumulate over turns.
//! Within a turn, a first difference can shift later random draws.

use std::collections::{HashMap, HashSet};

use frostthread::Proxy;
use frostthread::host::{
    Call, Ending, Handle, Host, Report, Server, ServerEntry, ServerView, Suspicion, Terms,
};

use crate::decisions::Decisions;
use crate::differences::Differences;

/// Timeouts that differ by no more than this count as equal, in milliseconds.
const TIMEOUT_TOLERANCE_MS: f64 = 1.0;

/// The requests of a turn, by kind. Each request is forwarded to `to`, if there is a host.
struct Requests<'a, H> {
    to: Option<&'a mut H>,
    attempts: HashMap<Handle, (Server, f64)>,
    given_up: HashMap<Handle, Option<f64>>,
    cancelled: HashSet<Handle>,
    probes: u64,
}

impl<'a, H> Requests<'a, H> {
    fn of(to: Option<&'a mut H>) -> Self {
        Self { to, attempts: HashMap::new(), given_up: HashMap::new(), cancelled: HashSet::new(), probes: 0 }
    }
}

impl<H: Host> Host for Requests<'_, H> {
    fn send_attempt(&mut self, handle: Handle, server: Server, time_out: f64) {
        self.attempts.insert(handle, (server, time_out));
        if let Some(to) = &mut self.to {
            to.send_attempt(handle, server, time_out);
        }
    }
    fn refuse(&mut self, handle: Handle, come_back: Option<f64>) {
        self.given_up.insert(handle, come_back);
        if let Some(to) = &mut self.to {
            to.refuse(handle, come_back);
        }
    }
    fn fail(&mut self, handle: Handle) {
        self.given_up.insert(handle, None);
        if let Some(to) = &mut self.to {
            to.fail(handle);
        }
    }
    fn cancel(&mut self, handle: Handle, shot: u16) {
        self.cancelled.insert(handle);
        if let Some(to) = &mut self.to {
            to.cancel(handle, shot);
        }
    }
    fn wake(&mut self, at: f64) {
        if let Some(to) = &mut self.to {
            to.wake(at);
        }
    }
    fn probe(&mut self, server: Server) {
        self.probes += 1;
        if let Some(to) = &mut self.to {
            to.probe(server);
        }
    }
    fn broadcast(&mut self, message: &[u8]) {
        if let Some(to) = &mut self.to {
            to.broadcast(message);
        }
    }
    fn log(&mut self, line: &str) {
        if let Some(to) = &mut self.to {
            to.log(line);
        }
    }
}

impl Differences {
    /// Counts the requests in `other` that differ from those in `now`.
    fn count<H, I>(&mut self, now: &Requests<H>, other: &Requests<I>) {
        let before = Self { compared: self.compared + 1, ..*self };
        *self = before;
        for (handle, (server, time_out)) in &now.attempts {
            match other.attempts.get(handle) {
                None => self.held_back += 1,
                Some((elsewhere, _)) if elsewhere != server => self.other_server += 1,
                Some((_, wait)) if (wait - time_out).abs() > TIMEOUT_TOLERANCE_MS => self.timeout += 1,
                _ => {}
            }
        }
        self.earlier +=
            other.attempts.keys().filter(|&handle| !now.attempts.contains_key(handle)).count() as u64;
        for (handle, advice) in &now.given_up {
            match other.given_up.get(handle) {
                None => self.kept += 1,
                Some(otherwise) => self.retry_after += u64::from(otherwise != advice),
            }
        }
        let newly_given_up = other.given_up.keys().filter(|&handle| !now.given_up.contains_key(handle));
        self.given_up += newly_given_up.count() as u64;
        self.cancelled += now.cancelled.symmetric_difference(&other.cancelled).count() as u64;
        self.probes_dropped += now.probes.saturating_sub(other.probes);
        self.probes_added += other.probes.saturating_sub(now.probes);
        self.differing += u64::from(*self != before);
    }
}

/// Terms to evaluate.
#[derive(Clone, Debug)]
pub struct ProposedTerms {
    pub terms: Terms,
    /// The share of turns that are decided twice; it limits the cost of the evaluation.
    pub share: f64,
}

/// A module, and the proposed terms, if any are evaluated.
pub struct Watched {
    module: Proxy,
    proposed: Option<ProposedTerms>,
    /// The part of the share that has not yet been used by a turn.
    credit: f64,
    differences: Differences,
}

impl Watched {
    /// Wraps `module`; `proposed` are the terms to evaluate.
    pub fn new(module: Proxy, proposed: Option<ProposedTerms>) -> Self {
        Self { module, proposed, credit: 0.0, differences: Differences::default() }
    }

    fn decide_twice<H: Host>(&mut self, host: &mut H, decide: impl Fn(&mut Proxy, &mut Requests<H>)) {
        self.differences.turns += 1;
        self.credit += self.proposed.as_ref().map_or(0.0, |proposed| proposed.share);
        let Some(ProposedTerms { terms, .. }) = self.proposed.as_ref().filter(|_| self.credit >= 1.0) else {
            return decide(&mut self.module, &mut Requests::of(Some(host)));
        };
        self.credit -= 1.0;
        let mut copy = self.module.with_terms(terms.clone());
        let mut other = Requests::of(None);
        decide(&mut copy, &mut other);
        let mut now = Requests::of(Some(host));
        decide(&mut self.module, &mut now);
        self.differences.count(&now, &other);
    }
}

impl Decisions for Watched {
    fn advance_clock(&mut self, now: f64) {
        self.module.advance_clock(now);
    }
    fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, host: &mut impl Host) {
        self.module.update_server_list(lines, whole, host);
    }
    fn reported(&mut self, server: Server, report: Report) {
        self.module.reported(server, report);
    }
    fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>) {
        self.module.set_suspicion(server, suspicion);
    }
    fn set_fleet_limit(&mut self, server: Server, shots: Option<u32>) -> u32 {
        self.module.set_fleet_limit(server, shots)
    }
    fn set_within_share(&mut self, tenant: usize, within: Option<bool>) {
        self.module.set_within_share(tenant, within);
    }
    fn accept(&mut self, call: &Call) -> Handle {
        self.module.accept(call)
    }
    fn enqueue(&mut self, handle: Handle) {
        handle.enqueue(&mut self.module);
    }
    fn established(&mut self, handle: Handle) {
        handle.established(&mut self.module);
    }
    fn answer_held(&mut self, handle: Handle) {
        handle.answer_held(&mut self.module);
    }
    fn answer_sent(&mut self, handle: Handle) {
        handle.answer_sent(&mut self.module);
    }
    fn attempt_ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host) {
        self.decide_twice(host, |module, host| handle.attempt_ended(module, ending, finished, host));
    }
    fn caller_gone(&mut self, handle: Handle) {
        handle.caller_gone(&mut self.module);
    }
    fn run_pending(&mut self, host: &mut impl Host) {
        self.decide_twice(host, |module, host| module.run_pending(host));
    }
    fn view(&self, server: Server) -> Option<ServerView> {
        self.module.view(server)
    }
    fn differences(&self) -> Option<Differences> {
        self.proposed.is_some().then_some(self.differences)
    }
}
