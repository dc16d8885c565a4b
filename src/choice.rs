//! The decisions: which central server a conversation is shot at, and when it is held or given up.
//!
//! How to call it: make one [`Proxy`] for each border proxy and hand it the list with [`Proxy::listed`].
//! [`Proxy::take`] gives a [`Handle`] for a conversation; everything later is a call on that handle:
//! [`Handle::place`] once, then [`Handle::stood`], [`Handle::ended`], [`Handle::left`]. Say the time with
//! [`Proxy::at`] before whatever comes at that time, and [`Proxy::settle`] after it. What the decisions ask
//! for in return is the trait [`Host`] in `host.rs`. `docs/design.md` says why each step is taken.

use std::collections::{HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slab::Slab;

use crate::host::{
    Call, Ending, GradeTerms, Handle, Host, Listed, Report, Server, State, Suspicion, Terms, View,
};

/// Bins of a central server's histogram of set-up delay / time limit.
const BINS: usize = 50;
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
/// Shots that all proxies together may have out at a central server of which nothing is known yet, and at
/// the least; each proxy's line has its part.
const FIRST_OUT: f64 = 12.0;
const LEAST_OUT: f64 = 0.6;
/// The most of a line's lately used room that its allowance may be: this, and more where few share a central
/// server, so that each must be able to fill what another leaves; the most that one answer adds or cuts.
const SLACK: f64 = 2.0;
const SLACK_OF_ONE: f64 = 16.0;
const STEEPEST_GROWTH: f64 = 2.0;
const DEEPEST_CUT: f64 = 0.5;
/// A cold central server is probed about once in such a part of the time that it takes to be warm, one whose
/// line rests for long about once in so many windows.
const PROBE_SPAN: f64 = 0.25;
const PROBE_RESTING: f64 = 2.0;
/// A proxy with conversations held or shots out wants a turn in each such part of a standing delay.
const BEAT: f64 = 0.25;
/// A call is taken to be worth at least this share of mean earnings when its line rests.
const LEAST_WORTH: f64 = 0.01;
/// A caller should still wait for so many times the delay that is to be expected.
const PATIENT: f64 = 1.5;
/// Past this share of lost shots answers are taken to get lost; an answer is quick under this share of the
/// standing delay.
const LOSING: f64 = 0.05;
const QUICK: f64 = 0.25;
/// Two callers' patience is the same within this share of the time limit.
const SAME_PATIENCE: f64 = 0.002;
/// Spreads one draw evenly over the central servers.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Let through in full while the reported rate is above the best one over this.
const RATE_SLACK: f64 = 1.25;
/// Age in standing delays past which a shot still out shrinks its line.
const JAMMED: f64 = 2.0;
/// An answer of a cold central server is quick under this share of the work that would push it over.
const COLD_QUICK: f64 = 0.25;
/// How much more than its part of the told rate a proxy sends to a cold one that is quick.
const COLD_MORE: f64 = 1.5;
/// Set-ups that any central server is taken to do in the span of a fall, however cold, and the part of what
/// its lines turn over that its processor is taken to serve: speeds differ widely.
const COLD_SETUPS: f64 = 2.0;
const COLD_PART: f64 = 0.25;
/// How fast an allowance grows: shots for each window's worth of good answers.
const GROWTH: f64 = 0.25;

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

/// A shot on its line to a central server, still out.
#[derive(Clone)]
struct Out {
    handle: Handle,
    at: f64,
    /// A later one stands. Lines are served in turn, so this one is lost, not late.
    overtaken: bool,
    cancelled: bool,
}

#[derive(Clone)]
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

/// A called number that was lately given up, or whose lines were all busy.
#[derive(Clone)]
struct Number {
    /// When its caller's first try was taken, and when that was last given up.
    first: f64,
    seen: f64,
    /// No shot for it before this; the gap between shots, which grows while its lines stay busy.
    not_before: f64,
    gap: f64,
}

impl Number {
    fn new(first: f64) -> Self {
        Self { first, seen: first, not_before: first, gap: 0.0 }
    }
}

/// All that is known of one central server.
#[derive(Clone)]
struct Central {
    state: State,
    pool: u16,
    started: f64,
    /// No shot before this while it is cold.
    entry: f64,
    /// No probe before this; not set until one is first thought of.
    probe_at: f64,
    samples: VecDeque<(f64, f64)>,
    histogram: Histogram,
    /// When set-ups were sent, over the window.
    sent: VecDeque<f64>,
    out: Vec<Out>,
    /// How many shots may be out at once; under one, the share of the time that one may.
    allowance: f64,
    /// Spreads the part of an allowance over whole shots.
    dither: f64,
    cut_at: f64,
    /// Under one shot at once the line rests after an answer: since when, and how long for mean earnings.
    rests: f64,
    rest: f64,
    /// Its standing in the draw, and when that was last moved.
    weight: f64,
    weighed: f64,
    /// The delay that its answers have lately had.
    delay: f64,
    /// The delay of its latest answer.
    latest: f64,
    /// Free lines when that was last told, and how many there are.
    free: f64,
    lines: f64,
    /// When a shot last came back for want of one.
    lineless: f64,
    /// How long it usually is from one word of free lines to the next.
    word_gap: f64,
    told_free: f64,
    /// Set-ups a second that it can take as it last said, when, and the most that it has said.
    rate: f64,
    told_rate: f64,
    best_rate: f64,
    /// Whether it has ever said how long a set-up waits there.
    tells_wait: bool,
    /// No shot before this: so it asked when it turned one back.
    back_at: f64,
    /// Others' word that it is silent, when it was last heard from here, and no shot before this meanwhile.
    suspicion: Option<Suspicion>,
    heard: f64,
    trial: f64,
    /// How many shots the whole fleet's limit leaves here now, and conversations that it alone kept away
    /// lately.
    allotted: Option<u32>,
    short: u32,
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
    /// When conversations were last taken, by tenant, and whether the next is within its share, where the
    /// fleet knows.
    tenants: Vec<VecDeque<f64>>,
    shares: Vec<Option<bool>>,
}

impl Central {
    fn new(line: &Listed, now: f64, weight: f64, entry: f64, allowance: f64) -> Self {
        Self {
            state: line.state,
            pool: line.pool,
            started: line.started.unwrap_or(f64::NEG_INFINITY),
            entry,
            probe_at: f64::NEG_INFINITY,
            samples: VecDeque::new(),
            histogram: Histogram::default(),
            sent: VecDeque::new(),
            out: Vec::new(),
            allowance,
            dither: 0.5,
            cut_at: f64::NEG_INFINITY,
            rests: f64::NEG_INFINITY,
            rest: 0.0,
            weight,
            weighed: now,
            delay: 0.0,
            latest: 0.0,
            free: f64::INFINITY,
            told_free: now,
            lines: 0.0,
            lineless: f64::NEG_INFINITY,
            word_gap: 0.0,
            rate: 0.0,
            told_rate: f64::NEG_INFINITY,
            best_rate: f64::MIN_POSITIVE,
            tells_wait: false,
            back_at: f64::NEG_INFINITY,
            suspicion: None,
            heard: f64::NEG_INFINITY,
            trial: f64::NEG_INFINITY,
            allotted: None,
            short: 0,
        }
    }

    fn forget_before(&mut self, then: f64) {
        while self.samples.front().is_some_and(|s| s.0 < then) {
            let (_, ratio) = self.samples.pop_front().expect("just seen");
            self.histogram.discount(ratio);
        }
        while self.sent.front().is_some_and(|&at| at < then) {
            self.sent.pop_front();
        }
    }

    fn sample(&mut self, now: f64, ratio: f64) {
        self.samples.push_back((now, ratio));
        self.histogram.count(ratio);
    }

    /// Whether it has ever said how many set-ups it can take.
    fn tells_rate(&self) -> bool {
        self.told_rate > f64::NEG_INFINITY
    }

    /// The shots that stand in line there.
    fn waiting(&self) -> impl Iterator<Item = &Out> {
        self.out.iter().filter(|shot| !shot.overtaken)
    }
}

/// How often each ratio of set-up delay to time limit was met.
#[derive(Clone)]
pub struct Histogram {
    bins: [u32; BINS],
    samples: usize,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { bins: [0; BINS], samples: 0 }
    }
}

