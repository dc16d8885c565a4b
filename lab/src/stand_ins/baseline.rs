//! Baselines for comparison: the same border proxy with a simple rule in place of the module. Also proxies
//! with a deliberate defect, which the rule checker must catch.

use std::fmt;
use std::str::FromStr;

use border::Decisions;
use frostthread::Proxy;
use frostthread::host::{
    Call, Ending, Handle, Host, Report, Server, ServerEntry, ServerView, State, Suspicion, Terms,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Which code decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The module.
    Ours,
    /// Any running server, at random.
    Random,
    /// The running servers in turn.
    RoundRobin,
    /// The running server with the fewest attempts of this proxy in flight.
    LeastOut,
}

impl FromStr for Routing {
    type Err = String;
    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "ours" => Ok(Self::Ours),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-out" => Ok(Self::LeastOut),
            other => Err(format!("no routing is called {other:?}; ours, random, round-robin or least-out")),
        }
    }
}

impl fmt::Display for Routing {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Ours => "ours",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastOut => "least-out",
        })
    }
}

/// Deliberate defects of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Defects {
    /// Never answers a caller whose attempt was rejected or timed out.
    pub never_answers_failed: bool,
    /// Sends attempts to servers that drain or are gone.
    pub ignores_list: bool,
    /// Sends again at once after a time-out.
    pub skips_release: bool,
    /// Sends attempts to the server that started last.
    pub prefers_cold: bool,
}

struct CallState {
    until: f64,
    attempts: u32,
    server: Option<usize>,
    released_at: f64,
    caller_gone: bool,
}

/// A simple rule: any running server, the next one after a rejection or time-out; calls are held only for
/// the release.
pub struct Baseline {
    routing: Routing,
    defects: Defects,
    terms: Terms,
    rng: Pcg64Mcg,
    now: f64,
    servers: Vec<Option<(State, usize, f64)>>,
    next: usize,
    calls: Vec<Option<CallState>>,
    queue: Vec<Handle>,
}

impl Baseline {
    pub fn new(routing: Routing, defects: Defects, terms: Terms, seed: u64, now: f64) -> Self {
        Self {
            routing,
            defects,
            terms,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            servers: Vec::new(),
            next: 0,
            calls: Vec::new(),
            queue: Vec::new(),
        }
    }

    fn choose(&mut self) -> Option<usize> {
        let eligible = |s: &Option<(State, usize, f64)>| match s {
            Some((State::Running, ..)) => true,
            Some(_) => self.defects.ignores_list,
            None => false,
        };
        let mut candidates: Vec<usize> =
            (0..self.servers.len()).filter(|&i| eligible(&self.servers[i])).collect();
        if self.defects.prefers_cold {
            let youngest = |&i: &usize| self.servers[i].map_or(f64::NEG_INFINITY, |s| s.2);
            let last = candidates.iter().copied().max_by(|a, b| youngest(a).total_cmp(&youngest(b)));
            candidates = last.into_iter().collect();
        }
        if candidates.is_empty() {
            return None;
        }
        Some(match self.routing {
            Routing::RoundRobin => {
                self.next += 1;
                candidates[self.next % candidates.len()]
            }
            Routing::LeastOut => {
                let fewest = candidates.iter().filter_map(|&i| self.servers[i].map(|s| s.1)).min()?;
                let fewest: Vec<usize> = candidates
                    .into_iter()
                    .filter(|&i| self.servers[i].is_some_and(|s| s.1 == fewest))
                    .collect();
                fewest[self.rng.random_range(0..fewest.len())]
            }
            _ => candidates[self.rng.random_range(0..candidates.len())],
        })
    }

    fn attempt_ended(&mut self, handle: Handle) {
        let server = self.calls[handle.0 as usize].as_mut().and_then(|calls| calls.server.take());
        if let Some(Some((_, out, _))) = server.map(|server| &mut self.servers[server]) {
            *out -= 1;
        }
    }
}

impl Decisions for Baseline {
    fn advance_clock(&mut self, now: f64) {
        self.now = now;
    }

    fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, _host: &mut impl Host) {
        if whole {
            self.servers.iter_mut().flatten().for_each(|server| server.0 = State::Gone);
        }
        for line in lines {
            let index = line.server.0 as usize;
            if self.servers.len() <= index {
                self.servers.resize(index + 1, None);
            }
            let out = self.servers[index].map_or(0, |server| server.1);
            self.servers[index] = Some((line.state, out, line.started_at.unwrap_or(f64::NEG_INFINITY)));
        }
    }

    fn reported(&mut self, _server: Server, _report: Report) {}

    fn set_suspicion(&mut self, _server: Server, _suspicion: Option<Suspicion>) {}

    fn accept(&mut self, call: &Call) -> Handle {
        let calls = CallState {
            until: self.now + call.remaining,
            attempts: 0,
            server: None,
            released_at: f64::NEG_INFINITY,
            caller_gone: false,
        };
        let free = self.calls.iter().position(Option::is_none);
        let place = free.unwrap_or_else(|| {
            self.calls.push(None);
            self.calls.len() - 1
        });
        self.calls[place] = Some(calls);
        Handle(place as u32)
    }

    fn enqueue(&mut self, handle: Handle) {
        self.queue.push(handle);
    }

    fn established(&mut self, handle: Handle) {
        self.attempt_ended(handle);
    }

    // Baselines run without records, so no answer of theirs is ever held.
    fn answer_held(&mut self, _handle: Handle) {}

    fn answer_sent(&mut self, _handle: Handle) {}

    fn attempt_ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host) {
        self.attempt_ended(handle);
        let Some(calls) = &mut self.calls[handle.0 as usize] else { return };
        if finished || calls.caller_gone {
            self.calls[handle.0 as usize] = None;
            return;
        }
        if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled)
            && !self.defects.skips_release
        {
            calls.released_at = self.now + self.terms.release + 1.0;
        }
        let may_retry = calls.attempts < self.terms.max_attempts
            && calls.released_at < calls.until
            && self.now < calls.until;
        if self.defects.never_answers_failed {
        } else if may_retry && ending != Ending::Busy {
            self.queue.push(handle);
        } else {
            self.calls[handle.0 as usize] = None;
            host.refuse(handle, self.terms.max_retry_after);
        }
    }

    fn caller_gone(&mut self, handle: Handle) {
        self.queue.retain(|queue| *queue != handle);
        let index = handle.0 as usize;
        match &mut self.calls[index] {
            Some(calls) if calls.server.is_some() => calls.caller_gone = true,
            _ => self.calls[index] = None,
        }
    }

    fn run_pending(&mut self, host: &mut impl Host) {
        let mut due = f64::INFINITY;
        for handle in std::mem::take(&mut self.queue) {
            let Some(calls) = &self.calls[handle.0 as usize] else { continue };
            let (until, released_at) = (calls.until, calls.released_at);
            if released_at > self.now {
                due = due.min(released_at);
                self.queue.push(handle);
                continue;
            }
            let chosen = if until > self.now { self.choose() } else { None };
            let Some(server) = chosen else {
                self.calls[handle.0 as usize] = None;
                host.refuse(handle, self.terms.max_retry_after);
                continue;
            };
            let calls = self.calls[handle.0 as usize].as_mut().expect("just seen");
            calls.attempts += 1;
            calls.server = Some(server);
            if let Some((_, out, _)) = &mut self.servers[server] {
                *out += 1;
            }
            // An equal share of the remaining time for each attempt that is left.
            let attempts_left = f64::from(self.terms.max_attempts + 1 - calls.attempts);
            host.send_attempt(handle, Server(server as u32), (until - self.now) / attempts_left);
        }
        if due.is_finite() {
            host.wake(due);
        }
    }

    fn view(&self, _server: Server) -> Option<ServerView> {
        None
    }
}

/// The decisions of a simulated proxy: the module's or a baseline's.
pub enum RoutingDecisions {
    Ours(Box<Proxy>),
    Baseline(Box<Baseline>),
}

impl RoutingDecisions {
    pub fn new(routing: Routing, defects: Defects, terms: Terms, seed: u64, now: f64) -> Self {
        match routing {
            Routing::Ours => Self::Ours(Box::new(Proxy::new(terms, seed, now))),
            plain => Self::Baseline(Box::new(Baseline::new(plain, defects, terms, seed, now))),
        }
    }
}

/// Forwards a call to the implementation in use.
macro_rules! delegate {
    ($self:ident, $call:ident($($argument:expr),*)) => {
        match $self {
            Self::Ours(module) => Decisions::$call(module.as_mut(), $($argument),*),
            Self::Baseline(plain) => Decisions::$call(plain.as_mut(), $($argument),*),
        }
    };
}

impl Decisions for RoutingDecisions {
    fn advance_clock(&mut self, now: f64) {
        delegate!(self, advance_clock(now));
    }
    fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, host: &mut impl Host) {
        delegate!(self, update_server_list(lines, whole, host));
    }
    fn reported(&mut self, server: Server, report: Report) {
        delegate!(self, reported(server, report));
    }
    fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>) {
        delegate!(self, set_suspicion(server, suspicion));
    }
    fn set_fleet_limit(&mut self, server: Server, attempts: Option<u32>) -> u32 {
        delegate!(self, set_fleet_limit(server, attempts))
    }
    fn set_within_share(&mut self, tenant: usize, within: Option<bool>) {
        delegate!(self, set_within_share(tenant, within));
    }
    fn accept(&mut self, call: &Call) -> Handle {
        delegate!(self, accept(call))
    }
    fn enqueue(&mut self, handle: Handle) {
        delegate!(self, enqueue(handle));
    }
    fn established(&mut self, handle: Handle) {
        delegate!(self, established(handle));
    }
    fn answer_held(&mut self, handle: Handle) {
        delegate!(self, answer_held(handle));
    }
    fn answer_sent(&mut self, handle: Handle) {
        delegate!(self, answer_sent(handle));
    }
    fn attempt_ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host) {
        delegate!(self, attempt_ended(handle, ending, finished, host));
    }
    fn caller_gone(&mut self, handle: Handle) {
        delegate!(self, caller_gone(handle));
    }
    fn run_pending(&mut self, host: &mut impl Host) {
        delegate!(self, run_pending(host));
    }
    fn view(&self, server: Server) -> Option<ServerView> {
        match self {
            Self::Ours(module) => Proxy::view(module, server),
            Self::Baseline(plain) => plain.view(server),
        }
    }
}
