//! Files of the records' journal, and the thread that does the slow work on them. So a disk that is slow or hangs
//! delays neither the proxy's loop nor the end of its process.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Arc, mpsc as thread_mpsc};
use std::thread;

use records::store::SegmentNumber;
use tokio::sync::mpsc;

use crate::durable_files;

/// A segment of the journal.
pub trait Segment: Send + Sync {
    /// Writes bytes to its end, as a whole or with an error.
    fn append(&self, bytes: &[u8]) -> io::Result<()>;
    /// Syncs all that was written.
    fn sync(&self) -> io::Result<()>;
}

/// Creates the segments of one journal.
pub trait SegmentFolder: Send + 'static {
    /// Creates a segment with these contents. It survives a power cut.
    fn create(&self, number: SegmentNumber, contents: &[u8]) -> io::Result<Arc<dyn Segment>>;
}

impl Segment for File {
    fn append(&self, bytes: &[u8]) -> io::Result<()> {
        let mut file = self;
        file.write_all(bytes)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

/// The segments of one generation, as files of a folder.
pub struct JournalFolder {
    /// The folder, which exists.
    pub path: PathBuf,
    /// The generation that writes them.
    pub generation: u64,
}

impl SegmentFolder for JournalFolder {
    fn create(&self, number: SegmentNumber, contents: &[u8]) -> io::Result<Arc<dyn Segment>> {
        let path = self.path.join(format!("{:016x}-{number:06}.journal", self.generation));
        let file = OpenOptions::new().create_new(true).append(true).open(&path)?;
        // The folder is synced too: otherwise a power loss could remove the whole segment.
        let result = file
            .append(contents)
            .and_then(|()| file.sync_all())
            .and_then(|()| durable_files::sync_folder(&self.path));
        if let Err(error) = result {
            // The contents go to another segment; a full disk must not fill up with attempts.
            let _ = fs::remove_file(&path);
            return Err(error);
        }
        Ok(Arc::new(file))
    }
}

/// Work for the thread.
enum Work {
    Sync(Vec<Arc<dyn Segment>>),
    Start { number: SegmentNumber, contents: Vec<u8> },
}

/// The result of a job.
pub enum JobResult {
    /// A sync has ended.
    Synced(io::Result<()>),
    /// A segment was started, or could not be.
    Started(SegmentNumber, io::Result<Arc<dyn Segment>>),
}

/// The thread. It does one job after the other, and ends with its sender; nobody waits for it.
pub struct DiskThread(thread_mpsc::Sender<Work>);

impl DiskThread {
    /// Starts the thread, which sends the result of each job to `results`.
    pub fn start(folder: impl SegmentFolder, results: mpsc::Sender<JobResult>) -> io::Result<Self> {
        let (sender, work) = thread_mpsc::channel();
        thread::Builder::new().name("records".to_owned()).spawn(move || {
            for next in work {
                let result = match next {
                    Work::Sync(segments) => {
                        JobResult::Synced(segments.iter().try_for_each(|segment| segment.sync()))
                    }
                    Work::Start { number, contents } => {
                        JobResult::Started(number, folder.create(number, &contents))
                    }
                };
                if results.blocking_send(result).is_err() {
                    return;
                }
            }
        })?;
        Ok(Self(sender))
    }

    /// Syncs segments.
    pub fn sync(&self, segments: Vec<Arc<dyn Segment>>) {
        self.send(Work::Sync(segments));
    }

    /// Starts a segment.
    pub fn start_segment(&self, number: SegmentNumber, contents: Vec<u8>) {
        self.send(Work::Start { number, contents });
    }

    fn send(&self, work: Work) {
        self.0.send(work).expect("the thread runs as long as its results are read");
    }
}
