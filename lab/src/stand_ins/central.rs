//! A stand-in central server: an IAX2 endpoint in front of a processor that does one job at a time. Set-up,
//! answer and release cost it work; a repeated set-up costs as much as a new one. It repeats only what RFC
//! 5456 repeats, and can be cold, slow, hung, ageing, faulty, losing answers, full or overloaded. Whether it
//! is silent or down is tracked by [`crate::drills::cluster`].

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

use border::hints::Hints;
use bytes::Bytes;
use iax2::element::Elements;
use iax2::{Datagram, Endpoint, Event, Leg, Limits, Poke, cause};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use crate::drill::{
    ANSWER_WORK, COLD_CAPACITY_SHARE, COLD_MS, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS, RELEASE_WORK,
    RESEND_INTERVAL_MS,
};
use crate::drill::{Deployment, Drill};

/// Work of rejecting a set-up, and of a probe, in set-ups.
const REJECT_WORK: f64 = 0.2;
const PROBE_WORK: f64 = 0.03;
/// A server rejects set-ups once their wait exceeds this.
const MAX_WAIT_MS: f64 = 2500.0;
/// How often a server updates its report.
const REPORT_INTERVAL_MS: f64 = 300.0;

#[derive(Clone, Copy, Debug)]
enum Job {
    SetUp(Leg),
    Answer(Leg),
    Reject(Leg),
    Probe(Poke),
    /// Work without a reply: a release, or a copy of a set-up.
    Other(f64),
}

/// A stand-in central server.
pub struct Central {
    endpoint: Endpoint,
    setup_work: f64,
    rng: Pcg64Mcg,
    setups: VecDeque<Job>,
    followups: VecDeque<Job>,
    current: Option<(f64, Job)>,
    /// When its process started, in milliseconds; negative infinity for long ago.
    pub started_at: f64,
    /// Faults, each with the time when it ends.
    pub slow: (f64, f64),
    pub hung_until: f64,
    /// From when, until when, and the slow-down factor at the end.
    pub ageing: (f64, f64, f64),
    pub faulty: (f64, f64),
    /// Until when, and for which share of set-ups, the answer is lost although the work is done.
    pub answer_loss: (f64, f64),
    /// Number of answers lost that way.
    pub answers_lost: u64,
    pub report_late: (f64, f64),
    pub lines: usize,
    pub reports: bool,
    deployment: Deployment,
    /// Number of probes received.
    pub probed: u64,
    /// Overloaded while cold: it stays down.
    pub overloaded: bool,
    established: HashSet<Leg>,
    arrivals: VecDeque<f64>,
    report_history: VecDeque<(f64, Hints)>,
    pub busy_ms: f64,
}

impl Central {
    pub fn new(setup_work: f64, started_at: f64, reports: bool, mut rng: Pcg64Mcg) -> Self {
        Self {
            endpoint: Endpoint::new(
                Limits { resend_delay: RESEND_INTERVAL_MS, ..Limits::default() },
                rng.random(),
            ),
            setup_work,
            rng,
            setups: VecDeque::new(),
            followups: VecDeque::new(),
            current: None,
            started_at,
            slow: (0.0, 1.0),
            hung_until: 0.0,
            ageing: (0.0, 0.0, 1.0),
            faulty: (0.0, 0.0),
            answer_loss: (0.0, 0.0),
            answers_lost: 0,
            report_late: (0.0, 0.0),
            lines: usize::MAX,
            reports,
            deployment: Deployment::default(),
            probed: 0,
            overloaded: false,
            established: HashSet::new(),
            arrivals: VecDeque::new(),
            report_history: VecDeque::new(),
            busy_ms: 0.0,
        }
    }

    /// A server with a drill's capacity and deployment.
    pub fn for_drill(drill: &Drill, started_at: f64, rng: Pcg64Mcg) -> Self {
        let central = Self::new(drill.setup_work(), started_at, drill.fleet.reports, rng);
        Self { deployment: drill.deployment, ..central }
    }

