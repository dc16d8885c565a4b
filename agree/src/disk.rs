//! What lasts of one member: its seat's life, its votes, its log, its newest snapshot, the proofs of
//! councils. A file of [`frames`]; [`recover`] reads it. The shell writes what [`crate::Agreement::next_write`]
//! gives and tells [`crate::Agreement::write_succeeded`] once it is synced; what rests on it leaves only then.
//!
//! | the file | what comes of it |
//! | --- | --- |
//! | ends in the middle of a frame | cut there: nothing that rested on it has left |
//! | is damaged before sound frames | not to be trusted: the member has no vote until it is let in anew |
//! | is not there, or empty | a new disk: the same, but at the founding |
//! | is an older copy | the same, where another member that answers knows of something newer |

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Id;
use crate::certificate::CouncilProof;
use crate::council::Council;
use crate::log::{Entry, Index, Log, LogPosition, Term};
use crate::wire::Stage;

/// Bytes of a snapshot in a frame.
const CHUNK_BYTES: usize = 2048;

/// A snapshot of what the decisions up to a mark came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub log_position: LogPosition,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    DiskState {
        stage: Stage,
        disk_id: u64,
    },
    Vote {
        term: Term,
        voted: Option<Id>,
    },
    /// The log goes on after an index with these; what followed it is taken back.
    Append {
        after: Index,
        entries: Vec<Entry>,
    },
    /// The log begins after a snapshot.
    LogStart {
        log_position: LogPosition,
        version: Index,
        council: Council,
        bytes: u32,
    },
    SnapshotChunk(Vec<u8>),
    CouncilProof(CouncilProof),
}

/// What a member holds that must last.
#[derive(Clone, Debug)]
pub struct PersistedState {
    pub stage: Stage,
    /// Drawn when the disk was new.
    pub disk_id: u64,
    pub term: Term,
    pub voted: Option<Id>,
    pub log: Log,
    pub snapshot: Option<Snapshot>,
    pub council_proofs: Vec<CouncilProof>,
}

#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecoveryError {
    #[error("no state yet")]
    Empty,
    #[error("damaged at byte {offset}")]
    Damaged { offset: usize },
    #[error("sound frames that make no state")]
    Inconsistent,
}

fn write_frame(to: &mut Vec<u8>, record: &Record) {
    frames::write(to, &postcard::to_stdvec(record).expect("plain data"));
}

/// The frame of a seat's standing.
pub fn encode_disk_state(stage: Stage, disk_id: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &Record::DiskState { stage, disk_id });
    bytes
}

pub fn encode_vote(term: Term, voted: Option<Id>) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &Record::Vote { term, voted });
    bytes
}

pub fn encode_council_proof(proof: &CouncilProof) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &Record::CouncilProof(proof.clone()));
    bytes
}

pub fn encode_append(after: Index, entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A cut alone is written too.
    let no_entries: &[Entry] = &[];
    let chunks = if entries.is_empty() { vec![no_entries] } else { entries.chunks(4).collect() };
    for (i, entries) in chunks.into_iter().enumerate() {
        let after = after + 4 * i as u64;
        write_frame(&mut bytes, &Record::Append { after, entries: entries.to_vec() });
    }
    bytes
}

impl PersistedState {
    /// The whole file.
    pub fn encode_file(&self) -> Vec<u8> {
        let mut bytes = encode_disk_state(self.stage, self.disk_id);
        bytes.extend(encode_vote(self.term, self.voted));
        let snapshot = self.snapshot.as_ref();
        // The log in memory may reach further back than the snapshot, for those who are behind.
        let start = snapshot.map_or(self.log.base(), |snapshot| snapshot.log_position);
        let (version, council) = self.log.council_at(start.index).clone();
        let snapshot_bytes = snapshot.map_or(&[][..], |snapshot| &snapshot.bytes);
        write_frame(
            &mut bytes,
            &Record::LogStart { log_position: start, version, council, bytes: snapshot_bytes.len() as u32 },
        );
        snapshot_bytes
            .chunks(CHUNK_BYTES)
            .for_each(|chunk| write_frame(&mut bytes, &Record::SnapshotChunk(chunk.to_vec())));
        bytes.extend(encode_append(start.index, &self.log.entries_after(start.index, usize::MAX)));
        self.council_proofs.iter().for_each(|proof| bytes.extend(encode_council_proof(proof)));
        bytes
    }
}

