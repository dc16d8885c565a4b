//! Decides whether a member may vote after its process started. With a new, damaged or outdated disk it
//! could vote twice, or lose entries that it had acknowledged. So a member queries the other members first.
//!
//! At the bootstrap nobody has a vote: each member waits until all others report the same, is then ready,
//! and votes once all others are at least ready. A member with a new disk that finds another bootstrap
//! member voting has therefore lost its state, and has no vote. It is readmitted under the id that its new
//! disk drew. Later starts also wait for the responses of the others: of all, or after a timeout of enough
//! for a majority.

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

/// Heartbeats between two queries of a member without a vote: it waits for an operator to readmit it.
const EXCLUDED_QUERY_HEARTBEATS: u64 = 10;
/// Disk ids of one member for which history is kept. More only occur when a member draws new ids
/// repeatedly.
const MAX_DISK_IDS: usize = 4;

/// What is known of a member's disk from the member's own messages.
#[derive(Clone, Copy, Debug, Default)]
struct PeerHistory {
    /// The latest term in which it sent a message.
    term: Term,
    /// The last index that it acknowledged to have in its log.
    acked: Index,
}

/// The responses of the others since the start.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    nonce: u64,
    started_at: f64,
    peer_stages: BTreeMap<Id, Stage>,
    /// Whether the disk is known to be no older than what the others know.
    pub(crate) disk_verified: bool,
    /// What this process knows of other members, by the disk id that they used. The history of a lost disk
    /// says nothing about the new disk of a readmitted member.
    histories: BTreeMap<Voter, PeerHistory>,
    /// Disk ids of members that have no vote by them, for an operator who readmits them.
    pub(crate) unadmitted_disks: BTreeMap<Id, u64>,
}

impl Bootstrap {
    /// Starts waiting for responses that carry `nonce`.
    pub fn new(nonce: u64, started_at: f64) -> Self {
        let (peer_stages, histories, unadmitted_disks) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { nonce, started_at, peer_stages, disk_verified: false, histories, unadmitted_disks }
    }
}

/// The disk id that a member votes under: 0 for a bootstrap member with its first disk, else the number
/// that its disk drew.
fn voting_disk_id(stage: Stage, drawn: u64) -> u64 {
    if stage == Stage::Voting { 0 } else { drawn }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// The disk id that its votes count under.
    pub(crate) fn disk_id(&self) -> u64 {
        voting_disk_id(self.persisted.stage, self.persisted.disk_id)
    }

    /// The current voters as far as this proxy knows: by its log, or by a proof of a council that its log
    /// does not reach or that refutes the log's council.
    pub(crate) fn voters(&self) -> &Council {
        let use_trusted = self.trusted.0 > self.persisted.log.council_version() || self.is_council_refuted();
        if use_trusted { &self.trusted.1 } else { self.persisted.log.council() }
    }

    /// Whether a certificate shows that the newest council of the log was never decided: an older council
    /// still votes at a later index. A member that is a voter only in such a council gets nothing from the
    /// leader and would accept nothing from others until an operator readmits it.
    fn is_council_refuted(&self) -> bool {
        let logged = self.persisted.log.council_version();
        self.dissemination.certificate.as_ref().is_some_and(|certificate| {
            let statement = &certificate.statement;
            statement.version == self.trusted.0 && statement.version < logged && statement.index >= logged
        })
    }

    /// Whether this proxy is a voter under its own disk id.
    pub(crate) fn is_voter(&self) -> bool {
        self.voters().voter(self.id).is_some_and(|voter| voter.disk_id == self.disk_id())
    }

    /// Whether this member's votes and acknowledgements may count.
    pub(crate) fn may_vote(&self) -> bool {
        self.bootstrap.disk_verified && self.disk.is_writable() && self.is_voter()
    }

    /// All other bootstrap members and council members.
    fn expected_members(&self) -> BTreeSet<Id> {
        let members = self.terms.bootstrap_members.iter().copied();
        members.chain(self.persisted.log.council().ids()).filter(|&id| id != self.id).collect()
    }

    /// Queries the other members until it is known whether this one may vote.
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

    /// Answers a member that has started and queries the others.
    pub(crate) fn handle_hello(&mut self, from: Id, nonce: u64, stage: Stage, disk_id: u64) {
        if !self.persists_state() {
            return;
        }
        let own_stage = self.reported_stage();
        if stage == Stage::New && own_stage == Stage::Voting && self.expected_members().contains(&from) {
            self.bootstrap.unadmitted_disks.insert(from, disk_id);
        }
        // What it acknowledged no longer counts until it acknowledges it again.
        if let RoleState::Leader(leader_state) = &mut self.role_state
            && let Some(progress) = leader_state.progress.get_mut(&from)
        {
            let (former_disk_id, matched) = (progress.disk_id, progress.matched);
            (progress.matched, progress.disk_matches) = (0, false);
            self.record_history(from, former_disk_id, 0, matched.min(self.decided));
        }
        // A member that is ready is about to vote as a bootstrap member, under disk id 0.
        let claimed = Voter { id: from, disk_id: if stage == Stage::New { disk_id } else { 0 } };
        let PeerHistory { term, acked } = self.bootstrap.histories.get(&claimed).copied().unwrap_or_default();
        self.send_after_sync(from, &Message::HelloResponse { nonce, stage: own_stage, term, acked });
    }

    /// The stage reported to a member that asks. A readmitted member votes like a bootstrap member.
    fn reported_stage(&self) -> Stage {
        if self.is_voter() { Stage::Voting } else { self.persisted.stage }
    }

    /// Handles the answer to [`Message::Hello`].
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
        // Another member knows something that this disk does not have: the disk is an older copy.
        let disk_is_older = term > self.persisted.term || acked > self.persisted.log.last().index;
        let claims_vote = self.is_voter() || self.persisted.stage == Stage::Ready;
        if disk_is_older && !self.bootstrap.disk_verified && claims_vote {
            self.counts.outdated += 1;
            self.discard_disk_id();
        }
        self.bootstrap.peer_stages.insert(from, stage);
        self.evaluate_stage(now);
    }

    /// Gives up the right to vote under the current disk id. Once readmitted, this member votes under the
    /// new one.
    fn discard_disk_id(&mut self) {
        use rand::Rng;
        (self.persisted.stage, self.persisted.disk_id) = (Stage::New, self.rng.random_range(1..=u64::MAX));
        self.persist(disk::encode_disk_state(self.persisted.stage, self.persisted.disk_id));
    }

    /// Advances the stage and verifies the disk by the responses so far.
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
            // Only at the bootstrap, before any council change: a vote that was lost later does not come
            // back this way.
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

    /// Records that a council member sent a message in a term under a disk id, or acknowledged the log up
    /// to an index.
    pub(crate) fn record_history(&mut self, from: Id, disk_id: u64, term: Term, acked: Index) {
        let Some(current) = self.persisted.log.council().voter(from) else { return };
        let peer = Voter { id: from, disk_id };
        let history = self.bootstrap.histories.entry(peer).or_default();
        *history = PeerHistory { term: history.term.max(term), acked: history.acked.max(acked) };
        // A member's messages are authenticated, so many disk ids only displace the history of that same
        // member.
        let disk_ids = Voter { id: from, disk_id: 0 }..=Voter { id: from, disk_id: u64::MAX };
        let others = self.bootstrap.histories.range(disk_ids).map(|(&voter, _)| voter);
        let others: Vec<Voter> = others.filter(|&voter| voter != peer && voter != current).collect();
        if others.len() + 2 > MAX_DISK_IDS {
            self.bootstrap.histories.remove(&others[0]);
        }
    }
}
