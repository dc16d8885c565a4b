//! One proxy's replica: its state, the messages it receives, and what it has to send and write.

use std::collections::{BTreeMap, VecDeque};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Id;
use crate::bootstrap::Bootstrap;
use crate::certificate::Signer;
use crate::council::Council;
use crate::disk::{DiskWrite, PersistedState, RecoveryError, Snapshot, WriteQueue};
use crate::dissemination::Dissemination;
use crate::election::RoleState;
use crate::freshness::FreshnessProof;
use crate::freshness_requests::FreshnessRequests;
use crate::log::{Entry, Hash, Index, Log, LogPosition, Payload};
use crate::machine::{Machine, UnsupportedDecision};
use crate::requests::Requests;
use crate::status::Counts;
use crate::wire::{self, DecodeError, Message, Stage};

/// Messages that wait to be sent or for a disk write. Beyond that the oldest are dropped, as on the
/// network.
const MAX_OUTGOING: usize = 256;
/// Entries between two snapshots. All members take them at the same indexes, since the digest is part of
/// the signed statement.
pub(crate) const SNAPSHOT_INTERVAL: u64 = 128;
/// Snapshots that are kept. The log keeps the entries since the last snapshot but one, for members that lag
/// behind.
const KEPT_SNAPSHOTS: usize = 2;
/// Most entries kept for members whose signatures a new council still needs.
const MAX_LOG_ENTRIES: u64 = 8 * SNAPSHOT_INTERVAL;
/// Request numbers that are remembered after being decided, so that a resent request is not applied twice.
const MAX_RECENT_REQUESTS: usize = 512;
/// State roots that are kept, for statements on decisions other than the newest: as far back as the
/// snapshots that statements name.
const MAX_ROOTS: usize = KEPT_SNAPSHOTS * SNAPSHOT_INTERVAL as usize;

/// Settings of the replicated log. All proxies have to use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreementTerms {
    /// The first voters.
    pub bootstrap_members: Vec<Id>,
    /// How often the leader sends a heartbeat and each replica runs its periodic work, in milliseconds.
    pub heartbeat: f64,
    /// How old, in milliseconds, a proxy's knowledge of the decisions may be when it acts on them. It is
    /// refreshed well before.
    pub lease: f64,
}

/// A message to another proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    pub to: Id,
    pub bytes: Vec<u8>,
}

/// A message that is sent once the disk has synced up to a position.
#[derive(Clone, Debug, Hash)]
struct QueuedMessage {
    disk_position: u64,
    outgoing: Outgoing,
}

