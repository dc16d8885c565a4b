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
use crate::election::{PATIENCE_BEATS, Post};
use crate::log::{Index, Term};
use crate::machine::Machine;
use crate::wire::{Message, Stage};

/// One that has no vote asks only once in so many beats: an operator has to let it in.
const BARRED_BEATS: u64 = 10;
/// Lives of one member of which something is known; more only where one draws life upon life.
const MOST_LIVES: usize = 4;

/// What is known of a member's disk from what the member said.
#[derive(Clone, Copy, Debug, Default)]
struct Met {
    /// The latest term that it spoke in.
    term: Term,
    /// Up to where it said that it has the log.
    acked: Index,
}

/// What others have said since the start.
#[derive(Clone, Debug)]
pub struct Founding {
    nonce: u64,
    began: f64,
    known: BTreeMap<Id, Stage>,
    /// Its disk is no older than what others know.
    pub(crate) checked: bool,
    /// What this process knows of others, by the life that they spoke under: what a lost disk held says nothing
    /// about the new disk of a member that is let in anew.
    met: BTreeMap<Voter, Met>,
    /// Lives of those who have no vote by them, for an operator who lets them in.
    pub(crate) lives: BTreeMap<Id, u64>,
}

impl Founding {
    pub fn new(nonce: u64, began: f64) -> Self {
        let (known, met, lives) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { nonce, began, known, checked: false, met, lives }
    }
}

