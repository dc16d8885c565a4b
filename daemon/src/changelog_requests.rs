//! When the change log is asked again, and when a request is given up. No I/O; times are in milliseconds.
//!
//! A change log that is crowded and a connection that is of no use look the same: nothing arrives. A crowded change
//! log serves requests in turn, so one that is given up and made anew goes back to the end of the queue. Therefore a
//! silent request stays open while another one is made. The first of them that delivers data is followed, and the
//! others are dropped.

/// Longest silence of a request before another one is made. An open response carries a comment each second, and a
/// change log answers within this time or refuses the request.
const SILENCE_TIMEOUT_MS: f64 = 2000.0;
/// A request that has been silent for this many time-outs is given up.
const MAX_SILENT_TIMEOUTS: f64 = 3.0;

/// Identifies a request. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(u64);

/// What the owner of the connections has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Make a request on a new connection.
    Start(RequestId),
    /// Close the connection of this request.
    GiveUp(RequestId),
}

/// An open request.
struct OpenRequest {
    id: RequestId,
    /// When it was started, or has last delivered data.
    silent_since: f64,
}

/// The open requests, and when the next one is due. The first one is due at once.
#[derive(Default)]
pub struct RequestSchedule {
    /// In the order of their start.
    open: Vec<OpenRequest>,
    /// No request is made before this time while none is open.
    retry_at: f64,
    last_id: u64,
}

impl RequestSchedule {
    /// The next action that is due, which counts as carried out.
    pub fn next_action(&mut self, now: f64) -> Option<RequestAction> {
        if now < self.due() {
            return None;
        }
        let is_given_up = |request: &OpenRequest| now >= give_up_at(request);
        if let Some(position) = self.open.iter().position(is_given_up) {
            return Some(RequestAction::GiveUp(self.open.remove(position).id));
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.open.push(OpenRequest { id, silent_since: now });
        Some(RequestAction::Start(id))
    }

    /// When the next action is due.
    pub fn due(&self) -> f64 {
        let latest = self.open.iter().map(|request| request.silent_since).reduce(f64::max);
        let next_start = latest.map_or(self.retry_at, |since| since + SILENCE_TIMEOUT_MS);
        self.open.iter().map(give_up_at).fold(next_start, f64::min)
    }

    /// Records that a request has delivered data. Returns the others, which are no longer needed.
    pub fn received(&mut self, now: f64, id: RequestId) -> Vec<RequestId> {
        let others = self.open.extract_if(.., |request| request.id != id).map(|request| request.id).collect();
        self.open.iter_mut().for_each(|request| request.silent_since = now);
        others
    }

    /// Records that a request has ended. If it was the only one, the next one is due at `retry_at`.
    pub fn failed(&mut self, id: RequestId, retry_at: f64) {
        self.open.retain(|request| request.id != id);
        self.retry_at = retry_at;
    }

    /// Drops all requests; the next one is due at `retry_at`.
    pub fn restart(&mut self, retry_at: f64) {
        self.open.clear();
        self.retry_at = retry_at;
    }
}

fn give_up_at(request: &OpenRequest) -> f64 {
    request.silent_since + MAX_SILENT_TIMEOUTS * SILENCE_TIMEOUT_MS
}