impl Histogram {
    fn bin(ratio: f64) -> usize {
        ((ratio.clamp(0.0, 1.0) * BINS as f64) as usize).min(BINS - 1)
    }

    pub fn count(&mut self, ratio: f64) {
        self.bins[Self::bin(ratio)] += 1;
        self.samples += 1;
    }

    fn discount(&mut self, ratio: f64) {
        self.bins[Self::bin(ratio)] -= 1;
        self.samples -= 1;
    }

    pub fn samples(&self) -> usize {
        self.samples
    }

    /// The upper edge of the bin that holds the quantile; `extra` samples are spread over all bins.
    fn quantile(&self, extra: f64, p: f64) -> f64 {
        let wanted = p * (self.samples as f64 + extra) - 1e-9;
        let mut seen = 0.0;
        let at = self.bins.iter().position(|&n| {
            seen += f64::from(n) + extra / BINS as f64;
            seen >= wanted
        });
        (at.unwrap_or(BINS - 1) + 1) as f64 / BINS as f64
    }

    /// The mean ratio, taking each bin's middle; half a bin where there are no samples.
    fn mean(&self) -> f64 {
        let sum: f64 = self.bins.iter().enumerate().map(|(i, &n)| (i as f64 + 0.5) * f64::from(n)).sum();
        if self.samples > 0 { sum / (self.samples * BINS) as f64 } else { 0.5 / BINS as f64 }
    }
}

/// Equation (4): the quantile at 1 - `violation` that is to be expected with one more set-up, whose share
/// of those sent there is `alpha`. Below 1 / `violation` samples no uniform share is mixed in.
pub fn quantile_after(histogram: &Histogram, violation: f64, alpha: f64) -> f64 {
    let old = histogram.quantile(0.0, 1.0 - violation);
    if (histogram.samples as f64) < 1.0 / violation {
        return old;
    }
    alpha * histogram.quantile(1.0, 1.0 - violation) + (1.0 - alpha) * old
}

/// The delay that a line may have: past it set-ups are sent again, or stand late.
fn standing(terms: &Terms, shortest_quoted: f64) -> f64 {
    let quoted = STANDING_QUOTED * shortest_quoted;
    if terms.repeat > 0.0 { quoted.min(STANDING * terms.repeat) } else { quoted }
}