/// The life that a member votes under, by its stage and the number that its disk drew.
fn voting_disk_id(stage: Stage, drawn: u64) -> u64 {
    if stage == Stage::Founder { 0 } else { drawn }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// The number that its votes go by.
    pub(crate) fn disk_id(&self) -> u64 {
        voting_disk_id(self.kept.stage, self.kept.disk_id)
    }

    /// Who votes, as far as this proxy knows: by its log, or by a proof of a council that its log does not
    /// reach, or that refutes its log's.
    pub(crate) fn voters(&self) -> &Council {
        let proved = self.trust.0 > self.kept.log.version() || self.is_council_refuted();
        if proved { &self.trust.1 } else { self.kept.log.council() }
    }

    /// Whether a proof shows that the newest council of its log was never decided: an older council still votes
    /// at a later index. A member that is seated by such a council alone is sent nothing by the leader, and would
    /// take nothing from others, until an operator lets it in.
    fn is_council_refuted(&self) -> bool {
        let logged = self.kept.log.version();
        self.following.seal.as_ref().is_some_and(|seal| {
            let of = &seal.statement;
            of.version == self.trust.0 && of.version < logged && of.index >= logged
        })
    }

    /// Whether it has a seat by its disk's life.
    pub(crate) fn is_seated(&self) -> bool {
        self.voters().voter(self.id).is_some_and(|voter| voter.disk_id == self.disk_id())
    }

    pub(crate) fn may_vote(&self) -> bool {
        self.founding.checked && self.disk.is_sound() && self.is_seated()
    }

    fn named(&self) -> BTreeSet<Id> {
        let founders = self.terms.bootstrap_members.iter().copied();
        founders.chain(self.kept.log.council().ids()).filter(|&id| id != self.id).collect()
    }

    /// Asks the others, until it is known how this one stands.
    pub(crate) fn found(&mut self, now: f64) {
        if !self.keeps() || (self.founding.checked && self.is_seated()) {
            return;
        }
        let barred = self.kept.stage == Stage::Fresh
            && self.founding.known.values().any(|&stage| stage == Stage::Founder);
        if barred && !self.is_seated() && !self.beats.is_multiple_of(BARRED_BEATS) {
            return;
        }
        let (nonce, stage, disk_id) = (self.founding.nonce, self.kept.stage, self.kept.disk_id);
        for to in self.named() {
            self.send_kept(to, &Message::Hello { nonce, stage, disk_id });
        }
        self.judge(now);
    }

    pub(crate) fn hello(&mut self, from: Id, nonce: u64, stage: Stage, disk_id: u64) {
        if !self.keeps() {
            return;
        }
        let stands = self.stands();
        if stage == Stage::Fresh && stands == Stage::Founder && self.named().contains(&from) {
            self.founding.lives.insert(from, disk_id);
        }
        // What it said that it has counts no more until it says so again.
        if let Post::Leading(lead) = &mut self.post
            && let Some(progress) = lead.progress.get_mut(&from)
        {
            let (former, has) = (progress.disk_id, progress.has);
            (progress.has, progress.counts) = (0, false);
            self.met(from, former, 0, has.min(self.decided));
        }
        // One that is ready is about to vote as a founder: it asks for that seat.
        let asks = Voter { id: from, disk_id: if stage == Stage::Fresh { disk_id } else { 0 } };
        let Met { term, acked } = self.founding.met.get(&asks).copied().unwrap_or_default();
        self.send_kept(from, &Message::Known { nonce, stage: stands, term, acked });
    }

    /// How it stands to one that asks: a member that was let in anew votes like a founder.
    fn stands(&self) -> Stage {
        if self.is_seated() { Stage::Founder } else { self.kept.stage }
    }

    pub(crate) fn known(&mut self, now: f64, from: Id, nonce: u64, stage: Stage, term: Term, acked: Index) {
        if nonce != self.founding.nonce || !self.named().contains(&from) {
            return;
        }
        // Somebody knows of what this disk does not: it is an older copy.
        let older = term > self.kept.term || acked > self.kept.log.last().index;
        let claims_seat = self.is_seated() || self.kept.stage == Stage::Ready;
        if older && !self.founding.checked && claims_seat {
            self.counts.outdated += 1;
            self.lose_seat();
        }
        self.founding.known.insert(from, stage);
        self.judge(now);
    }

    /// Its votes until now count no more; let in again, it votes under another number.
    fn lose_seat(&mut self) {
        use rand::Rng;
        (self.kept.stage, self.kept.disk_id) = (Stage::Fresh, self.chance.random_range(1..=u64::MAX));
        self.keep(disk::seat(self.kept.stage, self.kept.disk_id));
    }

    fn judge(&mut self, now: f64) {
        let named = self.named();
        let known = &self.founding.known;
        let all = |fit: &dyn Fn(Stage) -> bool| named.iter().all(|id| known.get(id).is_some_and(|&s| fit(s)));
        let patience = PATIENCE_BEATS * self.terms.heartbeat;
        let council = self.kept.log.council();
        let heard = council.is_majority(|voter| voter.id == self.id || known.contains_key(&voter.id));
        let checked = all(&|_| true) || (now - self.founding.began >= patience && heard);
        let next = match self.kept.stage {
            // Only at the founding, before any entry: a seat that was lost later is not had again this way.
            Stage::Fresh if self.kept.log.version() == 0 && all(&|stage| stage != Stage::Founder) => {
                Stage::Ready
            }
            Stage::Ready if all(&|stage| stage != Stage::Fresh) => Stage::Founder,
            stage => stage,
        };
        if next != self.kept.stage && self.terms.bootstrap_members.contains(&self.id) {
            self.kept.stage = next;
            self.keep(disk::seat(next, self.kept.disk_id));
        }
        self.founding.checked |= checked;
    }

    /// A member of the council spoke in a term under one of its lives, or said up to where it has the log.
    pub(crate) fn met(&mut self, from: Id, disk_id: u64, term: Term, acked: Index) {
        let Some(seated) = self.kept.log.council().voter(from) else { return };
        let spoke = Voter { id: from, disk_id };
        let met = self.founding.met.entry(spoke).or_default();
        *met = Met { term: met.term.max(term), acked: met.acked.max(acked) };
        // What a member says is signed by it: with many lives it only drives out what is known of itself.
        let lives = Voter { id: from, disk_id: 0 }..=Voter { id: from, disk_id: u64::MAX };
        let others = self.founding.met.range(lives).map(|(&voter, _)| voter);
        let others: Vec<Voter> = others.filter(|&voter| voter != spoke && voter != seated).collect();
        if others.len() + 2 > MOST_LIVES {
            self.founding.met.remove(&others[0]);
        }
    }
}
