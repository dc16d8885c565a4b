//! Baselines: the same border proxy with a plain rule in place of the module, to compare against. And proxies
//! broken on purpose, one for each rule, that the witness must catch.

use std::fmt;
use std::str::FromStr;

use border::Decisions;
use frostthread::Proxy;
use frostthread::host::{
    Call, Ending, Handle, Host, Report, Server, ServerEntry, ServerView, State, Suspicion, Terms,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The module.
    Ours,
    /// Any running server, by chance.
    Random,
    /// One running server after the other.
    RoundRobin,
    /// The running server with the fewest shots of this proxy out.
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

/// What is wrong with a proxy that is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// Never answers a caller whose shot was nacked or timed out.
    pub forgets: bool,
    /// Shoots at servers that drain or are gone.
    pub ignores_list: bool,
    /// Sends again at once after a time-out.
    pub skips_release: bool,
    /// Shoots at whoever has just started.
    pub loves_cold: bool,
}

struct Kept {
    until: f64,
    shots: u32,
    server: Option<usize>,
    rest_until: f64,
    over: bool,
}

/// A plain rule: any running server, the next after a nack or time-out, nothing held but for the release.
pub struct Plain {
    routing: Routing,
    broken: Broken,
    terms: Terms,
    chance: Pcg64Mcg,
    now: f64,
    servers: Vec<Option<(State, usize, f64)>>,
    next: usize,
    kept: Vec<Option<Kept>>,
    held: Vec<Handle>,
}

impl Plain {
    pub fn new(routing: Routing, broken: Broken, terms: Terms, seed: u64, now: f64) -> Self {
        Self {
            routing,
            broken,
            terms,
            chance: Pcg64Mcg::seed_from_u64(seed),
            now,
            servers: Vec::new(),
            next: 0,
            kept: Vec::new(),
            held: Vec::new(),
        }
    }

    fn choose(&mut self) -> Option<usize> {
        let fit = |s: &Option<(State, usize, f64)>| match s {
            Some((State::Running, ..)) => true,
            Some(_) => self.broken.ignores_list,
            None => false,
        };
        let mut fit: Vec<usize> = (0..self.servers.len()).filter(|&i| fit(&self.servers[i])).collect();
        if self.broken.loves_cold {
            let youngest = |&i: &usize| self.servers[i].map_or(f64::NEG_INFINITY, |s| s.2);
            let last = fit.iter().copied().max_by(|a, b| youngest(a).total_cmp(&youngest(b)));
            fit = last.into_iter().collect();
        }
        if fit.is_empty() {
            return None;
        }
        Some(match self.routing {
            Routing::RoundRobin => {
                self.next += 1;
                fit[self.next % fit.len()]
            }
            Routing::LeastOut => {
                let least = fit.iter().filter_map(|&i| self.servers[i].map(|s| s.1)).min()?;
                let least: Vec<usize> =
                    fit.into_iter().filter(|&i| self.servers[i].is_some_and(|s| s.1 == least)).collect();
                least[self.chance.random_range(0..least.len())]
            }
            _ => fit[self.chance.random_range(0..fit.len())],
        })
    }

    fn off(&mut self, handle: Handle) {
        let server = self.kept[handle.0 as usize].as_mut().and_then(|kept| kept.server.take());
        if let Some(Some((_, out, _))) = server.map(|server| &mut self.servers[server]) {
            *out -= 1;
        }
    }
}

