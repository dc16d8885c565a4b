//! How far changes have come, for operators. What is told is what subscribers say: that a change is in force
//! at them. Whether they obey it nobody but their central servers sees.

use std::collections::VecDeque;

use agree::Id;

use crate::Version;
use crate::entry::{Change, Key};
use crate::scope::Scope;
use crate::sessions::Sessions;

/// Changes that are shown; older ones are forgotten.
const MAX_TRACKED_CHANGES: usize = 256;
/// Subscribers that are named as lacking a change.
const MAX_NAMED_SUBSCRIBERS: usize = 8;

/// A subscriber that lacks a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingSubscriber {
    /// Who.
    pub id: Id,
    /// Milliseconds since it polled last: one that is gone is told from one that is slow.
    pub silent_ms: f64,
    /// Milliseconds for which it has lacked the change: since the change, or since it came if that was later.
    pub since_ms: f64,
}

/// How far a change has come among the subscribers of one control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeProgress {
    /// Where the key belongs.
    pub scope: Scope,
    /// Which entry.
    pub key: Key,
    /// The decision that changed it.
    pub version: Version,
    /// Whether it was removed.
    pub removed: bool,
    /// Milliseconds since the change was served here first.
    pub since_ms: f64,
    /// Subscribers of the scope that say they have it in force: no more than that is known.
    pub acknowledged: usize,
    /// Subscribers of the scope that do not say so.
    pub missing: usize,
    /// Some of these, those that have lacked it for longest first.
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
    /// A change is served from now on.
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

    /// How far each has come, the newest first.
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
