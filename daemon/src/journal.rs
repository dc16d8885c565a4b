//! The journal of call records on disk. Each process writes segments of its own and never appends to those of
//! a previous process, so that a torn tail stays where it is. `records::commit` decides when to sync and what
//! waits for it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use records::commit::{Admission, GroupCommit};
use records::entry::{Author, Entry, NumberedEntry, Stored};
use records::journal;
use tokio::sync::mpsc;

use crate::settings::RecordsSettings;

/// Bytes of entries kept for another try after a failed write; further entries are counted as lost.
const MAX_PENDING_BYTES: usize = 4 << 20;

/// The journal of one process.
pub struct Journal {
    folder: PathBuf,
    author: Author,
    max_segment_bytes: u64,
    segment: Option<Arc<File>>,
    number: u32,
    size: u64,
    pending: Vec<u8>,
    /// The number of the latest entry.
    last_entry: u64,
    lost: u64,
    commit: GroupCommit,
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
        let commit = GroupCommit::new(settings.durability, settings.max_sync_delay, settings.max_sync_time);
        let mut journal = Self {
            folder: settings.folder.clone(),
            author,
            max_segment_bytes: settings.segment_bytes,
            segment: None,
            number: 0,
            size: 0,
            pending: Vec::new(),
            last_entry: 0,
            lost: 0,
            commit,
            sync_results,
        };
        // A disk that fails from the start is reported before any call is accepted.
        journal.write(now, std::iter::empty());
        match journal.commit.admit(now) {
            Admission::Accept => Ok(journal),
            Admission::Refuse { .. } => Err(io::Error::other("the first segment can't be written")),
        }
    }

    /// Returns the current segment, or starts the next if it is full.
    fn open_segment(&mut self) -> io::Result<Arc<File>> {
        if let Some(segment) = self.segment.as_ref().filter(|_| self.size < self.max_segment_bytes) {
            return Ok(segment.clone());
        }
        if let Some(full) = self.segment.take() {
            full.sync_data()?;
        }
        self.number += 1;
        let name = format!("{:016x}-{:06}.journal", self.author.generation, self.number);
        let file = OpenOptions::new().create_new(true).append(true).open(self.folder.join(name))?;
        let mut head = Vec::new();
        journal::write(&mut head, &Entry::GenerationStarted(self.author.clone()));
        (&file).write_all(&head)?;
        // The folder is synced too: otherwise a power loss could remove the whole segment.
        File::open(&self.folder)?.sync_all()?;
        self.size = head.len() as u64;
        let file = Arc::new(file);
        self.segment = Some(file.clone());
        Ok(file)
    }

    /// Writes entries, together with those whose write failed before.
    pub fn write(&mut self, now: f64, entries: impl Iterator<Item = NumberedEntry>) {
        for NumberedEntry { number, entry } in entries {
            self.last_entry = number;
            if self.pending.len() < MAX_PENDING_BYTES {
                journal::write(&mut self.pending, &entry);
            } else {
                self.lost += 1;
            }
        }
        if self.pending.is_empty() && self.segment.is_some() {
            return;
        }
        match self.open_segment().and_then(|file| (&*file).write_all(&self.pending)) {
            Ok(()) => {
                self.size += self.pending.len() as u64;
                self.commit.record_write(now, self.last_entry);
                self.pending.clear();
            }
            Err(error) => {
                tracing::error!(lost = self.lost, "records.unwritten: {error}");
                self.commit.disk_failed();
                // Entries that may be half written are written again whole, in another segment.
                self.segment = None;
            }
        }
    }

    /// Starts a sync if one is due.
    pub fn turn(&mut self, now: f64) {
        let Some(segment) = self.segment.clone().filter(|_| self.commit.due() <= now) else { return };
        self.commit.sync_started(now);
        let sync_results = self.sync_results.clone();
        tokio::task::spawn_blocking(move || {
            let _ = sync_results.blocking_send(segment.sync_data());
        });
    }

    /// Records the result of a sync.
    pub fn sync_completed(&mut self, result: io::Result<()>) {
        match result {
            Ok(()) => self.commit.sync_finished(),
            Err(error) => {
                tracing::error!("records.unsynced: {error}");
                self.commit.disk_failed();
                self.segment = None;
            }
        }
    }

    /// Returns the time of the next turn.
    pub fn due(&self) -> f64 {
        self.commit.due()
    }

    /// Returns which entries are stored as the configured durability requires.
    pub fn stored(&self) -> Stored {
        self.commit.stored()
    }

    /// Whether a conversation that arrives now can be recorded with the configured durability.
    pub fn admit(&self, now: f64) -> Admission {
        self.commit.admit(now)
    }

    /// Writes and syncs the last entries of this process before it returns.
    pub fn finish(&mut self, now: f64, entries: impl Iterator<Item = NumberedEntry>) {
        self.write(now, entries);
        if let Some(Err(error)) = self.segment.as_ref().map(|segment| segment.sync_data()) {
            tracing::error!("records.unsynced: {error}");
        }
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
