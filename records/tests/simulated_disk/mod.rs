//! A disk in virtual time: writes go to a cache, syncs take a while and may fail, and a power cut leaves only what a
//! successful sync has covered. After a failed sync the cached bytes are never written, as with most file systems.

#![allow(dead_code)] // each test file uses a part of it

use std::collections::BTreeMap;

use records::entry::{Entry, NumberedEntry, Stored, Try};
use records::journal;
use records::ledger::Ledger;
use records::store::{DiskJob, EntryStore, SegmentNumber};

/// How the disk behaves at present.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How long a sync takes, in milliseconds; infinity if it hangs.
    pub sync_ms: f64,
    /// Whether writes fail, half-way through.
    pub writes_fail: bool,
    /// Whether syncs that end now fail.
    pub syncs_fail: bool,
    /// Whether new segments can't be created.
    pub no_new_segments: bool,
}

impl Behaviour {
    /// A disk that is well.
    pub const WELL: Self =
        Self { sync_ms: 2.0, writes_fail: false, syncs_fail: false, no_new_segments: false };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Cached,
    OnDisk,
    /// Its sync has failed.
    Dropped,
}

#[derive(Clone)]
struct Chunk {
    bytes: Vec<u8>,
    place: Place,
}

struct RunningJob {
    job: DiskJob,
    ends_at: f64,
    /// How many chunks of each segment the sync covers.
    covered: BTreeMap<SegmentNumber, usize>,
}

/// A journal's store on a simulated disk.
pub struct RecordedDisk {
    pub store: EntryStore,
    pub behaviour: Behaviour,
    segments: BTreeMap<SegmentNumber, Vec<Chunk>>,
    running: Option<RunningJob>,
    /// How many syncs and starts of segments have succeeded and failed.
    pub jobs: (u64, u64),
}

impl RecordedDisk {
    pub fn new(store: EntryStore) -> Self {
        let mut disk = Self {
            store,
            behaviour: Behaviour::WELL,
            segments: BTreeMap::new(),
            running: None,
            jobs: (0, 0),
        };
        disk.turn(0.0, &[]);
        disk.run_until(10.0);
        disk
    }

    /// Takes new entries and does everything that is due at `now`.
    pub fn turn(&mut self, now: f64, entries: &[NumberedEntry]) -> Stored {
        entries.iter().for_each(|entry| self.store.push(entry));
        if self.running.as_ref().is_some_and(|running| running.ends_at <= now) {
            self.finish_job(now);
        }
        self.write(now);
        if let Some(job) = self.store.next_job(now) {
            assert!(self.running.is_none(), "two jobs at once");
            self.start_job(now, job);
        }
        self.store.stored()
    }

    /// When the next turn is due.
    pub fn due(&self) -> f64 {
        self.running.as_ref().map_or(f64::INFINITY, |running| running.ends_at).min(self.store.due())
    }

    /// Runs all turns up to `end`, without new entries.
    pub fn run_until(&mut self, end: f64) {
        while self.due() <= end {
            self.turn(self.due().max(0.0), &[]);
        }
    }

    /// Lets a hung job end now.
    pub fn end_hang(&mut self, now: f64) {
        if let Some(running) = &mut self.running {
            running.ends_at = running.ends_at.min(now);
        }
    }

    fn write(&mut self, now: f64) {
        let Some((number, bytes)) = self.store.unwritten() else { return };
        let succeeded = !self.behaviour.writes_fail;
        let written = if succeeded { bytes.len() } else { bytes.len() / 2 };
        let chunk = Chunk { bytes: bytes[..written].to_vec(), place: Place::Cached };
        self.segments.get_mut(&number).expect("a started segment").push(chunk);
        self.store.write_finished(now, succeeded);
    }

    fn start_job(&mut self, now: f64, job: DiskJob) {
        let mut covered = BTreeMap::new();
        if let DiskJob::Sync { segments } = &job {
            covered = segments.iter().map(|number| (*number, self.segments[number].len())).collect();
        }
        self.running = Some(RunningJob { job, ends_at: now + self.behaviour.sync_ms, covered });
    }

    fn finish_job(&mut self, now: f64) {
        let RunningJob { job, covered, .. } = self.running.take().expect("running");
        let succeeded = match job {
            DiskJob::Sync { .. } => !self.behaviour.syncs_fail,
            DiskJob::StartSegment { number, contents } => {
                let succeeded = !self.behaviour.no_new_segments && !self.behaviour.syncs_fail;
                let place = if succeeded { Place::OnDisk } else { Place::Dropped };
                self.segments.insert(number, vec![Chunk { bytes: contents, place }]);
                succeeded
            }
        };
        for (number, chunks) in covered {
            let place = if succeeded { Place::OnDisk } else { Place::Dropped };
            let of_segment = self.segments.get_mut(&number).expect("a started segment");
            of_segment[..chunks].iter_mut().filter(|chunk| chunk.place == Place::Cached).for_each(|chunk| {
                chunk.place = place;
            });
        }
        let count = if succeeded { &mut self.jobs.0 } else { &mut self.jobs.1 };
        *count += 1;
        self.store.job_finished(now, succeeded);
    }

    fn recover(&self, survives: impl Fn(Place) -> bool) -> Vec<Try> {
        let mut ledger = Ledger::default();
        for chunks in self.segments.values() {
            let mut bytes = Vec::new();
            for chunk in chunks {
                if survives(chunk.place) {
                    bytes.extend(&chunk.bytes);
                } else {
                    bytes.resize(bytes.len() + chunk.bytes.len(), 0);
                }
            }
            journal::read(&bytes).entries.into_iter().for_each(|entry: Entry| ledger.apply(entry));
        }
        ledger.tries().0
    }

    /// The records that a power cut now would leave.
    pub fn after_power_cut(&self) -> Vec<Try> {
        self.recover(|place| place == Place::OnDisk)
    }

    /// The records that the end of the process now would leave.
    pub fn after_kill(&self) -> Vec<Try> {
        self.recover(|_| true)
    }

    /// How many segments were created.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }
}
