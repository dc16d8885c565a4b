//! A stand-in central server: an IAX2 endpoint before a processor with one line. Set-up, answer and release
//! cost it work, a set-up that is sent again costs as much as a new one. It repeats nothing that RFC 5456
//! does not, and can be cold, slow, hung, ageing, faulty, losing answers, full or pushed over; who is silent
//! or down is the [`crate::drills::world`]'s to say.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

use border::hints::Hints;
use bytes::Bytes;
use iax2::element::Elements;
use iax2::{Datagram, Endpoint, Event, Leg, Limits, Poke, cause};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use crate::drill::{ANSWER_WORK, COLD, COLD_FROM, FALL_MULTIPLE, FALL_SPAN, RELEASE_WORK, REPEAT};
use crate::drill::{Drill, Shape};

/// Work of turning a set-up away, and of a probe, in set-ups.
const REJECT_WORK: f64 = 0.2;
const PROBE_WORK: f64 = 0.03;
/// A processor turns set-ups away once its wait passes this.
const LONGEST_WAIT: f64 = 2500.0;
/// How often a server looks at itself for its report.
const REPORT_EVERY: f64 = 300.0;

#[derive(Clone, Copy, Debug)]
enum Job {
    SetUp(Leg),
    Answer(Leg),
    Reject(Leg),
    Probe(Poke),
    /// Work that tells nobody anything: a release, a copy of a set-up.
    Toil(f64),
}

/// One stand-in.
pub struct Central {
    endpoint: Endpoint,
    setup_work: f64,
    chance: Pcg64Mcg,
    setups: VecDeque<Job>,
    after: VecDeque<Job>,
    busy: Option<(f64, Job)>,
    /// When its process started; negative infinity for long ago.
    pub started: f64,
    /// Trouble, each with the time when it ends.
    pub slow: (f64, f64),
    pub hung_until: f64,
    /// Slower and slower: from, until, and how many times at the end.
    pub ageing: (f64, f64, f64),
    pub faulty: (f64, f64),
    /// Until when, and of which part of set-ups, the answer is lost though the work is done.
    pub losing: (f64, f64),
    /// How many answers were.
    pub lost: u64,
    pub report_late: (f64, f64),
    pub lines: usize,
    pub reports: bool,
    shape: Shape,
    /// How often it was probed.
    pub probed: u64,
    /// Pushed over while cold: it stays down.
    pub fallen: bool,
    standing: HashSet<Leg>,
    arrivals: VecDeque<f64>,
    reports_kept: VecDeque<(f64, Hints)>,
    pub worked: f64,
}

impl Central {
    pub fn new(setup_work: f64, started: f64, reports: bool, mut chance: Pcg64Mcg) -> Self {
        Self {
            endpoint: Endpoint::new(Limits { resend_delay: REPEAT, ..Limits::default() }, chance.random()),
            setup_work,
            chance,
            setups: VecDeque::new(),
            after: VecDeque::new(),
            busy: None,
            started,
            slow: (0.0, 1.0),
            hung_until: 0.0,
            ageing: (0.0, 0.0, 1.0),
            faulty: (0.0, 0.0),
            losing: (0.0, 0.0),
            lost: 0,
            report_late: (0.0, 0.0),
            lines: usize::MAX,
            reports,
            shape: Shape::default(),
            probed: 0,
            fallen: false,
            standing: HashSet::new(),
            arrivals: VecDeque::new(),
            reports_kept: VecDeque::new(),
            worked: 0.0,
        }
    }

    /// A drill's.
    pub fn of(drill: &Drill, started: f64, chance: Pcg64Mcg) -> Self {
        let central = Self::new(drill.setup_work(), started, drill.fleet.reports, chance);
        Self { shape: drill.shape, ..central }
    }

    /// The part of its full speed that it has.
    pub fn speed(&self, now: f64) -> f64 {
        let warm = ((now - self.started) / COLD).clamp(0.0, 1.0);
        let cold = COLD_FROM + (1.0 - COLD_FROM) * warm;
        let slow = if now < self.slow.0 { self.slow.1 } else { 1.0 };
        let (from, until, times) = self.ageing;
        let aged = if now < until { 1.0 + (times - 1.0) * (now - from) / (until - from) } else { 1.0 };
        cold / slow / aged.max(1.0)
    }

    /// Conversations a second that it can carry at its present speed.
    pub fn capacity(&self, now: f64) -> f64 {
        1000.0 * self.speed(now) / (self.setup_work * (1.0 + ANSWER_WORK + RELEASE_WORK))
    }

    pub fn receive(&mut self, now: f64, from: SocketAddr, bytes: &Bytes) {
        let copies = self.endpoint.counts().duplicates;
        self.endpoint.receive(now, from, bytes);
        let copies = self.endpoint.counts().duplicates - copies;
        let is_new = bytes.len() > 11 && bytes[0] & 0x80 != 0 && bytes[10] == 6 && bytes[11] == 1;
        if copies > 0 && is_new {
            self.setups.push_back(Job::Toil(copies as f64));
        }
        self.hear(now);
        self.work_on(now);
    }

    pub fn turn(&mut self, now: f64) {
        self.endpoint.turn(now);
        self.hear(now);
        while let Some((at, job)) = self.busy.filter(|(at, _)| *at <= now) {
            if self.hung_until > now {
                self.busy = Some((self.hung_until, job));
                break;
            }
            self.busy = None;
            self.finish(at, job);
            self.work_on(now);
        }
        self.work_on(now);
    }

    pub fn due(&self) -> f64 {
        let busy = self.busy.map_or(f64::INFINITY, |(at, _)| at);
        busy.min(self.endpoint.due().unwrap_or(f64::INFINITY))
    }

