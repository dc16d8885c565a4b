//! The subscribers of a control machine: what each has, and when to serve it next.

use std::collections::{BTreeMap, BTreeSet};

use agree::Id;

use crate::Version;
use crate::scope::Scope;
use crate::token_bucket::TokenBucket;
use crate::wire::Position;

/// Maximum number of scopes of one subscriber: a border proxy uses its service, its zone, its region, all,
/// and some services that it routes to.
pub const MAX_SESSION_SCOPES: usize = 256;
/// Polls of one subscriber that are answered per heartbeat; more are ignored. An honest subscriber sends a
/// few datagrams at [`crate::subscriber`]'s fast polling rate, and one for each datagram of a transfer.
const POLLS_PER_HEARTBEAT: f64 = 32.0;

/// What was last sent of a scope, so that it is not repeated while its acknowledgement is in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    /// The subscriber's position at the time.
    pub position: Position,
    /// The index that was served.
    pub index: Version,
    /// When it was sent.
    pub sent_at: f64,
    /// Whether it is a change, to be retransmitted until acknowledged.
    pub repeats: bool,
}

/// A scope of a session.
#[derive(Clone, Debug)]
pub struct ScopeSubscription {
    /// The position that the subscriber reports.
    pub position: Position,
    /// The index up to which it has acknowledged what was served here at the time. A position that is not
    /// certified yet does not acknowledge changes to come.
    pub acknowledged: Version,
    /// Time of the last report.
    pub polled_at: f64,
    /// Whether it has polled since it was last served: a newer certificate is then of use to it even if
    /// nothing changed.
    pub wants_proof: bool,
    /// When a proof was last sent.
    pub proved_at: f64,
    /// What was last sent.
    pub sent: Option<Sent>,
}

/// A subscriber.
#[derive(Clone, Debug)]
pub struct Session {
    /// Its scopes.
    pub scopes: BTreeMap<Scope, ScopeSubscription>,
    /// When it connected.
    pub started_at: f64,
    /// When it last polled.
    pub polled_at: f64,
    /// The decision since which the newest council votes that it knows.
    pub council_since: Version,
    /// When changes were last pushed to it.
    pub pushed_at: f64,
    /// Bytes that it may be sent.
    pub byte_budget: TokenBucket,
    /// Polls that are answered.
    pub poll_budget: TokenBucket,
    /// When to serve it next, in microseconds.
    due: Option<u64>,
}

impl Session {
    /// Whether it reports this version of a scope as in force; `None` if it has not subscribed to the scope.
    pub fn has(&self, scope: Scope, version: Version) -> Option<bool> {
        self.scopes.get(&scope).map(|subscription| subscription.acknowledged >= version)
    }
}

/// All subscribers.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<Id, Session>,
    /// Time to serve in microseconds, and subscriber.
    queue: BTreeSet<(u64, Id)>,
}

fn to_micros(at: f64) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl Sessions {
    /// Number of subscribers.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are no subscribers.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// The session of a subscriber.
    pub fn get(&self, id: Id) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// The session of a subscriber, mutably.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// Iterates over all sessions.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    /// The subscribers of a scope that are missing a version of it.
    pub fn missing(&self, scope: Scope, version: Version) -> Vec<Id> {
        let is_missing = |(_, session): &(Id, &Session)| session.has(scope, version) == Some(false);
        self.iter().filter(is_missing).map(|(id, _)| id).collect()
    }

    /// Opens a session, or returns the existing one.
    pub fn open(&mut self, id: Id, byte_budget: TokenBucket, heartbeat: f64, now: f64) -> &mut Session {
        self.sessions.entry(id).or_insert_with(|| Session {
            scopes: BTreeMap::new(),
            started_at: now,
            polled_at: now,
            council_since: 0,
            pushed_at: f64::NEG_INFINITY,
            byte_budget,
            poll_budget: TokenBucket::new(POLLS_PER_HEARTBEAT / heartbeat * 1000.0, POLLS_PER_HEARTBEAT, now),
            due: None,
        })
    }

    /// Closes a session.
    pub fn close(&mut self, id: Id) {
        if let Some(due) = self.sessions.remove(&id).and_then(|session| session.due) {
            self.queue.remove(&(due, id));
        }
    }

    /// Closes sessions, and drops scopes, that have not been polled for since a time. Returns the closed
    /// ones.
    pub fn expire(&mut self, before: f64) -> Vec<Id> {
        for session in self.sessions.values_mut() {
            session.scopes.retain(|_, subscription| subscription.polled_at >= before);
        }
        let ended = |(id, session): (Id, &Session)| (session.polled_at < before).then_some(id);
        let ended: Vec<Id> = self.iter().filter_map(ended).collect();
        ended.iter().for_each(|&id| self.close(id));
        ended
    }

    /// Schedules a subscriber to be served by a time, unless it is already scheduled earlier.
    pub fn serve_by(&mut self, id: Id, at: f64) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let at = to_micros(at);
        if let Some(due) = session.due {
            if due <= at {
                return;
            }
            self.queue.remove(&(due, id));
        }
        session.due = Some(at);
        self.queue.insert((at, id));
    }

    /// Removes and returns the next subscriber that is due.
    pub fn next(&mut self, now: f64) -> Option<Id> {
        let &(at, id) = self.queue.first()?;
        if at > to_micros(now) {
            return None;
        }
        self.queue.pop_first();
        if let Some(session) = self.sessions.get_mut(&id) {
            session.due = None;
        }
        Some(id)
    }

    /// When the next subscriber is due; infinity if none is.
    pub fn due(&self) -> f64 {
        // Rounded up, so that it is due by then.
        self.queue.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0)
    }
}
