//! Decisions on their way to those without a vote, and to members that are too far behind for their leader's
//! log.
//!
//! The leader puts signatures together into a [`Certificate`]; whoever gets a newer one passes it to a few others,
//! and pulls what it lacks from whoever it came from. So decisions reach hundreds without one member telling
//! them all, and nobody need be believed but a majority of the council.

use std::collections::BTreeMap;

use crate::Id;
use crate::agreement::{Agreement, SNAPSHOT_EVERY};
use crate::certificate::{Certificate, CouncilProof, Signer, Statement};
use crate::disk::{self, Snapshot};
use crate::election::Post;
use crate::log::{Entry, Hash, Index, Log, LogPosition};
use crate::machine::Machine;
use crate::wire::{ENTRIES, Message, PIECE, Signed};

/// Others that a new proof is passed to at each beat.
const FAN_OUT: usize = 2;
/// Whoever knows of more than it has asks once in so many beats, beside whom it heard it from.
const PULL_BEATS: u64 = 2;
/// Whoever has heard nothing new asks another once in so many beats.
const REPAIR_BEATS: u64 = 10;
/// Statements whose signatures are gathered at once.
const MOST_OPEN: usize = 16;
/// Proofs of councils that are kept: whoever is further behind needs newer settings.
const MOST_LINKS: usize = 64;
/// Entries that wait for a proof: more than any log reaches back.
const MOST_STAGED: u64 = 4 * SNAPSHOT_EVERY;
/// Bytes of the largest snapshot.
const MOST_SNAPSHOT: usize = 1 << 20;

