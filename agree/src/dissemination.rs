//! Spreads decisions to proxies without a vote, and to members that lag too far behind for the leader's
//! log.
//!
//! The leader combines signatures into a [`Certificate`]. A proxy that gets a newer one passes it on to a
//! few others, and pulls what it lacks from the sender. So decisions reach hundreds of proxies without one
//! member sending to all, and only a majority of the council has to be trusted.

use std::collections::BTreeMap;

use crate::Id;
use crate::agreement::{Agreement, SNAPSHOT_INTERVAL};
use crate::certificate::{Certificate, CouncilProof, Signer, Statement};
use crate::disk::{self, Snapshot};
use crate::election::RoleState;
use crate::log::{Entry, Hash, Index, Log, LogPosition};
use crate::machine::Machine;
use crate::wire::{CHUNK_BYTES, MAX_ENTRIES_BYTES, Message, StatementSignature};

/// Proxies that a new certificate is passed on to at each heartbeat.
const FAN_OUT: usize = 2;
/// Heartbeats between two pulls of a proxy that knows a newer certificate than it has applied, besides the
/// pull from the certificate's sender.
const PULL_HEARTBEATS: u64 = 2;
/// Heartbeats between two pulls of a proxy that knows of nothing newer.
const REPAIR_HEARTBEATS: u64 = 10;
/// Statements whose signatures are collected at the same time.
const MAX_OPEN_STATEMENTS: usize = 16;
/// Council proofs that are kept. A proxy that lags further behind needs newer settings.
const MAX_COUNCIL_PROOFS: usize = 64;
/// Entries that wait for a certificate: more than any log reaches back.
const MAX_STAGED_ENTRIES: u64 = 4 * SNAPSHOT_INTERVAL;
/// Largest snapshot that is accepted.
const MAX_SNAPSHOT_BYTES: usize = 1 << 20;

