//! The persisted state of one member: its stage and disk id, its vote, its log, its newest snapshot, the
//! council proofs. The file consists of [`frames`]; [`recover`] reads it. The caller writes what
//! [`crate::Agreement::next_write`] returns and calls [`crate::Agreement::write_succeeded`] once it is
//! synced. Messages that depend on a write are sent only after that.
//!
//! | the file | result |
//! | --- | --- |
//! | ends in the middle of a frame | truncated there: no message that depended on it was sent |
//! | is damaged before intact frames | not trusted: the member has no vote until it is readmitted |
//! | does not exist, or is empty | a new disk: no vote until readmitted, except at the bootstrap |
//! | is an older copy | no vote until readmitted, if another member that answers knows something newer |

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Id;
use crate::certificate::CouncilProof;
use crate::council::Council;
use crate::log::{Entry, Index, Log, LogPosition, Term};
use crate::wire::Stage;

/// Bytes of a snapshot in one frame.
const CHUNK_BYTES: usize = 2048;
/// Log entries in one frame.
const ENTRIES_PER_FRAME: usize = 4;

/// The state after the decisions up to a log position.
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
    /// Entries after an index. Whatever followed that index before is removed.
    Append {
        after: Index,
        entries: Vec<Entry>,
    },
    /// The log starts after a snapshot of `bytes` bytes, which follows in chunks.
    LogStart {
        log_position: LogPosition,
        version: Index,
        council: Council,
        bytes: u32,
    },
    SnapshotChunk(Vec<u8>),
    CouncilProof(CouncilProof),
}

/// The state of a member that has to survive a restart.
#[derive(Clone, Debug)]
pub struct PersistedState {
    pub stage: Stage,
    /// Drawn at random when the disk was new.
    pub disk_id: u64,
    pub term: Term,
    pub voted: Option<Id>,
    pub log: Log,
    pub snapshot: Option<Snapshot>,
    pub council_proofs: Vec<CouncilProof>,
}

/// Why a file holds no usable state.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecoveryError {
    #[error("the file holds no state")]
    Empty,
    #[error("damaged at byte {offset}")]
    Damaged { offset: usize },
    #[error("intact frames that form no complete state")]
    Inconsistent,
}

fn write_frame(to: &mut Vec<u8>, record: &Record) {
    frames::write(to, &postcard::to_stdvec(record).expect("plain data can be encoded"));
}

/// A frame with a member's stage and disk id.
pub fn encode_disk_state(stage: Stage, disk_id: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &Record::DiskState { stage, disk_id });
    bytes
}

/// A frame with a term and the vote in it.
pub fn encode_vote(term: Term, voted: Option<Id>) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &Record::Vote { term, voted });
    bytes
}

/// A frame with a council proof.
pub fn encode_council_proof(proof: &CouncilProof) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &Record::CouncilProof(proof.clone()));
    bytes
}

/// Frames with entries that follow an index.
pub fn encode_append(after: Index, entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A truncation without new entries is written too.
    let no_entries: &[Entry] = &[];
    let chunks =
        if entries.is_empty() { vec![no_entries] } else { entries.chunks(ENTRIES_PER_FRAME).collect() };
    for (i, entries) in chunks.into_iter().enumerate() {
        let after = after + (ENTRIES_PER_FRAME * i) as u64;
        write_frame(&mut bytes, &Record::Append { after, entries: entries.to_vec() });
    }
    bytes
}

impl PersistedState {
    /// The contents of a complete file.
    pub fn encode_file(&self) -> Vec<u8> {
        let mut bytes = encode_disk_state(self.stage, self.disk_id);
        bytes.extend(encode_vote(self.term, self.voted));
        let snapshot = self.snapshot.as_ref();
        // The log in memory may reach further back than the snapshot, for members that lag behind.
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

/// Reads the persisted state from the contents of a file.
pub fn recover(bytes: &[u8]) -> Result<PersistedState, RecoveryError> {
    let frames_read = frames::read(bytes, |body| {
        let (record, rest) = postcard::take_from_bytes::<Record>(body).ok()?;
        rest.is_empty().then_some(record)
    });
    if let Some(damage) = frames_read.damage.iter().find(|damage| !damage.torn) {
        return Err(RecoveryError::Damaged { offset: damage.offset });
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
    // Bytes of the snapshot that are still to follow.
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
    // A file is written completely before it replaces the previous one, so an incomplete one is not a torn
    // tail.
    if !log_started || remaining_bytes > 0 { Err(RecoveryError::Inconsistent) } else { Ok(persisted) }
}

impl Snapshot {
    /// The BLAKE3 digest of the snapshot, as signed in statements.
    pub fn digest(&self) -> [u8; 32] {
        *blake3::hash(&postcard::to_stdvec(self).expect("plain data can be encoded")).as_bytes()
    }
}

/// A write for the caller to do and sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskWrite {
    /// Whether the bytes replace the whole file: written to a new file beside it, synced, then renamed over
    /// it.
    pub replaces_file: bool,
    pub bytes: Vec<u8>,
}

/// Heartbeats before a write is retried after a failure.
const RETRY_HEARTBEATS: f64 = 10.0;

/// The bytes that are still to be written. Positions count the changes so far.
#[derive(Clone, Debug, Default)]
pub struct WriteQueue {
    bytes: Vec<u8>,
    replaces_file: bool,
    position: u64,
    /// The position that the current write reaches.
    writing: Option<u64>,
    synced: u64,
    /// The time before which a failed write is not retried.
    retry_at: Option<f64>,
}

impl WriteQueue {
    /// Queues bytes to be appended.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
        self.position += 1;
    }

    /// Requests that the next write replaces the whole file.
    pub(crate) fn replace_file(&mut self) {
        self.replaces_file = true;
        self.position += 1;
    }

    /// The number of changes queued so far.
    pub(crate) fn position(&self) -> u64 {
        self.position
    }

    /// The position up to which changes are synced.
    pub(crate) fn synced(&self) -> u64 {
        self.synced
    }

    /// Whether the last write did not fail.
    pub(crate) fn is_writable(&self) -> bool {
        self.retry_at.is_none()
    }

    /// Drops queued bytes, as nothing has to be persisted.
    pub(crate) fn discard(&mut self) {
        self.bytes.clear();
        self.synced = self.position;
    }

    /// When a failed write is to be retried.
    pub(crate) fn due(&self) -> f64 {
        self.retry_at.filter(|_| self.writing.is_none()).unwrap_or(f64::INFINITY)
    }

    /// The next write, unless one is under way or a failed one is not yet due.
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
