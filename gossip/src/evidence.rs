//! What this proxy itself has seen of servers, and may say. No I/O.
//!
//! Tell it of each shot and each answer; [`Evidence::claims`] gives what is worth saying: servers whose shots
//! go unanswered, and answers of servers that somebody accuses.

use std::collections::BTreeMap;

use crate::wire::{Claim, ClaimKind, Generation, MAX_CLAIMS};

/// A shot without any answer is a ground after this many resend gaps: two copies have gone out by then, and a
/// server that is merely jammed has mostly answered.
const SILENT_AFTER_RESENDS: f64 = 3.0;
/// And no more after so many, counted from the last shot.
const EXPIRY_RESENDS: f64 = 40.0;

#[derive(Clone, Copy, Debug)]
struct ServerHistory {
    /// When the oldest shot was sent that nothing has been heard since, and how many.
    unanswered: Option<(f64, u16)>,
    last_attempt_at: f64,
    last_answer_at: Option<f64>,
}

/// Own evidence, by generation of a server.
#[derive(Clone, Debug)]
pub struct Evidence {
    servers: BTreeMap<Generation, ServerHistory>,
    resend_interval: f64,
    /// An own stall until then is no fault of a server's.
    stalled_until: f64,
}

impl Evidence {
    /// `resend` is the gap after which an unanswered set-up is sent again.
    pub fn new(resend_interval: f64) -> Self {
        Self { servers: BTreeMap::new(), resend_interval, stalled_until: f64::NEG_INFINITY }
    }

    pub fn attempt_sent(&mut self, now: f64, generation: Generation) {
        let history = self.servers.entry(generation).or_insert(ServerHistory {
            unanswered: None,
            last_attempt_at: now,
            last_answer_at: None,
        });
        let (_, attempts) = history.unanswered.get_or_insert((now, 0));
        *attempts = attempts.saturating_add(1);
        history.last_attempt_at = now;
    }

    /// A shot was called off before it could be a ground, as when its caller left.
    pub fn attempt_cancelled(&mut self, generation: Generation) {
        if let Some(history) = self.servers.get_mut(&generation)
            && let Some((_, attempts)) = &mut history.unanswered
        {
            *attempts -= 1;
            if *attempts == 0 {
                history.unanswered = None;
            }
        }
    }

    /// Any answer proves it alive: stands, refuses, reports.
    pub fn answered(&mut self, now: f64, generation: Generation) {
        let history = self.servers.entry(generation).or_insert(ServerHistory {
            unanswered: None,
            last_attempt_at: now,
            last_answer_at: None,
        });
        history.unanswered = None;
        history.last_answer_at = Some(now);
    }

    /// This proxy had no turn until now: what waited may have been answered meanwhile.
    pub fn stalled(&mut self, now: f64) {
        self.stalled_until = now;
    }

    /// The list says that it is gone, or has started anew.
    pub fn forget(&mut self, generation: Generation) {
        self.servers.remove(&generation);
    }

    /// An accusation ages: it is withdrawn a while after the last shot that it rests on.
    fn silent(&self, now: f64, history: &ServerHistory) -> Option<(f64, u16)> {
        let is_old_enough =
            |since: f64| now - since.max(self.stalled_until) >= SILENT_AFTER_RESENDS * self.resend_interval;
        history.unanswered.filter(|(since, _)| {
            is_old_enough(*since) && now - history.last_attempt_at < EXPIRY_RESENDS * self.resend_interval
        })
    }

    /// When this proxy last heard from it.
    pub fn last_answer(&self, generation: Generation) -> Option<f64> {
        self.servers.get(&generation)?.last_answer_at
    }

    /// What to say now; `accused` tells since when a server is accused by others. Silence goes first.
    pub fn claims(
        &self,
        now: f64,
        accused_since: impl Fn(Generation) -> Option<f64>,
        window: f64,
    ) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (&generation, history) in &self.servers {
            if let Some((since, attempts)) = self.silent(now, history) {
                claims.push(Claim {
                    generation,
                    kind: ClaimKind::Silent,
                    observed_at: since.max(0.0) as u32,
                    attempts,
                });
            }
        }
        for (&generation, history) in &self.servers {
            let recent_answer = history.last_answer_at.filter(|&answered_at| now - answered_at < window);
            if let Some(answered_at) = recent_answer
                .filter(|&answered_at| accused_since(generation).is_some_and(|since| answered_at > since))
            {
                claims.push(Claim {
                    generation,
                    kind: ClaimKind::Answering,
                    observed_at: answered_at.max(0.0) as u32,
                    attempts: 1,
                });
            }
        }
        claims.truncate(MAX_CLAIMS);
        claims
    }
}