/// A snapshot that is being received.
#[derive(Clone, Debug)]
struct SnapshotTransfer {
    log_position: LogPosition,
    digest: Hash,
    total_bytes: u32,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Dissemination {
    /// The newest certificate.
    pub(crate) certificate: Option<Certificate>,
    /// How many more times it is passed on.
    remaining_passes: u32,
    /// Signatures received so far, by the index of their statement.
    signatures: BTreeMap<Index, (Statement, BTreeMap<Id, Vec<u8>>)>,
    transfer: Option<SnapshotTransfer>,
    /// Entries after the last decided one, until their end matches a certificate. None of them counts
    /// before.
    staged: Option<Log>,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// The statement of a member that has applied everything up to an index; `None` if that was too long
    /// ago.
    fn statement(&self, index: Index) -> Option<Statement> {
        let log_position = self.persisted.log.position_at(index).filter(|_| index <= self.applied)?;
        let snapshot_index = index - index % SNAPSHOT_INTERVAL;
        let snapshot =
            self.snapshots.iter().find(|(snapshot, _)| snapshot.log_position.index == snapshot_index);
        let snapshot_digest = if snapshot_index == 0 { Hash::default() } else { snapshot?.1 };
        let (version, council) = self.persisted.log.council_at(index);
        let (version, council_digest) = (*version, council.digest());
        let state_root = self.root_at(index)?;
        Some(Statement {
            index,
            hash: log_position.hash,
            snapshot_index,
            snapshot_digest,
            version,
            council_digest,
            state_root,
        })
    }

    /// This member's signature on the newest index that it knows to be decided, if still needed.
    pub(crate) fn sign_latest(&self) -> Option<StatementSignature> {
        let statement =
            self.statement(self.applied).filter(|statement| statement.index > 0 && self.is_voter())?;
        let is_certified = self
            .dissemination
            .certificate
            .as_ref()
            .is_some_and(|certificate| certificate.statement.index >= statement.index);
        // The council proof may still be missing although the statement is already certified.
        let has_council_proof = self
            .persisted
            .council_proofs
            .iter()
            .any(|proof| proof.certificate.statement.version == statement.version);
        (!is_certified || !has_council_proof && statement.version > 0).then(|| StatementSignature {
            index: statement.index,
            signature: self.keys.sign(&statement.bytes()).to_vec(),
        })
    }

    /// Records a member's signature. Once a majority has signed, they form a certificate.
    pub(crate) fn record_signature(&mut self, from: Id, signed: StatementSignature) {
        let Some(statement) = self.statement(signed.index) else { return };
        let bytes = statement.bytes();
        let is_valid = |signature: &Vec<u8>| {
            signature.as_slice().try_into().is_ok_and(|signature| self.keys.verify(from, &bytes, signature))
        };
        if !is_valid(&signed.signature) {
            self.counts.diverged += 1;
            return;
        }
        let own_signature = self.keys.sign(&bytes).to_vec();
        let signatures = &mut self.dissemination.signatures;
        let (_, by_signer) =
            signatures.entry(signed.index).or_insert_with(|| (statement.clone(), BTreeMap::new()));
        by_signer.insert(self.id, own_signature);
        by_signer.insert(from, signed.signature);
        let by_signer = by_signer.clone();
        while signatures.len() > MAX_OPEN_STATEMENTS {
            signatures.pop_first();
        }
        let is_newer = self
            .dissemination
            .certificate
            .as_ref()
            .is_none_or(|certificate| certificate.statement.index < signed.index);
        let council = &self.persisted.log.council_at(signed.index).1;
        if let Some(certificate) =
            Certificate::from_signatures(&statement, &by_signer, council).filter(|_| is_newer)
        {
            self.store_certificate(certificate);
        }
        // If a majority of the previous council signed too, that proves the new council.
        let needs_proof = statement.version == self.trusted.0 && !self.is_council_proved();
        let former_council = self.former_council.as_ref().filter(|_| needs_proof);
        if let Some(certificate) =
            former_council.and_then(|former| Certificate::from_signatures(&statement, &by_signer, former))
        {
            let proof = CouncilProof { council: self.trusted.1.clone(), certificate };
            for to in self.trusted.1.ids().filter(|&id| id != self.id).collect::<Vec<_>>() {
                self.send(to, &Message::Council { proof: Box::new(proof.clone()) });
            }
            self.store_council_proof(proof);
        }
    }

    /// Persists a council proof that is newer than all that are kept.
    fn store_council_proof(&mut self, proof: CouncilProof) {
        if !self
            .persisted
            .council_proofs
            .iter()
            .any(|kept| kept.certificate.statement.version >= proof.certificate.statement.version)
        {
            self.persist(disk::encode_council_proof(&proof));
            self.persisted.council_proofs.push(proof);
            if self.persisted.council_proofs.len() > MAX_COUNCIL_PROOFS {
                self.persisted.council_proofs.remove(0);
            }
            self.report_proved_councils();
        }
    }

    /// Reports council changes as done to their requesters once the council is proved.
    pub(crate) fn report_proved_councils(&mut self) {
        if let Some(proof) = self.persisted.council_proofs.last() {
            self.requests.council_proved(proof.certificate.statement.version);
        }
    }

    /// Whether the current council is proved to proxies that only follow.
    pub(crate) fn is_council_proved(&self) -> bool {
        let version = self.trusted.0;
        version == 0
            || self
                .persisted
                .council_proofs
                .iter()
                .any(|proof| proof.certificate.statement.version == version)
    }

    /// Advances the trusted council by the persisted council proofs.
    pub(crate) fn trust_council_proofs(&mut self) {
        for proof in self.persisted.council_proofs.clone() {
            if proof.certificate.statement.version > self.trusted.0
                && proof.is_valid(&self.trusted.1, &self.keys)
            {
                self.former_council = Some(self.trusted.1.clone());
                self.trusted = (proof.certificate.statement.version, proof.council);
            }
        }
    }

    /// Keeps a certificate and passes it on about log2 of the number of proxies times.
    fn store_certificate(&mut self, certificate: Certificate) {
        self.dissemination.certificate = Some(certificate);
        self.dissemination.remaining_passes = (self.peers().len() as f64 + 2.0).log2().ceil() as u32;
    }

    /// The newest certificate, for passing it on.
    pub fn certificate(&self) -> Option<&Certificate> {
        self.dissemination.certificate.as_ref()
    }

    /// The proofs of the councils since the bootstrap that are still kept, the oldest first.
    pub fn council_proofs(&self) -> &[CouncilProof] {
        &self.persisted.council_proofs
    }

    /// The index of the newest certificate, or 0.
    pub(crate) fn certified_index(&self) -> Index {
        self.dissemination.certificate.as_ref().map_or(0, |certificate| certificate.statement.index)
    }

    /// Sends the newest certificate to a proxy.
    pub(crate) fn send_certificate(&mut self, to: Id) {
        if let Some(certificate) = self.dissemination.certificate.clone() {
            self.send(to, &Message::Certificate { certificate });
        }
    }

    /// Passes on the newest certificate, and pulls what may be missing.
    pub(crate) fn disseminate(&mut self) {
        if self.dissemination.remaining_passes > 0 {
            self.dissemination.remaining_passes -= 1;
            for _ in 0..FAN_OUT {
                if let Some(to) = self.random_peer() {
                    self.send_certificate(to);
                }
            }
        }
        let is_leader = matches!(self.role_state, RoleState::Leader(_));
        if self.certified_index() > self.applied && !is_leader {
            // From any proxy: if all pulled from the few voters, these would exceed their traffic caps.
            if self.heartbeats.is_multiple_of(PULL_HEARTBEATS)
                && let Some(to) = self.random_peer()
            {
                self.catch_up(to);
            }
        } else if self.heartbeats.is_multiple_of(REPAIR_HEARTBEATS)
            && !is_leader
            && let Some(to) = self.random_peer()
        {
            self.send_pull(to, None);
        }
    }

    /// Requests the entries after the last decided or staged one, or a chunk of a snapshot.
    fn send_pull(&mut self, to: Id, chunk: Option<(Index, u32)>) {
        let decided = self.persisted.log.position_at(self.decided).unwrap_or_default();
        let staged =
            self.dissemination.staged.as_ref().map(Log::last).filter(|last| last.index > decided.index);
        let LogPosition { index, hash, .. } = staged.unwrap_or(decided);
        let (council_version, certified) = (self.trusted.0, self.certified_index());
        self.send(to, &Message::Pull { index, hash, council_version, certified, chunk });
    }

    /// Handles a certificate from another proxy.
    pub(crate) fn handle_certificate(&mut self, from: Id, certificate: Certificate) {
        let statement = &certificate.statement;
        let held_index = self.dissemination.certificate.as_ref().map_or(0, |held| held.statement.index);
        if statement.index < held_index {
            return self.send_certificate(from);
        }
        if statement.index == held_index || statement.version < self.trusted.0 {
            return;
        }
        if statement.version > self.trusted.0 {
            return self.send_pull(from, None);
        }
        if statement.council_digest != self.trusted.1.digest()
            || !certificate.is_valid(&self.trusted.1, &self.keys)
        {
            self.counts.unproved += 1;
            return;
        }
        self.store_certificate(certificate);
        self.catch_up(from);
    }

    /// Applies what the newest certificate covers, or requests what is missing.
    fn catch_up(&mut self, from: Id) {
        let Some(statement) =
            self.dissemination.certificate.as_ref().map(|certificate| certificate.statement.clone())
        else {
            return;
        };
        if self.applied >= statement.index || self.stopped.is_some() {
            return;
        }
        if self.persisted.log.contains(statement.index, &statement.hash) {
            self.decided = self.decided.max(statement.index);
            return self.apply();
        }
        // Entries have gone past that snapshot: its chunks are no longer needed.
        self.dissemination.transfer.take_if(|transfer| transfer.log_position.index <= self.applied);
        let is_voter = self.is_voter();
        if let Some(staged) =
            self.dissemination.staged.take_if(|staged| staged.last().index >= statement.index)
        {
            if !is_voter && staged.contains(statement.index, &statement.hash) {
                let entries = staged.entries_after(self.decided, usize::MAX);
                self.store_entries(self.decided, entries);
                return self.catch_up(from);
            }
            // Some proxy sent wrong entries: they are fetched again from another.
            self.counts.diverged += 1;
            return;
        }
        let transfer = self
            .dissemination
            .transfer
            .as_ref()
            .filter(|transfer| transfer.digest == statement.snapshot_digest);
        let chunk = transfer.map(|transfer| (transfer.log_position.index, transfer.bytes.len() as u32));
        // A voter takes entries only from its leader: entries of others are not certified one by one.
        if chunk.is_some() || !is_voter {
            self.send_pull(from, chunk);
        } else if statement.snapshot_index > self.applied {
            // Also if its own log is longer: that may hold undecided entries of an earlier leader.
            self.send_pull(from, Some((statement.snapshot_index, 0)));
        }
    }

    /// Answers a proxy that lags behind.
    pub(crate) fn handle_pull(
        &mut self,
        from: Id,
        index: Index,
        hash: &Hash,
        council_version: Index,
        certified: Index,
        chunk: Option<(Index, u32)>,
    ) {
        if council_version < self.trusted.0 {
            let mut proofs = self.persisted.council_proofs.iter();
            let next = proofs.find(|proof| proof.certificate.statement.version > council_version).cloned();
            return match next {
                Some(proof) => self.send(from, &Message::Council { proof: Box::new(proof) }),
                None => self.counts.missing_council_proof += 1,
            };
        }
        let Some(statement) =
            self.dissemination.certificate.as_ref().map(|certificate| certificate.statement.clone())
        else {
            return;
        };
        if let Some((snapshot_index, offset)) = chunk {
            return self.send_chunk(from, snapshot_index, offset);
        }
        if statement.index <= index {
            return;
        }
        if certified < statement.index {
            self.send_certificate(from);
        }
        let log = &self.persisted.log;
        if index < log.base().index {
            self.send_chunk(from, statement.snapshot_index, 0);
        } else if log.contains(index, hash) {
            let mut entries = log.entries_after(index, MAX_ENTRIES_BYTES);
            entries.truncate((self.applied.saturating_sub(index)) as usize);
            if !entries.is_empty() {
                self.send(from, &Message::Entries { prev: index, hash: *hash, entries });
            }
        }
    }

    /// Sends a chunk of a snapshot that is still kept.
    fn send_chunk(&mut self, to: Id, index: Index, offset: u32) {
        let Some((snapshot, _)) =
            self.snapshots.iter().find(|(snapshot, _)| snapshot.log_position.index == index)
        else {
            return;
        };
        let (total_bytes, LogPosition { index, term, hash }) =
            (snapshot.bytes.len() as u32, snapshot.log_position);
        let Some(remaining) = snapshot.bytes.get(offset as usize..) else { return };
        let bytes = remaining[..remaining.len().min(CHUNK_BYTES)].to_vec();
        self.send(to, &Message::SnapshotChunk { index, hash, term, offset, total_bytes, bytes });
    }

    /// Stages entries that a proxy without a vote has pulled.
    pub(crate) fn handle_entries(&mut self, from: Id, prev: Index, hash: &Hash, mut entries: Vec<Entry>) {
        let certified = self.certified_index();
        let Some(decided) = self.persisted.log.position_at(self.decided) else { return };
        if self.is_voter() || entries.is_empty() || !(decided.index..certified).contains(&prev) {
            return;
        }
        let (version, council) = self.trusted.clone();
        let staged = self.dissemination.staged.get_or_insert_with(|| Log::new(decided, version, council));
        if staged.base().index < decided.index {
            // Some of the entries have come another way in the meantime.
            self.dissemination.staged = None;
            return;
        }
        if staged.last().index == prev
            && staged.contains(prev, hash)
            && prev - decided.index < MAX_STAGED_ENTRIES
        {
            entries.truncate((certified - prev) as usize);
            staged.extend(entries);
            self.catch_up(from);
        }
    }

    /// Handles the proof of a council.
    pub(crate) fn handle_council_proof(&mut self, from: Id, proof: CouncilProof) {
        let version = proof.certificate.statement.version;
        if version == self.trusted.0 {
            // The log has already made this council the current one: the proof is kept for proxies that
            // follow.
            let proved =
                self.former_council.as_ref().is_some_and(|former| proof.is_valid(former, &self.keys));
            if proved && !self.is_council_proved() && proof.council == self.trusted.1 {
                self.store_council_proof(proof);
            }
            return;
        }
        if version < self.trusted.0 {
            return;
        }
        if !proof.is_valid(&self.trusted.1, &self.keys) {
            self.counts.unproved += 1;
            return;
        }
        self.former_council = Some(self.trusted.1.clone());
        self.trusted = (proof.certificate.statement.version, proof.council.clone());
        self.store_council_proof(proof);
        self.send_pull(from, None);
    }

    /// Collects a snapshot and restores it once it is complete and its digest is certified.
    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        from: Id,
        log_position: LogPosition,
        offset: u32,
        total_bytes: u32,
        bytes: &[u8],
    ) {
        let Some(statement) =
            self.dissemination.certificate.as_ref().map(|certificate| certificate.statement.clone())
        else {
            return;
        };
        let wanted = log_position.index == statement.snapshot_index
            && log_position.index > self.applied
            && total_bytes as usize <= MAX_SNAPSHOT_BYTES;
        if !wanted {
            return;
        }
        let digest = statement.snapshot_digest;
        let new_transfer = SnapshotTransfer { log_position, digest, total_bytes, bytes: Vec::new() };
        let transfer = self.dissemination.transfer.get_or_insert_with(|| new_transfer.clone());
        if (transfer.log_position, transfer.digest, transfer.total_bytes)
            != (log_position, digest, total_bytes)
        {
            *transfer = new_transfer;
        }
        if offset as usize != transfer.bytes.len()
            || transfer.bytes.len() + bytes.len() > total_bytes as usize
        {
            return;
        }
        transfer.bytes.extend(bytes);
        if transfer.bytes.len() < total_bytes as usize && !bytes.is_empty() {
            let have = transfer.bytes.len() as u32;
            return self.send_pull(from, Some((log_position.index, have)));
        }
        let Some(completed) = self.dissemination.transfer.take() else { return };
        let snapshot = Snapshot { log_position, bytes: completed.bytes };
        if snapshot.digest() != digest {
            self.counts.unproved += 1;
            return;
        }
        if let Err(unsupported) = self.restore(&snapshot) {
            self.stopped = Some(unsupported);
            return;
        }
        self.catch_up(from);
    }
}
