//! The file that persists a council member's state. `agree::disk` defines its content; this module reads it
//! once, then writes and syncs what it is given on a blocking thread. A lock file beside it keeps a second
//! process out.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use agree::disk::{DiskWrite, PersistedState, RecoveryError, recover};
use anyhow::{Context, Result, bail};
use tokio::sync::mpsc;

use crate::durable_files;

/// The state file, locked by this process.
pub struct CouncilFile {
    path: PathBuf,
    file: Arc<Mutex<Option<File>>>,
    results: mpsc::Sender<io::Result<()>>,
    _lock: File,
}

impl CouncilFile {
    /// Locks and reads the file. The result of each later write is sent to `results`.
    pub fn open(
        path: &Path,
        results: mpsc::Sender<io::Result<()>>,
    ) -> Result<(Self, Result<PersistedState, RecoveryError>)> {
        let folder = path.parent().context("the path has no parent directory")?;
        durable_files::create_dir_all(folder)?;
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(path.with_extension("lock"))?;
        if lock.try_lock().is_err() {
            bail!("another process has locked it");
        }
        let recovered = match fs::read(path) {
            Ok(bytes) => recover(&bytes),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Err(RecoveryError::Empty),
            Err(error) => return Err(error.into()),
        };
        if let Err(lost @ (RecoveryError::Damaged { .. } | RecoveryError::Inconsistent)) = &recovered {
            // Kept aside for inspection; the proxy has no vote based on it any more.
            let damaged_copy = path.with_extension("damaged");
            tracing::error!(aside = %damaged_copy.display(), "council.state_lost: {lost}");
            fs::rename(path, damaged_copy)?;
        }
        let file = Arc::new(Mutex::new(None));
        Ok((Self { path: path.to_owned(), file, results, _lock: lock }, recovered))
    }

    /// Starts a write with its sync.
    pub fn write(&self, write: DiskWrite) {
        let (path, file, results) = (self.path.clone(), self.file.clone(), self.results.clone());
        tokio::task::spawn_blocking(move || {
            let mut file = file.lock().expect("no writer panics");
            let result = if write.replaces_file {
                durable_files::replace(&path, &write.bytes).map(|replaced| *file = Some(replaced))
            } else {
                append(&file, &write.bytes)
            };
            let _ = results.blocking_send(result);
        });
    }
}

/// Appends to the file and syncs it.
fn append(file: &Option<File>, bytes: &[u8]) -> io::Result<()> {
    let mut file = file.as_ref().ok_or_else(|| io::Error::other("the file was not written yet"))?;
    file.write_all(bytes)?;
    file.sync_data()
}
