//! Who may vote when a process starts. A disk that is new, damaged or an older copy could have its member
//! vote twice, or forget what others were told that it has; so a member asks the others first.
//!
//! At the founding nobody has a vote: each waits until all others say so, is then ready, and votes once all
//! others are at least ready. So whoever finds a founder that votes while its own disk is new has lost its
//! state, and gets no vote from it; it is let in anew under the number that its disk drew. Later starts wait
//! for the others' word too: of all, or after a while of so many that a majority is together.

use std::collections::{BTreeMap, BTreeSet};

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::council::{Council, Voter};
use crate::disk;
use crate::election::{ELECTION_TIMEOUT_HEARTBEATS, RoleState};
use crate::log::{Index, Term};
use crate::machine::Machine;
use crate::wire::{Message, Stage};

/// One that has no vote asks only once in so many beats: an operator has to let it in.
const EXCLUDED_QUERY_HEARTBEATS: u64 = 10;
/// Lives of one member of which something is known; more only where one draws life upon life.
const MAX_DISK_IDS: usize = 4;

/// What is known of a member's disk from what the member said.
#[derive(Clone, Copy, Debug, Default)]
struct PeerHistory {
    /// The latest term that it spoke in.
    term: Term,
    /// Up to where it said that it has the log.
    acked: Index,
}

/// What others have said since the start.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    nonce: u64,
    started_at: f64,
    peer_stages: BTreeMap<Id, Stage>,
    /// Its disk is no older than what others know.
    pub(crate) disk_verified: bool,
    /// What this process knows of others, by the life that they spoke under: what a lost disk held says nothing
    /// about the new disk of a member that is let in anew.
    histories: BTreeMap<Voter, PeerHistory>,
    /// Lives of those who have no vote by them, for an operator who lets them in.
    pub(crate) unadmitted_disks: BTreeMap<Id, u64>,
}

impl Bootstrap {
    pub fn new(nonce: u64, started_at: f64) -> Self {
        let (peer_stages, histories, unadmitted_disks) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { nonce, started_at, peer_stages, disk_verified: false, histories, unadmitted_disks }
    }
}

