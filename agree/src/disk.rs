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
const PIECE: usize = 2048;

/// A snapshot of what the decisions up to a mark came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub mark: LogPosition,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    Voter {
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
    Begins {
        mark: LogPosition,
        version: Index,
        council: Council,
        bytes: u32,
    },
    Piece(Vec<u8>),
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
    pub links: Vec<CouncilProof>,
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

fn frame(to: &mut Vec<u8>, record: &Record) {
    frames::write(to, &postcard::to_stdvec(record).expect("plain data"));
}

/// The frame of a seat's standing.
pub fn seat(stage: Stage, disk_id: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame(&mut bytes, &Record::Voter { stage, disk_id });
    bytes
}

pub fn vote(term: Term, voted: Option<Id>) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame(&mut bytes, &Record::Vote { term, voted });
    bytes
}

pub fn link(link: &CouncilProof) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame(&mut bytes, &Record::CouncilProof(link.clone()));
    bytes
}

pub fn append(after: Index, entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A cut alone is written too.
    let none: &[Entry] = &[];
    let chunks = if entries.is_empty() { vec![none] } else { entries.chunks(4).collect() };
    for (i, entries) in chunks.into_iter().enumerate() {
        let after = after + 4 * i as u64;
        frame(&mut bytes, &Record::Append { after, entries: entries.to_vec() });
    }
    bytes
}

impl PersistedState {
    /// The whole file.
    pub fn whole(&self) -> Vec<u8> {
        let mut bytes = seat(self.stage, self.disk_id);
        bytes.extend(vote(self.term, self.voted));
        let snapshot = self.snapshot.as_ref();
        // The log in memory may reach further back than the snapshot, for those who are behind.
        let begins = snapshot.map_or(self.log.base(), |snapshot| snapshot.mark);
        let (version, council) = self.log.council_at(begins.index).clone();
        let body = snapshot.map_or(&[][..], |snapshot| &snapshot.bytes);
        frame(&mut bytes, &Record::Begins { mark: begins, version, council, bytes: body.len() as u32 });
        body.chunks(PIECE).for_each(|piece| frame(&mut bytes, &Record::Piece(piece.to_vec())));
        bytes.extend(append(begins.index, &self.log.since(begins.index, usize::MAX)));
        self.links.iter().for_each(|of| bytes.extend(link(of)));
        bytes
    }
}

/// What a file holds.
pub fn recover(bytes: &[u8]) -> Result<PersistedState, RecoveryError> {
    let found = frames::read(bytes, |body| {
        let (record, rest) = postcard::take_from_bytes::<Record>(body).ok()?;
        rest.is_empty().then_some(record)
    });
    if let Some(damage) = found.damage.iter().find(|damage| !damage.torn) {
        return Err(RecoveryError::Damaged { offset: damage.offset });
    }
    let mut records = found.entries.into_iter();
    let Some(Record::Voter { stage, disk_id }) = records.next() else { return Err(RecoveryError::Empty) };
    let nowhere = Log::new(LogPosition::default(), 0, Council::default());
    let mut kept = PersistedState {
        stage,
        disk_id,
        term: 0,
        voted: None,
        log: nowhere,
        snapshot: None,
        links: Vec::new(),
    };
    // Bytes of the snapshot that are still to come.
    let mut wanted = 0;
    let mut begun = false;
    for record in records {
        match record {
            Record::Voter { stage, disk_id } => (kept.stage, kept.disk_id) = (stage, disk_id),
            Record::Vote { term, voted } => (kept.term, kept.voted) = (term, voted),
            Record::Begins { mark, version, council, bytes } => {
                (kept.log, wanted, begun) = (Log::new(mark, version, council), bytes as usize, true);
                kept.snapshot = (mark.index > 0).then(|| Snapshot { mark, bytes: Vec::new() });
            }
            Record::Piece(piece) => {
                let snapshot = kept.snapshot.as_mut().ok_or(RecoveryError::Inconsistent)?;
                wanted = wanted.checked_sub(piece.len()).ok_or(RecoveryError::Inconsistent)?;
                snapshot.bytes.extend(piece);
            }
            Record::Append { after, entries } => {
                if !begun || after > kept.log.last().index || after < kept.log.base().index {
                    return Err(RecoveryError::Inconsistent);
                }
                kept.log.cut(after);
                kept.log.extend(entries);
            }
            Record::CouncilProof(link) => kept.links.push(link),
        }
    }
    // A file is written whole before it takes the place of another: a part of one is no torn tail.
    if !begun || wanted > 0 { Err(RecoveryError::Inconsistent) } else { Ok(kept) }
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
const RETRY_BEATS: f64 = 10.0;

/// What is to be written, and how far it is. Positions count what was kept.
#[derive(Clone, Debug, Default)]
pub struct Pending {
    bytes: Vec<u8>,
    replaces_file: bool,
    position: u64,
    /// What is being written now reaches this.
    writing: Option<u64>,
    synced: u64,
    /// It refused: not before then.
    retry_at: Option<f64>,
}

impl Pending {
    pub(crate) fn keep(&mut self, bytes: &[u8]) {
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
    pub(crate) fn is_sound(&self) -> bool {
        self.retry_at.is_none()
    }

    /// Nothing has to last.
    pub(crate) fn skip(&mut self) {
        self.bytes.clear();
        self.synced = self.position;
    }

    pub(crate) fn due(&self) -> f64 {
        self.retry_at.filter(|_| self.writing.is_none()).unwrap_or(f64::INFINITY)
    }

    pub(crate) fn begin(&mut self, now: f64, whole: impl FnOnce() -> Vec<u8>) -> Option<DiskWrite> {
        let waits = self.writing.is_some() || self.retry_at.is_some_and(|at| now < at);
        if waits || (self.bytes.is_empty() && !self.replaces_file) {
            return None;
        }
        self.writing = Some(self.position);
        let replaces_file = std::mem::take(&mut self.replaces_file);
        let pending = std::mem::take(&mut self.bytes);
        Some(DiskWrite { replaces_file, bytes: if replaces_file { whole() } else { pending } })
    }

    pub(crate) fn done(&mut self) {
        self.synced = self.writing.take().unwrap_or(self.synced);
        self.retry_at = None;
    }

    pub(crate) fn refused(&mut self, now: f64, heartbeat: f64) {
        (self.writing, self.replaces_file) = (None, true);
        self.bytes.clear();
        self.retry_at = Some(now + RETRY_BEATS * heartbeat);
    }
}
