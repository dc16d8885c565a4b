//! Selects the control machine that a subscriber polls.
//!
//! Rendezvous hashing orders the control machines of the subscriber's region, then those of other regions.
//! The order differs by subscriber, so the subscribers of a failed machine spread evenly over the others. The
//! first machine that is not suspected serves. A suspected one is retried periodically, and the subscriber
//! returns to it when it answers.

use std::collections::BTreeMap;

use agree::Id;
use rand::Rng;

/// A control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ControlMachine {
    /// Number of its key.
    pub id: Id,
    /// The region that it is in.
    pub region: u16,
}

/// A machine that leaves a poll unanswered for this many heartbeats is suspected. A smaller value leaves a
/// machine after two lost packets; a larger one delays changes by as much when a machine fails.
const SILENT_HEARTBEATS: f64 = 2.0;
/// Maximum delay of a switch in heartbeats, so that the subscribers of a failed machine do not all reach the
/// others at once. It delays changes by as much in that case.
const SWITCH_JITTER_HEARTBEATS: f64 = 0.5;
/// Mean interval between retries of a preferred machine in heartbeats, drawn from half to one and a half
/// times this value, so that its subscribers return over that time. It hurts if the region's other machines
/// are full for as long.
const RETRY_HEARTBEATS: f64 = 30.0;

/// Which control machine to poll, and when to switch.
#[derive(Clone, Debug)]
pub struct Placement {
    order: Vec<Id>,
    /// When each suspected machine was last suspected or retried.
    suspected_since: BTreeMap<Id, f64>,
    current: Id,
    current_since: f64,
    /// When the first poll was sent that the current machine has not answered.
    unanswered_since: Option<f64>,
    /// When to switch, and to which machine.
    pending_switch: Option<(f64, Id)>,
    /// When a preferred machine is retried.
    retry_at: f64,
    heartbeat: f64,
}

impl Placement {
    /// Creates the placement of a subscriber in a region. The current machine is 0 if there are no control
    /// machines.
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

    /// The machine that serves, and since when.
    pub fn current(&self) -> (Id, f64) {
        (self.current, self.current_since)
    }

    /// All machines, the most preferred first.
    pub fn order(&self) -> &[Id] {
        &self.order
    }

    /// Records that a poll was sent to the current machine.
    pub fn poll_sent(&mut self, now: f64) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the current machine has a poll to answer.
    pub fn is_poll_pending(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Records an answered poll. Returns the machine that served before if the subscriber returns to this
    /// one.
    pub fn poll_answered(&mut self, from: Id, now: f64) -> Option<Id> {
        let was_suspected = self.suspected_since.remove(&from).is_some();
        if from == self.current {
            (self.unanswered_since, self.pending_switch) = (None, None);
            return None;
        }
        let rank = |id| self.order.iter().position(|&other| other == id);
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

    /// Suspects the current machine and schedules a switch to another.
    pub fn suspect(&mut self, now: f64, rng: &mut impl Rng) {
        self.suspected_since.insert(self.current, now);
        if self.pending_switch.is_some() {
            return;
        }
        let unsuspected = self.order.iter().find(|id| !self.suspected_since.contains_key(id));
        // If all are suspected: the one that has been for longest.
        let longest_suspected =
            || self.order.iter().min_by(|a, b| self.suspected_since[a].total_cmp(&self.suspected_since[b]));
        let Some(&next) = unsuspected.or_else(longest_suspected) else { return };
        let at = now + SWITCH_JITTER_HEARTBEATS * self.heartbeat * rng.random::<f64>();
        self.pending_switch = Some((at, next));
        self.schedule_retry(now, rng);
    }

    /// Suspects a silent machine, and switches when that is due. Returns whether it switched.
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

    /// The preferred machine to retry now, if one is due.
    pub fn next_retry(&mut self, now: f64, rng: &mut impl Rng) -> Option<Id> {
        if now < self.retry_at {
            return None;
        }
        self.schedule_retry(now, rng);
        let preferred = self.order.iter().take_while(|&&id| id != self.current).copied();
        // The least recently tried machine; the retry counts as a new suspicion.
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
    let mut order: Vec<_> = controls
        .iter()
        .map(|control| (control.region != region, std::cmp::Reverse(weight(control.id)), control.id))
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, id)| id).collect()
}
