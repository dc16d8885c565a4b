//! Files that are replaced as a whole, and folders with their parents.

use std::fs;
use std::io::Write as _;
use std::time::Duration;

use daemon::durable_files;
use daemon::saved_file::SavedFile;

const MAX_WAIT: Duration = Duration::from_secs(20);

#[test]
fn a_replaced_file_has_the_new_contents_and_is_appended_to() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    durable_files::replace(&path, b"former").expect("written");
    let mut file = durable_files::replace(&path, b"new").expect("written");
    file.write_all(b", and more").expect("written");
    assert_eq!(fs::read(&path).expect("read"), b"new, and more");
    assert_eq!(fs::read_dir(folder.path()).expect("listed").count(), 1, "no other file is left");
    durable_files::remove(&path).expect("removed");
    assert!(!path.exists() && durable_files::remove(&path).is_err());
}

#[test]
fn a_file_that_cannot_be_replaced_stays_as_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    fs::create_dir(&path).expect("made");
    assert!(durable_files::replace(&path, b"new").is_err());
    assert!(path.is_dir());
    assert_eq!(fs::read_dir(folder.path()).expect("listed").count(), 1, "no other file is left");
}

#[test]
fn missing_folders_are_created_with_those_above_them() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("a/b/c");
    durable_files::create_dir_all(&path).expect("made");
    durable_files::create_dir_all(&path).expect("there already");
    assert!(path.is_dir());
    fs::write(folder.path().join("file"), b"").expect("written");
    assert!(durable_files::create_dir_all(&folder.path().join("file/below")).is_err());
}

/// Guards against a loop that waits for the disk, and a stop that leaves an older state.
#[test]
fn a_saved_file_ends_with_the_newest_contents() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("built");
    runtime.block_on(async {
        let mut file = SavedFile::new(path.clone(), "state.unwritten");
        assert!(file.finish(MAX_WAIT).await, "nothing to write");
        for round in 0..3 {
            for version in 0..200 {
                file.save(format!("{round}.{version}").into_bytes());
            }
            assert!(file.finish(MAX_WAIT).await);
            assert_eq!(fs::read_to_string(&path).expect("read"), format!("{round}.199"));
        }
    });
    assert_eq!(fs::read_dir(folder.path()).expect("listed").count(), 1, "no other file is left");
}
