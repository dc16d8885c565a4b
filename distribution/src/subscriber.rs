//! The border proxy's part: it holds the scopes that it uses, received from one control machine at a time.

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

/// Polls per heartbeat while a poll is unanswered or a transfer is in progress. A larger value costs bytes; a
/// smaller one makes a lost packet cost more time.
const FAST_POLLS_PER_HEARTBEAT: f64 = 4.0;
/// Maximum delay of an acknowledgement in heartbeats, drawn at random so that the subscribers of a scope do
/// not all acknowledge at once.
const ACKNOWLEDGE_HEARTBEATS: f64 = 1.0 / 8.0;
/// Fraction by which a poll interval is drawn shorter or longer, so that the polls of many subscribers do not
/// coincide.
const POLL_JITTER_FRACTION: f64 = 0.1;
/// Number of polls remembered until they are answered. A council that answers later than this many polls
/// gives no age.
const MAX_PENDING_POLLS: usize = 32;
/// Number of freshness proofs kept until the scopes reach their index.
const MAX_PENDING_FRESHNESS: usize = 16;
/// Certificates, council proofs and freshness proofs verified per heartbeat: each costs up to four signature
/// checks, and a faulty control machine must not keep a processor busy. A burst of changes needs one
/// certificate per change.
const VERIFICATIONS_PER_HEARTBEAT: f64 = 64.0;
/// Maximum number of datagrams waiting to be sent; past that the oldest are dropped, as on the network.
const MAX_OUTGOING: usize = 64;
/// Bytes of a poll without its scopes.
const POLL_HEADER_BYTES: usize = 32;

/// Usual lease in heartbeats: a control machine that answers but sends nothing new for this long, while the
/// state held grows older than that, is taken for failed. A smaller value leaves a machine whose council
/// elects a new leader; a larger one costs age with a faulty control machine.
pub const LEASE_HEARTBEATS: f64 = 10.0;
/// Usual limit for the size of a scope in bytes: 10,000 servers of a service, all of them drained, take a
/// quarter of it. It bounds memory if a control machine sends without end.
pub const MAX_SCOPE_BYTES: usize = 16 << 20;

/// Configuration of a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberTerms {
    /// Number of its key.
    pub id: Id,
    /// The region that it is in.
    pub region: u16,
    /// All control machines.
    pub controls: Vec<ControlMachine>,
    /// The council's first members, from the settings.
    pub bootstrap_members: Vec<Id>,
    /// Interval between polls when nothing happens, in milliseconds.
    pub heartbeat: f64,
    /// A control machine that sends nothing new for this long, while the state is older than this, is taken
    /// for failed: milliseconds.
    pub lease: f64,
    /// Maximum size of a scope in bytes.
    pub max_scope_bytes: usize,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without the packets around them.
    pub sent_bytes: u64,
    /// Datagrams from control machines.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams that could not be decoded, or of an unknown version; changes that are out of order or too
    /// large.
    pub malformed: u64,
    /// Datagrams from others than control machines, and messages that only subscribers send.
    pub unexpected: u64,
    /// Certificates, council proofs, scope proofs and freshness proofs with invalid signatures or paths.
    pub unverified: u64,
    /// Messages ignored because too many signatures were to be verified.
    pub rate_limited: u64,
    /// Transfers whose content did not match the proof.
    pub mismatched: u64,
    /// Switches to another control machine.
    pub switched: u64,
    /// Times that a control machine asked to poll again later.
    pub deferred: u64,
}

/// Status of a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberStatus {
    /// The control machine that serves, and for how long in milliseconds.
    pub control: (Id, f64),
    /// For each scope: the index by which it is in force (0 if it is not), and its age in milliseconds.
    pub scopes: BTreeMap<Scope, (Version, f64)>,
    /// The decision since which the newest proved council votes.
    pub council_since: Version,
    /// Counters since the start.
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
    /// Decided indexes from freshness proofs that some scope has not reached, with the time of the poll that
    /// each proof answers.
    freshness: VecDeque<(Version, f64)>,
    verification_budget: TokenBucket,
    polled_at: f64,
    poll_at: f64,
    /// When to acknowledge what arrived, if that is before the next poll.
    acknowledge_at: f64,
    /// No polls until then, as a control machine requested.
    held_off_until: f64,
    /// When something useful last arrived from a control machine.
    progress_at: f64,
    changed_scopes: BTreeSet<Scope>,
    unsaved: bool,
    outgoing: VecDeque<Outgoing>,
    counts: SubscriberCounts,
}

