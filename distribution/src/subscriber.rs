//! A border proxy's part: it holds the scopes that it uses, as one control machine at a time passes them on.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use agree::certificate::{Certificate, CouncilProof, Signer};
use agree::freshness::FreshnessProof;
use agree::{Council, Id};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::batch::BatchPath;
use crate::content::Content;
use crate::nonces::NonceGenerator;
use crate::placement::{ControlMachine, Placement};
use crate::saved::{Restored, SavedState};
use crate::scope::Scope;
use crate::scope_store::{ScopeStore, UpdateOutcome};
use crate::state::ScopeProof;
use crate::token_bucket::TokenBucket;
use crate::trust::{Trust, VerificationError};
use crate::wire::{self, Changes, MAX_DATAGRAM_BYTES, MAX_MESSAGE_SCOPES, Message, Poll, Position};
use crate::{Outgoing, Version};

/// While a poll is unanswered or a transfer is under way, polls go out so many times a heartbeat. More costs
/// bytes; less makes a lost packet cost more time.
const FAST_POLLS_PER_HEARTBEAT: f64 = 4.0;
/// What came is acknowledged after up to this part of a heartbeat, so that the subscribers of a scope do not
/// all do so at once.
const ACKNOWLEDGE_HEARTBEATS: f64 = 1.0 / 8.0;
/// The part by which a heartbeat is drawn shorter or longer, so that those of many do not fall together.
const POLL_JITTER_FRACTION: f64 = 0.1;
/// Polls that are remembered until their answers come. A council that answers later than so many polls gives
/// no age.
const MAX_PENDING_POLLS: usize = 32;
/// Answers on how far decisions were that wait for the scopes to get there.
const MAX_PENDING_FRESHNESS: usize = 16;
/// Seals, councils and freshness proofs that are verified in a heartbeat: each costs up to four signature
/// checks, and a control machine that lies must not keep a processor busy. A burst of changes needs one seal
/// a change.
const VERIFICATIONS_PER_HEARTBEAT: f64 = 64.0;
/// Datagrams that wait to be sent; past that the oldest are lost, as on the network.
const MAX_OUTGOING: usize = 64;
/// Bytes of a poll beside its scopes.
const POLL_HEADER_BYTES: usize = 32;

/// A control machine that answers but brings nothing new for so many heartbeats, while what is held grows older
/// than that, is usually taken for gone. Less leaves one whose council elects a new leader; more costs age where
/// a control machine lies.
pub const LEASE_HEARTBEATS: f64 = 10.0;
/// Bytes of the largest scope that is usually taken: 10,000 servers of a service, all of them drained, take a
/// quarter of it. It bounds memory where a control machine sends without end.
pub const MAX_SCOPE_BYTES: usize = 16 << 20;

/// What is agreed for a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberTerms {
    /// Its key's number.
    pub id: Id,
    /// The region that it is in.
    pub region: u16,
    /// All control machines.
    pub controls: Vec<ControlMachine>,
    /// The council's first members, by the settings.
    pub bootstrap_members: Vec<Id>,
    /// How often it polls when nothing happens: milliseconds.
    pub heartbeat: f64,
    /// A control machine that brings nothing new for so long while the state is older than this is taken for
    /// gone: milliseconds.
    pub lease: f64,
    /// Bytes of the largest scope that is taken.
    pub max_scope_bytes: usize,
}

/// What has happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounts {
    /// Datagrams sent, and their bytes without what carries them.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams from control machines.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams of no form, or of a version that is not known; changes that are not in order or too many.
    pub malformed: u64,
    /// Datagrams from others than control machines, and messages that only subscribers send.
    pub unexpected: u64,
    /// Seals, councils, proofs and freshness whose signatures or paths do not fit.
    pub unverified: u64,
    /// Messages left unread as too many signatures were to be verified.
    pub rate_limited: u64,
    /// Transfers that came to other content than the proved one.
    pub mismatched: u64,
    /// Times that another control machine was taken.
    pub switched: u64,
    /// Times that a control machine said to come later.
    pub deferred: u64,
}

/// How a subscriber stands.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberStatus {
    /// The control machine that serves, and since when in milliseconds.
    pub control: (Id, f64),
    /// Each scope: the index by which it is in force (0: it is not), and its age in milliseconds.
    pub scopes: BTreeMap<Scope, (Version, f64)>,
    /// Since when the newest proved council votes.
    pub council_since: Version,
    /// What has happened so far.
    pub counts: SubscriberCounts,
}

#[derive(Clone, Copy, Debug)]
struct SentPoll {
    nonce: u64,
    to: Id,
    sent_at: f64,
}

