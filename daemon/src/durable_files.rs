//! Files and folders that survive a power cut once the call returns.

use std::ffi::OsStr;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// The folder that holds a file.
fn parent(path: &Path) -> &Path {
    path.parent().filter(|folder| *folder != OsStr::new("")).unwrap_or(Path::new("."))
}

/// Syncs the entries of a folder: files that were created, renamed or removed in it.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Syncs the folder entry of a file that was created.
pub fn sync_entry(path: &Path) -> io::Result<()> {
    sync_folder(parent(path))
}

/// Replaces a file as a whole: after a power cut either the former file or the new one is there. Returns the new one,
/// open for writing at its end.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let mut temporary = tempfile::NamedTempFile::new_in(parent(path))?;
    temporary.write_all(bytes)?;
    temporary.as_file().sync_all()?;
    let file = temporary.persist(path)?;
    sync_entry(path)?;
    Ok(file)
}

/// Removes a file.
pub fn remove(path: &Path) -> io::Result<()> {
    fs::remove_file(path)?;
    sync_entry(path)
}

/// Creates a folder and those above it, and syncs the entry of each one that is new.
pub fn create_dir_all(path: &Path) -> io::Result<()> {
    let is_missing = |folder: &&Path| *folder != OsStr::new("") && !folder.exists();
    let mut missing: Vec<PathBuf> = path.ancestors().take_while(is_missing).map(Path::to_owned).collect();
    fs::create_dir_all(path)?;
    while let Some(folder) = missing.pop() {
        sync_entry(&folder)?;
    }
    Ok(())
}
