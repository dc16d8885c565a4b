//! The entries of one journal on their way to disk, without I/O: what is to be written, and what is kept in memory until a
//! successful sync covers it, so that it can be written again after a failure.
//!
//! Pass entries to [`EntryStore::push`]. In each turn write [`EntryStore::unwritten`] and report the result with
//! [`EntryStore::write_finished`]; then do [`EntryStore::next_job`], whose result goes to [`EntryStore::job_finished`].

use std::collections::BTreeSet;

use crate::commit::{Admission, DiskHealth, Durability, GroupCommit, Job};
use crate::entry::{Author, Entry, NumberedEntry, Stored};
use crate::journal;

/// Bytes of entries kept for another write; further entries are lost if the current segment fails.
pub const MAX_KEPT_BYTES: usize = 4 << 20;

/// How a journal is stored.
#[derive(Clone, Copy, Debug)]
pub struct StoreTerms {
    /// What an answer waits for.
    pub durability: Durability,
    /// How long an entry waits for others to share a sync, in milliseconds.
    pub max_sync_delay: f64,
    /// A job that takes longer counts as a failure of the disk, in milliseconds.
    pub max_sync_time: f64,
    /// The size at which the next segment is started, in bytes.
    pub max_segment_bytes: u64,
}

/// The number of a segment within its generation, from 1.
pub type SegmentNumber = u32;

/// A slow operation for the caller to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskJob {
    /// Sync these segments. It succeeds if all of them are synced.
    Sync {
        /// Those that were written to since their last sync started.
        segments: Vec<SegmentNumber>,
    },
    /// Create a segment with these contents, and sync it and its folder. On success it is the current one.
    StartSegment {
        /// The number of the new segment.
        number: SegmentNumber,
        /// Its first bytes.
        contents: Vec<u8>,
    },
}

/// Unsynced entries that are lost if their segment fails.
#[derive(Clone, Copy)]
struct NotKept {
    /// The number of the last one.
    through: u64,
    count: u64,
}

/// The entries of one journal that are not known to be on disk.
pub struct EntryStore {
    author: Author,
    max_segment_bytes: u64,
    commit: GroupCommit,
    /// The number of the latest entry.
    last_entry: u64,
    /// Framed entries for the current segment.
    unwritten: Vec<u8>,
    /// Framed entries that no successful sync covers.
    kept: Vec<u8>,
    /// How much of `kept` the job in progress covers.
    covered_by_job: usize,
    /// Entries that were written but did not fit into `kept`.
    not_kept: Option<NotKept>,
    /// The current segment; 0 before the first one.
    segment: SegmentNumber,
    /// The latest segment that was started, or tried to be.
    latest_segment: SegmentNumber,
    /// Segments that were written to since their last sync started.
    unsynced_segments: BTreeSet<SegmentNumber>,
    /// The segments of the sync in progress.
    syncing_segments: BTreeSet<SegmentNumber>,
    /// The size of the current segment.
    segment_bytes: u64,
    /// The size of the segment that the job in progress starts.
    starting_bytes: u64,
    lost: u64,
}

impl EntryStore {
    /// Creates the store of a generation. Its first job starts the first segment.
    pub fn new(author: Author, terms: StoreTerms) -> Self {
        Self {
            author,
            max_segment_bytes: terms.max_segment_bytes,
            commit: GroupCommit::new(terms.durability, terms.max_sync_delay, terms.max_sync_time),
            last_entry: 0,
            unwritten: Vec::new(),
            kept: Vec::new(),
            covered_by_job: 0,
            not_kept: None,
            segment: 0,
            latest_segment: 0,
            unsynced_segments: BTreeSet::new(),
            syncing_segments: BTreeSet::new(),
            segment_bytes: 0,
            starting_bytes: 0,
            lost: 0,
        }
    }

    /// Adds the next entry.
    pub fn push(&mut self, entry: &NumberedEntry) {
        self.last_entry = entry.number;
        let mut frame = Vec::new();
        journal::write(&mut frame, &entry.entry);
        let fits = self.kept.len() + frame.len() <= MAX_KEPT_BYTES;
        if fits {
            self.kept.extend(&frame);
        }
        if self.commit.is_writable() {
            self.unwritten.extend(&frame);
        }
        if !fits {
            let count = self.not_kept.map_or(0, |not_kept| not_kept.count) + 1;
            self.not_kept = Some(NotKept { through: entry.number, count });
        }
        if !self.commit.is_writable() {
            self.lose_entries_not_kept();
        }
    }

