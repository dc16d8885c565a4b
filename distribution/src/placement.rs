//! Which control machine a subscriber hears from.
//!
//! Rendezvous hashing orders the control machines of the region, then those of other regions: each subscriber
//! has an order of its own, so that the subscribers of one that is gone spread evenly over the others. The
//! first that is not suspected serves. One that was suspected is tried again at a pace, and returned to when
//! it answers.

use std::collections::BTreeMap;

use agree::Id;
use rand::Rng;

/// A control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ControlMachine {
    /// Its key's number.
    pub id: Id,
    /// The region that it is in.
    pub region: u16,
}

/// One that answers no poll for so many heartbeats is suspected. Less leaves a machine for two lost packets;
/// more delays changes by as much when a machine is gone.
const SILENT_HEARTBEATS: f64 = 2.0;
/// A switch is put off by up to so many heartbeats, so that the subscribers of a machine that is gone do not
/// come to the others all at once. It delays changes by as much then.
const SWITCH_JITTER_HEARTBEATS: f64 = 0.5;
/// A machine that would be preferred is tried again after so many heartbeats, half as many to one and a half
/// times as many: its subscribers return over that time. It hurts where a region's other machines are full
/// for as long.
const RETRY_HEARTBEATS: f64 = 30.0;

/// Whom to poll.
#[derive(Clone, Debug)]
pub struct Placement {
    order: Vec<Id>,
    /// Since when each is suspected.
    suspected_since: BTreeMap<Id, f64>,
    current: Id,
    current_since: f64,
    /// The first poll that the current one has not answered.
    unanswered_since: Option<f64>,
    /// When the next one is taken, and which.
    pending_switch: Option<(f64, Id)>,
    /// When a preferred one is tried again.
    retry_at: f64,
    heartbeat: f64,
}

impl Placement {
    /// The order for a subscriber in a region; 0 stands for nobody where there is no control machine.
    pub fn new(
        subscriber: Id,
        region: u16,
        controls: &[ControlMachine],
        heartbeat: f64,
        now: f64,
        rng: &mut impl Rng,
    ) -> Self {
        let order = order(subscriber, region, controls);
        let current = order.first().copied().unwrap_or_default();
        let mut placement = Self {
            order,
            suspected_since: BTreeMap::new(),
            current,
            current_since: now,
            unanswered_since: None,
            pending_switch: None,
            retry_at: now,
            heartbeat,
        };
        placement.schedule_retry(now, rng);
        placement
    }

    fn schedule_retry(&mut self, now: f64, rng: &mut impl Rng) {
        self.retry_at = now + RETRY_HEARTBEATS * self.heartbeat * rng.random_range(0.5..1.5);
    }

    /// The one that serves, and since when.
    pub fn current(&self) -> (Id, f64) {
        (self.current, self.current_since)
    }

    /// All of them, the preferred first.
    pub fn order(&self) -> &[Id] {
        &self.order
    }

    /// A poll went to the current one.
    pub fn poll_sent(&mut self, now: f64) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the current one has a poll to answer.
    pub fn is_poll_pending(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// One answered a poll. Gives the one that served before, where this one is returned to.
    pub fn poll_answered(&mut self, from: Id, now: f64) -> Option<Id> {
        let was_suspected = self.suspected_since.remove(&from).is_some();
        if from == self.current {
            (self.unanswered_since, self.pending_switch) = (None, None);
            return None;
        }
        let rank = |id| self.order.iter().position(|&of| of == id);
        let preferred = rank(from) < rank(self.current) && rank(from).is_some();
        (was_suspected && preferred).then(|| {
            let before = self.current;
            self.switch_to(from, now);
            before
        })
    }

    fn switch_to(&mut self, id: Id, now: f64) {
        (self.current, self.current_since) = (id, now);
        (self.unanswered_since, self.pending_switch) = (None, None);
    }

    /// The current one is not to be relied on: another one is taken before long.
    pub fn suspect(&mut self, now: f64, rng: &mut impl Rng) {
        self.suspected_since.insert(self.current, now);
        if self.pending_switch.is_some() {
            return;
        }
        let unsuspected = self.order.iter().find(|id| !self.suspected_since.contains_key(id));
        // All are suspected: the one that has been for longest.
        let longest_suspected =
            || self.order.iter().min_by(|a, b| self.suspected_since[a].total_cmp(&self.suspected_since[b]));
        let Some(&next) = unsuspected.or_else(longest_suspected) else { return };
        let at = now + SWITCH_JITTER_HEARTBEATS * self.heartbeat * rng.random::<f64>();
        self.pending_switch = Some((at, next));
        self.schedule_retry(now, rng);
    }

    /// Suspects one that is silent, and switches when it is time; whether it has.
    pub fn turn(&mut self, now: f64, rng: &mut impl Rng) -> bool {
        let silent = SILENT_HEARTBEATS * self.heartbeat;
        if self.pending_switch.is_none() && self.unanswered_since.is_some_and(|since| now - since >= silent) {
            self.suspect(now, rng);
        }
        let due = self.pending_switch.filter(|(at, _)| *at <= now);
        if let Some((_, next)) = due {
            self.switch_to(next, now);
        }
        due.is_some()
    }

    /// One that would be preferred and is to be tried again now.
    pub fn next_retry(&mut self, now: f64, rng: &mut impl Rng) -> Option<Id> {
        if now < self.retry_at {
            return None;
        }
        self.schedule_retry(now, rng);
        let preferred = self.order.iter().take_while(|&&id| id != self.current).copied();
        // The one that was not tried for longest; trying it counts as suspecting it anew.
        let next = preferred.min_by(|a, b| self.last_tried_at(*a).total_cmp(&self.last_tried_at(*b)))?;
        self.suspected_since.insert(next, now);
        Some(next)
    }

    fn last_tried_at(&self, id: Id) -> f64 {
        self.suspected_since.get(&id).copied().unwrap_or(f64::NEG_INFINITY)
    }

    /// When [`Placement::turn`] or [`Placement::next_retry`] has something to do.
    pub fn due(&self) -> f64 {
        let silent = self.unanswered_since.filter(|_| self.pending_switch.is_none());
        let silent = silent.map_or(f64::INFINITY, |since| since + SILENT_HEARTBEATS * self.heartbeat);
        let switch = self.pending_switch.map_or(f64::INFINITY, |(at, _)| at);
        silent.min(switch).min(self.retry_at)
    }
}

/// The control machines in a subscriber's order: those of its region, then the others.
pub fn order(subscriber: Id, region: u16, controls: &[ControlMachine]) -> Vec<Id> {
    let weight = |id: Id| {
        let mut hasher = blake3::Hasher::new_derive_key("frostthread distribution 1 rendezvous");
        hasher.update(&id.to_le_bytes()).update(&subscriber.to_le_bytes());
        *hasher.finalize().as_bytes()
    };
    let mut order: Vec<_> =
        controls.iter().map(|of| (of.region != region, std::cmp::Reverse(weight(of.id)), of.id)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, id)| id).collect()
}