/// The life that a member votes under, by its stage and the number that its disk drew.
fn voting_disk_id(stage: Stage, drawn: u64) -> u64 {
    if stage == Stage::Voting { 0 } else { drawn }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// The number that its votes go by.
    pub(crate) fn disk_id(&self) -> u64 {
        voting_disk_id(self.persisted.stage, self.persisted.disk_id)
    }

    /// Who votes, as far as this proxy knows: by its log, or by a proof of a council that its log does not
    /// reach, or that refutes its log's.
    pub(crate) fn voters(&self) -> &Council {
        let use_trusted = self.trusted.0 > self.persisted.log.council_version() || self.is_council_refuted();
        if use_trusted { &self.trusted.1 } else { self.persisted.log.council() }
    }

    /// Whether a proof shows that the newest council of its log was never decided: an older council still votes
    /// at a later index. A member that is seated by such a council alone is sent nothing by the leader, and would
    /// take nothing from others, until an operator lets it in.
    fn is_council_refuted(&self) -> bool {
        let logged = self.persisted.log.council_version();
        self.dissemination.certificate.as_ref().is_some_and(|certificate| {
            let statement = &certificate.statement;
            statement.version == self.trusted.0 && statement.version < logged && statement.index >= logged
        })
    }

    /// Whether it has a seat by its disk's life.
    pub(crate) fn is_voter(&self) -> bool {
        self.voters().voter(self.id).is_some_and(|voter| voter.disk_id == self.disk_id())
    }

    pub(crate) fn may_vote(&self) -> bool {
        self.bootstrap.disk_verified && self.disk.is_writable() && self.is_voter()
    }

    fn expected_members(&self) -> BTreeSet<Id> {
        let members = self.terms.bootstrap_members.iter().copied();
        members.chain(self.persisted.log.council().ids()).filter(|&id| id != self.id).collect()
    }

    /// Asks the others, until it is known how this one stands.
    pub(crate) fn query_bootstrap_peers(&mut self, now: f64) {
        if !self.persists_state() || (self.bootstrap.disk_verified && self.is_voter()) {
            return;
        }
        let excluded = self.persisted.stage == Stage::New
            && self.bootstrap.peer_stages.values().any(|&stage| stage == Stage::Voting);
        if excluded && !self.is_voter() && !self.heartbeats.is_multiple_of(EXCLUDED_QUERY_HEARTBEATS) {
            return;
        }
        let (nonce, stage, disk_id) = (self.bootstrap.nonce, self.persisted.stage, self.persisted.disk_id);
        for to in self.expected_members() {
            self.send_after_sync(to, &Message::Hello { nonce, stage, disk_id });
        }
        self.evaluate_stage(now);
    }

    pub(crate) fn handle_hello(&mut self, from: Id, nonce: u64, stage: Stage, disk_id: u64) {
        if !self.persists_state() {
            return;
        }
        let own_stage = self.reported_stage();
        if stage == Stage::New && own_stage == Stage::Voting && self.expected_members().contains(&from) {
            self.bootstrap.unadmitted_disks.insert(from, disk_id);
        }
        // What it said that it has counts no more until it says so again.
        if let RoleState::Leader(lead) = &mut self.role_state
            && let Some(progress) = lead.progress.get_mut(&from)
        {
            let (former_disk_id, matched) = (progress.disk_id, progress.matched);
            (progress.matched, progress.disk_matches) = (0, false);
            self.record_history(from, former_disk_id, 0, matched.min(self.decided));
        }
        // One that is ready is about to vote as a founder: it asks for that seat.
        let claimed = Voter { id: from, disk_id: if stage == Stage::New { disk_id } else { 0 } };
        let PeerHistory { term, acked } = self.bootstrap.histories.get(&claimed).copied().unwrap_or_default();
        self.send_after_sync(from, &Message::HelloResponse { nonce, stage: own_stage, term, acked });
    }

    /// How it stands to one that asks: a member that was let in anew votes like a founder.
    fn reported_stage(&self) -> Stage {
        if self.is_voter() { Stage::Voting } else { self.persisted.stage }
    }

    pub(crate) fn handle_hello_response(
        &mut self,
        now: f64,
        from: Id,
        nonce: u64,
        stage: Stage,
        term: Term,
        acked: Index,
    ) {
        if nonce != self.bootstrap.nonce || !self.expected_members().contains(&from) {
            return;
        }
        // Somebody knows of what this disk does not: it is an older copy.
        let disk_is_older = term > self.persisted.term || acked > self.persisted.log.last().index;
        let claims_vote = self.is_voter() || self.persisted.stage == Stage::Ready;
        if disk_is_older && !self.bootstrap.disk_verified && claims_vote {
            self.counts.outdated += 1;
            self.discard_disk_id();
        }
        self.bootstrap.peer_stages.insert(from, stage);
        self.evaluate_stage(now);
    }

    /// Its votes until now count no more; let in again, it votes under another number.
    fn discard_disk_id(&mut self) {
        use rand::Rng;
        (self.persisted.stage, self.persisted.disk_id) = (Stage::New, self.rng.random_range(1..=u64::MAX));
        self.persist(disk::encode_disk_state(self.persisted.stage, self.persisted.disk_id));
    }

    fn evaluate_stage(&mut self, now: f64) {
        let expected = self.expected_members();
        let peer_stages = &self.bootstrap.peer_stages;
        let all = |accepts: &dyn Fn(Stage) -> bool| {
            expected.iter().all(|id| peer_stages.get(id).is_some_and(|&stage| accepts(stage)))
        };
        let timeout = ELECTION_TIMEOUT_HEARTBEATS * self.terms.heartbeat;
        let council = self.persisted.log.council();
        let majority_answered =
            council.is_majority(|voter| voter.id == self.id || peer_stages.contains_key(&voter.id));
        let disk_verified =
            all(&|_| true) || (now - self.bootstrap.started_at >= timeout && majority_answered);
        let next = match self.persisted.stage {
            // Only at the founding, before any entry: a seat that was lost later is not had again this way.
            Stage::New
                if self.persisted.log.council_version() == 0 && all(&|stage| stage != Stage::Voting) =>
            {
                Stage::Ready
            }
            Stage::Ready if all(&|stage| stage != Stage::New) => Stage::Voting,
            stage => stage,
        };
        if next != self.persisted.stage && self.terms.bootstrap_members.contains(&self.id) {
            self.persisted.stage = next;
            self.persist(disk::encode_disk_state(next, self.persisted.disk_id));
        }
        self.bootstrap.disk_verified |= disk_verified;
    }

    /// A member of the council spoke in a term under one of its lives, or said up to where it has the log.
    pub(crate) fn record_history(&mut self, from: Id, disk_id: u64, term: Term, acked: Index) {
        let Some(current) = self.persisted.log.council().voter(from) else { return };
        let peer = Voter { id: from, disk_id };
        let history = self.bootstrap.histories.entry(peer).or_default();
        *history = PeerHistory { term: history.term.max(term), acked: history.acked.max(acked) };
        // What a member says is signed by it: with many lives it only drives out what is known of itself.
        let disk_ids = Voter { id: from, disk_id: 0 }..=Voter { id: from, disk_id: u64::MAX };
        let others = self.bootstrap.histories.range(disk_ids).map(|(&voter, _)| voter);
        let others: Vec<Voter> = others.filter(|&voter| voter != peer && voter != current).collect();
        if others.len() + 2 > MAX_DISK_IDS {
            self.bootstrap.histories.remove(&others[0]);
        }
    }
}
