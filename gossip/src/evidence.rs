//! What this proxy itself has seen of servers, and may say. No I/O.
//!
//! Tell it of each shot and each answer; [`Evidence::claims`] gives what is worth saying: servers whose shots
//! go unanswered, and answers of servers that somebody accuses.

use std::collections::BTreeMap;

use crate::wire::{Claim, Generation, Kind, MOST_CLAIMS};

/// A shot without any answer is a ground after this many resend gaps: two copies have gone out by then, and a
/// server that is merely jammed has mostly answered.
const SILENT_AFTER: f64 = 3.0;
/// And no more after so many, counted from the last shot.
const AGED: f64 = 40.0;

#[derive(Clone, Copy, Debug)]
struct Seen {
    /// When the oldest shot was sent that nothing has been heard since, and how many.
    unanswered: Option<(f64, u16)>,
    shot: f64,
    answered: Option<f64>,
}

/// Own evidence, by generation of a server.
#[derive(Clone, Debug)]
pub struct Evidence {
    seen: BTreeMap<Generation, Seen>,
    resend: f64,
    /// An own stall until then is no fault of a server's.
    stalled: f64,
}

impl Evidence {
    /// `resend` is the gap after which an unanswered set-up is sent again.
    pub fn new(resend: f64) -> Self {
        Self { seen: BTreeMap::new(), resend, stalled: f64::NEG_INFINITY }
    }

    pub fn attempt_sent(&mut self, now: f64, generation: Generation) {
        let seen =
            self.seen.entry(generation).or_insert(Seen { unanswered: None, shot: now, answered: None });
        let (_, shots) = seen.unanswered.get_or_insert((now, 0));
        *shots = shots.saturating_add(1);
        seen.shot = now;
    }

    /// A shot was called off before it could be a ground, as when its caller left.
    pub fn attempt_cancelled(&mut self, generation: Generation) {
        if let Some(seen) = self.seen.get_mut(&generation)
            && let Some((_, shots)) = &mut seen.unanswered
        {
            *shots -= 1;
            if *shots == 0 {
                seen.unanswered = None;
            }
        }
    }

    /// Any answer proves it alive: stands, refuses, reports.
    pub fn answered(&mut self, now: f64, generation: Generation) {
        let seen =
            self.seen.entry(generation).or_insert(Seen { unanswered: None, shot: now, answered: None });
        seen.unanswered = None;
        seen.answered = Some(now);
    }

    /// This proxy had no turn until now: what waited may have been answered meanwhile.
    pub fn stalled(&mut self, now: f64) {
        self.stalled = now;
    }

    /// The list says that it is gone, or has started anew.
    pub fn forget(&mut self, generation: Generation) {
        self.seen.remove(&generation);
    }

    /// An accusation ages: it is withdrawn a while after the last shot that it rests on.
    fn silent(&self, now: f64, seen: &Seen) -> Option<(f64, u16)> {
        let ripe = |since: f64| now - since.max(self.stalled) >= SILENT_AFTER * self.resend;
        seen.unanswered.filter(|(since, _)| ripe(*since) && now - seen.shot < AGED * self.resend)
    }

    /// When this proxy last heard from it.
    pub fn last_answer(&self, generation: Generation) -> Option<f64> {
        self.seen.get(&generation)?.answered
    }

    /// What to say now; `accused` tells since when a server is accused by others. Silence goes first.
    pub fn claims(&self, now: f64, accused: impl Fn(Generation) -> Option<f64>, window: f64) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (&generation, seen) in &self.seen {
            if let Some((since, shots)) = self.silent(now, seen) {
                claims.push(Claim { generation, kind: Kind::Silent, at: since.max(0.0) as u32, shots });
            }
        }
        for (&generation, seen) in &self.seen {
            let later = seen.answered.filter(|&at| now - at < window);
            if let Some(at) = later.filter(|&at| accused(generation).is_some_and(|since| at > since)) {
                claims.push(Claim { generation, kind: Kind::Answering, at: at.max(0.0) as u32, shots: 1 });
            }
        }
        claims.truncate(MOST_CLAIMS);
        claims
    }
}
