//! One proxy's part in the agreement: what it holds, what it is told, what is to be sent and written.

use std::collections::{BTreeMap, VecDeque};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Id;
use crate::certificate::Signer;
use crate::council::Council;
use crate::disk::{DiskWrite, Pending, PersistedState, RecoveryError, Snapshot};
use crate::election::Post;
use crate::follow::Following;
use crate::founding::Founding;
use crate::fresh::Freshness;
use crate::freshness::FreshnessProof;
use crate::log::{Entry, Hash, Index, Log, LogPosition, Payload};
use crate::machine::{Machine, UnsupportedDecision};
use crate::requests::Requests;
use crate::status::Counts;
use crate::wire::{self, Message, Stage, Unfit};

/// Messages that wait to be sent, or for the disk; past that the oldest are lost, as on the network.
const MOST_OUT: usize = 256;
/// A snapshot is taken at every so many entries, the same ones at each member: its digest is part of what is
/// signed.
pub(crate) const SNAPSHOT_EVERY: u64 = 128;
/// Entries kept for those who are behind: those since the last snapshot but one.
const SNAPSHOTS: usize = 2;
/// Entries that are kept at most for members whose signatures a new council waits for.
const MOST_LOG: u64 = 8 * SNAPSHOT_EVERY;
/// Requests that are remembered as done, so that one asked for again is not done again.
const RECENT: usize = 512;
/// The machine's roots that are kept, for statements on decisions that are not the newest: as far back as the
/// snapshots that statements name.
const ROOTS: usize = SNAPSHOTS * SNAPSHOT_EVERY as usize;

/// What is agreed for the agreement itself.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreementTerms {
    /// Who votes at first.
    pub bootstrap_members: Vec<Id>,
    /// How often a leader speaks, and anybody looks at what it needs: milliseconds.
    pub heartbeat: f64,
    /// How old the word may become by which a proxy acts: it is asked for well before.
    pub lease: f64,
}

/// A message to another proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    pub to: Id,
    pub bytes: Vec<u8>,
}

/// A message that waits for the disk.
#[derive(Clone, Debug, Hash)]
struct Held {
    position: u64,
    out: Outgoing,
}

/// One proxy's part.
#[derive(Clone)]
pub struct Agreement<M, S> {
    pub(crate) id: Id,
    pub(crate) terms: AgreementTerms,
    pub(crate) keys: S,
    pub(crate) machine: M,
    pub(crate) chance: Pcg64Mcg,
    /// Others that are there, as far as is known.
    peers: Vec<Id>,
    pub(crate) kept: PersistedState,
    pub(crate) disk: Pending,
    pub(crate) founding: Founding,
    pub(crate) post: Post,
    /// Up to where decisions are known, and are carried out.
    pub(crate) decided: Index,
    pub(crate) applied: Index,
    pub(crate) stopped: Option<UnsupportedDecision>,
    /// The council whose proofs are believed, by the index since which it votes, and the one before it.
    pub(crate) trust: (Index, Council),
    pub(crate) former: Option<Council>,
    /// The council before the present one by what is carried out: the same at all that have come as far, while
    /// `trust` and `former` may be ahead by a proof.
    applied_former: Option<Council>,
    recent: VecDeque<u64>,
    /// The machine's roots after the latest decisions.
    roots: VecDeque<(Index, Hash)>,
    /// Snapshots that are still of use, the newest last, with their digests.
    pub(crate) snapshots: VecDeque<(Snapshot, [u8; 32])>,
    pub(crate) following: Following,
    pub(crate) fresh: Freshness,
    pub(crate) requests: Requests,
    out: VecDeque<Held>,
    beat_at: f64,
    pub(crate) beats: u64,
    pub(crate) counts: Counts,
    #[cfg(test)]
    pub(crate) fault: Option<crate::tests::Fault>,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// `file` is what the disk gave, as [`crate::disk::recover`] reads it. An error only where the machine
    /// makes nothing of its own snapshot.
    pub fn new(
        id: Id,
        terms: AgreementTerms,
        keys: S,
        machine: M,
        file: Result<PersistedState, RecoveryError>,
        seed: u64,
        now: f64,
    ) -> Result<Self, UnsupportedDecision> {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let founders = Council::bootstrap(terms.bootstrap_members.iter().copied());
        let kept = file.unwrap_or_else(|_| PersistedState {
            stage: Stage::Fresh,
            // 0 is a founder's.
            disk_id: chance.random_range(1..=u64::MAX),
            term: 0,
            voted: None,
            log: Log::new(LogPosition::default(), 0, founders.clone()),
            snapshot: None,
            links: Vec::new(),
        });
        let mut agreement = Self {
            id,
            machine,
            keys,
            peers: Vec::new(),
            disk: Pending::default(),
            founding: Founding::new(chance.random(), now),
            post: Post::idle(now, 0.0),
            decided: 0,
            applied: 0,
            stopped: None,
            trust: (0, founders),
            former: None,
            applied_former: None,
            recent: VecDeque::new(),
            roots: VecDeque::new(),
            snapshots: VecDeque::new(),
            following: Following::default(),
            fresh: Freshness::default(),
            requests: Requests::default(),
            out: VecDeque::new(),
            beat_at: now + terms.heartbeat * chance.random::<f64>(),
            beats: 0,
            counts: Counts::default(),
            #[cfg(test)]
            fault: None,
            chance,
            terms,
            kept,
        };
        if let Some(snapshot) = agreement.kept.snapshot.clone() {
            agreement.restore(&snapshot)?;
        }
        agreement.believe_links();
        agreement.idle(now);
        // A torn tail goes with it, and a disk that cannot be written shows at once.
        agreement.disk.replace_file();
        Ok(agreement)
    }

