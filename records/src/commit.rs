//! Group commit: decides when the journal is synced, and which entries are stored. The caller does the I/O. Entries are
//! named by their numbers, times are in milliseconds.
//!
//! Report each write with [`GroupCommit::record_write`], and hold back answers that depend on it until
//! [`GroupCommit::stored`] covers their entries. One sync covers everything written before it started, and starts at the
//! latest when the first unsynced entry has waited for `max_delay`.

use serde::{Deserialize, Serialize};

use crate::entry::Stored;

/// What the answer that establishes a call waits for. This is the setting `promise`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Durability {
    /// It waits until its entry is synced to disk. Stored entries survive a power cut.
    #[default]
    Synced,
    /// It waits until its entry is written to the operating system. Stored entries survive a crash of the process, but
    /// not a power cut.
    Written,
    /// It does not wait, and calls are accepted even if the disk fails.
    #[serde(rename = "loose")]
    Unconfirmed,
}

/// The state of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskHealth {
    /// Writes and syncs succeed in time.
    Healthy,
    /// The current sync takes longer than a sync should.
    Slow,
    /// The last write or sync failed, for example on a full or read-only disk.
    WriteFailing,
}

/// Whether a call that arrives now is accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It can be recorded as the durability requires.
    Accept,
    /// It could not be recorded as the durability requires. The caller may retry after `retry_after` milliseconds.
    Refuse {
        /// In milliseconds.
        retry_after: f64,
    },
}

/// The state of the journal's writes and syncs.
pub struct GroupCommit {
    durability: Durability,
    max_delay: f64,
    /// How long a sync may take before the disk counts as slow.
    sync_timeout: f64,
    written: u64,
    synced: u64,
    /// The sync in progress: the position that it covers, and since when.
    sync_in_progress: Option<(u64, f64)>,
    /// When the first entry was written that no sync covers yet.
    first_unsynced_at: Option<f64>,
    write_failing: bool,
}

impl GroupCommit {
    /// `max_delay` is how long an entry may wait for others to share a sync, `sync_timeout` how long a sync may take
    /// before new calls are refused, both in milliseconds.
    pub fn new(durability: Durability, max_delay: f64, sync_timeout: f64) -> Self {
        Self {
            durability,
            max_delay,
            sync_timeout,
            written: 0,
            synced: 0,
            sync_in_progress: None,
            first_unsynced_at: None,
            write_failing: false,
        }
    }

    /// Records that all entries up to a number were written to the operating system.
    pub fn record_write(&mut self, now: f64, through: u64) {
        self.write_failing = false;
        if through > self.written {
            self.written = through;
            self.first_unsynced_at.get_or_insert(now);
        }
    }

    /// Records that a write or sync failed. Nothing unsynced counts as kept, and the sync in progress is dropped.
    pub fn disk_failed(&mut self) {
        (self.write_failing, self.sync_in_progress) = (true, None);
    }

    /// The entries that are stored as the durability requires, whatever state the disk is in.
    pub fn stored(&self) -> Stored {
        let through = match self.durability {
            Durability::Synced => self.synced,
            Durability::Written => self.written,
            Durability::Unconfirmed => u64::MAX,
        };
        Stored { through, lost_through: 0 }
    }

    /// When the next sync has to start. There is never more than one at a time.
    pub fn due(&self) -> f64 {
        if self.sync_in_progress.is_some() {
            return f64::INFINITY;
        }
        self.first_unsynced_at.map_or(f64::INFINITY, |first_unsynced_at| first_unsynced_at + self.max_delay)
    }

    /// Records that a sync starts now, covering everything written so far.
    pub fn sync_started(&mut self, now: f64) {
        self.sync_in_progress = Some((self.written, now));
        self.first_unsynced_at = None;
    }

    /// Records that the sync has succeeded.
    pub fn sync_finished(&mut self) {
        if let Some((end, _)) = self.sync_in_progress.take() {
            self.synced = self.synced.max(end);
        }
    }

    /// The state of the disk at `now`.
    pub fn health(&self, now: f64) -> DiskHealth {
        let slow = self.sync_in_progress.is_some_and(|(_, since)| now - since > self.sync_timeout);
        match (self.write_failing, slow) {
            (true, _) => DiskHealth::WriteFailing,
            (false, true) => DiskHealth::Slow,
            _ => DiskHealth::Healthy,
        }
    }

    /// Whether a call that arrives now is accepted: not if it could not be recorded as the durability requires.
    pub fn admit(&self, now: f64) -> Admission {
        match (self.health(now), self.durability) {
            (DiskHealth::Healthy, _)
            | (_, Durability::Unconfirmed)
            | (DiskHealth::Slow, Durability::Written) => Admission::Accept,
            // By then a slow sync has finished, or the disk has been tried again.
            _ => Admission::Refuse { retry_after: self.sync_timeout },
        }
    }
}
