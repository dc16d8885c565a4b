//! Group commit: decides when the journal is synced, when a segment is started, and which entries are stored. The caller
//! does the I/O. Entries are named by their numbers, times are in milliseconds.
//!
//! Report each write with [`GroupCommit::record_write`] or [`GroupCommit::write_failed`]. Do each job of
//! [`GroupCommit::next_job`], of which there is never more than one at a time, and report its result with
//! [`GroupCommit::job_finished`]. A sync covers everything written before it started, and starts at the latest when the
//! first unsynced entry has waited for `max_delay`. After a failed write or sync nothing more goes to that segment: what no
//! successful sync covers is written again to another one.

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

/// A slow operation on the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// Sync all segments with entries that are written and not synced.
    Sync,
    /// Start the next segment, as the current one is full.
    NextSegment,
    /// Start a segment with all entries that no sync covers, as the current one has failed.
    Rewrite,
}

/// The job in progress.
#[derive(Clone, Copy)]
struct RunningJob {
    job: Job,
    since: f64,
    /// The entries that are stored once it has succeeded.
    through: u64,
}

/// The segment that entries are written to.
#[derive(Clone, Copy, PartialEq)]
enum Segment {
    Usable,
    /// It has reached its size; entries are still written to it until the next one is started.
    Full {
        start_next_at: f64,
    },
    /// A write or sync has failed; nothing more is written to it.
    Failed {
        rewrite_at: f64,
    },
}

/// The state of the journal's writes and syncs.
pub struct GroupCommit {
    durability: Durability,
    max_delay: f64,
    /// How long a job may take before the disk counts as slow.
    sync_timeout: f64,
    segment: Segment,
    /// All entries up to this number were written to segments that have not failed.
    written: u64,
    synced: u64,
    /// Entries up to this number may have been lost.
    lost_through: u64,
    running: Option<RunningJob>,
    /// When the first entry was written that no sync covers yet.
    first_unsynced_at: Option<f64>,
}

impl GroupCommit {
    /// `max_delay` is how long an entry may wait for others to share a sync, `sync_timeout` how long a job may take before
    /// new calls are refused, both in milliseconds. The first segment is not started yet.
    pub fn new(durability: Durability, max_delay: f64, sync_timeout: f64) -> Self {
        Self {
            durability,
            max_delay,
            sync_timeout,
            segment: Segment::Failed { rewrite_at: f64::NEG_INFINITY },
            written: 0,
            synced: 0,
            lost_through: 0,
            running: None,
            first_unsynced_at: None,
        }
    }

    /// Whether entries can be written to the current segment.
    pub fn is_writable(&self) -> bool {
        !matches!(self.segment, Segment::Failed { .. })
    }

    /// Records that all entries up to a number were written to the current segment.
    pub fn record_write(&mut self, now: f64, through: u64) {
        self.written = through;
        self.first_unsynced_at.get_or_insert(now);
    }

    /// Records that a write has failed. What no sync covers must be written again; a sync in progress still counts for
    /// what was written before it started.
    pub fn write_failed(&mut self, now: f64) {
        self.abandon_segment(now);
    }

    /// Records that entries up to a number were lost: they are neither written nor kept in memory.
    pub fn entries_lost(&mut self, through: u64) {
        self.lost_through = self.lost_through.max(through);
    }

    /// Records that the current segment has reached its size.
    pub fn segment_full(&mut self, now: f64) {
        if self.segment == Segment::Usable {
            self.segment = Segment::Full { start_next_at: now };
        }
    }

    /// The entries that are stored as the durability requires, whatever state the disk is in.
    pub fn stored(&self) -> Stored {
        let (through, lost_through) = match self.durability {
            Durability::Synced => (self.synced, self.lost_through),
            Durability::Written => (self.written, self.lost_through),
            Durability::Unconfirmed => (u64::MAX, 0),
        };
        Stored { through, lost_through }
    }

    /// All entries up to this number were synced, apart from lost ones.
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// The job that starts now, if one is due; `last_entry` is the number of the latest entry.
    pub fn next_job(&mut self, now: f64, last_entry: u64) -> Option<Job> {
        if self.due() > now {
            return None;
        }
        let (job, through) = match self.segment {
            Segment::Failed { .. } => (Job::Rewrite, last_entry),
            Segment::Full { start_next_at } if start_next_at <= now => (Job::NextSegment, 0),
            Segment::Full { .. } | Segment::Usable => (Job::Sync, self.written),
        };
        if job == Job::Sync {
            self.first_unsynced_at = None;
        }
        self.running = Some(RunningJob { job, since: now, through });
        Some(job)
    }

    /// When [`GroupCommit::next_job`] has a job.
    pub fn due(&self) -> f64 {
        if self.running.is_some() {
            return f64::INFINITY;
        }
        let sync_at = self.first_unsynced_at.map_or(f64::INFINITY, |since| since + self.max_delay);
        match self.segment {
            Segment::Failed { rewrite_at } => rewrite_at,
            Segment::Full { start_next_at } => sync_at.min(start_next_at),
            Segment::Usable => sync_at,
        }
    }

    /// Records the result of the job in progress; returns the job, or none if there was none.
    pub fn job_finished(&mut self, now: f64, succeeded: bool) -> Option<Job> {
        let RunningJob { job, through, .. } = self.running.take()?;
        let retry_at = now + self.sync_timeout;
        match (job, succeeded) {
            (Job::Sync, true) => {
                self.synced = through;
                self.written = self.written.max(through);
            }
            (Job::Sync, false) => self.abandon_segment(now),
            (Job::Rewrite, true) => {
                self.segment = Segment::Usable;
                (self.written, self.synced) = (through, through);
            }
            (Job::Rewrite, false) => self.segment = Segment::Failed { rewrite_at: retry_at },
            // A write may have failed meanwhile; then the new segment is replaced too.
            (Job::NextSegment, true) if self.is_writable() => self.segment = Segment::Usable,
            (Job::NextSegment, false) if self.is_writable() => {
                self.segment = Segment::Full { start_next_at: retry_at };
            }
            (Job::NextSegment, _) => {}
        }
        Some(job)
    }

    /// Nothing of the segment counts as written any more except what a sync covers.
    fn abandon_segment(&mut self, now: f64) {
        if self.is_writable() {
            self.segment = Segment::Failed { rewrite_at: now };
        }
        self.first_unsynced_at = None;
        self.written = self.synced;
    }

    /// The state of the disk at `now`.
    pub fn health(&self, now: f64) -> DiskHealth {
        if !self.is_writable() {
            return DiskHealth::WriteFailing;
        }
        match self.running {
            Some(running) if now - running.since > self.sync_timeout => DiskHealth::Slow,
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
