//! The decisions: which central server a conversation is shot at, and when it is held or given up.
//!
//! How to call it: make one [`Proxy`] for each border proxy and hand it the list with [`Proxy::update_server_list`].
//! [`Proxy::accept`] gives a [`Handle`] for a conversation; everything later is a call on that handle:
//! [`Handle::enqueue`] once, then [`Handle::established`],
//! [`Handle::attempt_ended`], [`Handle::caller_gone`]. Say the time with
//! [`Proxy::advance_clock`] before whatever comes at that time, and [`Proxy::run_pending`] after it. What the decisions ask
//! for in return is the trait [`Host`] in `host.rs`. `docs/design.md` says why each step is taken.

mod called_number;
mod central;
mod cold;
mod histogram;
mod intake;
mod outcome;
mod pending;
mod selection;
mod updates;

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slab::Slab;

use called_number::CalledNumber;
use central::{Central, InFlight};
use histogram::BIN_COUNT;
pub use histogram::{Histogram, quantile_after};

use crate::host::{
    Call, Ending, GradeTerms, Handle, Host, Report, Server, ServerEntry, ServerView, State, Suspicion, Terms,
};

/// The histogram's window, in longest time limits.
const WINDOW_IN_TIME_LIMITS: f64 = 5.0 / 9.0;
/// Violation probability of a grade with mean earnings; a grade's own goes by its earnings.
const MEAN_VIOLATION_PROBABILITY: f64 = 0.05;
/// With fewer samples than this a central server passes the quantile test.
const MIN_QUANTILE_SAMPLES: usize = 20;
/// With fewer than this it has too little of its own to go by.
const SCARCE_SAMPLES: usize = MIN_QUANTILE_SAMPLES / 4;
/// Delay that a line may have, as a share of the span after which a waiting set-up is sent again.
const TARGET_DELAY_PER_RESEND: f64 = 0.8;
/// The same where set-ups are not sent again: a share of the shortest quoted time.
const TARGET_DELAY_PER_QUOTED_TIME: f64 = 0.5;
/// Shots that all proxies together may have out at a central server of which nothing is known yet, and at the
/// least; each proxy's line has its part.
const INITIAL_FLEET_IN_FLIGHT: f64 = 12.0;
const MIN_FLEET_IN_FLIGHT: f64 = 0.6;
/// A proxy with conversations held or shots out wants a turn in each such part of a standing delay.
const TURN_INTERVAL_IN_TARGET_DELAYS: f64 = 0.25;
/// Let through in full while the reported rate is above the best one over this.
const RATE_TOLERANCE: f64 = 1.25;
/// Age in standing delays past which a shot still out shrinks its line.
const OVERLOAD_AGE_IN_TARGET_DELAYS: f64 = 2.0;

/// What the module reads of a service grade.
#[derive(Clone)]
struct Grade {
    quoted: f64,
    limit: f64,
    earnings: f64,
    late_share: f64,
    violation_probability: f64,
    repeatable: bool,
    pools: Vec<u16>,
}

#[derive(Clone)]
struct Attempt {
    server: usize,
    sent_at: f64,
}

#[derive(Clone, Default)]
struct Conversation {
    grade: usize,
    preferred_pool: u16,
    number: Option<u64>,
    /// When its caller's first try was taken.
    accepted_at: f64,
    /// Drawn once: what is shared out by chance goes to the lowest.
    random_draw: f64,
    /// When the caller gives up.
    caller_deadline: f64,
    expected_earnings: f64,
    attempts: u32,
    attempt: Option<Attempt>,
    /// Where its latest shot found nobody, no answer or a fault.
    failed_server: Option<usize>,
    /// Where it met a fault that is not yet counted.
    fault_server: Option<usize>,
    established: bool,
    /// Answered for good; kept only until its shot's end is told.
    closed: bool,
    /// Not sent again before this.
    release_until: f64,
    /// Was kept away from a central server by the fleet's limit alone, and counted.
    counted_as_withheld: bool,
}

