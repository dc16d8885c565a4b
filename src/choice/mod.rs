//! The decisions: which central server a conversation is shot at, and when it is held or given up.
//!
//! How to call it: make one [`Proxy`] for each border proxy and hand it the list with [`Proxy::update_server_list`].
//! [`Proxy::accept`] gives a [`Handle`] for a conversation; everything later is a call on that handle:
//! [`Handle::enqueue`] once, then [`Handle::established`],
//! [`Handle::attempt_ended`], [`Handle::caller_gone`]. Say the time with
//! [`Proxy::advance_clock`] before whatever comes at that time, and [`Proxy::run_pending`] after it. What the decisions ask
//! for in return is the trait [`Host`] in `host.rs`. `docs/design.md` says why each step is taken.

mod central;
mod cold;
mod histogram;
mod hold;
mod number;
mod outcome;
mod passes;
mod taken;
mod told;

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slab::Slab;

use central::{Central, Out};
use histogram::BINS;
pub use histogram::{Histogram, quantile_after};
use number::Number;

use crate::host::{
    Call, Ending, GradeTerms, Handle, Host, Report, Server, ServerEntry, ServerView, State, Suspicion, Terms,
};

/// The histogram's window, in longest time limits.
const WINDOW_LIMITS: f64 = 5.0 / 9.0;
/// Violation probability of a grade with mean earnings; a grade's own goes by its earnings.
const VIOLATION: f64 = 0.05;
/// With fewer samples than this a central server passes the quantile test.
const FLOOR: usize = 20;
/// With fewer than this it has too little of its own to go by.
const SCARCE: usize = FLOOR / 4;
/// Delay that a line may have, as a share of the span after which a waiting set-up is sent again.
const STANDING: f64 = 0.8;
/// The same where set-ups are not sent again: a share of the shortest quoted time.
const STANDING_QUOTED: f64 = 0.5;
/// Shots that all proxies together may have out at a central server of which nothing is known yet, and at the
/// least; each proxy's line has its part.
const FIRST_OUT: f64 = 12.0;
const LEAST_OUT: f64 = 0.6;
/// A proxy with conversations held or shots out wants a turn in each such part of a standing delay.
const BEAT: f64 = 0.25;
/// Let through in full while the reported rate is above the best one over this.
const RATE_SLACK: f64 = 1.25;
/// Age in standing delays past which a shot still out shrinks its line.
const JAMMED: f64 = 2.0;

/// What the module reads of a service grade.
#[derive(Clone)]
struct Grade {
    quoted: f64,
    limit: f64,
    earnings: f64,
    late: f64,
    violation: f64,
    repeatable: bool,
    pools: Vec<u16>,
}

#[derive(Clone)]
struct Shot {
    server: usize,
    at: f64,
}

#[derive(Clone, Default)]
struct Conversation {
    grade: usize,
    first: u16,
    number: Option<u64>,
    /// When its caller's first try was taken.
    taken: f64,
    /// Drawn once: what is shared out by chance goes to the lowest.
    chance: f64,
    /// When the caller gives up.
    until: f64,
    worth: f64,
    shots: u32,
    shot: Option<Shot>,
    /// Where its latest shot found nobody, no answer or a fault.
    failed_at: Option<usize>,
    /// Where it met a fault that is not yet counted.
    fault: Option<usize>,
    stands: bool,
    /// Answered for good; kept only until its shot's end is told.
    over: bool,
    /// Not sent again before this.
    rest_until: f64,
    /// Was kept away from a central server by the fleet's limit alone, and counted.
    short: bool,
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
    longest_limit: f64,
    shortest_quoted: f64,
    window: f64,
    standing: f64,
    centrals: Vec<Option<Central>>,
    conversations: Slab<Conversation>,
    held: Vec<Handle>,
    wake_at: f64,
    /// The share of shots that were lately overtaken by a later one's answer.
    lost: f64,
    /// How long it last had no turn, and until when what it takes may have waited for that.
    stall: (f64, f64),
    /// How long a caller waits for a try, as a share of the time limit: what most ask for, and how firmly.
    patience: (f64, u32),
    numbers: HashMap<u64, Number>,
    /// When conversations were last taken, by tenant, and whether the next is in its share, if known.
    tenants: Vec<VecDeque<f64>>,
    shares: Vec<Option<bool>>,
}