impl Decisions for Plain {
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
        let kept = Kept {
            until: self.now + call.remaining,
            shots: 0,
            server: None,
            rest_until: f64::NEG_INFINITY,
            over: false,
        };
        let free = self.kept.iter().position(Option::is_none);
        let place = free.unwrap_or_else(|| {
            self.kept.push(None);
            self.kept.len() - 1
        });
        self.kept[place] = Some(kept);
        Handle(place as u32)
    }

    fn enqueue(&mut self, handle: Handle) {
        self.held.push(handle);
    }

    fn established(&mut self, handle: Handle) {
        self.off(handle);
    }

    fn attempt_ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host) {
        self.off(handle);
        let Some(kept) = &mut self.kept[handle.0 as usize] else { return };
        if finished || kept.over {
            self.kept[handle.0 as usize] = None;
            return;
        }
        if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled)
            && !self.broken.skips_release
        {
            kept.rest_until = self.now + self.terms.release + 1.0;
        }
        let again =
            kept.shots < self.terms.max_attempts && kept.rest_until < kept.until && self.now < kept.until;
        if self.broken.forgets {
        } else if again && ending != Ending::Busy {
            self.held.push(handle);
        } else {
            self.kept[handle.0 as usize] = None;
            host.refuse(handle, self.terms.max_retry_after);
        }
    }

    fn caller_gone(&mut self, handle: Handle) {
        self.held.retain(|held| *held != handle);
        let index = handle.0 as usize;
        match &mut self.kept[index] {
            Some(kept) if kept.server.is_some() => kept.over = true,
            _ => self.kept[index] = None,
        }
    }

    fn run_pending(&mut self, host: &mut impl Host) {
        let mut due = f64::INFINITY;
        for handle in std::mem::take(&mut self.held) {
            let Some(kept) = &self.kept[handle.0 as usize] else { continue };
            let (until, rest) = (kept.until, kept.rest_until);
            if rest > self.now {
                due = due.min(rest);
                self.held.push(handle);
                continue;
            }
            let chosen = if until > self.now { self.choose() } else { None };
            let Some(server) = chosen else {
                self.kept[handle.0 as usize] = None;
                host.refuse(handle, self.terms.max_retry_after);
                continue;
            };
            let kept = self.kept[handle.0 as usize].as_mut().expect("just seen");
            kept.shots += 1;
            kept.server = Some(server);
            if let Some((_, out, _)) = &mut self.servers[server] {
                *out += 1;
            }
            // An even share of what is left for each shot that it may have.
            let left = f64::from(self.terms.max_attempts + 1 - kept.shots);
            host.send_attempt(handle, Server(server as u32), (until - self.now) / left);
        }
        if due.is_finite() {
            host.wake(due);
        }
    }

    fn view(&self, _server: Server) -> Option<ServerView> {
        None
    }
}

/// Whoever decides in a simulated proxy.
pub enum Decider {
    Ours(Box<Proxy>),
    Plain(Box<Plain>),
}

impl Decider {
    pub fn new(routing: Routing, broken: Broken, terms: Terms, seed: u64, now: f64) -> Self {
        match routing {
            Routing::Ours => Self::Ours(Box::new(Proxy::new(terms, seed, now))),
            plain => Self::Plain(Box::new(Plain::new(plain, broken, terms, seed, now))),
        }
    }
}

/// Passes a call on to whoever decides.
macro_rules! pass_on {
    ($self:ident, $call:ident($($argument:expr),*)) => {
        match $self {
            Self::Ours(module) => Decisions::$call(module.as_mut(), $($argument),*),
            Self::Plain(plain) => Decisions::$call(plain.as_mut(), $($argument),*),
        }
    };
}

impl Decisions for Decider {
    fn advance_clock(&mut self, now: f64) {
        pass_on!(self, advance_clock(now));
    }
    fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, host: &mut impl Host) {
        pass_on!(self, update_server_list(lines, whole, host));
    }
    fn reported(&mut self, server: Server, report: Report) {
        pass_on!(self, reported(server, report));
    }
    fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>) {
        pass_on!(self, set_suspicion(server, suspicion));
    }
    fn set_fleet_limit(&mut self, server: Server, shots: Option<u32>) -> u32 {
        pass_on!(self, set_fleet_limit(server, shots))
    }
    fn set_within_share(&mut self, tenant: usize, within: Option<bool>) {
        pass_on!(self, set_within_share(tenant, within));
    }
    fn accept(&mut self, call: &Call) -> Handle {
        pass_on!(self, accept(call))
    }
    fn enqueue(&mut self, handle: Handle) {
        pass_on!(self, enqueue(handle));
    }
    fn established(&mut self, handle: Handle) {
        pass_on!(self, established(handle));
    }
    fn attempt_ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host) {
        pass_on!(self, attempt_ended(handle, ending, finished, host));
    }
    fn caller_gone(&mut self, handle: Handle) {
        pass_on!(self, caller_gone(handle));
    }
    fn run_pending(&mut self, host: &mut impl Host) {
        pass_on!(self, run_pending(host));
    }
    fn view(&self, server: Server) -> Option<ServerView> {
        match self {
            Self::Ours(module) => Proxy::view(module, server),
            Self::Plain(plain) => plain.view(server),
        }
    }
}
