//! The journal of call records on disk. Each process writes segments of its own and never appends to those of
//! a previous process, so that a torn tail stays where it is. `records::store` decides what is written, when it
//! is synced, and what is written again after a failure.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use records::commit::Admission;
use records::entry::{Author, Entry, NumberedEntry, Stored};
use records::journal;
use records::store::{DiskJob, EntryStore, SegmentNumber};
use tokio::sync::mpsc;

use crate::settings::RecordsSettings;

/// The journal of one process.
pub struct Journal {
    folder: PathBuf,
    generation: u64,
    store: EntryStore,
    segments: BTreeMap<SegmentNumber, Arc<File>>,
    sync_results: mpsc::Sender<io::Result<()>>,
}

impl Journal {
    /// Opens this process's journal. Results sent to `sync_results` must be passed to
    /// [`Journal::sync_completed`].
    pub fn open(
        settings: &RecordsSettings,
        author: Author,
        now: f64,
        sync_results: mpsc::Sender<io::Result<()>>,
    ) -> io::Result<Self> {
        fs::create_dir_all(&settings.folder)?;
        let mut journal = Self {
            folder: settings.folder.clone(),
            generation: author.generation,
            store: EntryStore::new(author, settings.store),
            segments: BTreeMap::new(),
            sync_results,
        };
        // A disk that fails from the start is reported before any call is accepted.
        journal.turn(now);
        if journal.segments.is_empty() {
            return Err(io::Error::other("the first segment can't be written"));
        }
        Ok(journal)
    }

    /// Creates a segment and syncs it.
    fn create_segment(&self, number: SegmentNumber, contents: &[u8]) -> io::Result<File> {
        let name = format!("{:016x}-{number:06}.journal", self.generation);
        let file = OpenOptions::new().create_new(true).append(true).open(self.folder.join(name))?;
        (&file).write_all(contents)?;
        file.sync_all()?;
        // The folder is synced too: otherwise a power loss could remove the whole segment.
        File::open(&self.folder)?.sync_all()?;
        Ok(file)
    }

    /// Writes entries, together with those that are still to be written.
    pub fn write(&mut self, now: f64, entries: impl Iterator<Item = NumberedEntry>) {
        entries.for_each(|entry| self.store.push(&entry));
        let Some((number, bytes)) = self.store.unwritten() else { return };
        let result = (&*self.segments[&number]).write_all(bytes);
        self.store.write_finished(now, result.is_ok());
        self.log_failure("records.unwritten", &result);
    }

    /// Starts a job if one is due.
    pub fn turn(&mut self, now: f64) {
        match self.store.next_job(now) {
            None => {}
            Some(DiskJob::Sync { segments }) => {
                let files: Vec<_> = segments.iter().map(|number| self.segments[number].clone()).collect();
                let sync_results = self.sync_results.clone();
                tokio::task::spawn_blocking(move || {
                    let result = files.iter().try_for_each(|file| file.sync_data());
                    let _ = sync_results.blocking_send(result);
                });
            }
            Some(DiskJob::StartSegment { number, contents }) => {
                let result = self.create_segment(number, &contents).map(|file| {
                    self.segments.insert(number, Arc::new(file));
                });
                self.store.job_finished(now, result.is_ok());
                self.segments.retain(|&number, _| self.store.uses_segment(number));
                self.log_failure("records.unwritten", &result);
                // What came while the former segment had failed.
                self.write(now, std::iter::empty());
            }
        }
    }

    /// Records the result of a sync.
    pub fn sync_completed(&mut self, now: f64, result: io::Result<()>) {
        self.store.job_finished(now, result.is_ok());
        self.segments.retain(|&number, _| self.store.uses_segment(number));
        self.log_failure("records.unsynced", &result);
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

    /// Writes and syncs the last entries of this process before it returns.
    pub fn finish(&mut self, now: f64, entries: impl Iterator<Item = NumberedEntry>) {
        self.write(now, entries);
        let result = self.segments.values().try_for_each(|segment| segment.sync_data());
        self.log_failure("records.unsynced", &result);
    }
}

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
