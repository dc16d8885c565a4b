//! The journal on a disk that hangs: the proxy's loop goes on.

use std::fs;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use daemon::clock::Clock;
use daemon::journal::Journal;
use daemon::journal_disk::{JobResult, JournalFolder, Segment, SegmentFolder};
use records::commit::{Admission, Durability};
use records::entry::{Author, Entry, NumberedEntry};
use records::store::{SegmentNumber, StoreTerms};
use tokio::sync::mpsc;

/// Far longer than any step takes that doesn't wait for the disk.
const MAX_STEP: Duration = Duration::from_secs(5);
const SYNC_TIMEOUT: f64 = 300.0;

/// A disk whose syncs and new segments hang while it is closed.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn set_closed(&self, closed: bool) {
        *self.0.0.lock().expect("whole") = closed;
        self.0.1.notify_all();
    }

    fn pass(&self) {
        let closed = self.0.0.lock().expect("whole");
        drop(self.0.1.wait_while(closed, |closed| *closed).expect("whole"));
    }
}

impl Segment for Gate {
    fn append(&self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.pass();
        Ok(())
    }
}

impl SegmentFolder for Gate {
    fn create(&self, _number: SegmentNumber, _contents: &[u8]) -> io::Result<Arc<dyn Segment>> {
        self.pass();
        Ok(Arc::new(self.clone()))
    }
}

/// A journal with small segments on such a disk.
struct Fixture {
    gate: Gate,
    journal: Journal,
    results: mpsc::Receiver<JobResult>,
    entries: u64,
}

impl Fixture {
    fn new() -> Self {
        let gate = Gate::default();
        let terms = StoreTerms {
            durability: Durability::Synced,
            max_sync_delay: 4.0,
            max_sync_time: SYNC_TIMEOUT,
            max_segment_bytes: 200,
        };
        let author = Author { proxy: "p1".to_owned(), generation: 1 };
        let (results_in, results) = mpsc::channel(4);
        let journal = Journal::start(gate.clone(), author, terms, 0.0, results_in).expect("started");
        Self { gate, journal, results, entries: 0 }
    }

    /// Writes an entry and starts the job that is due, if any; the loop must not wait for it.
    fn step(&mut self, now: f64) {
        self.entries += 1;
        let entry = NumberedEntry {
            number: self.entries,
            entry: Entry::Attempt { serial: 1, unix_ms: now as u64, server: "a".repeat(20) },
        };
        let started = Instant::now();
        self.journal.write(now, std::iter::once(entry));
        self.journal.turn(now);
        assert!(started.elapsed() < MAX_STEP, "the loop waited for the disk");
    }

    /// Waits for the result of the job in progress.
    fn finish_job(&mut self, now: f64) {
        let result = self.results.blocking_recv().expect("a result");
        self.journal.job_finished(now, result);
    }

    fn is_stored(&self, entry: u64) -> bool {
        self.journal.stored().covers(1, entry)
    }
}

/// Opens the gate if a test waits for the disk for too long, so that it fails and does not hang.
fn open_later(gate: &Gate) {
    let gate = gate.clone();
    std::thread::spawn(move || {
        std::thread::sleep(2 * MAX_STEP);
        gate.set_closed(false);
    });
}

#[test]
fn the_loop_does_not_wait_for_a_hanging_sync() {
    let mut fixture = Fixture::new();
    fixture.gate.set_closed(true);
    open_later(&fixture.gate);
    (0..4).for_each(|step| fixture.step(20.0 + 100.0 * f64::from(step)));
    assert!(!fixture.is_stored(1));
    assert_eq!(fixture.journal.admit(500.0), Admission::Refuse { retry_after: SYNC_TIMEOUT });
    fixture.gate.set_closed(false);
    fixture.finish_job(500.0);
    assert!(fixture.is_stored(1) && !fixture.is_stored(fixture.entries));
}

/// Guards against a loop that syncs a full segment, or creates and syncs the next one, by itself.
#[test]
fn the_loop_does_not_wait_for_the_next_segment() {
    let mut fixture = Fixture::new();
    fixture.gate.set_closed(true);
    open_later(&fixture.gate);
    // Fills the segment before a sync is due, so that the first job starts the next segment.
    while fixture.journal.due().is_finite() || fixture.entries == 0 {
        fixture.step(0.0);
        assert!(fixture.entries < 100, "the segment is never full");
    }
    (0..4).for_each(|step| fixture.step(2.0 + 100.0 * f64::from(step)));
    assert!(!fixture.is_stored(1));
    fixture.gate.set_closed(false);
    // The next segment, and a sync of both.
    for now in [400.0, 410.0] {
        fixture.finish_job(now);
        fixture.journal.turn(now + 5.0);
    }
    assert!(fixture.is_stored(fixture.entries));
}

/// Guards against a stop that never ends on a disk that hangs, and one that leaves entries behind on one that works.
#[test]
fn a_stop_syncs_the_last_entries_and_waits_for_no_longer_than_allowed() {
    const TIMEOUT: Duration = Duration::from_millis(200);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("built");
    let clock = Clock(Instant::now());
    let mut fixture = Fixture::new();
    let finish = |fixture: &mut Fixture, timeout| {
        let started = Instant::now();
        let result = runtime.block_on(fixture.journal.finish(&clock, &mut fixture.results, timeout));
        (result, started.elapsed())
    };
    fixture.step(0.0);
    finish(&mut fixture, MAX_STEP).0.expect("synced");
    assert!(fixture.is_stored(1));

    fixture.gate.set_closed(true);
    open_later(&fixture.gate);
    fixture.step(clock.now());
    let (result, waited) = finish(&mut fixture, TIMEOUT);
    assert!(result.is_err() && !fixture.is_stored(2));
    assert!((TIMEOUT..MAX_STEP).contains(&waited), "{waited:?}");

    // A disk that works again in time.
    fixture.gate.set_closed(false);
    finish(&mut fixture, MAX_STEP).0.expect("synced");
    assert!(fixture.is_stored(2));
}

#[test]
fn a_segment_that_exists_is_neither_written_to_nor_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    let segments = JournalFolder { path: folder.path().to_owned(), generation: 7 };
    let first = segments.create(1, b"first").expect("created");
    assert!(segments.create(1, b"second").is_err());
    first.append(b", more").expect("written");
    first.sync().expect("synced");
    let path = folder.path().join("0000000000000007-000001.journal");
    assert_eq!(fs::read(path).expect("read"), b"first, more");
    assert_eq!(fs::read_dir(folder.path()).expect("listed").count(), 1);
}
