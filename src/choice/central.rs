//! All that is known of one central server.

use super::*;

/// A shot on its line to a central server, still out.
#[derive(Clone)]
pub(super) struct InFlight {
    pub(super) handle: Handle,
    pub(super) sent_at: f64,
    /// A later one stands. Lines are served in turn, so this one is lost, not late.
    pub(super) superseded: bool,
    pub(super) cancelled: bool,
}

#[derive(Clone, Default)]
pub(super) struct Central {
    pub(super) state: State,
    pub(super) pool: u16,
    pub(super) started_at: f64,
    /// No shot before this while it is cold, and the span that it was drawn from.
    pub(super) cold_entry: (f64, f64),
    /// No probe before this; not set until one is first thought of.
    pub(super) next_probe_at: f64,
    pub(super) samples: VecDeque<(f64, f64)>,
    pub(super) histogram: Histogram,
    /// When set-ups were sent, over the window.
    pub(super) sent_times: VecDeque<f64>,
    pub(super) in_flight: Vec<InFlight>,
    /// How many shots may be out at once; under one, the share of the time that one may.
    pub(super) concurrency_limit: f64,
    /// Spreads the part of an allowance over whole shots.
    pub(super) dither: f64,
    pub(super) limit_cut_at: f64,
    /// Under one shot at once the line rests after an answer: since when, and how long for mean earnings.
    pub(super) cool_down_since: f64,
    pub(super) cool_down: f64,
    /// Its standing in the draw, and when that was last moved.
    pub(super) weight: f64,
    pub(super) weight_updated_at: f64,
    /// The delay that its answers have lately had.
    pub(super) mean_delay: f64,
    /// The delay of its latest answer.
    pub(super) latest_delay: f64,
    /// Free lines when that was last told, and how many there are.
    pub(super) free_lines: f64,
    pub(super) lines: f64,
    /// When a shot last came back for want of one.
    pub(super) no_free_line_at: f64,
    /// How long it usually is from one word of free lines to the next.
    pub(super) lines_report_interval: f64,
    pub(super) free_lines_reported_at: f64,
    /// Set-ups a second that it can take as it last said, when, and the most that it has said.
    pub(super) reported_rate: f64,
    pub(super) rate_reported_at: f64,
    pub(super) best_reported_rate: f64,
    /// Whether it has ever said how long a set-up waits there.
    pub(super) reports_wait: bool,
    /// No shot before this: so it asked when it turned one back.
    pub(super) retry_at: f64,
    /// Others' word that it is silent, when it was last heard from here, and no shot before this meanwhile.
    pub(super) suspicion: Option<Suspicion>,
    pub(super) last_heard_at: f64,
    pub(super) next_half_open_at: f64,
    /// How many shots the whole fleet's limit leaves here now, and conversations that it alone kept away.
    pub(super) fleet_limit: Option<u32>,
    pub(super) withheld_by_limit: u32,
}

impl Central {
    pub(super) fn new(
        entry: &ServerEntry,
        now: f64,
        weight: f64,
        cold_entry: (f64, f64),
        concurrency_limit: f64,
    ) -> Self {
        Self {
            state: entry.state,
            pool: entry.pool,
            started_at: entry.started_at.unwrap_or(f64::NEG_INFINITY),
            cold_entry,
            next_probe_at: f64::NEG_INFINITY,
            concurrency_limit,
            dither: 0.5,
            limit_cut_at: f64::NEG_INFINITY,
            cool_down_since: f64::NEG_INFINITY,
            weight,
            weight_updated_at: now,
            free_lines: f64::INFINITY,
            free_lines_reported_at: now,
            no_free_line_at: f64::NEG_INFINITY,
            rate_reported_at: f64::NEG_INFINITY,
            best_reported_rate: f64::MIN_POSITIVE,
            retry_at: f64::NEG_INFINITY,
            last_heard_at: f64::NEG_INFINITY,
            next_half_open_at: f64::NEG_INFINITY,
            ..Self::default()
        }
    }

    /// All proxies are to have entered within this span, if that is shorter: each draw is drawn closer alike,
    /// since the sooner of two draws would let in as many as both spans together.
    pub(super) fn shorten_cold_entry(&mut self, now: f64, duration: f64) {
        let duration = duration.min(self.cold_entry.1);
        self.cold_entry = (now + (self.cold_entry.0 - now).max(0.0) * duration / self.cold_entry.1, duration);
    }

    pub(super) fn forget_before(&mut self, cutoff: f64) {
        while self.samples.front().is_some_and(|sample| sample.0 < cutoff) {
            let (_, ratio) = self.samples.pop_front().expect("just seen");
            self.histogram.remove(ratio);
        }
        while self.sent_times.front().is_some_and(|&sent_at| sent_at < cutoff) {
            self.sent_times.pop_front();
        }
    }

    pub(super) fn add_sample(&mut self, now: f64, ratio: f64) {
        self.samples.push_back((now, ratio));
        self.histogram.record(ratio);
    }

    /// Whether it has ever said how many set-ups it can take.
    pub(super) fn reports_rate(&self) -> bool {
        self.rate_reported_at > f64::NEG_INFINITY
    }

    /// The shots that stand in line there.
    pub(super) fn queued(&self) -> impl Iterator<Item = &InFlight> {
        self.in_flight.iter().filter(|attempt| !attempt.superseded)
    }
}