/// One proxy's replica of the log and of the machine that the decisions apply to.
#[derive(Clone)]
pub struct Agreement<M, S> {
    pub(crate) id: Id,
    pub(crate) terms: AgreementTerms,
    pub(crate) keys: S,
    pub(crate) machine: M,
    pub(crate) rng: Pcg64Mcg,
    /// The other proxies that are currently known to be there.
    peers: Vec<Id>,
    pub(crate) persisted: PersistedState,
    pub(crate) disk: WriteQueue,
    pub(crate) bootstrap: Bootstrap,
    pub(crate) role_state: RoleState,
    /// The last index known to be decided, and the last index that is applied.
    pub(crate) decided: Index,
    pub(crate) applied: Index,
    pub(crate) stopped: Option<UnsupportedDecision>,
    /// The council whose certificates are accepted, with the index since which it votes, and the council
    /// before it.
    pub(crate) trusted: (Index, Council),
    pub(crate) former_council: Option<Council>,
    /// The council before the current one, by the applied entries. It is the same on all replicas that have
    /// applied as much, while `trusted` and `former_council` may be ahead by a council proof.
    applied_former_council: Option<Council>,
    recent_requests: VecDeque<u64>,
    /// The machine's state roots after the latest decisions.
    roots: VecDeque<(Index, Hash)>,
    /// The snapshots that are still needed, the newest last, with their digests.
    pub(crate) snapshots: VecDeque<(Snapshot, [u8; 32])>,
    pub(crate) dissemination: Dissemination,
    pub(crate) freshness: FreshnessRequests,
    pub(crate) requests: Requests,
    outgoing: VecDeque<QueuedMessage>,
    next_heartbeat_at: f64,
    pub(crate) heartbeats: u64,
    pub(crate) counts: Counts,
    #[cfg(test)]
    pub(crate) fault: Option<crate::tests::Fault>,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// Creates a replica from what [`crate::disk::recover`] read from its file.
    ///
    /// # Errors
    ///
    /// Fails only when the machine cannot read its own snapshot.
    pub fn new(
        id: Id,
        terms: AgreementTerms,
        keys: S,
        machine: M,
        file: Result<PersistedState, RecoveryError>,
        seed: u64,
        now: f64,
    ) -> Result<Self, UnsupportedDecision> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let bootstrap_council = Council::bootstrap(terms.bootstrap_members.iter().copied());
        let persisted = file.unwrap_or_else(|_| PersistedState {
            stage: Stage::New,
            // 0 is reserved for bootstrap members.
            disk_id: rng.random_range(1..=u64::MAX),
            term: 0,
            voted: None,
            log: Log::new(LogPosition::default(), 0, bootstrap_council.clone()),
            snapshot: None,
            council_proofs: Vec::new(),
        });
        let mut agreement = Self {
            id,
            machine,
            keys,
            peers: Vec::new(),
            disk: WriteQueue::default(),
            bootstrap: Bootstrap::new(rng.random(), now),
            role_state: RoleState::follower(now, 0.0),
            decided: 0,
            applied: 0,
            stopped: None,
            trusted: (0, bootstrap_council),
            former_council: None,
            applied_former_council: None,
            recent_requests: VecDeque::new(),
            roots: VecDeque::new(),
            snapshots: VecDeque::new(),
            dissemination: Dissemination::default(),
            freshness: FreshnessRequests::default(),
            requests: Requests::default(),
            outgoing: VecDeque::new(),
            next_heartbeat_at: now + terms.heartbeat * rng.random::<f64>(),
            heartbeats: 0,
            counts: Counts::default(),
            #[cfg(test)]
            fault: None,
            rng,
            terms,
            persisted,
        };
        if let Some(snapshot) = agreement.persisted.snapshot.clone() {
            agreement.restore(&snapshot)?;
        }
        agreement.trust_council_proofs();
        agreement.become_follower(now);
        // Rewriting the file removes a torn tail, and shows at once whether the disk can be written.
        agreement.disk.replace_file();
        Ok(agreement)
    }

    /// This proxy's id.
    pub fn id(&self) -> Id {
        self.id
    }

    /// The last index that is applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The index of the decision since which the trusted council votes.
    pub fn council_since(&self) -> Index {
        self.trusted.0
    }

    /// The machine that the decisions apply to.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The machine, for calls that do not change the decided state.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// Replaces the keys, as in a key rotation.
    pub fn rekey(&mut self, keys: S) {
        self.keys = keys;
    }

    /// Sets the other proxies that are currently there.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = Id>) {
        self.peers = peers.into_iter().filter(|&peer| peer != self.id).collect();
    }

    pub(crate) fn peers(&self) -> &[Id] {
        &self.peers
    }

    /// A random other proxy.
    pub(crate) fn random_peer(&mut self) -> Option<Id> {
        self.peers.choose(&mut self.rng).copied()
    }

    /// A random other member of the trusted council.
    pub(crate) fn random_voter(&mut self) -> Option<Id> {
        let voters: Vec<Id> = self.trusted.1.ids().filter(|&id| id != self.id).collect();
        voters.choose(&mut self.rng).copied()
    }

    /// The time when [`Agreement::turn`] has to be called next.
    pub fn due(&self) -> f64 {
        self.next_heartbeat_at.min(self.disk.due())
    }

    /// Runs the work that is due: one turn of the event loop.
    pub fn turn(&mut self, now: f64) {
        if now < self.next_heartbeat_at {
            return;
        }
        let next = self.next_heartbeat_at + self.terms.heartbeat * (0.9 + 0.2 * self.rng.random::<f64>());
        self.next_heartbeat_at = if next > now { next } else { now + self.terms.heartbeat };
        self.heartbeats += 1;
        self.query_bootstrap_peers(now);
        self.start_election_if_due(now);
        self.leader_heartbeat(now);
        self.disseminate();
        self.resend_requests(now);
        self.refresh_if_due(now);
    }

    /// Handles a message of another proxy. The caller has authenticated the sender; the contents are
    /// untrusted.
    pub fn receive(&mut self, now: f64, from: Id, bytes: &[u8]) {
        let message = match wire::decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                let counts = &mut self.counts;
                *(if error == DecodeError::Version { &mut counts.unknown } else { &mut counts.malformed }) +=
                    1;
                return;
            }
        };
        if from == self.id {
            self.counts.unexpected_sender += 1;
            return;
        }
        match message {
            Message::Hello { nonce, stage, disk_id } => self.handle_hello(from, nonce, stage, disk_id),
            Message::HelloResponse { nonce, stage, term, acked } => {
                self.handle_hello_response(now, from, nonce, stage, term, acked)
            }
            Message::RequestVote { term, pre_vote, disk_id, last_index, last_term } => {
                self.handle_vote_request(now, from, term, pre_vote, disk_id, last_index, last_term);
            }
            Message::Vote { term, pre_vote, granted, disk_id } => {
                self.handle_vote(now, from, term, pre_vote, granted, disk_id)
            }
            Message::Append { term, round, disk_id, prev, hash, entries, decided } => {
                self.handle_append(now, from, term, round, disk_id, (prev, hash), entries, decided);
            }
            Message::AppendResponse { term, round, disk_id, index, fits, signed } => {
                self.handle_append_response(now, from, term, round, disk_id, index, fits, signed);
            }
            Message::Certificate { certificate } => self.handle_certificate(from, certificate),
            Message::Pull { index, hash, council_version, certified, chunk } => {
                self.handle_pull(from, index, &hash, council_version, certified, chunk);
            }
            Message::Entries { prev, hash, entries } => self.handle_entries(from, prev, &hash, entries),
            Message::Council { proof } => self.handle_council_proof(from, *proof),
            Message::SnapshotChunk { index, hash, term, offset, total_bytes, bytes } => {
                self.handle_snapshot_chunk(
                    from,
                    LogPosition { index, term, hash },
                    offset,
                    total_bytes,
                    &bytes,
                );
            }
            Message::Propose { request, payload } => self.handle_propose(now, from, request, payload),
            Message::Refused { request, refusal } => self.handle_refused(from, request, refusal),
            Message::FreshnessRequest { nonce } => self.handle_freshness_request(from, nonce),
            Message::FreshnessResponse { nonce, index, signature } => {
                self.handle_freshness_response(FreshnessProof { nonce, index, signer: from, signature });
            }
        }
    }

    /// The next message to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        let synced = self.disk.synced();
        let ready = self.outgoing.iter().position(|message| message.disk_position <= synced)?;
        self.outgoing.remove(ready).map(|message| message.outgoing)
    }

    pub(crate) fn send(&mut self, to: Id, message: &Message) {
        self.send_after(0, to, message);
    }

    /// Sends a message once everything that is written so far is synced to the disk.
    pub(crate) fn send_after_sync(&mut self, to: Id, message: &Message) {
        self.send_after(self.disk.position(), to, message);
    }

    fn send_after(&mut self, disk_position: u64, to: Id, message: &Message) {
        let bytes = wire::encode(message);
        debug_assert!(bytes.len() <= wire::MAX_MESSAGE_BYTES, "{} bytes: {message:?}", bytes.len());
        if self.outgoing.len() >= MAX_OUTGOING {
            self.outgoing.pop_front();
            self.counts.dropped_outgoing += 1;
        }
        self.outgoing.push_back(QueuedMessage { disk_position, outgoing: Outgoing { to, bytes } });
    }

    /// Whether this proxy has to persist state: it is a bootstrap member or in the council.
    pub(crate) fn persists_state(&self) -> bool {
        self.terms.bootstrap_members.contains(&self.id) || self.persisted.log.council().contains(self.id)
    }

    /// Queues bytes to be appended to the file, if this proxy persists state.
    pub(crate) fn persist(&mut self, bytes: Vec<u8>) {
        if self.persists_state() {
            self.disk.append(&bytes);
        }
    }

    /// The next bytes to write and sync; they replace the whole file where [`DiskWrite::replaces_file`]
    /// says so. The next write is only returned after [`Agreement::write_succeeded`] or
    /// [`Agreement::write_failed`].
    pub fn next_write(&mut self, now: f64) -> Option<DiskWrite> {
        if !self.persists_state() {
            self.disk.discard();
            return None;
        }
        self.disk.next_write(now, || self.persisted.encode_file())
    }

    /// Reports that the last write is synced.
    pub fn write_succeeded(&mut self, now: f64) {
        self.disk.write_succeeded();
        self.update_own_progress(now);
        self.count_votes(now);
    }

    /// Reports that the write failed. The whole state is written again after a while.
    pub fn write_failed(&mut self, now: f64) {
        self.disk.write_failed(now, self.terms.heartbeat);
        self.become_follower(now);
    }

    /// Applies the decided entries.
    pub(crate) fn apply(&mut self) {
        while self.applied < self.decided && self.stopped.is_none() {
            let index = self.applied + 1;
            let Some(Entry { request, payload, .. }) = self.persisted.log.entry(index).cloned() else {
                return;
            };
            let done = request != 0 && self.recent_requests.contains(&request);
            let mut answer = Vec::new();
            let changes_council = matches!(payload, Payload::Council(_));
            match payload {
                Payload::Begin => {}
                Payload::Council(council) => {
                    self.applied_former_council = Some(self.persisted.log.council_at(index - 1).1.clone());
                    self.trust_logged_council((index, council), self.applied_former_council.clone());
                }
                Payload::Decide { part, command } if !done => {
                    match self.machine.decide(index, part, &command) {
                        Ok(result) => answer = result,
                        Err(unsupported) => {
                            self.stopped = Some(unsupported);
                            return;
                        }
                    }
                }
                Payload::Decide { .. } => {}
            }
            self.applied = index;
            self.record_root();
            if request != 0 && !done {
                self.recent_requests.push_back(request);
                if self.recent_requests.len() > MAX_RECENT_REQUESTS {
                    self.recent_requests.pop_front();
                }
                if changes_council {
                    self.requests.council_decided(request, index);
                } else {
                    self.requests.decided(request, index, answer);
                }
            }
            if index.is_multiple_of(SNAPSHOT_INTERVAL) {
                self.take_snapshot();
            }
        }
        self.report_proved_councils();
        self.complete_refresh();
    }

    fn record_root(&mut self) {
        self.roots.push_back((self.applied, self.machine.root()));
        if self.roots.len() > MAX_ROOTS {
            self.roots.pop_front();
        }
    }

    /// The machine's state root after a decision, or `None` if that was too long ago.
    pub(crate) fn root_at(&self, index: Index) -> Option<Hash> {
        let found = self.roots.iter().rev().find(|(at, _)| *at == index);
        found.map(|(_, root)| *root)
    }

    /// Trusts a council from the log, unless a proof of a later council came first.
    fn trust_logged_council(&mut self, council: (Index, Council), former: Option<Council>) {
        if council.0 >= self.trusted.0 {
            (self.trusted, self.former_council) = (council, former);
        }
    }

    /// Takes a snapshot of the state after the applied decisions. It may only depend on the decisions, not
    /// on how they came here.
    fn take_snapshot(&mut self) {
        let log_position = self.persisted.log.position_at(self.applied).expect("just applied");
        let council = self.persisted.log.council_at(self.applied);
        let state = (council, &self.applied_former_council, &self.recent_requests, self.machine.state());
        let bytes = postcard::to_stdvec(&state).expect("plain data can be encoded");
        self.store_snapshot(Snapshot { log_position, bytes });
    }

    fn store_snapshot(&mut self, snapshot: Snapshot) {
        let digest = snapshot.digest();
        self.snapshots.push_back((snapshot.clone(), digest));
        while self.snapshots.len() > KEPT_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        // A member of the previous council may have to sign for the current one while it lags behind. It
        // can get a snapshot only with a certificate that waits for its own signature, so the entries have
        // to stay in this log.
        let awaits_signatures = !self.is_council_proved()
            && self.persisted.log.last().index < self.persisted.log.base().index + MAX_LOG_ENTRIES;
        if awaits_signatures && self.persisted.snapshot.is_some() {
            return;
        }
        // The log is not compacted at the first snapshot: members that lag behind get that snapshot only
        // once it is certified.
        if self.snapshots.len() == KEPT_SNAPSHOTS {
            self.persisted.log.compact(self.snapshots[0].0.log_position.index);
        }
        self.persisted.snapshot = Some(snapshot);
        self.disk.replace_file();
    }

    /// Replaces the state with that of a certified snapshot, or of this replica's own.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), UnsupportedDecision> {
        type State = ((Index, Council), Option<Council>, VecDeque<u64>, Vec<u8>);
        let log_position = snapshot.log_position;
        let unreadable = |_| UnsupportedDecision {
            index: log_position.index,
            part: 0,
            reason: "the snapshot has an unknown form".to_owned(),
        };
        let (council, former, recent, state): State =
            postcard::from_bytes(&snapshot.bytes).map_err(unreadable)?;
        self.machine.restore(log_position.index, &state)?;
        // Entries after the snapshot stay: this member may have acknowledged them.
        #[cfg(test)]
        let log_continues = self.persisted.log.contains(log_position.index, &log_position.hash)
            && !self.has_fault(crate::tests::Fault::SnapshotOverwritesEntries);
        #[cfg(not(test))]
        let log_continues = self.persisted.log.contains(log_position.index, &log_position.hash);
        if !log_continues {
            self.persisted.log = Log::new(log_position, council.0, council.1.clone());
        }
        (self.applied_former_council, self.recent_requests) = (former.clone(), recent);
        self.trust_logged_council(council, former);
        (self.decided, self.applied) = (self.decided.max(log_position.index), log_position.index);
        self.roots.clear();
        self.record_root();
        self.requests.skipped_by_snapshot(&self.recent_requests, log_position.index);
        self.snapshots.clear();
        self.store_snapshot(snapshot.clone());
        self.apply();
        Ok(())
    }

    #[cfg(test)]
    pub(crate) fn has_fault(&self, fault: crate::tests::Fault) -> bool {
        self.fault == Some(fault)
    }

    /// Whether a request is already decided, or in the log and undecided.
    pub(crate) fn knows_request(&self, request: u64) -> bool {
        let log = &self.persisted.log;
        let open = (self.applied + 1..=log.last().index).filter_map(|index| log.entry(index));
        self.recent_requests.contains(&request) || open.into_iter().any(|entry| entry.request == request)
    }

    /// The matched index of each other council member, for operators.
    pub(crate) fn follower_progress(&self) -> BTreeMap<Id, Index> {
        match &self.role_state {
            RoleState::Leader(leader_state) => {
                leader_state.progress.iter().map(|(&id, progress)| (id, progress.matched)).collect()
            }
            _ => BTreeMap::new(),
        }
    }
}