/// A subscriber.
#[derive(Clone, Debug)]
pub struct Subscriber<K> {
    terms: SubscriberTerms,
    trust: Trust<K>,
    scopes: BTreeMap<Scope, ScopeStore>,
    placement: Placement,
    nonces: NonceGenerator,
    rng: Pcg64Mcg,
    sent_polls: VecDeque<SentPoll>,
    /// How far decisions were, and when the poll was sent that asked: newer than some scope.
    freshness: VecDeque<(Version, f64)>,
    verification_budget: TokenBucket,
    polled_at: f64,
    poll_at: f64,
    /// When what came is to be acknowledged, if that is before the next poll.
    acknowledge_at: f64,
    /// It was told to come later: no polls until then.
    held_off_until: f64,
    /// When something was last got from a control machine.
    progress_at: f64,
    changed_scopes: BTreeSet<Scope>,
    unsaved: bool,
    outgoing: VecDeque<Outgoing>,
    counts: SubscriberCounts,
}

impl<K: Signer> Subscriber<K> {
    /// A subscriber without any scope. `seed` must not be known to others: what a control machine can
    /// foretell it could answer beforehand.
    pub fn new(terms: SubscriberTerms, keys: K, seed: u64, now: f64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let bootstrap_council = Council::bootstrap(terms.bootstrap_members.iter().copied());
        let (region, heartbeat) = (terms.region, terms.heartbeat);
        let placement = Placement::new(terms.id, region, &terms.controls, heartbeat, now, &mut rng);
        let verifications_per_second = VERIFICATIONS_PER_HEARTBEAT / heartbeat * 1000.0;
        // Those that start together do not all come at once.
        let poll_at = now + 0.5 * heartbeat * rng.random::<f64>();
        Self {
            terms,
            trust: Trust::new(bootstrap_council, keys),
            scopes: BTreeMap::new(),
            placement,
            nonces: NonceGenerator::new(seed),
            rng,
            sent_polls: VecDeque::new(),
            freshness: VecDeque::new(),
            verification_budget: TokenBucket::new(verifications_per_second, VERIFICATIONS_PER_HEARTBEAT, now),
            polled_at: poll_at - heartbeat / FAST_POLLS_PER_HEARTBEAT,
            poll_at,
            acknowledge_at: f64::INFINITY,
            held_off_until: f64::NEG_INFINITY,
            progress_at: now,
            changed_scopes: BTreeSet::new(),
            unsaved: false,
            outgoing: VecDeque::new(),
            counts: SubscriberCounts::default(),
        }
    }

    /// Wants a scope from now on.
    pub fn subscribe(&mut self, scope: Scope, now: f64) {
        if let Entry::Vacant(vacant) = self.scopes.entry(scope) {
            vacant.insert(ScopeStore::default());
            self.schedule_fast_poll(now);
        }
    }

    /// Wants a scope no more: nothing of it is held.
    pub fn unsubscribe(&mut self, scope: Scope) {
        if self.scopes.remove(&scope).is_some() {
            self.changed_scopes.remove(&scope);
            self.unsaved = true;
            self.send(self.placement.current().0, &[Message::Unsubscribe { scopes: vec![scope] }]);
        }
    }

    /// Takes other keys: the roster has changed.
    pub fn rekey(&mut self, keys: K) {
        self.trust.rekey(keys);
    }

