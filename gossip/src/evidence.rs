//! What this proxy itself observed of servers, and the claims that it may make. No I/O.
//!
//! It is told of each attempt and each answer. [`Evidence::claims`] returns the claims worth making: servers
//! that leave attempts unanswered, and answers of servers that other members accuse.

use std::collections::BTreeMap;

use crate::wire::{Claim, ClaimKind, Generation, MAX_CLAIMS};

/// Resend intervals after which an unanswered attempt supports an accusation: two copies have been sent by
/// then, and a server that is merely overloaded has mostly answered.
const SILENT_AFTER_RESENDS: f64 = 3.0;
/// Resend intervals after the last attempt when the accusation expires.
const EXPIRY_RESENDS: f64 = 40.0;

/// What was observed of one generation of a server.
#[derive(Clone, Copy, Debug)]
struct ServerHistory {
    /// When the oldest attempt was sent after which nothing has been heard, and how many attempts there were
    /// since.
    unanswered: Option<(f64, u16)>,
    last_attempt_at: f64,
    last_answer_at: Option<f64>,
}

/// Observations by generation of a server.
#[derive(Clone, Debug)]
pub struct Evidence {
    servers: BTreeMap<Generation, ServerHistory>,
    resend_interval: f64,
    /// Until then this proxy itself was stalled, so missing answers do not count against servers.
    stalled_until: f64,
}

impl Evidence {
    /// `resend_interval` is the time after which an unanswered set-up is sent again, in milliseconds.
    pub fn new(resend_interval: f64) -> Self {
        Self { servers: BTreeMap::new(), resend_interval, stalled_until: f64::NEG_INFINITY }
    }

    /// An attempt was sent to the server.
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

    /// An attempt was cancelled before it could support an accusation, as when its caller hung up.
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

    /// Any answer proves that the server is alive: an accepted or refused call, or a report.
    pub fn answered(&mut self, now: f64, generation: Generation) {
        let history = self.servers.entry(generation).or_insert(ServerHistory {
            unanswered: None,
            last_attempt_at: now,
            last_answer_at: None,
        });
        history.unanswered = None;
        history.last_answer_at = Some(now);
    }

    /// This proxy had no turn until now: waiting attempts may have been answered meanwhile.
    pub fn stalled(&mut self, now: f64) {
        self.stalled_until = now;
    }

    /// The server list says that this generation is gone or was replaced.
    pub fn forget(&mut self, generation: Generation) {
        self.servers.remove(&generation);
    }

    /// The unanswered attempts, if they support an accusation. It expires a while after the last attempt that
    /// it is based on.
    fn silent(&self, now: f64, history: &ServerHistory) -> Option<(f64, u16)> {
        let is_old_enough =
            |since: f64| now - since.max(self.stalled_until) >= SILENT_AFTER_RESENDS * self.resend_interval;
        history.unanswered.filter(|(since, _)| {
            is_old_enough(*since) && now - history.last_attempt_at < EXPIRY_RESENDS * self.resend_interval
        })
    }

    /// When this proxy last heard from the server.
    pub fn last_answer(&self, generation: Generation) -> Option<f64> {
        self.servers.get(&generation)?.last_answer_at
    }

    /// The claims to make now, silent servers first. `accused_since` tells since when other members accuse a
    /// server; answers older than `window` milliseconds are not claimed.
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