/// A snapshot that is being fetched.
#[derive(Clone, Debug)]
struct Loading {
    mark: LogPosition,
    digest: Hash,
    of: u32,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Following {
    /// The newest proof.
    pub(crate) seal: Option<Certificate>,
    /// How often it is still passed on.
    passes: u32,
    /// Signatures that have come, by what they are of.
    signed: BTreeMap<Index, (Statement, BTreeMap<Id, Vec<u8>>)>,
    loading: Option<Loading>,
    /// Entries that follow what is decided here, until their end is that of a proof: none of them counts
    /// before.
    staged: Option<Log>,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// What a member that knows all up to an index to be decided says of it; none where that is too long ago.
    fn statement(&self, index: Index) -> Option<Statement> {
        let mark = self.kept.log.mark(index).filter(|_| index <= self.applied)?;
        let snapshot = index - index % SNAPSHOT_EVERY;
        let held = self.snapshots.iter().find(|(held, _)| held.mark.index == snapshot);
        let digest = if snapshot == 0 { Hash::default() } else { held?.1 };
        let (version, council) = self.kept.log.council_at(index);
        let (version, council) = (*version, council.digest());
        let state = self.root_at(index)?;
        Some(Statement {
            index,
            hash: mark.hash,
            snapshot_index: snapshot,
            snapshot_digest: digest,
            version,
            council_digest: council,
            state_root: state,
        })
    }

    /// Its signature on the newest that it knows to be decided.
    pub(crate) fn signed(&self) -> Option<Signed> {
        let statement = self.statement(self.applied).filter(|of| of.index > 0 && self.is_seated())?;
        let sealed = self.following.seal.as_ref().is_some_and(|seal| seal.statement.index >= statement.index);
        // A proof of its council may be wanting though the statement has one.
        let linked =
            self.kept.links.iter().any(|link| link.certificate.statement.version == statement.version);
        (!sealed || !linked && statement.version > 0).then(|| Signed {
            index: statement.index,
            signature: self.keys.sign(&statement.bytes()).to_vec(),
        })
    }

    /// A member signed: once a majority has, that is a proof.
    pub(crate) fn note_signature(&mut self, from: Id, signed: Signed) {
        let Some(statement) = self.statement(signed.index) else { return };
        let bytes = statement.bytes();
        let proved =
            |of: &Vec<u8>| of.as_slice().try_into().is_ok_and(|of| self.keys.verify(from, &bytes, of));
        if !proved(&signed.signature) {
            self.counts.diverged += 1;
            return;
        }
        let own = self.keys.sign(&bytes).to_vec();
        let signs = &mut self.following.signed;
        let (_, by) = signs.entry(signed.index).or_insert_with(|| (statement.clone(), BTreeMap::new()));
        by.insert(self.id, own);
        by.insert(from, signed.signature);
        let by = by.clone();
        while signs.len() > MOST_OPEN {
            signs.pop_first();
        }
        let newer = self.following.seal.as_ref().is_none_or(|of| of.statement.index < signed.index);
        let council = &self.kept.log.council_at(signed.index).1;
        if let Some(seal) = Certificate::from_signatures(&statement, &by, council).filter(|_| newer) {
            self.hold_seal(seal);
        }
        // Where a majority of the council before signed too, that proves the council.
        let now_votes = statement.version == self.trust.0 && !self.is_linked();
        let former = self.former.as_ref().filter(|_| now_votes);
        if let Some(seal) = former.and_then(|former| Certificate::from_signatures(&statement, &by, former)) {
            let link = CouncilProof { council: self.trust.1.clone(), certificate: seal };
            for to in self.trust.1.ids().filter(|&id| id != self.id).collect::<Vec<_>>() {
                self.send(to, &Message::Council { link: Box::new(link.clone()) });
            }
            self.keep_link(link);
        }
    }

    fn keep_link(&mut self, link: CouncilProof) {
        if !self
            .kept
            .links
            .iter()
            .any(|of| of.certificate.statement.version >= link.certificate.statement.version)
        {
            self.keep(disk::link(&link));
            self.kept.links.push(link);
            if self.kept.links.len() > MOST_LINKS {
                self.kept.links.remove(0);
            }
            self.tell_proved();
        }
    }

    /// Tells those who asked for a council that it is proved.
    pub(crate) fn tell_proved(&mut self) {
        if let Some(link) = self.kept.links.last() {
            self.requests.council_proved(link.certificate.statement.version);
        }
    }

    /// Whether the council that votes now is proved to those who only follow.
    pub(crate) fn is_linked(&self) -> bool {
        let version = self.trust.0;
        version == 0 || self.kept.links.iter().any(|link| link.certificate.statement.version == version)
    }

    /// Goes from council to council by the proofs that it kept.
    pub(crate) fn believe_links(&mut self) {
        for link in self.kept.links.clone() {
            if link.certificate.statement.version > self.trust.0 && link.is_valid(&self.trust.1, &self.keys) {
                self.former = Some(self.trust.1.clone());
                self.trust = (link.certificate.statement.version, link.council);
            }
        }
    }

    fn hold_seal(&mut self, seal: Certificate) {
        self.following.seal = Some(seal);
        self.following.passes = (self.peers().len() as f64 + 2.0).log2().ceil() as u32;
    }

    /// The newest proof, to be passed on.
    pub fn certificate(&self) -> Option<&Certificate> {
        self.following.seal.as_ref()
    }

    /// The proofs of the councils since the founding, as far as they are kept, the oldest first.
    pub fn council_proofs(&self) -> &[CouncilProof] {
        &self.kept.links
    }

    /// Up to where a proof is known.
    pub(crate) fn sealed(&self) -> Index {
        self.following.seal.as_ref().map_or(0, |seal| seal.statement.index)
    }

    pub(crate) fn tell(&mut self, to: Id) {
        if let Some(seal) = self.following.seal.clone() {
            self.send(to, &Message::Tell { seal });
        }
    }

    /// Passes on what is new, and asks for what may be missing.
    pub(crate) fn spread(&mut self) {
        if self.following.passes > 0 {
            self.following.passes -= 1;
            for _ in 0..FAN_OUT {
                if let Some(to) = self.any_peer() {
                    self.tell(to);
                }
            }
        }
        let led = matches!(self.post, Post::Leading(_));
        if self.sealed() > self.applied && !led {
            // From anybody: what all pulled from the few that vote would be over their caps.
            if self.beats.is_multiple_of(PULL_BEATS)
                && let Some(to) = self.any_peer()
            {
                self.catch_up(to);
            }
        } else if self.beats.is_multiple_of(REPAIR_BEATS)
            && !led
            && let Some(to) = self.any_peer()
        {
            self.pull(to, None);
        }
    }

    fn pull(&mut self, to: Id, piece: Option<(Index, u32)>) {
        let decided = self.kept.log.mark(self.decided).unwrap_or_default();
        let staged = self.following.staged.as_ref().map(Log::last).filter(|last| last.index > decided.index);
        let LogPosition { index, hash, .. } = staged.unwrap_or(decided);
        let (version, sealed) = (self.trust.0, self.sealed());
        self.send(to, &Message::Pull { index, hash, version, sealed, piece });
    }

    /// A proof came.
    pub(crate) fn told(&mut self, from: Id, seal: Certificate) {
        let of = &seal.statement;
        let held = self.following.seal.as_ref().map_or(0, |held| held.statement.index);
        if of.index < held {
            return self.tell(from);
        }
        if of.index == held || of.version < self.trust.0 {
            return;
        }
        if of.version > self.trust.0 {
            return self.pull(from, None);
        }
        if of.council_digest != self.trust.1.digest() || !seal.is_valid(&self.trust.1, &self.keys) {
            self.counts.unproved += 1;
            return;
        }
        self.hold_seal(seal);
        self.catch_up(from);
    }

    /// Carries out what the newest proof tells, or asks for what lacks.
    fn catch_up(&mut self, from: Id) {
        let Some(of) = self.following.seal.as_ref().map(|seal| seal.statement.clone()) else { return };
        if self.applied >= of.index || self.stopped.is_some() {
            return;
        }
        if self.kept.log.has(of.index, &of.hash) {
            self.decided = self.decided.max(of.index);
            return self.apply();
        }
        // It came past that snapshot by entries: no piece of it is wanted any more.
        self.following.loading.take_if(|loading| loading.mark.index <= self.applied);
        let seated = self.is_seated();
        if let Some(staged) = self.following.staged.take_if(|staged| staged.last().index >= of.index) {
            if !seated && staged.has(of.index, &of.hash) {
                let entries = staged.since(self.decided, usize::MAX);
                self.take(self.decided, entries);
                return self.catch_up(from);
            }
            // Somebody sent what is not so: it is fetched again, from another.
            self.counts.diverged += 1;
            return;
        }
        let loading = self.following.loading.as_ref().filter(|loading| loading.digest == of.snapshot_digest);
        let piece = loading.map(|loading| (loading.mark.index, loading.bytes.len() as u32));
        // A voter gets entries from its leader alone: what others send is not proved entry by entry.
        if piece.is_some() || !seated {
            self.pull(from, piece);
        } else if of.snapshot_index > self.applied {
            // Also where its log is longer: what it holds there may be of a leader whose entries were not decided.
            self.pull(from, Some((of.snapshot_index, 0)));
        }
    }

    pub(crate) fn pulled(
        &mut self,
        from: Id,
        index: Index,
        hash: &Hash,
        version: Index,
        sealed: Index,
        piece: Option<(Index, u32)>,
    ) {
        if version < self.trust.0 {
            let mut links = self.kept.links.iter();
            let next = links.find(|link| link.certificate.statement.version > version).cloned();
            return match next {
                Some(link) => self.send(from, &Message::Council { link: Box::new(link) }),
                None => self.counts.unlinked += 1,
            };
        }
        let Some(of) = self.following.seal.as_ref().map(|seal| seal.statement.clone()) else { return };
        if let Some((at_index, at)) = piece {
            return self.send_piece(from, at_index, at);
        }
        if of.index <= index {
            return;
        }
        if sealed < of.index {
            self.tell(from);
        }
        let log = &self.kept.log;
        if index < log.base().index {
            self.send_piece(from, of.snapshot_index, 0);
        } else if log.has(index, hash) {
            let mut entries = log.since(index, ENTRIES);
            entries.truncate((self.applied.saturating_sub(index)) as usize);
            if !entries.is_empty() {
                self.send(from, &Message::Entries { prev: index, hash: *hash, entries });
            }
        }
    }

    fn send_piece(&mut self, to: Id, index: Index, at: u32) {
        let Some((snapshot, _)) = self.snapshots.iter().find(|(held, _)| held.mark.index == index) else {
            return;
        };
        let (of, LogPosition { index, term, hash }) = (snapshot.bytes.len() as u32, snapshot.mark);
        let Some(rest) = snapshot.bytes.get(at as usize..) else { return };
        let bytes = rest[..rest.len().min(PIECE)].to_vec();
        self.send(to, &Message::Piece { index, hash, term, at, of, bytes });
    }

    pub(crate) fn entries(&mut self, from: Id, prev: Index, hash: &Hash, mut entries: Vec<Entry>) {
        let sealed = self.sealed();
        let Some(decided) = self.kept.log.mark(self.decided) else { return };
        if self.is_seated() || entries.is_empty() || !(decided.index..sealed).contains(&prev) {
            return;
        }
        let (version, council) = self.trust.clone();
        let staged = self.following.staged.get_or_insert_with(|| Log::new(decided, version, council));
        if staged.base().index < decided.index {
            // Some of it has come another way since.
            self.following.staged = None;
            return;
        }
        if staged.last().index == prev && staged.has(prev, hash) && prev - decided.index < MOST_STAGED {
            entries.truncate((sealed - prev) as usize);
            staged.extend(entries);
            self.catch_up(from);
        }
    }

    /// The proof of a council came.
    pub(crate) fn linked(&mut self, from: Id, link: CouncilProof) {
        let version = link.certificate.statement.version;
        if version == self.trust.0 {
            // It votes here already by the log: the proof is kept for those who follow.
            let proved = self.former.as_ref().is_some_and(|former| link.is_valid(former, &self.keys));
            if proved && !self.is_linked() && link.council == self.trust.1 {
                self.keep_link(link);
            }
            return;
        }
        if version < self.trust.0 {
            return;
        }
        if !link.is_valid(&self.trust.1, &self.keys) {
            self.counts.unproved += 1;
            return;
        }
        self.former = Some(self.trust.1.clone());
        self.trust = (link.certificate.statement.version, link.council.clone());
        self.keep_link(link);
        self.pull(from, None);
    }

    pub(crate) fn piece(&mut self, from: Id, mark: LogPosition, at: u32, of: u32, bytes: &[u8]) {
        let Some(sealed) = self.following.seal.as_ref().map(|seal| seal.statement.clone()) else { return };
        let wanted =
            mark.index == sealed.snapshot_index && mark.index > self.applied && of as usize <= MOST_SNAPSHOT;
        if !wanted {
            return;
        }
        let digest = sealed.snapshot_digest;
        let fresh = Loading { mark, digest, of, bytes: Vec::new() };
        let loading = self.following.loading.get_or_insert_with(|| fresh.clone());
        if (loading.mark, loading.digest, loading.of) != (mark, digest, of) {
            *loading = fresh;
        }
        if at as usize != loading.bytes.len() || loading.bytes.len() + bytes.len() > of as usize {
            return;
        }
        loading.bytes.extend(bytes);
        if loading.bytes.len() < of as usize && !bytes.is_empty() {
            let have = loading.bytes.len() as u32;
            return self.pull(from, Some((mark.index, have)));
        }
        let Some(loaded) = self.following.loading.take() else { return };
        let snapshot = Snapshot { mark, bytes: loaded.bytes };
        if snapshot.digest() != digest {
            self.counts.unproved += 1;
            return;
        }
        if let Err(unknown) = self.restore(&snapshot) {
            self.stopped = Some(unknown);
            return;
        }
        self.catch_up(from);
    }
}