    /// The segment to write to now, and the bytes; none if there is nothing to write, or no segment to write it to.
    pub fn unwritten(&self) -> Option<(SegmentNumber, &[u8])> {
        (!self.unwritten.is_empty()).then_some((self.segment, &self.unwritten))
    }

    /// Reports whether [`EntryStore::unwritten`] was written as a whole.
    pub fn write_finished(&mut self, now: f64, succeeded: bool) {
        let bytes = std::mem::take(&mut self.unwritten).len();
        if !succeeded {
            self.commit.write_failed(now);
            return self.forget_segment();
        }
        self.unsynced_segments.insert(self.segment);
        self.commit.record_write(now, self.last_entry);
        self.segment_bytes += bytes as u64;
        if self.segment_bytes >= self.max_segment_bytes {
            self.commit.segment_full(now);
        }
    }

    /// The job that starts now, if one is due: none before [`EntryStore::unwritten`] is written, and never more than one
    /// at a time.
    pub fn next_job(&mut self, now: f64) -> Option<DiskJob> {
        if !self.unwritten.is_empty() {
            return None;
        }
        let job = self.commit.next_job(now, self.last_entry)?;
        self.covered_by_job = if job == Job::NextSegment { 0 } else { self.kept.len() };
        if job == Job::Sync {
            self.syncing_segments = std::mem::take(&mut self.unsynced_segments);
            return Some(DiskJob::Sync { segments: self.syncing_segments.iter().copied().collect() });
        }
        let mut contents = self.segment_head();
        contents.extend(&self.kept[..self.covered_by_job]);
        self.starting_bytes = contents.len() as u64;
        self.latest_segment += 1;
        Some(DiskJob::StartSegment { number: self.latest_segment, contents })
    }

    /// Reports the result of the job in progress.
    pub fn job_finished(&mut self, now: f64, succeeded: bool) {
        let Some(job) = self.commit.job_finished(now, succeeded) else { return };
        let covered = std::mem::take(&mut self.covered_by_job);
        self.syncing_segments.clear();
        match (job, succeeded) {
            (Job::Sync, true) => {
                self.kept.drain(..covered);
                let synced = self.commit.synced();
                self.not_kept = self.not_kept.filter(|not_kept| not_kept.through > synced);
            }
            (Job::Sync, false) => self.forget_segment(),
            (Job::Rewrite, true) => {
                self.kept.drain(..covered);
                self.use_started_segment();
                // What came meanwhile is still to be written.
                self.unwritten.clone_from(&self.kept);
            }
            (Job::NextSegment, true) => self.use_started_segment(),
            (Job::Rewrite | Job::NextSegment, false) => {}
        }
    }

    /// Whether the segment may still be written to or synced.
    pub fn uses_segment(&self, number: SegmentNumber) -> bool {
        number == self.segment
            || self.unsynced_segments.contains(&number)
            || self.syncing_segments.contains(&number)
    }

    fn use_started_segment(&mut self) {
        (self.segment, self.segment_bytes) = (self.latest_segment, self.starting_bytes);
    }

    /// Nothing more is written to or expected of the current segment and earlier ones, as a write or sync has failed.
    fn forget_segment(&mut self) {
        self.unwritten.clear();
        self.unsynced_segments.clear();
        self.lose_entries_not_kept();
    }

    /// The entry that every segment begins with.
    fn segment_head(&self) -> Vec<u8> {
        let mut head = Vec::new();
        journal::write(&mut head, &Entry::GenerationStarted(self.author.clone()));
        head
    }

    /// Counts the entries as lost that the failed segment alone had.
    fn lose_entries_not_kept(&mut self) {
        if let Some(NotKept { through, count }) = self.not_kept.take() {
            self.lost += count;
            self.commit.entries_lost(through);
        }
    }

    /// When [`EntryStore::next_job`] has a job.
    pub fn due(&self) -> f64 {
        self.commit.due()
    }

    /// Which entries are stored as the durability requires.
    pub fn stored(&self) -> Stored {
        self.commit.stored()
    }

    /// Whether all entries are synced.
    pub fn is_synced(&self) -> bool {
        self.kept.is_empty() && self.not_kept.is_none()
    }

    /// How many entries were lost.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// The state of the disk at `now`.
    pub fn health(&self, now: f64) -> DiskHealth {
        self.commit.health(now)
    }

    /// Whether a conversation that arrives now can be recorded with the configured durability.
    pub fn admit(&self, now: f64) -> Admission {
        self.commit.admit(now)
    }
}
