//! The one fake host of all stories: it writes down what the decisions ask for.

#![allow(dead_code)] // each file of stories uses some of it

use std::collections::HashMap;

use frostthread::host::{Call, Ending, GradeTerms, Host, Server, ServerEntry, State, TenantTerms, Terms};
use frostthread::{Handle, Proxy};

#[derive(Debug, Default)]
pub struct Fake {
    pub shots: Vec<(Handle, u32, f64)>,
    pub refused: Vec<(Handle, Option<f64>)>,
    pub failed: Vec<Handle>,
    pub cancelled: Vec<(Handle, u16)>,
    pub wakes: Vec<f64>,
    pub notes: Vec<String>,
    pub probes: Vec<u32>,
}

impl Host for Fake {
    fn send_attempt(&mut self, handle: Handle, server: Server, time_out: f64) {
        self.shots.push((handle, server.0, time_out));
    }
    fn refuse(&mut self, handle: Handle, come_back: Option<f64>) {
        self.refused.push((handle, come_back));
    }
    fn fail(&mut self, handle: Handle) {
        self.failed.push(handle);
    }
    fn cancel(&mut self, handle: Handle, shot: u16) {
        self.cancelled.push((handle, shot));
    }
    fn wake(&mut self, at: f64) {
        self.wakes.push(at);
    }
    fn probe(&mut self, server: Server) {
        self.probes.push(server.0);
    }
    fn broadcast(&mut self, _: &[u8]) {}
    fn log(&mut self, line: &str) {
        self.notes.push(line.to_owned());
    }
}

/// A border proxy on its own clock, with the fake host beside it.
pub struct Story {
    pub proxy: Proxy,
    pub host: Fake,
    pub now: f64,
    /// How many shots there were when the handle was given out; handles come again.
    began: HashMap<Handle, usize>,
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

pub fn line(server: u32, state: State, started: Option<f64>) -> ServerEntry {
    ServerEntry { server: Server(server), state, pool: server as u16, started_at: started }
}

impl Story {
    /// A proxy that knows so many running central servers, warm since long ago.
    pub fn with(servers: u32) -> Self {
        Self::among(servers, terms())
    }

    pub fn among(servers: u32, terms: Terms) -> Self {
        let lines: Vec<ServerEntry> = (0..servers).map(|s| line(s, State::Running, None)).collect();
        let proxy = Proxy::new(terms, 7, 0.0);
        let mut story = Self { proxy, host: Fake::default(), now: 0.0, began: HashMap::new() };
        story.list(&lines);
        story
    }

    pub fn list(&mut self, lines: &[ServerEntry]) {
        self.proxy.update_server_list(lines, false, &mut self.host);
        self.proxy.run_pending(&mut self.host);
    }

    /// Time goes on; the wakes that fall due are called.
    pub fn pass(&mut self, span: f64) {
        let end = self.now + span;
        while let Some(at) = self.host.wakes.iter().copied().filter(|&at| at <= end).reduce(f64::min) {
            self.host.wakes.retain(|&w| w != at);
            self.now = self.now.max(at);
            self.proxy.advance_clock(self.now);
            self.proxy.run_pending(&mut self.host);
        }
        self.now = end;
        self.proxy.advance_clock(end);
    }

    pub fn call(&mut self, grade: usize, first: u16) -> Handle {
        self.call_of(grade, first, 0)
    }

    pub fn call_of(&mut self, grade: usize, first: u16, tenant: usize) -> Handle {
        self.take(&Call {
            grade,
            tenant: Some(tenant),
            preferred_pool: first,
            number: None,
            remaining: 3000.0,
            redial: false,
        })
    }

    pub fn call_number(&mut self, number: u64) -> Handle {
        let number = Some(number);
        self.take(&Call {
            grade: 0,
            tenant: None,
            preferred_pool: 0,
            number,
            remaining: 3000.0,
            redial: false,
        })
    }

    /// A call that its caller gives up after `remaining`.
    pub fn call_left(&mut self, remaining: f64) -> Handle {
        self.take(&Call { grade: 0, tenant: None, preferred_pool: 0, number: None, remaining, redial: false })
    }

    fn take(&mut self, call: &Call) -> Handle {
        let handle = self.proxy.accept(call);
        self.began.insert(handle, self.host.shots.len());
        handle.enqueue(&mut self.proxy);
        self.proxy.run_pending(&mut self.host);
        handle
    }

    pub fn stood(&mut self, handle: Handle) {
        handle.established(&mut self.proxy);
        self.proxy.run_pending(&mut self.host);
    }

    pub fn ended(&mut self, handle: Handle, ending: Ending) {
        handle.attempt_ended(&mut self.proxy, ending, ending == Ending::Ok, &mut self.host);
        self.proxy.run_pending(&mut self.host);
    }

    /// One conversation, answered `delay` after its shot, unless it is given up before it has one.
    pub fn answer(&mut self, first: u16, delay: f64) {
        let handle = self.call(0, first);
        while self.went(handle).is_empty() && self.proxy.contains(handle) {
            self.pass(10.0);
        }
        if self.proxy.contains(handle) {
            self.pass(delay);
            self.stood(handle);
            self.ended(handle, Ending::Ok);
        }
    }

    /// Where the conversation's shots went.
    pub fn went(&self, handle: Handle) -> Vec<u32> {
        let shots = &self.host.shots[self.began[&handle]..];
        shots.iter().filter(|shot| shot.0 == handle).map(|shot| shot.1).collect()
    }

    /// How many shots the central server has had.
    pub fn shots_at(&self, server: u32) -> usize {
        self.host.shots.iter().filter(|shot| shot.1 == server).count()
    }
}