impl<K: Signer> Subscriber<K> {
    /// Creates a subscriber without scopes. `seed` must be secret: a control machine could answer in advance
    /// what it can predict.
    pub fn new(terms: SubscriberTerms, keys: K, seed: u64, now: f64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let bootstrap_council = Council::bootstrap(terms.bootstrap_members.iter().copied());
        let (region, heartbeat) = (terms.region, terms.heartbeat);
        let placement = Placement::new(terms.id, region, &terms.controls, heartbeat, now, &mut rng);
        let verifications_per_second = VERIFICATIONS_PER_HEARTBEAT / heartbeat * 1000.0;
        // Random, so that subscribers that start together do not all poll at once.
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

    /// Subscribes to a scope.
    pub fn subscribe(&mut self, scope: Scope, now: f64) {
        if let Entry::Vacant(vacant) = self.scopes.entry(scope) {
            vacant.insert(ScopeStore::default());
            self.schedule_fast_poll(now);
        }
    }

    /// Unsubscribes from a scope and drops its content.
    pub fn unsubscribe(&mut self, scope: Scope) {
        if self.scopes.remove(&scope).is_some() {
            self.changed_scopes.remove(&scope);
            self.unsaved = true;
            self.send(self.placement.current().0, &[Message::Unsubscribe { scopes: vec![scope] }]);
        }
    }

    /// Replaces the keys after a change of the roster.
    pub fn rekey(&mut self, keys: K) {
        self.trust.rekey(keys);
    }

    /// The subscribed scopes.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> {
        self.scopes.keys().copied()
    }

    /// The content in force of a scope; `None` before any was proved.
    pub fn content(&self, scope: Scope) -> Option<&Content> {
        self.scopes.get(&scope)?.verified().map(|verified| &verified.content)
    }

    /// The index of the certificate by which a scope is in force; 0 if nothing is. All decisions up to it are
    /// applied here.
    pub fn index(&self, scope: Scope) -> Version {
        self.scopes.get(&scope).map_or(0, ScopeStore::index)
    }

    /// The subscriber's position in a scope, as its polls report it.
    pub fn position(&self, scope: Scope) -> Option<Position> {
        self.scopes.get(&scope).map(ScopeStore::position)
    }

    /// Upper bound for the age of a scope's content in milliseconds; infinity until the first freshness proof
    /// since the start.
    pub fn age(&self, scope: Scope, now: f64) -> f64 {
        let since = self.scopes.get(&scope).and_then(ScopeStore::fresh_since);
        since.map_or(f64::INFINITY, |since| now - since)
    }

    /// The next scope whose content has changed.
    pub fn next_changed_scope(&mut self) -> Option<Scope> {
        self.changed_scopes.pop_first()
    }

    /// The file to save, if it has changed since the last call.
    pub fn state_to_save(&mut self) -> Option<Vec<u8>> {
        std::mem::take(&mut self.unsaved).then(|| {
            let verified = self.scopes.iter().filter_map(|(scope, store)| Some((*scope, store.verified()?)));
            SavedState::new(self.trust.council_proofs(), verified).encode()
        })
    }

    /// Puts in force what a saved file proves of the subscribed scopes. Its age is not known.
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

    /// Handles a datagram whose sender was authenticated by its packet.
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
        if let Some(previous) = self.placement.poll_answered(from, now) {
            self.unsubscribe_from(previous);
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

    /// Tells a control machine that it is no longer needed.
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

    /// Applies freshness proofs to the scopes that have reached their index: what was decided by the time of
    /// the poll is in force there.
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

    /// Schedules a poll shortly, to acknowledge what arrived.
    fn schedule_acknowledgement(&mut self, now: f64) {
        let max_delay = ACKNOWLEDGE_HEARTBEATS * self.terms.heartbeat;
        let at = (now + max_delay * self.rng.random::<f64>()).max(self.polled_at + max_delay);
        self.acknowledge_at = self.acknowledge_at.min(at).max(self.held_off_until);
    }

    /// Schedules the next poll at the fast rate.
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

    /// One turn of the event loop.
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

    /// When the serving control machine is taken for failed because it answers but sends nothing new.
    fn lease_expires_at(&self) -> f64 {
        let oldest = |at: f64, store: &ScopeStore| at.min(store.fresh_since().unwrap_or(f64::NEG_INFINITY));
        let fresh_since = self.scopes.values().fold(f64::INFINITY, oldest);
        let since = fresh_since.max(self.progress_at).max(self.placement.current().1);
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

    /// Schedules the next poll, unless an acknowledgement is due before.
    fn schedule_poll(&mut self, unanswered: bool) {
        let jitter = self.rng.random_range(1.0 - POLL_JITTER_FRACTION..1.0 + POLL_JITTER_FRACTION);
        let in_progress = unanswered || self.scopes.values().any(ScopeStore::is_in_progress);
        let interval =
            if in_progress { self.terms.heartbeat / FAST_POLLS_PER_HEARTBEAT } else { self.terms.heartbeat };
        self.poll_at = (self.polled_at + jitter * interval).max(self.held_off_until);
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

    /// Time of the next turn.
    pub fn due(&self) -> f64 {
        self.poll_at.min(self.acknowledge_at).min(self.placement.due()).min(self.lease_expires_at())
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// Status for operators.
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

/// Splits positions into chunks that each fit a datagram; one empty chunk if there are none.
fn split_into_datagrams(positions: Vec<(Scope, Position)>) -> Vec<Vec<(Scope, Position)>> {
    let (mut chunks, mut remaining_bytes) = (vec![Vec::new()], MAX_DATAGRAM_BYTES - POLL_HEADER_BYTES);
    for position in positions {
        let size = postcard::experimental::serialized_size(&position).expect("plain data always serializes");
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
