//! A file that follows a state in memory. It is replaced on a blocking thread, so that a slow disk does not delay the
//! proxy's loop, and synced, so that a power cut leaves one whole state, though perhaps an older one.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::durable_files;

/// What is to be written.
#[derive(Default)]
struct Pending {
    /// The newest contents that were not written yet.
    contents: Option<Vec<u8>>,
    /// Whether a thread is writing, which takes further contents too.
    is_writing: bool,
}

/// The file.
pub struct SavedFile {
    path: PathBuf,
    /// The event that is logged when a write fails.
    failure_event: &'static str,
    pending: Arc<Mutex<Pending>>,
    writer: Option<JoinHandle<()>>,
}

impl SavedFile {
    /// A file at `path`; failed writes are logged as `failure_event`.
    pub fn new(path: PathBuf, failure_event: &'static str) -> Self {
        Self { path, failure_event, pending: Arc::default(), writer: None }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes contents as soon as earlier ones are written. Contents that newer ones overtake are not written.
    pub fn save(&mut self, contents: Vec<u8>) {
        let mut pending = self.pending.lock().expect("no writer panics");
        pending.contents = Some(contents);
        if std::mem::replace(&mut pending.is_writing, true) {
            return;
        }
        drop(pending);
        let (path, failure_event, pending) = (self.path.clone(), self.failure_event, self.pending.clone());
        self.writer = Some(tokio::task::spawn_blocking(move || {
            while let Some(contents) = take_contents(&pending) {
                if let Err(error) = durable_files::replace(&path, &contents) {
                    tracing::warn!(file = %path.display(), "{failure_event}: {error}");
                }
            }
        }));
    }

    /// Waits until everything is written, for at most `timeout`; returns whether it is.
    pub async fn finish(&mut self, timeout: Duration) -> bool {
        let Some(writer) = self.writer.take() else { return true };
        let is_finished = tokio::time::timeout(timeout, writer).await.is_ok();
        if !is_finished {
            let failure_event = self.failure_event;
            tracing::warn!(file = %self.path.display(), "{failure_event}: not within {timeout:?}");
        }
        is_finished
    }
}

/// Takes the next contents to write; none ends the writing.
fn take_contents(pending: &Mutex<Pending>) -> Option<Vec<u8>> {
    let mut pending = pending.lock().expect("no writer panics");
    let contents = pending.contents.take();
    pending.is_writing = contents.is_some();
    contents
}