    /// The scopes that it wants.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> {
        self.scopes.keys().copied()
    }

    /// What is in force of a scope; none before anything was proved.
    pub fn content(&self, scope: Scope) -> Option<&Content> {
        self.scopes.get(&scope)?.verified().map(|verified| &verified.content)
    }

    /// The index of the seal by which a scope is in force; 0 where nothing is. All decisions up to it are
    /// obeyed here.
    pub fn index(&self, scope: Scope) -> Version {
        self.scopes.get(&scope).map_or(0, ScopeStore::index)
    }

    /// What it has of a scope, as its polls say.
    pub fn position(&self, scope: Scope) -> Option<Position> {
        self.scopes.get(&scope).map(ScopeStore::position)
    }

    /// How old what is in force of a scope can be, in milliseconds; infinity before a voter's word came since
    /// the start.
    pub fn age(&self, scope: Scope, now: f64) -> f64 {
        let since = self.scopes.get(&scope).and_then(ScopeStore::fresh_since);
        since.map_or(f64::INFINITY, |since| now - since)
    }

    /// The next scope whose content has changed.
    pub fn next_changed_scope(&mut self) -> Option<Scope> {
        self.changed_scopes.pop_first()
    }

    /// What is to be kept on the disk, where that has changed since it was last asked for.
    pub fn state_to_save(&mut self) -> Option<Vec<u8>> {
        std::mem::take(&mut self.unsaved).then(|| {
            let verified = self.scopes.iter().filter_map(|(scope, store)| Some((*scope, store.verified()?)));
            SavedState::new(self.trust.council_proofs(), verified).encode()
        })
    }

    /// Puts in force what was kept of the scopes that it wants, as far as it is proved. Its age is not known.
    pub fn restore(&mut self, bytes: &[u8]) -> Restored {
        let mut restored = Restored::default();
        let Some(saved) = SavedState::decode(bytes) else { return restored };
        let council_proofs = saved.council_proofs.clone();
        let bootstrap_council = Council::bootstrap(self.terms.bootstrap_members.iter().copied());
        for scope in saved.verify(&bootstrap_council, self.trust.keys()) {
            let Some((scope, verified)) = scope else {
                restored.unverified += 1;
                continue;
            };
            let Some(store) = self.scopes.get_mut(&scope).filter(|store| store.index() < verified.index())
            else {
                continue;
            };
            if store.restore(verified) {
                restored.scopes += 1;
                self.changed_scopes.insert(scope);
            } else {
                restored.unverified += 1;
            }
        }
        for council_proof in council_proofs {
            if self.trust.advance_council(council_proof).is_err() {
                break;
            }
        }
        restored
    }

    /// A datagram came from a member, as its packet proves.
    pub fn receive(&mut self, now: f64, from: Id, bytes: &[u8]) {
        if !self.placement.order().contains(&from) {
            self.counts.unexpected += 1;
            return;
        }
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let Ok(messages) = wire::decode(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        for message in messages {
            match message {
                Message::Alive { nonce, index } => self.handle_alive(now, from, nonce, index),
                Message::Freshness { nonce, path, proof } => {
                    self.handle_freshness(now, from, nonce, &path, &proof)
                }
                Message::Changes(changes) => self.handle_changes(now, from, changes),
                Message::Proof { scope, index, proof } => self.handle_proof(now, scope, index, proof),
                Message::Certificate(certificate) => self.handle_certificate(now, certificate),
                Message::CouncilProof(council_proof) => self.handle_council_proof(now, council_proof),
                Message::RetryLater { after_ms } => self.handle_retry_later(now, from, f64::from(after_ms)),
                Message::Poll(_) | Message::Unsubscribe { .. } => self.counts.unexpected += 1,
            }
        }
    }

    fn handle_alive(&mut self, now: f64, from: Id, nonce: u64, index: Version) {
        if !self.sent_polls.iter().any(|poll| poll.nonce == nonce && poll.to == from) {
            return;
        }
        if let Some(before) = self.placement.poll_answered(from, now) {
            self.unsubscribe_from(before);
            self.counts.switched += 1;
            (self.poll_at, self.held_off_until) = (now, f64::NEG_INFINITY);
            return;
        }
        if from == self.placement.current().0 {
            self.schedule_poll(false);
            for store in self.scopes.values_mut() {
                store.discard_newer_than(index);
            }
        }
    }

    /// Tells one that it is no longer needed.
    fn unsubscribe_from(&mut self, control: Id) {
        let scopes: Vec<Scope> = self.scopes.keys().copied().collect();
        for scopes in scopes.chunks(MAX_MESSAGE_SCOPES) {
            self.send(control, &[Message::Unsubscribe { scopes: scopes.to_vec() }]);
        }
    }

    fn handle_freshness(&mut self, now: f64, from: Id, nonce: u64, path: &BatchPath, proof: &FreshnessProof) {
        let Some(&poll) = self.sent_polls.iter().find(|poll| poll.nonce == nonce && poll.to == from) else {
            return;
        };
        if !self.verification_budget.try_spend(now, 1.0) {
            self.counts.rate_limited += 1;
            return;
        }
        if !path.verifies(nonce, &proof.nonce) || !self.trust.is_valid_freshness_proof(proof) {
            self.counts.unverified += 1;
            return;
        }
        self.sent_polls.retain(|poll| poll.nonce != nonce);
        self.freshness.push_back((proof.index, poll.sent_at));
        if self.freshness.len() > MAX_PENDING_FRESHNESS {
            self.freshness.pop_front();
        }
        self.update_ages();
    }

    /// What was decided by the time of a poll is known once it is in force.
    fn update_ages(&mut self) {
        for store in self.scopes.values_mut() {
            self.freshness.iter().for_each(|&(index, at)| store.record_freshness(index, at));
        }
        let oldest = self.scopes.values().map(ScopeStore::index).min().unwrap_or(Version::MAX);
        self.freshness.retain(|(index, _)| *index > oldest);
    }

    fn handle_changes(&mut self, now: f64, from: Id, changes: Changes) {
        let (scope, complete) = (changes.scope, changes.complete);
        let Some(store) = self.scopes.get_mut(&scope) else { return };
        let outcome = store.stage(from, changes, self.terms.max_scope_bytes);
        self.record_outcome(now, scope, outcome);
        if outcome == UpdateOutcome::Staged {
            if !complete {
                self.schedule_acknowledgement(now);
            }
            self.apply_verified(now, scope);
        }
    }

    fn handle_proof(&mut self, now: f64, scope: Scope, index: Version, proof: ScopeProof) {
        let Some(store) = self.scopes.get_mut(&scope) else { return };
        if !self.trust.has_certificate(index) {
            return store.defer_proof(index, proof);
        }
        match self.trust.certificate_for(scope, index, &proof) {
            Some(certificate) => store.add_proof(certificate, proof),
            None => self.counts.unverified += 1,
        }
        self.apply_verified(now, scope);
    }

    fn handle_certificate(&mut self, now: f64, certificate: Certificate) {
        let index = certificate.statement.index;
        if self.trust.has_certificate(index) {
            return;
        }
        if !self.verification_budget.try_spend(now, 1.0) {
            self.counts.rate_limited += 1;
            return;
        }
        if let Err(error) = self.trust.add_certificate(certificate) {
            self.counts.unverified += u64::from(error == VerificationError::Unsigned);
            return;
        }
        for scope in self.scopes.keys().copied().collect::<Vec<_>>() {
            let waiting = self.scopes.get_mut(&scope).and_then(|store| store.take_deferred_proof(index));
            if let Some(proof) = waiting {
                self.handle_proof(now, scope, index, proof);
            }
        }
    }

    fn handle_council_proof(&mut self, now: f64, council_proof: CouncilProof) {
        if !self.trust.is_next(&council_proof) {
            return;
        }
        if !self.verification_budget.try_spend(now, 1.0) {
            self.counts.rate_limited += 1;
        } else if self.trust.advance_council(council_proof).is_err() {
            self.counts.unverified += 1;
        } else {
            self.unsaved = true;
            self.progress_at = now;
            self.schedule_fast_poll(now);
        }
    }

    fn apply_verified(&mut self, now: f64, scope: Scope) {
        let Some(store) = self.scopes.get_mut(&scope) else { return };
        let outcome = store.apply_verified();
        self.record_outcome(now, scope, outcome);
        if matches!(outcome, UpdateOutcome::Changed | UpdateOutcome::Confirmed) {
            self.update_ages();
            self.schedule_acknowledgement(now);
        }
    }

    fn record_outcome(&mut self, now: f64, scope: Scope, outcome: UpdateOutcome) {
        match outcome {
            UpdateOutcome::NoEffect => return,
            UpdateOutcome::Malformed => {
                self.counts.malformed += 1;
                return;
            }
            UpdateOutcome::Mismatch(source) => {
                self.counts.mismatched += 1;
                if source == Some(self.placement.current().0) {
                    self.placement.suspect(now, &mut self.rng);
                }
                return self.schedule_fast_poll(now);
            }
            UpdateOutcome::Changed => {
                self.changed_scopes.insert(scope);
                self.unsaved = true;
            }
            UpdateOutcome::Staged | UpdateOutcome::Confirmed => {}
        }
        self.progress_at = now;
    }

    /// Says before long what it has.
    fn schedule_acknowledgement(&mut self, now: f64) {
        let soon = ACKNOWLEDGE_HEARTBEATS * self.terms.heartbeat;
        let at = (now + soon * self.rng.random::<f64>()).max(self.polled_at + soon);
        self.acknowledge_at = self.acknowledge_at.min(at).max(self.held_off_until);
    }

    /// Polls at the pace of what is unanswered.
    fn schedule_fast_poll(&mut self, now: f64) {
        let at = self.polled_at + self.terms.heartbeat / FAST_POLLS_PER_HEARTBEAT;
        self.poll_at = self.poll_at.min(at.max(now)).max(self.held_off_until);
    }

    fn handle_retry_later(&mut self, now: f64, from: Id, after: f64) {
        if from != self.placement.current().0 {
            return;
        }
        self.counts.deferred += 1;
        self.placement.poll_answered(from, now);
        self.held_off_until = now + after.min(self.terms.lease);
        self.poll_at = self.poll_at.max(self.held_off_until);
    }

    /// Time has passed.
    pub fn turn(&mut self, now: f64) {
        if now >= self.lease_expires_at() {
            self.progress_at = now;
            self.placement.suspect(now, &mut self.rng);
        }
        if self.placement.turn(now, &mut self.rng) {
            self.counts.switched += 1;
            self.held_off_until = f64::NEG_INFINITY;
            self.progress_at = now;
            self.poll_at = now;
        }
        if let Some(other) = self.placement.next_retry(now, &mut self.rng) {
            self.send_poll(now, other, Vec::new());
        }
        if now >= self.poll_at.min(self.acknowledge_at) {
            self.poll_all(now);
        }
    }

    /// When the control machine that serves is taken for gone, as it answers but brings nothing.
    fn lease_expires_at(&self) -> f64 {
        let oldest = |at: f64, of: &ScopeStore| at.min(of.fresh_since().unwrap_or(f64::NEG_INFINITY));
        let fresh = self.scopes.values().fold(f64::INFINITY, oldest);
        let since = fresh.max(self.progress_at).max(self.placement.current().1);
        since + self.terms.lease
    }

    fn poll_all(&mut self, now: f64) {
        let to = self.placement.current().0;
        let positions = self.scopes.iter().map(|(scope, store)| (*scope, store.position())).collect();
        for scopes in split_into_datagrams(positions) {
            self.send_poll(now, to, scopes);
        }
        self.placement.poll_sent(now);
        (self.polled_at, self.acknowledge_at) = (now, f64::INFINITY);
        self.schedule_poll(true);
    }

    /// Sets when the next poll is due, unless something is to be acknowledged before.
    fn schedule_poll(&mut self, unanswered: bool) {
        let jitter = self.rng.random_range(1.0 - POLL_JITTER_FRACTION..1.0 + POLL_JITTER_FRACTION);
        let in_progress = unanswered || self.scopes.values().any(ScopeStore::is_in_progress);
        let pace =
            if in_progress { self.terms.heartbeat / FAST_POLLS_PER_HEARTBEAT } else { self.terms.heartbeat };
        self.poll_at = (self.polled_at + jitter * pace).max(self.held_off_until);
    }

    fn send_poll(&mut self, now: f64, to: Id, scopes: Vec<(Scope, Position)>) {
        let poll =
            Poll { nonce: self.nonces.next_nonce(), council_since: self.trust.council_since(), scopes };
        self.sent_polls.push_back(SentPoll { nonce: poll.nonce, to, sent_at: now });
        if self.sent_polls.len() > MAX_PENDING_POLLS {
            self.sent_polls.pop_front();
        }
        self.send(to, &[Message::Poll(poll)]);
    }

    fn send(&mut self, to: Id, messages: &[Message]) {
        for bytes in wire::encode(messages) {
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            self.outgoing.push_back(Outgoing { to, bytes });
        }
        while self.outgoing.len() > MAX_OUTGOING {
            self.outgoing.pop_front();
        }
    }

    /// When [`Subscriber::turn`] is to be called at the latest.
    pub fn due(&self) -> f64 {
        self.poll_at.min(self.acknowledge_at).min(self.placement.due()).min(self.lease_expires_at())
    }

    /// The next datagram to be sent.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// How it stands.
    pub fn status(&self, now: f64) -> SubscriberStatus {
        let (control, since) = self.placement.current();
        let scope = |(scope, store): (&Scope, &ScopeStore)| (*scope, (store.index(), self.age(*scope, now)));
        SubscriberStatus {
            control: (control, now - since),
            scopes: self.scopes.iter().map(scope).collect(),
            council_since: self.trust.council_since(),
            counts: self.counts,
        }
    }
}

/// Positions in runs that each fit a datagram; one empty run where there are none.
fn split_into_datagrams(positions: Vec<(Scope, Position)>) -> Vec<Vec<(Scope, Position)>> {
    let (mut chunks, mut remaining_bytes) = (vec![Vec::new()], MAX_DATAGRAM_BYTES - POLL_HEADER_BYTES);
    for position in positions {
        let size = postcard::experimental::serialized_size(&position).expect("plain data");
        let last = chunks.last_mut().expect("never empty");
        if size > remaining_bytes || last.len() == MAX_MESSAGE_SCOPES {
            remaining_bytes = MAX_DATAGRAM_BYTES - POLL_HEADER_BYTES;
            chunks.push(vec![position]);
        } else {
            last.push(position);
        }
        remaining_bytes = remaining_bytes.saturating_sub(size);
    }
    chunks
}
