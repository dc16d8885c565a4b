//! The decisions: which central server gets an attempt of a conversation, and when a conversation is held or
//! given up.
//!
//! Create one [`Proxy`] for each border proxy and pass it the server list with [`Proxy::update_server_list`].
//! [`Proxy::accept`] returns a [`Handle`] for a conversation, and later events are methods of that handle:
//! [`Handle::enqueue`] once, then [`Handle::established`], [`Handle::attempt_ended`] and
//! [`Handle::caller_gone`]. A host that holds answers back until they are recorded says so with
//! [`Handle::answer_held`] and [`Handle::answer_sent`]. Call [`Proxy::advance_clock`] before the events of one point in time and
//! [`Proxy::run_pending`] after them. The decisions request actions through the trait [`Host`] in `host.rs`.
//! `docs/design.md` gives the reason for each step.

mod called_number;
mod central;
mod cold;
mod held_answers;
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

use called_number::CalledNumbers;
use central::{Central, EstablishedAttempt, InFlight};
use held_answers::HeldAnswers;
use histogram::BIN_COUNT;
pub use histogram::{Histogram, quantile_after};

use crate::host::{
    Call, Ending, GradeTerms, Handle, Host, Report, Server, ServerEntry, ServerView, State, Suspicion, Terms,
};

/// Length of the window of samples, in units of the longest time limit.
const WINDOW_IN_TIME_LIMITS: f64 = 5.0 / 9.0;
/// Violation probability of a grade with mean earnings; that of a grade is proportional to its earnings.
const MEAN_VIOLATION_PROBABILITY: f64 = 0.05;
/// A central server with fewer samples than this passes the quantile test.
const MIN_QUANTILE_SAMPLES: usize = 20;
/// With fewer samples than this the proxy has too few answers of its own to go by.
const SCARCE_SAMPLES: usize = MIN_QUANTILE_SAMPLES / 4;
/// Target delay as a share of the time after which a waiting set-up is sent again.
const TARGET_DELAY_PER_RESEND: f64 = 0.8;
/// Upper bound of the target delay, as a share of the shortest quoted time.
const TARGET_DELAY_PER_QUOTED_TIME: f64 = 0.5;
/// Attempts that all proxies together may have in flight at a central server without a history; each proxy
/// has an equal part.
const INITIAL_FLEET_IN_FLIGHT: f64 = 12.0;
/// The least that the limits of all proxies for a central server may add up to.
const MIN_FLEET_IN_FLIGHT: f64 = 0.6;
/// Longest time between turns while conversations are held or attempts are in flight, in target delays.
const TURN_INTERVAL_IN_TARGET_DELAYS: f64 = 0.25;
/// Weight of a new value in a moving average.
const NEW_VALUE_WEIGHT: f64 = 0.25;
/// Rates are per second, times in milliseconds.
const MS_PER_SECOND: f64 = 1000.0;
/// A reported rate counts as full while it is above the best reported one divided by this.
const RATE_TOLERANCE: f64 = 1.25;
/// Age in target delays from which on an attempt in flight lowers the concurrency limit.
const OVERLOAD_AGE_IN_TARGET_DELAYS: f64 = 2.0;

/// The figures of a service grade that the decisions use.
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

/// The current attempt of a conversation.
#[derive(Clone)]
struct Attempt {
    /// Index of the central server.
    server: usize,
    sent_at: f64,
}

/// State of one conversation.
#[derive(Clone, Default)]
struct Conversation {
    grade: usize,
    preferred_pool: u16,
    number: Option<u64>,
    /// When its caller's first try was accepted.
    accepted_at: f64,
    /// Drawn once, from 0 to 1: what is shared at random goes to the lowest draws.
    random_draw: f64,
    /// When the caller will hang up.
    caller_deadline: f64,
    expected_earnings: f64,
    /// Number of attempts so far.
    attempts: u32,
    /// The attempt in flight, or the one that established the conversation.
    attempt: Option<Attempt>,
    /// The server where its latest attempt found no connection, no answer or a fault.
    failed_server: Option<usize>,
    /// The server where it had a fault that is not yet counted.
    fault_server: Option<usize>,
    established: bool,
    /// No more answer to the caller is due; kept only until the end of its attempt is reported.
    closed: bool,
    /// No attempt before this time.
    release_until: f64,
    /// The fleet-wide limit alone withheld it from a central server, which has been counted.
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
    /// Established conversations whose callers have not been told yet.
    held_answers: HeldAnswers,
    /// Time of the next requested turn; infinity for none.
    wake_at: f64,
    /// Moving average of the share of attempts that were superseded by the answer to a later one.
    lost_answer_share: f64,
    /// How long it last had no turn, and until when accepted calls may have waited because of that.
    stall: (f64, f64),
    /// How long most callers wait for a try, as a share of the time limit, and the confidence in that.
    caller_timeout: (f64, u32),
    called_numbers: CalledNumbers,
    /// When conversations of each tenant were accepted, within the window.
    tenant_arrivals: Vec<VecDeque<f64>>,
    /// Whether the next conversation of each tenant is within its share, if known.
    tenants_within_share: Vec<Option<bool>>,
}

/// The delay that answers of a central server should not exceed, in milliseconds: later ones lead to set-ups
/// that are sent again, or to late answers.
fn target_delay(terms: &Terms, min_quoted_time: f64) -> f64 {
    let quoted_bound = TARGET_DELAY_PER_QUOTED_TIME * min_quoted_time;
    if terms.resend_after > 0.0 {
        quoted_bound.min(TARGET_DELAY_PER_RESEND * terms.resend_after)
    } else {
        quoted_bound
    }
}

impl Proxy {
    /// Creates the decisions of one border proxy; the same seed and calls give the same decisions.
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
            held_answers: HeldAnswers::default(),
            wake_at: f64::INFINITY,
            lost_answer_share: 0.0,
            stall: (0.0, now),
            caller_timeout: (0.0, 0),
            called_numbers: CalledNumbers::new(max_time_limit),
        }
    }

    /// A copy of this proxy under other terms with the same grades and tenants, to see what it would decide.
    pub fn with_terms(&self, terms: Terms) -> Self {
        Self { target_delay: target_delay(&terms, self.min_quoted_time), terms, ..self.clone() }
    }

    /// Sets the time of the events that follow. An earlier time than the current one changes nothing.
    pub fn advance_clock(&mut self, now: f64) {
        if now > self.now {
            // The host's clock may round a time to just below the requested one.
            if now + 1.0 >= self.wake_at {
                self.wake_at = f64::INFINITY;
            }
            if now - self.now > self.stall.0 || now > self.stall.1 {
                self.stall = (now - self.now, now + TURN_INTERVAL_IN_TARGET_DELAYS * self.target_delay);
            }
            self.now = now;
        }
    }

    /// This proxy's current view of a central server, for operators.
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

    /// Whether the handle still identifies a conversation.
    pub fn contains(&self, handle: Handle) -> bool {
        self.conversations.contains(handle.key())
    }
}