/// What a file holds.
pub fn recover(bytes: &[u8]) -> Result<PersistedState, RecoveryError> {
    let frames_read = frames::read(bytes, |body| {
        let (record, rest) = postcard::take_from_bytes::<Record>(body).ok()?;
        rest.is_empty().then_some(record)
    });
    if let Some(damage) = frames_read.damage.iter().find(|damage| !damage.torn) {
        return Err(RecoveryError::Damaged { offset: damage.at });
    }
    let mut records = frames_read.entries.into_iter();
    let Some(Record::DiskState { stage, disk_id }) = records.next() else { return Err(RecoveryError::Empty) };
    let empty_log = Log::new(LogPosition::default(), 0, Council::default());
    let mut persisted = PersistedState {
        stage,
        disk_id,
        term: 0,
        voted: None,
        log: empty_log,
        snapshot: None,
        council_proofs: Vec::new(),
    };
    // Bytes of the snapshot that are still to come.
    let mut remaining_bytes = 0;
    let mut log_started = false;
    for record in records {
        match record {
            Record::DiskState { stage, disk_id } => (persisted.stage, persisted.disk_id) = (stage, disk_id),
            Record::Vote { term, voted } => (persisted.term, persisted.voted) = (term, voted),
            Record::LogStart { log_position, version, council, bytes } => {
                (persisted.log, remaining_bytes, log_started) =
                    (Log::new(log_position, version, council), bytes as usize, true);
                persisted.snapshot =
                    (log_position.index > 0).then(|| Snapshot { log_position, bytes: Vec::new() });
            }
            Record::SnapshotChunk(chunk) => {
                let snapshot = persisted.snapshot.as_mut().ok_or(RecoveryError::Inconsistent)?;
                remaining_bytes =
                    remaining_bytes.checked_sub(chunk.len()).ok_or(RecoveryError::Inconsistent)?;
                snapshot.bytes.extend(chunk);
            }
            Record::Append { after, entries } => {
                if !log_started || after > persisted.log.last().index || after < persisted.log.base().index {
                    return Err(RecoveryError::Inconsistent);
                }
                persisted.log.truncate_after(after);
                persisted.log.extend(entries);
            }
            Record::CouncilProof(proof) => persisted.council_proofs.push(proof),
        }
    }
    // A file is written whole before it takes the place of another: a part of one is no torn tail.
    if !log_started || remaining_bytes > 0 { Err(RecoveryError::Inconsistent) } else { Ok(persisted) }
}

impl Snapshot {
    pub fn digest(&self) -> [u8; 32] {
        *blake3::hash(&postcard::to_stdvec(self).expect("plain data")).as_bytes()
    }
}

/// What the shell is to write and sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskWrite {
    /// In place of the whole file: beside it, synced, and then put in its place.
    pub replaces_file: bool,
    pub bytes: Vec<u8>,
}

/// A disk that refused is tried again after so many beats.
const RETRY_HEARTBEATS: f64 = 10.0;

/// What is to be written, and how far it is. Positions count what was kept.
#[derive(Clone, Debug, Default)]
pub struct WriteQueue {
    bytes: Vec<u8>,
    replaces_file: bool,
    position: u64,
    /// What is being written now reaches this.
    writing: Option<u64>,
    synced: u64,
    /// It refused: not before then.
    retry_at: Option<f64>,
}

impl WriteQueue {
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
        self.position += 1;
    }

    /// The whole file is to be written at the next write.
    pub(crate) fn replace_file(&mut self) {
        self.replaces_file = true;
        self.position += 1;
    }

    pub(crate) fn position(&self) -> u64 {
        self.position
    }

    pub(crate) fn synced(&self) -> u64 {
        self.synced
    }

    /// Whether it can be rested on.
    pub(crate) fn is_writable(&self) -> bool {
        self.retry_at.is_none()
    }

    /// Nothing has to last.
    pub(crate) fn discard(&mut self) {
        self.bytes.clear();
        self.synced = self.position;
    }

    pub(crate) fn due(&self) -> f64 {
        self.retry_at.filter(|_| self.writing.is_none()).unwrap_or(f64::INFINITY)
    }

    pub(crate) fn next_write(
        &mut self,
        now: f64,
        encode_file: impl FnOnce() -> Vec<u8>,
    ) -> Option<DiskWrite> {
        let busy = self.writing.is_some() || self.retry_at.is_some_and(|at| now < at);
        if busy || (self.bytes.is_empty() && !self.replaces_file) {
            return None;
        }
        self.writing = Some(self.position);
        let replaces_file = std::mem::take(&mut self.replaces_file);
        let pending = std::mem::take(&mut self.bytes);
        Some(DiskWrite { replaces_file, bytes: if replaces_file { encode_file() } else { pending } })
    }

    pub(crate) fn write_succeeded(&mut self) {
        self.synced = self.writing.take().unwrap_or(self.synced);
        self.retry_at = None;
    }

    pub(crate) fn write_failed(&mut self, now: f64, heartbeat: f64) {
        (self.writing, self.replaces_file) = (None, true);
        self.bytes.clear();
        self.retry_at = Some(now + RETRY_HEARTBEATS * heartbeat);
    }
}