impl Proxy {
    pub fn new(terms: Terms, seed: u64, now: f64) -> Self {
        let mean = terms.grades.iter().map(|g| g.earnings).sum::<f64>() / terms.grades.len().max(1) as f64;
        let mean_hold = terms.grades.iter().map(|g| g.hold).sum::<f64>() / terms.grades.len().max(1) as f64;
        let row = |g: &GradeTerms| Grade {
            quoted: g.quoted,
            limit: g.limit,
            earnings: g.earnings,
            late: g.late,
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
    pub fn under(&self, terms: Terms) -> Self {
        Self { standing: standing(&terms, self.shortest_quoted), terms, ..self.clone() }
    }

    /// The time of what follows.
    pub fn at(&mut self, now: f64) {
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

    /// News of the list. A whole list replaces the old one.
    pub fn listed(&mut self, lines: &[Listed], whole: bool, host: &mut impl Host) {
        if whole {
            let named = |i: usize| lines.iter().any(|line| line.server.0 as usize == i);
            for (i, central) in self.centrals.iter_mut().enumerate() {
                if let Some(central) = central.as_mut().filter(|c| c.state != State::Gone && !named(i)) {
                    central.state = State::Gone;
                    host.note(&format!("central server {i} is Gone"));
                }
            }
        }
        for line in lines {
            let index = line.server.0 as usize;
            if self.centrals.len() <= index {
                self.centrals.resize_with(index + 1, || None);
            }
            let weight = self.lowest_weight();
            let entry = self.now + self.rng.random::<f64>() * self.cold_gap(0.0);
            let started = line.started.unwrap_or(f64::NEG_INFINITY);
            let first = FIRST_OUT / f64::from(self.terms.proxies);
            match &mut self.centrals[index] {
                Some(central) => {
                    if central.state != line.state {
                        central.state = line.state;
                        host.note(&format!("central server {index} is {:?}", line.state));
                    }
                    if started > central.started {
                        // A new processor: what the old one took so long for says nothing of it.
                        let out = std::mem::take(&mut central.out);
                        *central = Central::new(line, self.now, weight, entry, first);
                        central.out = out;
                        host.note(&format!("central server {index} has started anew"));
                    }
                    central.pool = line.pool;
                }
                slot => *slot = Some(Central::new(line, self.now, weight, entry, first)),
            }
        }
    }

    fn lowest_weight(&self) -> f64 {
        let weights = self.centrals.iter().flatten().map(|c| c.weight);
        weights.fold(f64::INFINITY, f64::min).min(BINS as f64)
    }

    /// A central server's report.
    pub fn reported(&mut self, server: Server, report: Report) {
        let now = self.now;
        let cold_gap = self.cold_gap(report.lines.unwrap_or(0.0));
        let central = self.centrals.get_mut(server.0 as usize).and_then(Option::as_mut);
        let Some(central) = central else { return };
        if let Some(free) = report.free {
            central.word_gap += 0.25 * (now - central.told_free - central.word_gap);
            (central.free, central.told_free) = (free, now);
        }
        if let Some(lines) = report.lines {
            if central.lines == 0.0 {
                central.entry = central.entry.min(now + self.rng.random::<f64>() * cold_gap);
            }
            central.lines = lines;
        }
        central.tells_wait |= report.wait.is_some();
        // A wait over any time limit is not believed.
        if let Some(wait) = report.stay_away.filter(|&wait| wait <= self.longest_limit) {
            central.back_at = now + wait;
        }
        if let Some(rate) = report.rate {
            if !central.tells_rate() {
                let gap = f64::from(self.terms.proxies) * 1000.0 / rate.max(1.0);
                central.entry = central.entry.min(now + self.rng.random::<f64>() * gap);
            }
            (central.rate, central.told_rate) = (rate, now);
            central.best_rate = central.best_rate.max(rate);
            // What one proxy's line rests after can be long over: the server itself knows.
            if RATE_SLACK * rate >= central.best_rate && now - central.rests > self.window {
                central.rest = 0.0;
            }
        }
    }

    /// Others' word on a central server, or that they have taken it back.
    pub fn suspected(&mut self, server: Server, suspicion: Option<Suspicion>) {
        let gap = self.trial_gap();
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return };
        if central.suspicion.is_none() && suspicion.is_some() {
            central.trial = self.now + gap * self.rng.random::<f64>();
        }
        central.suspicion = suspicion;
    }

    fn trial_gap(&self) -> f64 {
        f64::from(self.terms.proxies) * self.standing
    }

    /// Departure: while enough others say that a central server is silent, and nothing was heard from it here
    /// since, it gets single trial shots, at times drawn by chance so that the fleet tries it about once a
    /// standing delay. Guards against each proxy learning of a silent one by shots of its own; holds for any
    /// cause that leaves shots unanswered. Hurts where their way to it is broken and this proxy's is not:
    /// until one answer here, which ends it at once.
    fn shunned(&self, central: &Central) -> bool {
        let silent = |s: Suspicion| s.strength >= 1.0 && central.heard <= s.since;
        central.suspicion.is_some_and(silent) && self.now < central.trial
    }

    /// How many shots may go to a central server now by a limit that holds for the whole fleet, or none where
    /// there is no limit; to be told before each [`Proxy::settle`]. Gives how many conversations the former
    /// word alone kept away.
    pub fn allotted(&mut self, server: Server, shots: Option<u32>) -> u32 {
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return 0 };
        central.allotted = shots;
        std::mem::take(&mut central.short)
    }

    /// Whether a tenant's next conversation is within its share of all proxies' traffic, or none where that
    /// is not known; to be told before each [`Proxy::take`].
    pub fn shared(&mut self, tenant: usize, within: Option<bool>) {
        self.shares[tenant] = within;
    }

    /// What this proxy makes of a central server, for operators to look at.
    pub fn view(&self, server: Server) -> Option<View> {
        let central = self.centrals.get(server.0 as usize)?.as_ref()?;
        Some(View {
            state: central.state,
            cold: self.now - central.started < self.terms.cold,
            out: central.waiting().count(),
            allowance: central.allowance,
            resting: self.now - central.rests < central.rest,
            samples: central.histogram.samples(),
            mean_ratio: central.histogram.mean(),
            delay: central.delay,
            rate: central.tells_rate().then_some(central.rate),
        })
    }

    /// Whether the handle is still of use.
    pub fn holds(&self, handle: Handle) -> bool {
        self.conversations.contains(handle.key())
    }

    /// Takes a conversation; it is placed with [`Handle::place`].
    pub fn take(&mut self, call: &Call) -> Handle {
        let in_share = call.tenant.map_or(1.0, |tenant| self.in_share(tenant));
        let waited = self.waited(call);
        let grade = &self.grades[call.grade];
        let mut worth = grade.earnings * in_share;
        // The quoted time runs from the caller's first try.
        let former = call.number.and_then(|number| self.numbers.get(&number));
        let former = former.filter(|n| n.gap == 0.0 && self.now - n.first < grade.limit);
        let marked = self.now - if call.redial { grade.quoted } else { waited };
        let taken = former.map_or(marked, |n| n.first);
        if taken + grade.quoted <= self.now {
            worth *= grade.late;
        }
        let conversation = Conversation {
            grade: call.grade,
            first: call.first,
            number: call.number,
            taken,
            chance: self.rng.random(),
            until: self.now + call.remaining,
            worth,
            shots: 0,
            shot: None,
            failed_at: None,
            fault: None,
            stands: false,
            over: false,
            rest_until: f64::NEG_INFINITY,
            short: false,
        };
        Handle(self.conversations.insert(conversation) as u32)
    }

    /// Departure: how long the caller had waited before this proxy had a turn, by what is left of the time
    /// that most callers give a try. After a stall of its own a proxy so knows who still can stand in time.
    /// No longer than the proxy itself had no turn: some callers come with little patience.
    fn waited(&mut self, call: &Call) -> f64 {
        let limit = self.grades[call.grade].limit;
        let (usual, firm) = &mut self.patience;
        let left = call.remaining / limit;
        if (left - *usual).abs() < SAME_PATIENCE {
            *firm = (*firm + 1).min(FLOOR as u32);
        } else if *firm == 0 {
            (*usual, *firm) = (left, 1);
        } else {
            *firm -= 1;
        }
        let short = *usual - left;
        if short > SAME_PATIENCE { (short * limit).min(self.stall.0) } else { 0.0 }
    }

    /// The part of its earnings that the tenant's next conversation may expect to keep, taking this
    /// proxy's traffic for a fair sample of everyone's. Departure: where the fleet counts, what it says
    /// stands instead, since traffic is uneven: busy proxies took their own for everyone's.
    fn in_share(&mut self, tenant: usize) -> f64 {
        let (now, window) = (self.now, self.window);
        let recent = &mut self.tenants[tenant];
        recent.push_back(now);
        while recent.front().is_some_and(|&at| at < now - window) {
            recent.pop_front();
        }
        let rate = recent.len() as f64 / window * 1000.0 * f64::from(self.terms.proxies);
        let guess = (self.terms.tenants[tenant].quota / rate).min(1.0);
        let inside = self.shares[tenant].map_or(guess, f64::from);
        inside + (1.0 - inside) * self.terms.over_share
    }

    /// Guards a central server that has just started, by this proxy alone. Where it tells its rate it gets
    /// this proxy's part of that, and somewhat more while it answers quickly. Else it gets this proxy's
    /// part of what it could bear, entered at a time drawn by chance, and beyond that single shots while it
    /// answers quickly. What others carry tells nothing: their speeds differ widely.
    fn too_cold(&self, central: &Central) -> bool {
        // Departure: under a limit of the whole fleet no proxy need keep to an equal part, which starves busy
        // ones.
        if self.now - central.started >= self.terms.cold
            || (central.allotted.is_some() && central.tells_rate())
        {
            return false;
        }
        let quick = COLD_QUICK * (self.terms.fall_multiple - 1.0) * self.terms.fall_span;
        let quick = central.out.is_empty() && !central.samples.is_empty() && central.latest <= quick;
        if central.tells_rate() {
            let part = central.rate / f64::from(self.terms.proxies) * if quick { COLD_MORE } else { 1.0 };
            return self.now < central.sent.back().map_or(central.entry, |&at| at + 1000.0 / part);
        }
        if quick {
            return false;
        }
        let last = central.sent.back().map_or(f64::NEG_INFINITY, |&at| at + self.cold_gap(central.lines));
        self.now < last.max(central.entry)
    }

    /// A proxy's part of what a cold central server may get, as the gap between its shots. Departure: where
    /// its lines are told, what turns over on them is the guide, times the share of its capacity that it
    /// starts with. Guards against starving a new one for all its cold time where it can't be probed and
    /// its rate comes only with a conversation's end; holds for any start. Hurts one with far more lines
    /// than its processor can serve, and of that `COLD_PART` takes account.
    fn cold_gap(&self, lines: f64) -> f64 {
        let (terms, span) = (&self.terms, self.terms.fall_span);
        let setups = COLD_PART * terms.cold_from * lines / self.mean_hold * span;
        span * f64::from(terms.proxies) / (terms.fall_multiple * setups.max(COLD_SETUPS))
    }

    /// The design's test: would the set-up's delay, with this call's own share added, stay inside the
    /// quoted time at all but the grade's violation probability?
    fn passes_quantile(&self, central: &Central, grade: &Grade) -> bool {
        if central.histogram.samples() < FLOOR {
            return true;
        }
        let alpha = 1.0 / (1.0 + central.sent.len() as f64);
        quantile_after(&central.histogram, grade.violation, alpha) * grade.limit <= grade.quoted
    }

    /// Departure: the line to a central server takes only as many shots as it answers well within the
    /// span after which waiting set-ups breed work. Shots out fill it, so that a hung, slow or silent one
    /// stops taking work by itself; one of twice the standing delay shrinks the line before it ends. Where
    /// the line takes less than one, it rests between shots, longer for low earners; high earners do not
    /// go sooner while its latest answer was late, so that trying it again is not left to them.
    fn has_room(&self, central: &Central, worth: f64) -> bool {
        let oldest = central.waiting().map(|shot| self.now - shot.at).fold(0.0, f64::max);
        let allowance = central.allowance * (JAMMED * self.standing / oldest).min(1.0);
        let out = central.waiting().count();
        if allowance < 1.0 {
            let mut by_worth = (self.mean_earnings / worth.max(LEAST_WORTH * self.mean_earnings)).powi(2);
            if central.latest > self.standing {
                by_worth = by_worth.max(1.0);
            }
            out == 0 && self.now - central.rests >= central.rest * by_worth
        } else {
            out as f64 + 1.0 <= allowance + central.dither
        }
    }

    /// Departure: where own answers are scarce and a central server says how many set-ups it can take, a
    /// fall of that rate is shared by all that shoot at it, by chance: each proxy lets through that part of
    /// what it would send. Guards against a sudden loss of speed, which one proxy's own answers show only
    /// after seconds; holds for any cause that the server itself notices. Hurts where the rate is told too
    /// low: hence its short trust.
    fn admitted(&self, central: &Central) -> f64 {
        let fresh = self.now - central.told_rate < self.window;
        if fresh && central.histogram.samples() < SCARCE {
            RATE_SLACK * central.rate / central.best_rate
        } else {
            1.0
        }
    }

    /// Departure: while shots come back for want of a line, all proxies are after the same few. Each lets
    /// through, by chance, what the free ones cover of the lines that change hands before the next word of
    /// them, in proportion to earnings. Guards against storms of nacks, which cost the processor work, and
    /// against low earners that hold what lines there are; leaves a few lines idle.
    fn line_share(&self, central: &Central, worth: f64) -> f64 {
        if self.now - central.lineless > self.window {
            return 1.0;
        }
        let earns = worth / self.mean_earnings;
        earns * central.free * self.mean_hold / (central.lines * central.word_gap)
    }

    /// Departure: how long a central server that turned a shot back has still asked to be left alone, where
    /// such waits are kept. Guards full processors from shots that would only cost them more work; hurts
    /// where one names too long a wait.
    fn away(&self, central: &Central) -> f64 {
        if self.terms.nacks_name_wait { central.back_at - self.now } else { 0.0 }
    }

    /// Departure: no shot whose caller will have gone before an answer like the latest one there has come,
    /// since its work would be wasted. Guards against callers with little patience; catches late redials
    /// too. Hurts where the latest answer was an odd one out, so no delay counts for more than that of a
    /// jammed line.
    fn lives_to_see(&self, central: &Central, conversation: &Conversation) -> bool {
        let delay = central.latest.min(JAMMED * self.standing);
        conversation.until - self.now > PATIENT * delay
    }

    fn passes(&self, index: usize, conversation: &Conversation) -> bool {
        let Some(central) = &self.centrals[index] else { return false };
        let grade = &self.grades[conversation.grade];
        central.state == State::Running
            && grade.pools.contains(&central.pool)
            && (central.free > 0.0 || self.now - central.told_free > self.window)
            && conversation.chance < self.admitted(central)
            && (conversation.chance + index as f64 * GOLDEN).fract()
                < self.line_share(central, conversation.worth)
            && self.has_room(central, conversation.worth)
            && self.passes_quantile(central, grade)
            && self.away(central) <= 0.0
            && self.lives_to_see(central, conversation)
            && !self.too_cold(central)
            && !self.shunned(central)
    }

    /// Departure: the draw goes by free lines too, so that all that turn away from one central server do not
    /// meet at the smallest.
    fn room(&self, index: usize) -> f64 {
        let free = self.centrals[index].as_ref().map_or(0.0, |c| c.free);
        if free.is_finite() { free.max(1.0) } else { 1.0 }
    }

    /// First choice while it passes; else a draw among the others that pass.
    fn choose(&mut self, handle: Handle) -> Option<usize> {
        let conversation = &self.conversations[handle.key()];
        let mut passing: Vec<usize> =
            (0..self.centrals.len()).filter(|&i| self.passes(i, conversation)).collect();
        // Departure: the fleet's limit comes last, so that it never opens what all else closes; whom it alone
        // keeps away is counted where it would have gone.
        let first = conversation.first;
        let kept_away = |&&i: &&usize| self.centrals[i].as_ref().is_some_and(|c| c.allotted == Some(0));
        let away: Vec<usize> = passing.iter().filter(kept_away).copied().collect();
        passing.retain(|i| !away.contains(i));
        let meant = |&&i: &&usize| self.centrals[i].as_ref().is_some_and(|c| c.pool == first);
        let meant = away.iter().find(meant).or(away.first().filter(|_| passing.is_empty())).copied();
        if let Some(central) = meant.and_then(|i| self.centrals[i].as_mut()) {
            central.short += u32::from(!std::mem::replace(&mut self.conversations[handle.key()].short, true));
        }
        let conversation = &self.conversations[handle.key()];
        // Departure: after a shot that found nobody, no answer or a fault the others go first. Guards against
        // spending all shots at one silent or faulty server whose line is still wide, and shows whether a
        // fault is the conversation's own; hurts where the answer alone was lost.
        if passing.len() > 1 {
            passing.retain(|&i| conversation.failed_at != Some(i));
        }
        let pool = |i: usize| self.centrals[i].as_ref().expect("passes").pool;
        if let Some(&first) = passing.iter().find(|&&i| pool(i) == conversation.first) {
            return Some(first);
        }
        let weights: Vec<f64> = passing.iter().map(|&i| self.weigh(i) * self.room(i)).collect();
        let mut draw = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let at = weights.iter().position(|w| {
            draw -= w;
            draw <= 0.0
        });
        at.or(passing.len().checked_sub(1)).map(|at| passing[at])
    }

    fn shoot(&mut self, handle: Handle, index: usize, host: &mut impl Host) {
        let (now, gap) = (self.now, self.trial_gap());
        let alone = self.centrals.iter().flatten().filter(|c| c.state == State::Running).count() < 2;
        let conversation = &mut self.conversations[handle.key()];
        let grade = &self.grades[conversation.grade];
        let left = conversation.until - now;
        let central = self.centrals[index].as_mut().expect("listed");
        // Leaves room to wait out the release and be answered elsewhere within the quoted time.
        let early = conversation.taken + grade.quoted - now - self.terms.release - self.standing;
        let last = conversation.shots + 1 >= self.terms.max_shots || alone || !grade.repeatable;
        let time_out = if last || early < 2.0 * self.standing { left } else { early.min(left) };
        // Departure: where waits are told and the latest answer was in time, a shot ends with the quoted
        // time, so that what would stand late does not keep its place in a processor's queue. Guards
        // against servers that grow slow; catches hung ones too. Hurts where answers wait behind set-ups,
        // as the work is done by then: hence not where no wait is told, nor where answers come late anyway.
        let in_time = conversation.taken + grade.quoted - now;
        let told = central.tells_wait && central.latest <= self.shortest_quoted;
        let time_out = if told && in_time > 0.0 { time_out.min(in_time) } else { time_out };
        conversation.shots += 1;
        conversation.shot = Some(Shot { server: index, at: now });
        central.out.push(Out { handle, at: now, overtaken: false, cancelled: false });
        central.sent.push_back(now);
        central.allotted = central.allotted.map(|shots| shots.saturating_sub(1));
        central.dither = self.rng.random();
        if central.suspicion.is_some() {
            central.trial = now + gap * (0.5 + self.rng.random::<f64>());
        }
        host.shoot(handle, Server(index as u32), time_out);
    }

    /// The latest moment at which a shot can still be answered within the quoted time.
    fn latest(&self, conversation: &Conversation) -> f64 {
        let quickest = self.centrals.iter().flatten().filter(|c| c.state == State::Running);
        let quickest = quickest.map(|c| c.delay).fold(f64::INFINITY, f64::min).min(self.standing);
        let quoted = conversation.taken + self.grades[conversation.grade].quoted - 1.2 * quickest;
        quoted.min(conversation.until - 2.0 * quickest.max(0.1 * self.standing))
    }

    /// Departure: a shot that still has no answer after the standing delay is called off while there is
    /// time to wait out the release and be answered by another, if it was overtaken, or if shots lately
    /// were and its server's latest answer was quick. Guards against answers that get lost; catches silent
    /// servers. Hurts where a server slows down all at once while answers get lost elsewhere. Lost, not
    /// late: it narrows no line.
    fn call_off(&mut self, host: &mut impl Host) {
        for central in self.centrals.iter_mut().flatten().filter(|_| self.terms.may_cancel) {
            let quick = self.lost > LOSING && central.latest <= QUICK * self.standing;
            let late = |shot: &&mut Out| (shot.overtaken || quick) && !shot.cancelled;
            for shot in central.out.iter_mut().filter(late) {
                let Some(conversation) = self.conversations.get(shot.handle.key()) else { continue };
                let grade = &self.grades[conversation.grade];
                let end = self.now + self.terms.release + central.delay.max(self.standing * 0.1);
                let again = conversation.shots < self.terms.max_shots && grade.repeatable;
                if again && self.now - shot.at > self.standing && end < conversation.taken + grade.quoted {
                    (shot.cancelled, shot.overtaken) = (true, true);
                    host.cancel(shot.handle, conversation.shots as u16 - 1);
                }
            }
        }
    }

    /// To be called when all that has come at one time is told: shoots what can be shot, best earners
    /// first, and gives up at once what can no longer stand in time.
    pub fn settle(&mut self, host: &mut impl Host) {
        let then = self.now - self.window;
        for central in self.centrals.iter_mut().flatten() {
            central.forget_before(then);
        }
        self.call_off(host);
        self.probe(host);
        let (now, limit) = (self.now, self.longest_limit);
        self.numbers.retain(|_, n| now - n.seen.max(n.not_before) < limit);
        let order = |c: &Conversation| (-c.worth, c.taken);
        let mut held = std::mem::take(&mut self.held);
        held.sort_by(|a, b| {
            let (a, b) = (&self.conversations[a.key()], &self.conversations[b.key()]);
            order(a).partial_cmp(&order(b)).expect("finite")
        });
        let room = self.hold_room();
        let mut due = f64::INFINITY;
        for handle in held {
            let conversation = &self.conversations[handle.key()];
            let rest = conversation.rest_until;
            let latest = self.latest(conversation);
            let rested = rest <= self.now;
            let gapped = conversation.number.is_some_and(|n| self.gapped(n));
            let choice = if rested && !gapped { self.choose(handle) } else { None };
            if let Some(index) = choice {
                self.shoot(handle, index, host);
            } else if gapped || latest < self.now || self.held.len() >= room {
                self.give_up(handle, host);
            } else {
                self.held.push(handle);
                due = due.min(latest + 1.0).min(if rested { f64::INFINITY } else { rest });
            }
        }
        if !self.held.is_empty() || self.centrals.iter().flatten().any(|c| !c.out.is_empty()) {
            due = due.min(self.now + BEAT * self.standing);
            if due < self.wake_at {
                self.wake_at = due;
                host.wake(due);
            }
        }
    }

    /// Departure: where rates are told, a cold central server is probed now and then, and one whose line has
    /// rested for over a window, since hundreds of proxies with few shots each would leave it idle for long
    /// after a jam. Costs the probes' work; a rate told too high ends rests too soon.
    fn probe(&mut self, host: &mut impl Host) {
        if !self.terms.may_probe || !self.centrals.iter().flatten().any(Central::tells_rate) {
            return;
        }
        let (now, window, cold) = (self.now, self.window, self.terms.cold);
        for (i, central) in self.centrals.iter_mut().enumerate() {
            let Some(central) = central else { continue };
            let span = if now - central.started < cold {
                cold * PROBE_SPAN
            } else if now - central.rests > window && now - central.rests < central.rest {
                PROBE_RESTING * window
            } else {
                continue;
            };
            if central.state == State::Running && now >= central.probe_at {
                // The first wait is drawn from the start on, so that the proxies do not all ask at once.
                let first = central.probe_at == f64::NEG_INFINITY;
                central.probe_at = now + span * (self.rng.random::<f64>() + if first { 0.0 } else { 0.5 });
                // Answers that came meanwhile have told what a probe would ask for.
                if !first && now - central.told_rate >= span {
                    host.probe(Server(i as u32));
                }
            }
        }
    }

    /// Departure: a number whose lines were all busy gets no shot until its gap is over, since each would
    /// cost every central server work for nothing.
    fn gapped(&self, number: u64) -> bool {
        self.numbers.get(&number).is_some_and(|n| self.now < n.not_before)
    }

    /// Widens a number's gap when its lines are all busy, and narrows it when a conversation stands. True
    /// when the gap reaches its full width.
    fn space(&mut self, number: u64, busy: bool) -> bool {
        let now = self.now;
        if busy {
            let entry = self.numbers.entry(number).or_insert_with(|| Number::new(now));
            let former = entry.gap;
            entry.gap = (2.0 * former).max(self.terms.release).min(self.window);
            (entry.seen, entry.not_before) = (now, now + entry.gap);
            return entry.gap > former && entry.gap >= self.window;
        } else if self.numbers.get(&number).is_some_and(|n| n.gap == 0.0) {
            self.numbers.remove(&number);
        } else if let Some(entry) = self.numbers.get_mut(&number) {
            entry.gap *= 0.5;
            (entry.seen, entry.not_before) = (now, now + entry.gap);
        }
        false
    }

    /// How many conversations are worth holding: what the lines have lately taken in half a quoted time.
    fn hold_room(&self) -> usize {
        let sent: usize = self.centrals.iter().flatten().map(|c| c.sent.len()).sum();
        2 + (sent as f64 * 0.5 * self.shortest_quoted / self.window) as usize
    }

    fn give_up(&mut self, handle: Handle, host: &mut impl Host) {
        let conversation = self.conversations.remove(handle.key());
        self.charge(conversation.fault);
        if !self.grades[conversation.grade].repeatable && conversation.shots > 0 {
            host.fail(handle);
            return;
        }
        if let Some(number) = conversation.number {
            let entry = self.numbers.entry(number).or_insert_with(|| Number::new(conversation.taken));
            entry.seen = self.now;
        }
        // Not before the first server takes shots again, where all have asked to be left alone.
        let running = self.centrals.iter().flatten().filter(|c| c.state == State::Running);
        let away = running.map(|c| self.away(c)).fold(f64::INFINITY, f64::min);
        let away = if away.is_finite() { away } else { 0.0 };
        let spread = 0.5 + 0.5 * self.rng.random::<f64>();
        let advice = self.terms.longest_advice.map(|most| (most * spread).max(away).min(most));
        host.refuse(handle, advice);
    }

    /// Moves a standing in the draw: down at once with the mean ratio, up again over a window.
    fn weigh(&mut self, index: usize) -> f64 {
        let Some(central) = &mut self.centrals[index] else { return 0.0 };
        let deserved = 1.0 / central.histogram.mean();
        let step = ((self.now - central.weighed) / self.window).min(1.0);
        central.weight = deserved.min(central.weight + step * deserved);
        central.weighed = self.now;
        central.weight
    }

    /// Departure: a fault counts as 1 in its server's histogram, else one that fails everything quickly would
    /// look best and draw all traffic; but once for a conversation, when it stands or is given up, and not
    /// where it met another elsewhere, for then it is the conversation's own. Guards against callers whose
    /// calls no server can use, which would close all of them; holds whatever is wrong with the call. Hurts
    /// where several servers fail much at once: what fails at two of them is not counted.
    fn charge(&mut self, fault: Option<usize>) {
        if let Some(central) = fault.and_then(|index| self.centrals[index].as_mut()) {
            central.sample(self.now, 1.0);
        }
    }

    /// Takes a shot off its line and counts its delay, or nothing; an answer moves the line's allowance.
    /// `least` is what its ratio counts for at the least.
    fn answered(&mut self, index: usize, handle: Handle, delay: Option<f64>, limit: f64, least: Option<f64>) {
        let (now, standing) = (self.now, self.standing);
        let part = 1.0 / f64::from(self.terms.proxies);
        let window = self.window;
        let Some(central) = &mut self.centrals[index] else { return };
        let full = central.waiting().count() as f64 + 1.0 > central.allowance;
        let Some(place) = central.out.iter().position(|shot| shot.handle == handle) else { return };
        let Out { at: sent, overtaken, .. } = central.out.swap_remove(place);
        if overtaken {
            return;
        }
        let took = delay.unwrap_or(f64::INFINITY);
        if let Some(least) = least {
            central.sample(now, (took / limit).clamp(least, 1.0));
        }
        central.latest = took;
        if took > standing {
            if sent >= central.cut_at {
                let cut = (standing / took).max(DEEPEST_CUT);
                central.allowance = (central.allowance * cut).max(LEAST_OUT * part);
                central.cut_at = now;
            }
        } else if full {
            let room = 1.0 - took / standing;
            let grown = central.allowance + GROWTH * (room + 0.2) / central.allowance.max(0.5);
            let used = (central.sent.len() as f64 + 1.0) * standing / window;
            central.allowance = grown
                .min(central.allowance * STEEPEST_GROWTH)
                .min(((SLACK + SLACK_OF_ONE * part) * used).max(FIRST_OUT * part));
        }
        if delay.is_some() {
            central.delay += 0.25 * (took - central.delay);
        }
        let span = took.min(2.0 * standing);
        (central.rests, central.rest) = (now, span * (1.0 / central.allowance.min(1.0) - 1.0));
        self.weigh(index);
    }
}

impl Handle {
    fn key(self) -> usize {
        self.0 as usize
    }

