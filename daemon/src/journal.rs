//! The journal of call records on disk. Each process writes segments of its own and never appends to those of
//! a previous process, so that a torn tail stays where it is. `records::store` decides what is written, when it
//! is synced, and what is written again after a failure.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use records::commit::Admission;
use records::entry::{Author, Entry, NumberedEntry, Stored};
use records::journal;
use records::store::{DiskJob, EntryStore, SegmentNumber, StoreTerms};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::durable_files;
use crate::journal_disk::{DiskThread, JobResult, JournalFolder, Segment, SegmentFolder};
use crate::settings::RecordsSettings;

/// The journal of one process.
pub struct Journal {
    store: EntryStore,
    segments: BTreeMap<SegmentNumber, Arc<dyn Segment>>,
    disk: DiskThread,
}

impl Journal {
    /// Opens this process's journal in the folder of its settings. Results sent to `results` must be passed to
    /// [`Journal::job_finished`].
    pub fn open(
        settings: &RecordsSettings,
        author: Author,
        now: f64,
        results: mpsc::Sender<JobResult>,
    ) -> io::Result<Self> {
        durable_files::create_dir_all(&settings.folder)?;
        let folder = JournalFolder { path: settings.folder.clone(), generation: author.generation };
        Self::start(folder, author, settings.store, now, results)
    }

    /// Starts the first segment, and waits for it: a disk that fails from the start is reported before any call
    /// is accepted.
    pub fn start(
        folder: impl SegmentFolder,
        author: Author,
        terms: StoreTerms,
        now: f64,
        results: mpsc::Sender<JobResult>,
    ) -> io::Result<Self> {
        let mut store = EntryStore::new(author, terms);
        let mut segments = BTreeMap::new();
        if let Some(DiskJob::StartSegment { number, contents }) = store.next_job(now) {
            segments.insert(number, folder.create(number, &contents)?);
            store.job_finished(now, true);
        }
        Ok(Self { store, segments, disk: DiskThread::start(folder, results)? })
    }

    /// Writes entries, together with those that are still to be written.
    pub fn write(&mut self, now: f64, entries: impl Iterator<Item = NumberedEntry>) {
        entries.for_each(|entry| self.store.push(&entry));
        let Some((number, bytes)) = self.store.unwritten() else { return };
        let result = self.segments[&number].append(bytes);
        self.store.write_finished(now, result.is_ok());
        self.log_failure("records.unwritten", &result);
    }

    /// Starts a job if one is due.
    pub fn turn(&mut self, now: f64) {
        match self.store.next_job(now) {
            None => {}
            Some(DiskJob::Sync { segments }) => {
                self.disk.sync(segments.iter().map(|number| self.segments[number].clone()).collect());
            }
            Some(DiskJob::StartSegment { number, contents }) => self.disk.start_segment(number, contents),
        }
    }

    /// Records the result of a job.
    pub fn job_finished(&mut self, now: f64, result: JobResult) {
        let (event, result) = match result {
            JobResult::Synced(result) => ("records.unsynced", result),
            JobResult::Started(number, result) => {
                let result = result.map(|segment| drop(self.segments.insert(number, segment)));
                ("records.unwritten", result)
            }
        };
        self.store.job_finished(now, result.is_ok());
        self.segments.retain(|&number, _| self.store.uses_segment(number));
        self.log_failure(event, &result);
    }

    fn log_failure(&self, event: &str, result: &io::Result<()>) {
        if let Err(error) = result {
            tracing::error!(lost = self.store.lost(), "{event}: {error}");
        }
    }

    /// Returns the time of the next turn.
    pub fn due(&self) -> f64 {
        self.store.due()
    }

    /// Returns which entries are stored as the configured durability requires.
    pub fn stored(&self) -> Stored {
        self.store.stored()
    }

    /// Whether a conversation that arrives now can be recorded with the configured durability.
    pub fn admit(&self, now: f64) -> Admission {
        self.store.admit(now)
    }

    /// Syncs all entries of this process that are not synced yet, and retries while the disk fails.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `timeout`.
    pub async fn finish(
        &mut self,
        clock: &Clock,
        results: &mut mpsc::Receiver<JobResult>,
        timeout: Duration,
    ) -> Result<(), LastSyncTimeout> {
        let deadline = clock.now() + timeout.as_secs_f64() * 1000.0;
        while !self.store.is_synced() {
            let now = clock.now();
            if now >= deadline {
                return Err(LastSyncTimeout(timeout));
            }
            self.write(now, std::iter::empty());
            self.turn(now);
            let wait = Duration::from_secs_f64((self.due().min(deadline) - now).max(0.0) / 1000.0);
            tokio::select! {
                Some(result) = results.recv() => self.job_finished(clock.now(), result),
                () = tokio::time::sleep(wait) => {}
            }
        }
        Ok(())
    }
}

/// The last entries of a process may not be on disk.
#[derive(Debug, Error)]
#[error("the last entries were not synced within {0:?}")]
pub struct LastSyncTimeout(Duration);

/// Lists all segments in some folders, each folder's in the order in which they were written.
pub fn segments(folders: &[PathBuf]) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for folder in folders {
        let mut files = Vec::new();
        for file in fs::read_dir(folder)? {
            let path = file?.path();
            if path.extension().is_some_and(|extension| extension == "journal") {
                files.push(path);
            }
        }
        files.sort();
        paths.extend(files);
    }
    Ok(paths)
}

/// Reads the valid entries of a segment, and prints where it is damaged.
pub fn read(segment: &Path) -> io::Result<Vec<Entry>> {
    let contents = journal::read(&fs::read(segment)?);
    for damage in &contents.damage {
        let kind = if damage.torn { "torn tail" } else { "damage" };
        eprintln!("{}: {kind} at byte {}, {} bytes", segment.display(), damage.offset, damage.bytes);
    }
    Ok(contents.entries)
}
