//! A fake host that records the actions which the decisions request, and a border proxy with a simulated
//! clock.

#![allow(dead_code)] // each test file uses a part of it

use std::collections::HashMap;

use frostthread::host::{Call, Ending, GradeTerms, Host, Server, ServerEntry, State, TenantTerms, Terms};
use frostthread::{Handle, Proxy};

#[derive(Debug, Default)]
pub struct FakeHost {
    pub attempts: Vec<(Handle, u32, f64)>,
    pub refused: Vec<(Handle, Option<f64>)>,
    pub failed: Vec<Handle>,
    pub cancelled: Vec<(Handle, u16)>,
    pub wake_times: Vec<f64>,
    pub log_lines: Vec<String>,
    pub probes: Vec<u32>,
}

impl Host for FakeHost {
    fn send_attempt(&mut self, handle: Handle, server: Server, timeout: f64) {
        self.attempts.push((handle, server.0, timeout));
    }
    fn refuse(&mut self, handle: Handle, retry_after: Option<f64>) {
        self.refused.push((handle, retry_after));
    }
    fn fail(&mut self, handle: Handle) {
        self.failed.push(handle);
    }
    fn cancel(&mut self, handle: Handle, attempt: u16) {
        self.cancelled.push((handle, attempt));
    }
    fn wake(&mut self, at: f64) {
        self.wake_times.push(at);
    }
    fn probe(&mut self, server: Server) {
        self.probes.push(server.0);
    }
    fn broadcast(&mut self, _: &[u8]) {}
    fn log(&mut self, line: &str) {
        self.log_lines.push(line.to_owned());
    }
}

/// A border proxy with a simulated clock and the fake host.
pub struct Scenario {
    pub proxy: Proxy,
    pub host: FakeHost,
    pub now: f64,
    /// Number of attempts when the handle was given out, since handles are reused.
    attempts_before: HashMap<Handle, usize>,
}

pub fn terms() -> Terms {
    let grade = |quoted, earnings| GradeTerms {
        quoted,
        limit: 9000.0,
        hold: 8000.0,
        earnings,
        late_share: 0.25,
        repeatable: true,
        pools: vec![0, 1, 2],
    };
    Terms {
        proxies: 5,
        grades: vec![grade(2000.0, 1.0), grade(2000.0, 3.0)],
        tenants: vec![TenantTerms { quota: 1000.0 }, TenantTerms { quota: 0.1 }],
        over_share: 0.2,
        max_attempts: 4,
        max_retry_after: Some(2000.0),
        may_cancel: true,
        may_probe: true,
        release: 300.0,
        resend_after: 500.0,
        respect_retry_after: false,
        cold_duration: 14_000.0,
        initial_capacity_share: 0.0,
        overload_factor: 2.0,
        overload_duration: 1000.0,
    }
}

pub fn server_entry(server: u32, state: State, started_at: Option<f64>) -> ServerEntry {
    ServerEntry { server: Server(server), state, pool: server as u16, started_at }
}

impl Scenario {
    /// A proxy with the given number of running, warm central servers.
    pub fn with_servers(servers: u32) -> Self {
        Self::with_terms(servers, terms())
    }

    pub fn with_terms(servers: u32, terms: Terms) -> Self {
        let entries: Vec<ServerEntry> =
            (0..servers).map(|server| server_entry(server, State::Running, None)).collect();
        let proxy = Proxy::new(terms, 7, 0.0);
        let mut scenario =
            Self { proxy, host: FakeHost::default(), now: 0.0, attempts_before: HashMap::new() };
        scenario.update_server_list(&entries);
        scenario
    }

    pub fn update_server_list(&mut self, entries: &[ServerEntry]) {
        self.proxy.update_server_list(entries, false, &mut self.host);
        self.proxy.run_pending(&mut self.host);
    }

    /// Advances the clock by `duration` milliseconds and runs each requested turn on the way.
    pub fn advance(&mut self, duration: f64) {
        let end = self.now + duration;
        while let Some(wake_at) =
            self.host.wake_times.iter().copied().filter(|&wake_at| wake_at <= end).reduce(f64::min)
        {
            self.host.wake_times.retain(|&other| other != wake_at);
            self.now = self.now.max(wake_at);
            self.proxy.advance_clock(self.now);
            self.proxy.run_pending(&mut self.host);
        }
        self.now = end;
        self.proxy.advance_clock(end);
    }

    pub fn call(&mut self, grade: usize, preferred_pool: u16) -> Handle {
        self.call_for_tenant(grade, preferred_pool, 0)
    }

    pub fn call_for_tenant(&mut self, grade: usize, preferred_pool: u16, tenant: usize) -> Handle {
        self.accept(&Call {
            grade,
            tenant: Some(tenant),
            preferred_pool,
            number: None,
            remaining: 3000.0,
            redial: false,
        })
    }

    pub fn call_to_number(&mut self, number: u64) -> Handle {
        let number = Some(number);
        self.accept(&Call {
            grade: 0,
            tenant: None,
            preferred_pool: 0,
            number,
            remaining: 3000.0,
            redial: false,
        })
    }

    /// A call whose caller hangs up after `remaining` milliseconds.
    pub fn call_with_remaining(&mut self, remaining: f64) -> Handle {
        self.accept(&Call {
            grade: 0,
            tenant: None,
            preferred_pool: 0,
            number: None,
            remaining,
            redial: false,
        })
    }

    fn accept(&mut self, call: &Call) -> Handle {
        let handle = self.proxy.accept(call);
        self.attempts_before.insert(handle, self.host.attempts.len());
        handle.enqueue(&mut self.proxy);
        self.proxy.run_pending(&mut self.host);
        handle
    }

    pub fn establish(&mut self, handle: Handle) {
        handle.established(&mut self.proxy);
        self.proxy.run_pending(&mut self.host);
    }

    pub fn end_attempt(&mut self, handle: Handle, ending: Ending) {
        handle.attempt_ended(&mut self.proxy, ending, ending == Ending::Ok, &mut self.host);
        self.proxy.run_pending(&mut self.host);
    }

    /// The caller withdraws the conversation, whose attempt is cancelled.
    pub fn withdraw(&mut self, handle: Handle) {
        handle.caller_gone(&mut self.proxy);
        handle.attempt_ended(&mut self.proxy, Ending::Cancelled, true, &mut self.host);
        self.proxy.run_pending(&mut self.host);
    }

    /// A complete call: answered `delay` milliseconds after its attempt, unless it is given up before it has
    /// one.
    pub fn complete_call(&mut self, preferred_pool: u16, delay: f64) {
        let handle = self.call(0, preferred_pool);
        while self.servers_tried(handle).is_empty() && self.proxy.contains(handle) {
            self.advance(10.0);
        }
        if self.proxy.contains(handle) {
            self.advance(delay);
            self.establish(handle);
            self.end_attempt(handle, Ending::Ok);
        }
    }

    /// The central servers of the conversation's attempts, in order.
    pub fn servers_tried(&self, handle: Handle) -> Vec<u32> {
        let attempts = &self.host.attempts[self.attempts_before[&handle]..];
        attempts.iter().filter(|attempt| attempt.0 == handle).map(|attempt| attempt.1).collect()
    }

    /// Number of attempts that the central server has had.
    pub fn attempts_at(&self, server: u32) -> usize {
        self.host.attempts.iter().filter(|attempt| attempt.1 == server).count()
    }
}
