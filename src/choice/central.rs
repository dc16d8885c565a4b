//! All that is known of one central server.

use super::*;

/// A shot on its line to a central server, still out.
#[derive(Clone)]
pub(super) struct Out {
    pub(super) handle: Handle,
    pub(super) at: f64,
    /// A later one stands. Lines are served in turn, so this one is lost, not late.
    pub(super) overtaken: bool,
    pub(super) cancelled: bool,
}

#[derive(Clone, Default)]
pub(super) struct Central {
    pub(super) state: State,
    pub(super) pool: u16,
    pub(super) started: f64,
    /// No shot before this while it is cold, and the span that it was drawn from.
    pub(super) entry: (f64, f64),
    /// No probe before this; not set until one is first thought of.
    pub(super) probe_at: f64,
    pub(super) samples: VecDeque<(f64, f64)>,
    pub(super) histogram: Histogram,
    /// When set-ups were sent, over the window.
    pub(super) sent: VecDeque<f64>,
    pub(super) out: Vec<Out>,
    /// How many shots may be out at once; under one, the share of the time that one may.
    pub(super) allowance: f64,
    /// Spreads the part of an allowance over whole shots.
    pub(super) dither: f64,
    pub(super) cut_at: f64,
    /// Under one shot at once the line rests after an answer: since when, and how long for mean earnings.
    pub(super) rests: f64,
    pub(super) rest: f64,
    /// Its standing in the draw, and when that was last moved.
    pub(super) weight: f64,
    pub(super) weighed: f64,
    /// The delay that its answers have lately had.
    pub(super) delay: f64,
    /// The delay of its latest answer.
    pub(super) latest: f64,
    /// Free lines when that was last told, and how many there are.
    pub(super) free: f64,
    pub(super) lines: f64,
    /// When a shot last came back for want of one.
    pub(super) lineless: f64,
    /// How long it usually is from one word of free lines to the next.
    pub(super) word_gap: f64,
    pub(super) told_free: f64,
    /// Set-ups a second that it can take as it last said, when, and the most that it has said.
    pub(super) rate: f64,
    pub(super) told_rate: f64,
    pub(super) best_rate: f64,
    /// Whether it has ever said how long a set-up waits there.
    pub(super) tells_wait: bool,
    /// No shot before this: so it asked when it turned one back.
    pub(super) back_at: f64,
    /// Others' word that it is silent, when it was last heard from here, and no shot before this meanwhile.
    pub(super) suspicion: Option<Suspicion>,
    pub(super) heard: f64,
    pub(super) trial: f64,
    /// How many shots the whole fleet's limit leaves here now, and conversations that it alone kept away.
    pub(super) allotted: Option<u32>,
    pub(super) short: u32,
}

impl Central {
    pub(super) fn new(line: &ServerEntry, now: f64, weight: f64, entry: (f64, f64), allowance: f64) -> Self {
        Self {
            state: line.state,
            pool: line.pool,
            started: line.started_at.unwrap_or(f64::NEG_INFINITY),
            entry,
            probe_at: f64::NEG_INFINITY,
            allowance,
            dither: 0.5,
            cut_at: f64::NEG_INFINITY,
            rests: f64::NEG_INFINITY,
            weight,
            weighed: now,
            free: f64::INFINITY,
            told_free: now,
            lineless: f64::NEG_INFINITY,
            told_rate: f64::NEG_INFINITY,
            best_rate: f64::MIN_POSITIVE,
            back_at: f64::NEG_INFINITY,
            heard: f64::NEG_INFINITY,
            trial: f64::NEG_INFINITY,
            ..Self::default()
        }
    }

    /// All proxies are to have entered within this span, if that is shorter: each draw is drawn closer alike,
    /// since the sooner of two draws would let in as many as both spans together.
    pub(super) fn enter_within(&mut self, now: f64, span: f64) {
        let span = span.min(self.entry.1);
        self.entry = (now + (self.entry.0 - now).max(0.0) * span / self.entry.1, span);
    }

    pub(super) fn forget_before(&mut self, then: f64) {
        while self.samples.front().is_some_and(|s| s.0 < then) {
            let (_, ratio) = self.samples.pop_front().expect("just seen");
            self.histogram.discount(ratio);
        }
        while self.sent.front().is_some_and(|&at| at < then) {
            self.sent.pop_front();
        }
    }

    pub(super) fn sample(&mut self, now: f64, ratio: f64) {
        self.samples.push_back((now, ratio));
        self.histogram.record(ratio);
    }

    /// Whether it has ever said how many set-ups it can take.
    pub(super) fn tells_rate(&self) -> bool {
        self.told_rate > f64::NEG_INFINITY
    }

    /// The shots that stand in line there.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &Out> {
        self.out.iter().filter(|shot| !shot.overtaken)
    }
}