/// The decisions of one border proxy.
#[derive(Clone)]
pub struct Proxy {
    terms: Terms,
    grades: Vec<Grade>,
    rng: Pcg64Mcg,
    now: f64,
    mean_earnings: f64,
    mean_hold: f64,
    max_time_limit: f64,
    min_quoted_time: f64,
    window: f64,
    target_delay: f64,
    centrals: Vec<Option<Central>>,
    conversations: Slab<Conversation>,
    held: Vec<Handle>,
    wake_at: f64,
    /// The share of shots that were lately overtaken by a later one's answer.
    lost_answer_share: f64,
    /// How long it last had no turn, and until when what it takes may have waited for that.
    stall: (f64, f64),
    /// How long a caller waits for a try, as a share of the time limit: what most ask for, and how firmly.
    caller_timeout: (f64, u32),
    called_numbers: HashMap<u64, CalledNumber>,
    /// When conversations were last taken, by tenant, and whether the next is in its share, if known.
    tenant_arrivals: Vec<VecDeque<f64>>,
    tenants_within_share: Vec<Option<bool>>,
}

/// The delay that a line may have: past it set-ups are sent again, or stand late.
fn target_delay(terms: &Terms, min_quoted_time: f64) -> f64 {
    let quoted_bound = TARGET_DELAY_PER_QUOTED_TIME * min_quoted_time;
    if terms.resend_after > 0.0 {
        quoted_bound.min(TARGET_DELAY_PER_RESEND * terms.resend_after)
    } else {
        quoted_bound
    }
}

impl Proxy {
    pub fn new(terms: Terms, seed: u64, now: f64) -> Self {
        let mean_earnings =
            terms.grades.iter().map(|g| g.earnings).sum::<f64>() / terms.grades.len().max(1) as f64;
        let mean_hold = terms.grades.iter().map(|g| g.hold).sum::<f64>() / terms.grades.len().max(1) as f64;
        let grade = |g: &GradeTerms| Grade {
            quoted: g.quoted,
            limit: g.limit,
            earnings: g.earnings,
            late_share: g.late_share,
            violation_probability: (MEAN_VIOLATION_PROBABILITY * g.earnings / mean_earnings)
                .clamp(MEAN_VIOLATION_PROBABILITY / 10.0, 0.5),
            repeatable: g.repeatable,
            pools: g.pools.clone(),
        };
        let grades: Vec<Grade> = terms.grades.iter().map(grade).collect();
        let max_time_limit = grades.iter().map(|g| g.limit).fold(0.0, f64::max);
        let min_quoted_time = grades.iter().map(|g| g.quoted).fold(f64::INFINITY, f64::min);
        let target_delay = target_delay(&terms, min_quoted_time);
        Self {
            tenant_arrivals: terms.tenants.iter().map(|_| VecDeque::new()).collect(),
            tenants_within_share: vec![None; terms.tenants.len()],
            terms,
            grades,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            mean_earnings,
            mean_hold,
            max_time_limit,
            min_quoted_time,
            window: WINDOW_IN_TIME_LIMITS * max_time_limit,
            target_delay,
            centrals: Vec::new(),
            conversations: Slab::new(),
            held: Vec::new(),
            wake_at: f64::INFINITY,
            lost_answer_share: 0.0,
            stall: (0.0, now),
            caller_timeout: (0.0, 0),
            called_numbers: HashMap::new(),
        }
    }

    /// This proxy as it is now, but under other terms with the same grades and tenants: what would it do?
    pub fn with_terms(&self, terms: Terms) -> Self {
        Self { target_delay: target_delay(&terms, self.min_quoted_time), terms, ..self.clone() }
    }

    /// The time of what follows.
    pub fn advance_clock(&mut self, now: f64) {
        if now > self.now {
            // The host's clock may round a time to just below the one asked for.
            if now + 1.0 >= self.wake_at {
                self.wake_at = f64::INFINITY;
            }
            if now - self.now > self.stall.0 || now > self.stall.1 {
                self.stall = (now - self.now, now + TURN_INTERVAL_IN_TARGET_DELAYS * self.target_delay);
            }
            self.now = now;
        }
    }

    /// What this proxy makes of a central server, for operators to look at.
    pub fn view(&self, server: Server) -> Option<ServerView> {
        let central = self.centrals.get(server.0 as usize)?.as_ref()?;
        Some(ServerView {
            state: central.state,
            cold: self.now - central.started_at < self.terms.cold_duration,
            in_flight: central.queued().count(),
            concurrency_limit: central.concurrency_limit,
            cooling_down: self.now - central.cool_down_since < central.cool_down,
            samples: central.histogram.samples(),
            mean_ratio: central.histogram.mean(),
            delay: central.mean_delay,
            rate: central.reports_rate().then_some(central.reported_rate),
        })
    }

    /// Whether the handle is still of use.
    pub fn contains(&self, handle: Handle) -> bool {
        self.conversations.contains(handle.key())
    }
}