    /// Its speed as a share of full speed.
    pub fn speed(&self, now: f64) -> f64 {
        let warm = ((now - self.started_at) / COLD_MS).clamp(0.0, 1.0);
        let cold = COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * warm;
        let slow = if now < self.slow.0 { self.slow.1 } else { 1.0 };
        let (from, until, times) = self.ageing;
        let aged = if now < until { 1.0 + (times - 1.0) * (now - from) / (until - from) } else { 1.0 };
        cold / slow / aged.max(1.0)
    }

    /// Conversations per second that it can carry at its present speed.
    pub fn capacity(&self, now: f64) -> f64 {
        1000.0 * self.speed(now) / (self.setup_work * (1.0 + ANSWER_WORK + RELEASE_WORK))
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: f64, from: SocketAddr, bytes: &Bytes) {
        let copies = self.endpoint.counts().duplicates;
        self.endpoint.receive(now, from, bytes);
        let copies = self.endpoint.counts().duplicates - copies;
        let is_new = bytes.len() > 11 && bytes[0] & 0x80 != 0 && bytes[10] == 6 && bytes[11] == 1;
        if copies > 0 && is_new {
            self.setups.push_back(Job::Other(copies as f64));
        }
        self.handle_events(now);
        self.start_next_job(now);
    }

    /// Finishes the jobs that are done by now.
    pub fn turn(&mut self, now: f64) {
        self.endpoint.turn(now);
        self.handle_events(now);
        while let Some((at, job)) = self.current.filter(|(at, _)| *at <= now) {
            if self.hung_until > now {
                self.current = Some((self.hung_until, job));
                break;
            }
            self.current = None;
            self.finish(at, job);
            self.start_next_job(now);
        }
        self.start_next_job(now);
    }

    /// When [`Central::turn`] is due, in milliseconds.
    pub fn due(&self) -> f64 {
        let current = self.current.map_or(f64::INFINITY, |(at, _)| at);
        current.min(self.endpoint.due().unwrap_or(f64::INFINITY))
    }

    /// The next datagram to send.
    pub fn datagram(&mut self) -> Option<Datagram> {
        self.endpoint.next_datagram()
    }

    /// Cuts all established calls, as a server does that is stopped after its drain.
    pub fn cut_all(&mut self, now: f64) {
        let mut all: Vec<Leg> = self.established.drain().collect();
        all.sort_unstable();
        for leg in all {
            self.endpoint.end(now, leg, &Elements::new().with_cause(cause::OUT_OF_ORDER));
        }
    }

    fn handle_events(&mut self, now: f64) {
        while let Some((leg, event)) = self.endpoint.next_event() {
            match event {
                Event::Offered { .. } => self.handle_setup(now, leg),
                Event::Ended(_) if self.established.remove(&leg) => {
                    self.followups.push_back(Job::Other(RELEASE_WORK));
                }
                Event::Poked(poke) => {
                    self.probed += 1;
                    self.setups.push_back(Job::Probe(poke));
                }
                _ => {}
            }
        }
    }

    /// Wait in milliseconds of a set-up that arrives now.
    fn wait(&self, now: f64) -> f64 {
        self.setups.len() as f64 * self.setup_work / self.speed(now)
    }

