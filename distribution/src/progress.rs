//! Progress of changes, for operators. It shows what subscribers report: that a change is in force at them.
//! Only their central servers see whether they actually apply it.

use std::collections::VecDeque;

use agree::Id;

use crate::Version;
use crate::entry::{Change, Key};
use crate::scope::Scope;
use crate::sessions::Sessions;

/// Maximum number of tracked changes; older ones are forgotten.
const MAX_TRACKED_CHANGES: usize = 256;
/// Maximum number of subscribers named as missing a change.
const MAX_NAMED_SUBSCRIBERS: usize = 8;

/// A subscriber that is missing a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingSubscriber {
    /// The subscriber.
    pub id: Id,
    /// Milliseconds since its last poll, which distinguishes a subscriber that is gone from a slow one.
    pub silent_ms: f64,
    /// Milliseconds for which it has been missing the change: since the change, or since the subscriber
    /// connected if that was later.
    pub since_ms: f64,
}

/// Progress of a change among the subscribers of one control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeProgress {
    /// The scope of the key.
    pub scope: Scope,
    /// The key that changed.
    pub key: Key,
    /// The decision that changed it.
    pub version: Version,
    /// Whether the entry was removed.
    pub removed: bool,
    /// Milliseconds since the change was first served here.
    pub since_ms: f64,
    /// Subscribers of the scope that report it in force; nothing more is known of them.
    pub acknowledged: usize,
    /// Subscribers of the scope that do not report it.
    pub missing: usize,
    /// Some of those, longest missing first.
    pub longest_missing: Vec<MissingSubscriber>,
}

#[derive(Clone, Debug)]
struct TrackedChange {
    scope: Scope,
    key: Key,
    version: Version,
    removed: bool,
    served_at: f64,
}

/// The newest changes.
#[derive(Clone, Debug, Default)]
pub struct ChangeTracker {
    tracked: VecDeque<TrackedChange>,
}

impl ChangeTracker {
    /// Tracks a change that is served from now on.
    pub fn record(&mut self, change: &Change, now: f64) {
        let Change { scope, key, version, value } = change;
        let (scope, key, version) = (*scope, key.clone(), *version);
        self.tracked.push_back(TrackedChange {
            scope,
            key,
            version,
            removed: value.is_none(),
            served_at: now,
        });
        if self.tracked.len() > MAX_TRACKED_CHANGES {
            self.tracked.pop_front();
        }
    }

    /// Progress of each tracked change, the newest first.
    pub fn changes(&self, sessions: &Sessions, now: f64) -> Vec<ChangeProgress> {
        self.tracked.iter().rev().map(|tracked| tracked.progress(sessions, now)).collect()
    }
}

impl TrackedChange {
    fn progress(&self, sessions: &Sessions, now: f64) -> ChangeProgress {
        let (mut acknowledged, mut longest_missing) = (0, Vec::new());
        for (id, session) in sessions.iter() {
            match session.has(self.scope, self.version) {
                Some(true) => acknowledged += 1,
                Some(false) => longest_missing.push(MissingSubscriber {
                    id,
                    silent_ms: now - session.polled_at,
                    since_ms: now - self.served_at.max(session.started_at),
                }),
                None => {}
            }
        }
        let missing = longest_missing.len();
        longest_missing.sort_by(|a, b| b.since_ms.total_cmp(&a.since_ms).then(a.id.cmp(&b.id)));
        longest_missing.truncate(MAX_NAMED_SUBSCRIBERS);
        let (scope, key, version, removed) = (self.scope, self.key.clone(), self.version, self.removed);
        ChangeProgress {
            scope,
            key,
            version,
            removed,
            since_ms: now - self.served_at,
            acknowledged,
            missing,
            longest_missing,
        }
    }
}