/// The delay that a line may have: past it set-ups are sent again, or stand late.
fn standing(terms: &Terms, shortest_quoted: f64) -> f64 {
    let quoted = STANDING_QUOTED * shortest_quoted;
    if terms.resend_after > 0.0 { quoted.min(STANDING * terms.resend_after) } else { quoted }
}

impl Proxy {
    pub fn new(terms: Terms, seed: u64, now: f64) -> Self {
        let mean = terms.grades.iter().map(|g| g.earnings).sum::<f64>() / terms.grades.len().max(1) as f64;
        let mean_hold = terms.grades.iter().map(|g| g.hold).sum::<f64>() / terms.grades.len().max(1) as f64;
        let row = |g: &GradeTerms| Grade {
            quoted: g.quoted,
            limit: g.limit,
            earnings: g.earnings,
            late: g.late_share,
            violation: (VIOLATION * g.earnings / mean).clamp(VIOLATION / 10.0, 0.5),
            repeatable: g.repeatable,
            pools: g.pools.clone(),
        };
        let grades: Vec<Grade> = terms.grades.iter().map(row).collect();
        let longest_limit = grades.iter().map(|g| g.limit).fold(0.0, f64::max);
        let shortest_quoted = grades.iter().map(|g| g.quoted).fold(f64::INFINITY, f64::min);
        let standing = standing(&terms, shortest_quoted);
        Self {
            tenants: terms.tenants.iter().map(|_| VecDeque::new()).collect(),
            shares: vec![None; terms.tenants.len()],
            terms,
            grades,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            mean_earnings: mean,
            mean_hold,
            longest_limit,
            shortest_quoted,
            window: WINDOW_LIMITS * longest_limit,
            standing,
            centrals: Vec::new(),
            conversations: Slab::new(),
            held: Vec::new(),
            wake_at: f64::INFINITY,
            lost: 0.0,
            stall: (0.0, now),
            patience: (0.0, 0),
            numbers: HashMap::new(),
        }
    }

    /// This proxy as it is now, but under other terms with the same grades and tenants: what would it do?
    pub fn with_terms(&self, terms: Terms) -> Self {
        Self { standing: standing(&terms, self.shortest_quoted), terms, ..self.clone() }
    }

    /// The time of what follows.
    pub fn advance_clock(&mut self, now: f64) {
        if now > self.now {
            // The host's clock may round a time to just below the one asked for.
            if now + 1.0 >= self.wake_at {
                self.wake_at = f64::INFINITY;
            }
            if now - self.now > self.stall.0 || now > self.stall.1 {
                self.stall = (now - self.now, now + BEAT * self.standing);
            }
            self.now = now;
        }
    }

    /// What this proxy makes of a central server, for operators to look at.
    pub fn view(&self, server: Server) -> Option<ServerView> {
        let central = self.centrals.get(server.0 as usize)?.as_ref()?;
        Some(ServerView {
            state: central.state,
            cold: self.now - central.started < self.terms.cold_duration,
            in_flight: central.waiting().count(),
            concurrency_limit: central.allowance,
            cooling_down: self.now - central.rests < central.rest,
            samples: central.histogram.samples(),
            mean_ratio: central.histogram.mean(),
            delay: central.delay,
            rate: central.tells_rate().then_some(central.rate),
        })
    }

    /// Whether the handle is still of use.
    pub fn contains(&self, handle: Handle) -> bool {
        self.conversations.contains(handle.key())
    }
}