    /// Lets the conversation in: [`Proxy::settle`] finds its first way, or holds it, or gives it up.
    pub fn place(self, proxy: &mut Proxy) {
        proxy.held.push(self);
    }

    /// The conversation stands.
    pub fn stood(self, proxy: &mut Proxy) {
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        conversation.stands = true;
        let fault = conversation.fault.take();
        let number = conversation.number;
        let Some(shot) = &conversation.shot else { return };
        let (index, sent, delay) = (shot.server, shot.at, proxy.now - shot.at);
        let limit = proxy.grades[conversation.grade].limit;
        proxy.answered(index, self, Some(delay), limit, Some(0.0));
        proxy.charge(fault);
        if let Some(central) = &mut proxy.centrals[index] {
            central.heard = proxy.now;
            let lost = |out: &&mut Out| out.at < sent && !out.overtaken;
            let overtaken = central.out.iter_mut().filter(lost).map(|out| out.overtaken = true).count();
            proxy.lost += (overtaken as f64 - (1 + overtaken) as f64 * proxy.lost) / FLOOR as f64;
        }
        if let Some(number) = number {
            proxy.space(number, false);
        }
    }

    /// The shot, or the conversation that stood by it, has ended; `finished` when no answer is owed.
    pub fn ended(self, proxy: &mut Proxy, ending: Ending, finished: bool, host: &mut impl Host) {
        let now = proxy.now;
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        let shot = conversation.shot.take();
        if shot.is_none() && !finished {
            return;
        }
        let limit = proxy.grades[conversation.grade].limit;
        let number = conversation.number;
        let (stands, over) = (conversation.stands, conversation.over || finished);
        if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
            conversation.rest_until = now + proxy.terms.release + 1.0;
        }
        let ran = !matches!(ending, Ending::Nacked | Ending::NoLine | Ending::NoConnection | Ending::Moot);
        // Two servers say that it can't be set up: they are not asked again.
        let shot_at = shot.as_ref().map(|shot| shot.server);
        let fault = conversation.fault.filter(|_| ending == Ending::Error);
        let own = fault.is_some() && fault != shot_at;
        if ending == Ending::Error {
            conversation.fault = if own { None } else { shot_at };
        }
        let again = !over
            && !own
            && conversation.shots < proxy.terms.max_shots
            && conversation.until > now
            && (!ran || proxy.grades[conversation.grade].repeatable);
        if let Some(shot) = shot.filter(|_| !stands) {
            if matches!(ending, Ending::TimedOut | Ending::NoConnection | Ending::Error) {
                conversation.failed_at = Some(shot.server);
            }
            if !matches!(ending, Ending::TimedOut | Ending::NoConnection)
                && let Some(central) = &mut proxy.centrals[shot.server]
                // What never left, or was called off, was not answered.
                && !matches!(ending, Ending::Cancelled | Ending::Moot)
            {
                central.heard = now;
            }
            let age = now - shot.at;
            match ending {
                Ending::Ok | Ending::Cancelled | Ending::Busy => {
                    proxy.answered(shot.server, self, Some(age), limit, Some(0.0))
                }
                Ending::Moot | Ending::NoLine => {
                    if let Some(central) = &mut proxy.centrals[shot.server] {
                        central.out.retain(|out| out.handle != self);
                        if ending == Ending::NoLine {
                            (central.free, central.told_free, central.lineless) = (0.0, now, now);
                        }
                    }
                }
                // A cut or fault says nothing of the line but its age, though it counts as 1 in the
                // histogram: a fault when it shows whose it is.
                Ending::Error => proxy.answered(shot.server, self, Some(age), limit, None),
                Ending::Reset => proxy.answered(shot.server, self, Some(age), limit, Some(1.0)),
                _ => proxy.answered(shot.server, self, None, limit, Some(1.0)),
            }
            // Departure: nobody listens there, which its network tells at once, not after a wait that would
            // fill the line: closed but for single shots, about one a window, lest one conversation spends
            // all in an instant. No longer, since it may be back without any word of it. Holds for any
            // refusal before the processor; hurts where one is told for a server that is up.
            if ending == Ending::NoConnection {
                let rest = proxy.window * (0.5 + proxy.rng.random::<f64>());
                let first = FIRST_OUT / f64::from(proxy.terms.proxies);
                if let Some(central) = &mut proxy.centrals[shot.server] {
                    central.allowance = central.allowance.max(first).min(DEEPEST_CUT);
                    central.rest = rest;
                }
            }
        }
        let busy = number.filter(|_| ending == Ending::Busy);
        if let Some(number) = busy
            && proxy.space(number, true)
        {
            host.note(&format!("number {number} is busy, gapped"));
        }
        if over {
            let conversation = proxy.conversations.remove(self.key());
            proxy.charge(conversation.fault);
        } else if busy.is_some() {
            proxy.give_up(self, host);
        } else if again {
            proxy.held.push(self);
        } else {
            let conversation = proxy.conversations.remove(self.key());
            proxy.charge(conversation.fault);
            host.fail(self);
        }
    }

    /// The caller has gone.
    pub fn left(self, proxy: &mut Proxy) {
        let Some(conversation) = proxy.conversations.get_mut(self.key()) else { return };
        conversation.over = true;
        if conversation.shot.is_none() {
            proxy.held.retain(|&held| held != self);
            let conversation = proxy.conversations.remove(self.key());
            proxy.charge(conversation.fault);
        }
    }
}