    fn handle_setup(&mut self, now: f64, leg: Leg) {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|&at| at < now - OVERLOAD_WINDOW_MS) {
            self.arrivals.pop_front();
        }
        // What it can do at its present speed, in set-ups over the window.
        let overload_limit = OVERLOAD_FACTOR * OVERLOAD_WINDOW_MS / 1000.0 * self.capacity(now);
        if now - self.started_at < COLD_MS && self.arrivals.len() as f64 > overload_limit.max(1.0) {
            self.overloaded = true;
        }
        let wait = self.wait(now);
        if self.established.len() >= self.lines {
            let full = self.hints(now, true).add_to(Elements::new().with_cause(cause::NO_CIRCUIT));
            self.endpoint.end(now, leg, &full);
        } else if wait > MAX_WAIT_MS {
            self.setups.push_back(Job::Reject(leg));
        } else {
            self.setups.push_back(Job::SetUp(leg));
        }
    }

    /// Starts the next job: set-ups before answers and releases, unless the deployment has the opposite
    /// order.
    fn start_next_job(&mut self, now: f64) {
        if self.current.is_some() || self.overloaded {
            return;
        }
        let (first, second) = match self.deployment.answers_first {
            true => (&mut self.followups, &mut self.setups),
            false => (&mut self.setups, &mut self.followups),
        };
        let Some(job) = first.pop_front().or_else(|| second.pop_front()) else { return };
        let work = match job {
            Job::SetUp(_) => 1.0,
            Job::Answer(_) => ANSWER_WORK,
            Job::Reject(_) => REJECT_WORK,
            Job::Probe(_) => PROBE_WORK,
            Job::Other(work) => work,
        };
        let spread: f64 = Exp1.sample(&mut self.rng);
        let duration = work * self.setup_work * spread / self.speed(now);
        self.busy_ms += duration;
        self.current = Some((now + duration, job));
    }

    fn finish(&mut self, now: f64, job: Job) {
        match job {
            Job::SetUp(_) if now < self.answer_loss.0 && self.rng.random::<f64>() < self.answer_loss.1 => {
                self.answers_lost += 1
            }
            Job::SetUp(leg) => {
                if now < self.faulty.0 && self.rng.random::<f64>() < self.faulty.1 {
                    self.endpoint.accept(now, leg, &Elements::new());
                    let fault = Elements::new().with_cause(cause::TEMPORARY_FAILURE);
                    return self.endpoint.end(now, leg, &fault);
                }
                let report = self.hints(now, false).add_to(Elements::new());
                self.endpoint.accept(now, leg, &report);
                self.followups.push_back(Job::Answer(leg));
            }
            Job::Answer(leg) => {
                let report = self.hints(now, false).add_to(Elements::new());
                self.endpoint.answer(now, leg, &report);
                self.established.insert(leg);
            }
            Job::Reject(leg) => {
                let mut hints = self.hints(now, false);
                hints.retry_after = self.deployment.reports_wait.then(|| self.wait(now) as u32);
                let full = hints.add_to(Elements::new().with_cause(cause::CONGESTION));
                self.endpoint.end(now, leg, &full);
            }
            Job::Probe(poke) => {
                let report = self.hints(now, false).add_to(Elements::new());
                self.endpoint.pong(&poke, &report);
            }
            Job::Other(_) => {}
        }
    }

    /// Its report of itself: updated at intervals, and delayed while that fault lasts.
    fn hints(&mut self, now: f64, no_free_line: bool) -> Hints {
        if !self.reports {
            return Hints::default();
        }
        if self.report_history.back().is_none_or(|(at, _)| now - at >= REPORT_INTERVAL_MS) {
            let free = self.lines.saturating_sub(self.established.len());
            let hints = Hints {
                free: (self.lines != usize::MAX).then_some(free as u32),
                lines: (self.lines != usize::MAX).then_some(self.lines as u32),
                rate: Some((self.capacity(now) * 1000.0) as u32),
                queue: Some(self.setups.len() as u32),
                wait: self.deployment.reports_wait.then(|| self.wait(now) as u32),
                ..Hints::default()
            };
            self.report_history.push_back((now, hints));
        }
        let late = if now < self.report_late.0 { self.report_late.1 } else { 0.0 };
        while self.report_history.len() > 1 && self.report_history[1].0 <= now - late {
            self.report_history.pop_front();
        }
        let mut hints = self.report_history.front().map(|(_, hints)| *hints).unwrap_or_default();
        if no_free_line {
            hints.free = Some(0);
        }
        hints
    }
}
