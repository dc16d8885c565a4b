//! What this proxy knows about one central server.

use super::*;

/// An attempt that was sent to a central server and has not ended.
#[derive(Clone)]
pub(super) struct InFlight {
    pub(super) handle: Handle,
    pub(super) sent_at: f64,
    /// A later attempt was answered first. Set-ups are served in order, so this one is lost, not late.
    pub(super) superseded: bool,
    pub(super) cancelled: bool,
}

/// An attempt that was established.
#[derive(Clone, Copy)]
pub(super) struct EstablishedAttempt {
    pub(super) sent_at: f64,
    /// How long its answer took.
    pub(super) delay: f64,
}

/// State of one central server.
#[derive(Clone, Default)]
pub(super) struct Central {
    pub(super) state: State,
    pub(super) pool: u16,
    pub(super) started_at: f64,
    /// No attempt before this time while the server is cold, and the duration that it was drawn from.
    pub(super) cold_entry: (f64, f64),
    /// No probe before this time; negative infinity until the first probe is scheduled.
    pub(super) next_probe_at: f64,
    /// Time and ratio of each sample in the window.
    pub(super) samples: VecDeque<(f64, f64)>,
    pub(super) histogram: Histogram,
    /// When set-ups were sent, within the window.
    pub(super) sent_times: VecDeque<f64>,
    /// When the latest set-up was sent; negative infinity before the first one.
    pub(super) last_sent_at: f64,
    /// The attempt that was established last.
    pub(super) last_established: Option<EstablishedAttempt>,
    pub(super) in_flight: Vec<InFlight>,
    /// How many attempts may be in flight; below 1, the share of the time in which one may be.
    pub(super) concurrency_limit: f64,
    /// Random value that turns the fractional part of the limit into whole attempts.
    pub(super) dither: f64,
    pub(super) limit_cut_at: f64,
    /// With a limit below 1 the server gets no attempt for a while after an answer: since when.
    pub(super) cool_down_since: f64,
    /// How long that pause is for a call with mean earnings.
    pub(super) cool_down: f64,
    /// Its weight in the random choice, and when that was last updated.
    pub(super) weight: f64,
    pub(super) weight_updated_at: f64,
    /// Moving average of the delay of its answers.
    pub(super) mean_delay: f64,
    /// The delay of its latest answer.
    pub(super) latest_delay: f64,
    /// Free lines of its pool when last reported.
    pub(super) free_lines: f64,
    /// All lines of its pool.
    pub(super) lines: f64,
    /// When an attempt was last rejected because no line was free.
    pub(super) no_free_line_at: f64,
    /// Moving average of the interval between reports of free lines.
    pub(super) lines_report_interval: f64,
    pub(super) free_lines_reported_at: f64,
    /// Set-ups per second that it last reported it can handle, when it did, and the highest such report.
    pub(super) reported_rate: f64,
    pub(super) rate_reported_at: f64,
    pub(super) best_reported_rate: f64,
    /// Whether it has ever reported how long a set-up waits there.
    pub(super) reports_wait: bool,
    /// No attempt before this time, as the server requested when it rejected one.
    pub(super) retry_at: f64,
    /// Reports of other proxies that it is silent.
    pub(super) suspicion: Option<Suspicion>,
    /// When this proxy last received an answer from it.
    pub(super) last_heard_at: f64,
    /// While it is suspected, no half-open attempt before this time.
    pub(super) next_half_open_at: f64,
    /// How many attempts the fleet-wide limit still allows this proxy now.
    pub(super) fleet_limit: Option<u32>,
    /// How many conversations that limit alone has withheld.
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
            last_sent_at: f64::NEG_INFINITY,
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

    /// Makes all proxies send their first attempt within `duration`, if that is shorter than before. The time
    /// that was drawn is scaled, since the earlier of two draws would admit as many as both durations
    /// together.
    pub(super) fn shorten_cold_entry(&mut self, now: f64, duration: f64) {
        let duration = duration.min(self.cold_entry.1);
        self.cold_entry = (now + (self.cold_entry.0 - now).max(0.0) * duration / self.cold_entry.1, duration);
    }

    /// Removes samples and send times from before `cutoff`.
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

    /// Whether no attempt is in flight, and the latest one was established within `delay`. Any other ending says
    /// nothing of how fast the server works: its caller may have withdrawn it, or it may have failed on its way.
    pub(super) fn latest_was_established_within(&self, delay: f64) -> bool {
        let is_quick =
            |latest: EstablishedAttempt| latest.sent_at == self.last_sent_at && latest.delay <= delay;
        self.in_flight.is_empty() && self.last_established.is_some_and(is_quick)
    }

    /// Removes an attempt from those in flight that says nothing of the server's delay. If the server has
    /// cool-downs, another one starts, since the attempt may have cost it work.
    pub(super) fn remove_without_answer(&mut self, handle: Handle, now: f64) {
        self.in_flight.retain(|other| other.handle != handle);
        self.cool_down_since = self.cool_down_since.max(now);
    }

    /// Whether it has ever reported how many set-ups it can handle.
    pub(super) fn reports_rate(&self) -> bool {
        self.rate_reported_at > f64::NEG_INFINITY
    }

    /// The attempts that are still expected to be answered.
    pub(super) fn queued(&self) -> impl Iterator<Item = &InFlight> {
        self.in_flight.iter().filter(|attempt| !attempt.superseded)
    }
}