    pub fn id(&self) -> Id {
        self.id
    }

    /// Up to where decisions are carried out.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The decision since which the council votes that is believed here.
    pub fn council_since(&self) -> Index {
        self.trust.0
    }

    pub fn machine(&self) -> &M {
        &self.machine
    }

    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// Goes on with other keys, as in a rotation.
    pub fn rekey(&mut self, keys: S) {
        self.keys = keys;
    }

    /// Who else is there now.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = Id>) {
        self.peers = peers.into_iter().filter(|&peer| peer != self.id).collect();
    }

    pub(crate) fn peers(&self) -> &[Id] {
        &self.peers
    }

    /// Any other proxy, or any other of the council.
    pub(crate) fn any_peer(&mut self) -> Option<Id> {
        self.peers.choose(&mut self.chance).copied()
    }

    pub(crate) fn any_voter(&mut self) -> Option<Id> {
        let voters: Vec<Id> = self.trust.1.ids().filter(|&id| id != self.id).collect();
        voters.choose(&mut self.chance).copied()
    }

    /// When [`Agreement::turn`] is wanted.
    pub fn due(&self) -> f64 {
        self.beat_at.min(self.disk.due())
    }

    /// Does what has fallen due.
    pub fn turn(&mut self, now: f64) {
        if now < self.beat_at {
            return;
        }
        let next = self.beat_at + self.terms.heartbeat * (0.9 + 0.2 * self.chance.random::<f64>());
        self.beat_at = if next > now { next } else { now + self.terms.heartbeat };
        self.beats += 1;
        self.found(now);
        self.stand(now);
        self.lead_on(now);
        self.spread();
        self.ask_again(now);
        self.keep_fresh(now);
    }

    /// A message of another proxy, proved to be its own. Anything may stand in it.
    pub fn receive(&mut self, now: f64, from: Id, bytes: &[u8]) {
        let message = match wire::read(bytes) {
            Ok(message) => message,
            Err(unfit) => {
                let counts = &mut self.counts;
                *(if unfit == Unfit::Version { &mut counts.unknown } else { &mut counts.malformed }) += 1;
                return;
            }
        };
        if from == self.id {
            self.counts.stray += 1;
            return;
        }
        match message {
            Message::Hello { nonce, stage, disk_id } => self.hello(from, nonce, stage, disk_id),
            Message::Known { nonce, stage, term, acked } => self.known(now, from, nonce, stage, term, acked),
            Message::Ask { term, trial, disk_id, index, of } => {
                self.asked(now, from, term, trial, disk_id, index, of);
            }
            Message::Vote { term, trial, granted, disk_id } => {
                self.voted(now, from, term, trial, granted, disk_id)
            }
            Message::Append { term, round, disk_id, prev, hash, entries, decided } => {
                self.appended(now, from, term, round, disk_id, (prev, hash), entries, decided);
            }
            Message::Have { term, round, disk_id, index, fits, signed } => {
                self.has(now, from, term, round, disk_id, index, fits, signed);
            }
            Message::Tell { seal } => self.told(from, seal),
            Message::Pull { index, hash, version, sealed, piece } => {
                self.pulled(from, index, &hash, version, sealed, piece);
            }
            Message::Entries { prev, hash, entries } => self.entries(from, prev, &hash, entries),
            Message::Council { link } => self.linked(from, *link),
            Message::Piece { index, hash, term, at, of, bytes } => {
                self.piece(from, LogPosition { index, term, hash }, at, of, &bytes);
            }
            Message::Propose { request, payload } => self.proposed(now, from, request, payload),
            Message::Refused { request, refusal } => self.refused(from, request, refusal),
            Message::Fresh { nonce } => self.fresh_wanted(from, nonce),
            Message::FreshIs { nonce, index, signature } => {
                self.fresh_told(FreshnessProof { nonce, index, signer: from, signature });
            }
        }
    }

    /// The next message to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        let synced = self.disk.synced();
        let at = self.out.iter().position(|held| held.position <= synced)?;
        self.out.remove(at).map(|held| held.out)
    }

    pub(crate) fn send(&mut self, to: Id, message: &Message) {
        self.send_after(0, to, message);
    }

    /// Sends what rests on all that was written by now.
    pub(crate) fn send_kept(&mut self, to: Id, message: &Message) {
        self.send_after(self.disk.position(), to, message);
    }

    fn send_after(&mut self, position: u64, to: Id, message: &Message) {
        let bytes = wire::write(message);
        debug_assert!(bytes.len() <= wire::LARGEST, "{} bytes: {message:?}", bytes.len());
        if self.out.len() >= MOST_OUT {
            self.out.pop_front();
            self.counts.crowded += 1;
        }
        self.out.push_back(Held { position, out: Outgoing { to, bytes } });
    }

    /// Whether anything of this proxy's must last: it was named as a founder, or has a seat.
    pub(crate) fn keeps(&self) -> bool {
        self.terms.bootstrap_members.contains(&self.id) || self.kept.log.council().contains(self.id)
    }

    pub(crate) fn keep(&mut self, bytes: Vec<u8>) {
        if self.keeps() {
            self.disk.keep(&bytes);
        }
    }

    /// Bytes for the disk: to be written and synced, in place of the whole file where they begin anew. The
    /// next ones come when these are told as [`Agreement::write_succeeded`] or [`Agreement::write_failed`].
    pub fn next_write(&mut self, now: f64) -> Option<DiskWrite> {
        if !self.keeps() {
            self.disk.skip();
            return None;
        }
        self.disk.begin(now, || self.kept.whole())
    }

    pub fn write_succeeded(&mut self, now: f64) {
        self.disk.done();
        self.has_own(now);
        self.tally(now);
    }

    /// The disk refused: it is tried again after a while, with all that is to last.
    pub fn write_failed(&mut self, now: f64) {
        self.disk.refused(now, self.terms.heartbeat);
        self.idle(now);
    }

    /// Carries out what is decided.
    pub(crate) fn apply(&mut self) {
        while self.applied < self.decided && self.stopped.is_none() {
            let index = self.applied + 1;
            let Some(Entry { request, payload, .. }) = self.kept.log.entry(index).cloned() else { return };
            let done = request != 0 && self.recent.contains(&request);
            let mut answer = Vec::new();
            let changes_council = matches!(payload, Payload::Council(_));
            match payload {
                Payload::Begin => {}
                Payload::Council(council) => {
                    self.applied_former = Some(self.kept.log.council_at(index - 1).1.clone());
                    self.trust_at_least((index, council), self.applied_former.clone());
                }
                Payload::Decide { part, command } if !done => {
                    match self.machine.decide(index, part, &command) {
                        Ok(came_to) => answer = came_to,
                        Err(unknown) => {
                            self.stopped = Some(unknown);
                            return;
                        }
                    }
                }
                Payload::Decide { .. } => {}
            }
            self.applied = index;
            self.note_root();
            if request != 0 && !done {
                self.recent.push_back(request);
                if self.recent.len() > RECENT {
                    self.recent.pop_front();
                }
                if changes_council {
                    self.requests.council_decided(request, index);
                } else {
                    self.requests.decided(request, index, answer);
                }
            }
            if index.is_multiple_of(SNAPSHOT_EVERY) {
                self.snap();
            }
        }
        self.tell_proved();
        self.arrive();
    }

    fn note_root(&mut self) {
        self.roots.push_back((self.applied, self.machine.root()));
        if self.roots.len() > ROOTS {
            self.roots.pop_front();
        }
    }

    /// The machine's root after a decision; none where that is too long ago.
    pub(crate) fn root_at(&self, index: Index) -> Option<Hash> {
        let found = self.roots.iter().rev().find(|(at, _)| *at == index);
        found.map(|(_, root)| *root)
    }

    /// A council of the log takes the place of the trusted one, where no proof of a later one came before.
    fn trust_at_least(&mut self, council: (Index, Council), former: Option<Council>) {
        if council.0 >= self.trust.0 {
            (self.trust, self.former) = (council, former);
        }
    }

    /// What the decisions so far came to: nothing in it may depend on the way they came here.
    fn snap(&mut self) {
        let mark = self.kept.log.mark(self.applied).expect("just carried out");
        let council = self.kept.log.council_at(self.applied);
        let state = (council, &self.applied_former, &self.recent, self.machine.state());
        let bytes = postcard::to_stdvec(&state).expect("plain data");
        self.hold(Snapshot { mark, bytes });
    }

    fn hold(&mut self, snapshot: Snapshot) {
        let digest = snapshot.digest();
        self.snapshots.push_back((snapshot.clone(), digest));
        while self.snapshots.len() > SNAPSHOTS {
            self.snapshots.pop_front();
        }
        // A member of the council before may have to sign for the present one, and is behind: it gets a snapshot
        // only by a proof that waits for its signature, so it must find the entries here.
        let awaits_signatures =
            !self.is_linked() && self.kept.log.last().index < self.kept.log.base().index + MOST_LOG;
        if awaits_signatures && self.kept.snapshot.is_some() {
            return;
        }
        // Not at the first one already: whoever is behind it gets it only once it is proved.
        if self.snapshots.len() == SNAPSHOTS {
            self.kept.log.fold(self.snapshots[0].0.mark.index);
        }
        self.kept.snapshot = Some(snapshot);
        self.disk.replace_file();
    }

    /// Begins anew from a snapshot that is proved, or its own.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), UnsupportedDecision> {
        type State = ((Index, Council), Option<Council>, VecDeque<u64>, Vec<u8>);
        let mark = snapshot.mark;
        let unread = |_| UnsupportedDecision {
            index: mark.index,
            part: 0,
            reason: "a snapshot of no known form".to_owned(),
        };
        let (council, former, recent, state): State =
            postcard::from_bytes(&snapshot.bytes).map_err(unread)?;
        self.machine.restore(mark.index, &state)?;
        // Entries that follow it are kept: this member may have given its word for them.
        #[cfg(test)]
        let goes_on =
            self.kept.log.has(mark.index, &mark.hash) && !self.planted(crate::tests::Fault::SnapshotOver);
        #[cfg(not(test))]
        let goes_on = self.kept.log.has(mark.index, &mark.hash);
        if !goes_on {
            self.kept.log = Log::new(mark, council.0, council.1.clone());
        }
        (self.applied_former, self.recent) = (former.clone(), recent);
        self.trust_at_least(council, former);
        (self.decided, self.applied) = (self.decided.max(mark.index), mark.index);
        self.roots.clear();
        self.note_root();
        self.requests.passed_over(&self.recent, mark.index);
        self.snapshots.clear();
        self.hold(snapshot.clone());
        self.apply();
        Ok(())
    }

    #[cfg(test)]
    pub(crate) fn planted(&self, fault: crate::tests::Fault) -> bool {
        self.fault == Some(fault)
    }

    /// Whether a request is done, or on its way in the log.
    pub(crate) fn knows(&self, request: u64) -> bool {
        let log = &self.kept.log;
        let open = (self.applied + 1..=log.last().index).filter_map(|index| log.entry(index));
        self.recent.contains(&request) || open.into_iter().any(|entry| entry.request == request)
    }

    /// How far each of the council has come, for operators.
    pub(crate) fn heard_of(&self) -> BTreeMap<Id, Index> {
        match &self.post {
            Post::Leading(lead) => lead.progress.iter().map(|(&id, progress)| (id, progress.has)).collect(),
            _ => BTreeMap::new(),
        }
    }
}