    pub fn datagram(&mut self) -> Option<Datagram> {
        self.endpoint.next_datagram()
    }

    /// Cuts all that stands, as a processor does that is stopped after its drain.
    pub fn cut_all(&mut self, now: f64) {
        let mut all: Vec<Leg> = self.standing.drain().collect();
        all.sort_unstable();
        for leg in all {
            self.endpoint.end(now, leg, &Elements::new().with_cause(cause::OUT_OF_ORDER));
        }
    }

    fn hear(&mut self, now: f64) {
        while let Some((leg, happening)) = self.endpoint.next_event() {
            match happening {
                Event::Offered { .. } => self.offered(now, leg),
                Event::Ended(_) if self.standing.remove(&leg) => {
                    self.after.push_back(Job::Toil(RELEASE_WORK));
                }
                Event::Poked(poke) => {
                    self.probed += 1;
                    self.setups.push_back(Job::Probe(poke));
                }
                _ => {}
            }
        }
    }

    /// How long a set-up waits that comes now.
    fn wait(&self, now: f64) -> f64 {
        self.setups.len() as f64 * self.setup_work / self.speed(now)
    }

    fn offered(&mut self, now: f64, leg: Leg) {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|&at| at < now - FALL_SPAN) {
            self.arrivals.pop_front();
        }
        // What it can do at that moment, in set-ups over the span.
        let bearable = FALL_MULTIPLE * FALL_SPAN / 1000.0 * self.capacity(now);
        if now - self.started < COLD && self.arrivals.len() as f64 > bearable.max(1.0) {
            self.fallen = true;
        }
        let waits = self.wait(now);
        if self.standing.len() >= self.lines {
            let full = self.hints(now, true).add_to(Elements::new().with_cause(cause::NO_CIRCUIT));
            self.endpoint.end(now, leg, &full);
        } else if waits > LONGEST_WAIT {
            self.setups.push_back(Job::Reject(leg));
        } else {
            self.setups.push_back(Job::SetUp(leg));
        }
    }

    /// Begins the next job: set-ups before what comes after them, unless its shape is otherwise.
    fn work_on(&mut self, now: f64) {
        if self.busy.is_some() || self.fallen {
            return;
        }
        let (first, second) = match self.shape.answers_first {
            true => (&mut self.after, &mut self.setups),
            false => (&mut self.setups, &mut self.after),
        };
        let Some(job) = first.pop_front().or_else(|| second.pop_front()) else { return };
        let work = match job {
            Job::SetUp(_) => 1.0,
            Job::Answer(_) => ANSWER_WORK,
            Job::Reject(_) => REJECT_WORK,
            Job::Probe(_) => PROBE_WORK,
            Job::Toil(work) => work,
        };
        let spread: f64 = Exp1.sample(&mut self.chance);
        let took = work * self.setup_work * spread / self.speed(now);
        self.worked += took;
        self.busy = Some((now + took, job));
    }

    fn finish(&mut self, now: f64, job: Job) {
        match job {
            Job::SetUp(_) if now < self.losing.0 && self.chance.random::<f64>() < self.losing.1 => {
                self.lost += 1
            }
            Job::SetUp(leg) => {
                if now < self.faulty.0 && self.chance.random::<f64>() < self.faulty.1 {
                    self.endpoint.accept(now, leg, &Elements::new());
                    let fault = Elements::new().with_cause(cause::TEMPORARY_FAILURE);
                    return self.endpoint.end(now, leg, &fault);
                }
                let report = self.hints(now, false).add_to(Elements::new());
                self.endpoint.accept(now, leg, &report);
                self.after.push_back(Job::Answer(leg));
            }
            Job::Answer(leg) => {
                let report = self.hints(now, false).add_to(Elements::new());
                self.endpoint.answer(now, leg, &report);
                self.standing.insert(leg);
            }
            Job::Reject(leg) => {
                let mut hints = self.hints(now, false);
                hints.retry_after = self.shape.tells_wait.then(|| self.wait(now) as u32);
                let full = hints.add_to(Elements::new().with_cause(cause::CONGESTION));
                self.endpoint.end(now, leg, &full);
            }
            Job::Probe(poke) => {
                let report = self.hints(now, false).add_to(Elements::new());
                self.endpoint.pong(&poke, &report);
            }
            Job::Toil(_) => {}
        }
    }

    /// What it says of itself: looked at now and then, and late where reports are.
    fn hints(&mut self, now: f64, no_line: bool) -> Hints {
        if !self.reports {
            return Hints::default();
        }
        if self.reports_kept.back().is_none_or(|(at, _)| now - at >= REPORT_EVERY) {
            let free = self.lines.saturating_sub(self.standing.len());
            let hints = Hints {
                free: (self.lines != usize::MAX).then_some(free as u32),
                lines: (self.lines != usize::MAX).then_some(self.lines as u32),
                rate: Some((self.capacity(now) * 1000.0) as u32),
                queue: Some(self.setups.len() as u32),
                wait: self.shape.tells_wait.then(|| self.wait(now) as u32),
                ..Hints::default()
            };
            self.reports_kept.push_back((now, hints));
        }
        let late = if now < self.report_late.0 { self.report_late.1 } else { 0.0 };
        while self.reports_kept.len() > 1 && self.reports_kept[1].0 <= now - late {
            self.reports_kept.pop_front();
        }
        let mut hints = self.reports_kept.front().map(|(_, hints)| *hints).unwrap_or_default();
        if no_line {
            hints.free = Some(0);
        }
        hints
    }
}
