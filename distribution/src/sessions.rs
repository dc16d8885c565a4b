//! The subscribers of a control machine: what each has, and when it is to be served next.

use std::collections::{BTreeMap, BTreeSet};

use agree::Id;

use crate::Version;
use crate::scope::Scope;
use crate::token_bucket::TokenBucket;
use crate::wire::Position;

/// Scopes of one subscriber at most: a border proxy uses its service, its zone, its region, all, and some
/// services that it routes to.
pub const MAX_SESSION_SCOPES: usize = 256;
/// Polls of one subscriber that are answered in a heartbeat; more are left unread. An honest one sends a few
/// datagrams at [`crate::subscriber`]'s hasty pace, and one for each datagram of a transfer.
const POLLS_PER_HEARTBEAT: f64 = 32.0;

/// What was last sent of a scope, so that it is not repeated while its acknowledgement is on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    /// What the subscriber had.
    pub position: Position,
    /// The index that was served.
    pub index: Version,
    /// When.
    pub sent_at: f64,
    /// It is a change, to be sent again until it is acknowledged.
    pub repeats: bool,
}

/// A scope of a session.
#[derive(Clone, Debug)]
pub struct ScopeSubscription {
    /// What the subscriber says that it has.
    pub position: Position,
    /// Up to where it has acknowledged what was served here by then. A position of what is not sealed yet
    /// acknowledges no change to come.
    pub acknowledged: Version,
    /// When it said so last.
    pub polled_at: f64,
    /// It has polled since it was last served: a newer seal is of use to it also where nothing changed.
    pub wants_proof: bool,
    /// When it was last proved to.
    pub proved_at: f64,
    /// What was last sent.
    pub sent: Option<Sent>,
}

/// A subscriber.
#[derive(Clone, Debug)]
pub struct Session {
    /// Its scopes.
    pub scopes: BTreeMap<Scope, ScopeSubscription>,
    /// Since when it is one.
    pub started_at: f64,
    /// When it polled last.
    pub polled_at: f64,
    /// Since when the newest council votes that it knows.
    pub council_since: Version,
    /// When it was served last.
    pub pushed_at: f64,
    /// Bytes that it may be sent.
    pub byte_budget: TokenBucket,
    /// Polls that are answered.
    pub poll_budget: TokenBucket,
    /// When it is to be served, in microseconds.
    due: Option<u64>,
}

impl Session {
    /// Whether it has this version of a scope, as it says; none where it has not subscribed.
    pub fn has(&self, scope: Scope, version: Version) -> Option<bool> {
        self.scopes.get(&scope).map(|subscription| subscription.acknowledged >= version)
    }
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<Id, Session>,
    /// Who is served next: microseconds, and who.
    queue: BTreeSet<(u64, Id)>,
}

fn to_micros(at: f64) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl Sessions {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// One of them.
    pub fn get(&self, id: Id) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// One of them, to be changed.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    /// Who wants a scope and lacks a version of it.
    pub fn missing(&self, scope: Scope, version: Version) -> Vec<Id> {
        let is_missing = |(_, session): &(Id, &Session)| session.has(scope, version) == Some(false);
        self.iter().filter(is_missing).map(|(id, _)| id).collect()
    }

    /// A new one, or the one that there is.
    pub fn open(&mut self, id: Id, bytes: TokenBucket, heartbeat: f64, now: f64) -> &mut Session {
        self.sessions.entry(id).or_insert_with(|| Session {
            scopes: BTreeMap::new(),
            started_at: now,
            polled_at: now,
            council_since: 0,
            pushed_at: f64::NEG_INFINITY,
            byte_budget: bytes,
            poll_budget: TokenBucket::new(POLLS_PER_HEARTBEAT / heartbeat * 1000.0, POLLS_PER_HEARTBEAT, now),
            due: None,
        })
    }

    /// Ends one.
    pub fn close(&mut self, id: Id) {
        if let Some(due) = self.sessions.remove(&id).and_then(|session| session.due) {
            self.queue.remove(&(due, id));
        }
    }

    /// Ends those, and drops scopes, that have not been polled for since a time. Gives who has ended.
    pub fn expire(&mut self, before: f64) -> Vec<Id> {
        for session in self.sessions.values_mut() {
            session.scopes.retain(|_, subscription| subscription.polled_at >= before);
        }
        let ended = |(id, session): (Id, &Session)| (session.polled_at < before).then_some(id);
        let ended: Vec<Id> = self.iter().filter_map(ended).collect();
        ended.iter().for_each(|&id| self.close(id));
        ended
    }

    /// One is to be served by then, or earlier where that was said before.
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

    /// The next one that is to be served by now.
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

    /// When the next one is to be served; infinity where none is.
    pub fn due(&self) -> f64 {
        // Rounded up, so that it is due by then.
        self.queue.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0)
    }
}
