//! The control machine's part: it follows the whole log and serves scopes to its subscribers, with
//! certificates that they can verify.
//!
//! What a subscriber is sent follows from the position that it reports, so there is no queue for it: its
//! newest acknowledged position in the changes takes the place of a queue, and a key that changes twice is
//! sent once.

use std::collections::{BTreeMap, VecDeque};

use agree::Id;
use agree::certificate::{Certificate, CouncilProof};
use agree::freshness::{FreshnessProof, Nonce};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::batch::Batch;
use crate::cursor::Cursor;
use crate::entry::Change;
use crate::faults::{Fault, is_injected};
use crate::progress::{ChangeProgress, ChangeTracker};
use crate::replica::Replica;
use crate::scope::Scope;
use crate::sessions::{MAX_SESSION_SCOPES, ScopeSubscription, Sent, Sessions};
use crate::state::ScopedState;
use crate::token_bucket::TokenBucket;
use crate::trust::MAX_COUNCIL_PROOFS;
use crate::wire::{self, Changes, KeyChange, MAX_CHANGES_BYTES, Message, Poll, Transfer};
use crate::{Outgoing, Version};

/// Retransmissions per heartbeat of what is not acknowledged. At 30% loss in each direction all but one in a
/// million have it after some 12 transmissions, within the 4 s in which a change must be in force. It costs
/// bytes if the round trip takes longer than this interval.
const REPEATS_PER_HEARTBEAT: f64 = 4.0;
/// Maximum number of times per heartbeat that one subscriber is sent changes; what is decided in between goes
/// with the next, under one certificate. A larger value costs bytes in a burst, for a certificate and a proof
/// each time; a smaller one delays the later changes of a burst.
const PUSHES_PER_HEARTBEAT: f64 = 4.0;
/// Interval in heartbeats at which a newer certificate is proved to a subscriber of an unchanged scope, which
/// keeps the scope's age low. A smaller value costs bytes while other scopes change.
const REFRESH_HEARTBEATS: f64 = 0.75;
/// What was sent is not sent again within this part of a heartbeat, even if a poll that was already on its
/// way still requests it.
const IN_FLIGHT_HEARTBEATS: f64 = 1.0 / 8.0;
/// A subscriber that has not polled for this many heartbeats is removed. A smaller value removes those with
/// bad links; a larger one keeps sending to those that are gone.
const EXPIRY_HEARTBEATS: f64 = 10.0;
/// Nothing is retransmitted to a subscriber that has not polled for this many heartbeats, until it polls. At
/// 30% loss one in some 10,000 that are present is silent for as long; a larger value sends to those that are
/// gone.
const SILENT_HEARTBEATS: f64 = 2.5;
/// A snapshot slot expires if its holder has made no progress for this many heartbeats.
const SNAPSHOT_SLOT_HEARTBEATS: f64 = 2.0;
/// Time in heartbeats for which polls are collected before the council is asked for a freshness proof. A
/// smaller value asks it more often; a larger one adds to every subscriber's age.
const GATHER_HEARTBEATS: f64 = 1.0 / 8.0;
/// Maximum number of batches of polls that wait for the council's answer.
const MAX_BATCHES: usize = 16;
/// Maximum delay in heartbeats that a subscriber is asked to wait before it polls again.
const MAX_RETRY_HEARTBEATS: f64 = 8.0;
/// The fraction of a second's bytes that may be sent at once after a pause. The rest is spread evenly, so
/// that no second exceeds the setting.
const BURST_FRACTION: f64 = 0.25;
/// Bytes are short if less than this fraction of the burst is left.
const BUSY_FRACTION: f64 = 0.5;
/// Bytes of the packet around a datagram, which count against the limits.
const PACKET_OVERHEAD_BYTES: usize = 120;
/// Number of council proofs sent to a subscriber at once: each fills most of a datagram.
const COUNCIL_PROOFS_AT_ONCE: usize = 2;
/// Maximum number of datagrams waiting to be sent, for each allowed subscriber; past that the oldest are
/// dropped, as on the network.
const MAX_OUTGOING_PER_SUBSCRIBER: usize = 8;

/// Configuration of a control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlTerms {
    /// Interval between polls of a subscriber, in milliseconds.
    pub heartbeat: f64,
    /// Maximum number of subscribers.
    pub max_subscribers: usize,
    /// Bytes per second to all subscribers together.
    pub bytes_per_second: f64,
    /// Bytes per second to one subscriber.
    pub subscriber_bytes_per_second: f64,
    /// Maximum number of subscribers that read a scope from its beginning at the same time.
    pub snapshots_at_once: usize,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without the packets around them.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams that could not be decoded, or of an unknown version.
    pub malformed: u64,
    /// Messages that only control machines send.
    pub unexpected: u64,
    /// Polls ignored because their sender sent too many.
    pub rate_limited: u64,
    /// Subscribers that were asked to poll again later.
    pub deferred: u64,
    /// Subscribers that were removed because they stopped polling.
    pub expired: u64,
    /// Datagrams dropped because too many were waiting.
    pub dropped: u64,
    /// Reported positions that no known certificate covers yet: the sender is ahead, or faulty.
    pub ahead: u64,
    /// States whose root differed from the one that a majority signed.
    pub diverged: u64,
}

/// Status of a control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlStatus {
    /// The certified index that is served; 0 before the first.
    pub index: Version,
    /// Number of subscribers.
    pub subscribers: usize,
    /// Number of subscribers that read a scope from its beginning.
    pub snapshots: usize,
    /// Counters since the start.
    pub counts: ControlCounts,
}

#[derive(Clone, Debug)]
struct PendingBatch {
    batch: Batch,
    polls: Vec<(Id, u64)>,
    requested_at: f64,
}

/// What to send a subscriber for a scope.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Plan {
    Nothing,
    /// What it is missing was sent just now.
    InFlight,
    /// A proof that the content it has received is the newest.
    Proof,
    /// A proof that the content in force has not changed.
    Refresh,
    /// The changes after its position.
    Transfer(Transfer),
    /// The whole scope, from the beginning.
    Snapshot(Transfer),
}

/// The messages for one subscriber.
#[derive(Debug, Default)]
struct Response {
    messages: Vec<Message>,
    /// A proof is included, so the certificate is sent too.
    includes_proof: bool,
    /// To be retransmitted until acknowledged.
    needs_repeat: bool,
    /// A scope is read from its beginning.
    reads_snapshot: bool,
    /// The subscriber has to come back later for a snapshot.
    deferred: bool,
}

/// A control machine.
#[derive(Clone, Debug)]
pub struct Control {
    terms: ControlTerms,
    rng: Pcg64Mcg,
    replica: Replica,
    council_proofs: Vec<CouncilProof>,
    sessions: Sessions,
    /// Subscribers that read a snapshot, and when each last made progress.
    snapshots: BTreeMap<Id, f64>,
    /// Number of subscribers deferred in this heartbeat, and in the one before.
    deferred: (usize, usize),
    progress: ChangeTracker,
    byte_budget: TokenBucket,
    /// Subscriber and nonce of the polls to be answered with a freshness proof.
    polls: Vec<(Id, u64)>,
    gather_until: f64,
    freshness_requests: VecDeque<Nonce>,
    pending_batches: VecDeque<PendingBatch>,
    sweep_at: f64,
    outgoing: VecDeque<Outgoing>,
    counts: ControlCounts,
}

impl Control {
    /// Creates a control machine that serves nothing yet: [`Control::restore`] and
    /// [`Control::update_certificate`] provide what to serve.
    pub fn new(terms: ControlTerms, seed: u64, now: f64) -> Self {
        let byte_budget = new_byte_budget(terms.bytes_per_second, now);
        Self {
            sweep_at: now + terms.heartbeat,
            terms,
            rng: Pcg64Mcg::seed_from_u64(seed),
            replica: Replica::default(),
            council_proofs: Vec::new(),
            sessions: Sessions::default(),
            snapshots: BTreeMap::new(),
            deferred: (0, 0),
            progress: ChangeTracker::default(),
            byte_budget,
            polls: Vec::new(),
            gather_until: f64::INFINITY,
            freshness_requests: VecDeque::new(),
            pending_batches: VecDeque::new(),
            outgoing: VecDeque::new(),
            counts: ControlCounts::default(),
        }
    }

    /// Whether to call [`Control::restore`]: at the start, or if the state here is not the signed one.
    pub fn needs_state(&self) -> bool {
        self.replica.needs_state()
    }

    /// Replaces the state with the result of all decisions up to an index. Later decisions are given by
    /// [`Control::add_decided_changes`].
    pub fn restore(&mut self, index: Version, state: ScopedState) {
        self.replica.restore(index, state);
    }

    /// Adds the changes of the decisions up to an index. To be called even if they changed nothing.
    pub fn add_decided_changes(&mut self, index: Version, changes: impl IntoIterator<Item = Change>) {
        self.replica.add_decided_changes(index, changes);
    }

    /// Updates the newest known certificate, and the proofs of the councils since the bootstrap members, as
    /// far as they are kept, the oldest first. To be called even if they have not changed.
    pub fn update_certificate(&mut self, certificate: &Certificate, council_proofs: &[CouncilProof]) {
        self.replica.update_certificate(certificate);
        if self.council_proofs.len() != council_proofs.len()
            || self.council_proofs.last() != council_proofs.last()
        {
            self.council_proofs =
                council_proofs[council_proofs.len().saturating_sub(MAX_COUNCIL_PROOFS)..].to_vec();
        }
    }

    fn advance(&mut self, now: f64) {
        let Some(changes) = self.replica.advance() else { return };
        let mut changed: BTreeMap<Scope, Version> = BTreeMap::new();
        for change in changes {
            self.progress.record(&change, now);
            changed.insert(change.scope, change.version);
        }
        for (scope, version) in changed {
            for id in self.sessions.missing(scope, version) {
                let pushed = self.sessions.get(id).map_or(f64::NEG_INFINITY, |session| session.pushed_at);
                self.sessions.serve_by(id, now.max(pushed + self.terms.heartbeat / PUSHES_PER_HEARTBEAT));
            }
        }
    }

    /// The next nonce to send to the council, on behalf of many polls:
    /// [`agree::Agreement::request_freshness`].
    pub fn next_freshness_request(&mut self) -> Option<Nonce> {
        self.freshness_requests.pop_front()
    }

    /// Handles a voter's answer to a nonce of [`Control::next_freshness_request`].
    pub fn receive_freshness_proof(&mut self, now: f64, proof: FreshnessProof) {
        let found = self.pending_batches.iter().position(|pending| pending.batch.nonce() == proof.nonce);
        let Some(pending) = found.and_then(|found| self.pending_batches.remove(found)) else { return };
        for (leaf_index, &(id, nonce)) in pending.polls.iter().enumerate() {
            let path = pending.batch.path(leaf_index);
            self.send(now, id, &[Message::Freshness { nonce, path, proof: proof.clone() }]);
        }
    }

    /// Removes a subscriber that is no longer a member of the fleet.
    pub fn remove_subscriber(&mut self, id: Id) {
        self.close(id);
    }

    /// Handles a datagram whose sender was authenticated by its packet.
    pub fn receive(&mut self, now: f64, from: Id, bytes: &[u8]) {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let Ok(messages) = wire::decode(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        for message in messages {
            match message {
                Message::Poll(poll) => self.handle_poll(now, from, poll),
                Message::Unsubscribe { scopes } => self.handle_unsubscribe(from, &scopes),
                _ => self.counts.unexpected += 1,
            }
        }
    }

    fn handle_unsubscribe(&mut self, from: Id, scopes: &[Scope]) {
        let Some(session) = self.sessions.get_mut(from) else { return };
        session.scopes.retain(|scope, _| !scopes.contains(scope));
        if session.scopes.is_empty() {
            self.close(from);
        }
    }

    fn close(&mut self, id: Id) {
        self.sessions.close(id);
        self.snapshots.remove(&id);
    }

    fn handle_poll(&mut self, now: f64, from: Id, poll: Poll) {
        let (known, full) =
            (self.sessions.get(from).is_some(), self.sessions.len() >= self.terms.max_subscribers);
        let index = self.replica.index();
        let alive = Message::Alive { nonce: poll.nonce, index };
        if !known && poll.scopes.is_empty() {
            // A poll without scopes only checks whether this machine is reachable.
            return if full { self.defer(now, from) } else { self.send(now, from, &[alive]) };
        }
        if !known && full {
            return self.defer(now, from);
        }
        let byte_budget = new_byte_budget(self.terms.subscriber_bytes_per_second, now);
        let session = self.sessions.open(from, byte_budget, self.terms.heartbeat, now);
        if !session.poll_budget.try_spend(now, 1.0) {
            self.counts.rate_limited += 1;
            return;
        }
        (session.polled_at, session.council_since) = (now, poll.council_since);
        for (scope, position) in poll.scopes {
            if !session.scopes.contains_key(&scope) && session.scopes.len() >= MAX_SESSION_SCOPES {
                continue;
            }
            self.counts.ahead += u64::from(position.in_force > index);
            let previous = session.scopes.remove(&scope);
            if previous.as_ref().is_some_and(|previous| previous.position != position)
                && let Some(progress_at) = self.snapshots.get_mut(&from)
            {
                *progress_at = now;
            }
            let (sent, proved_at) = previous.map_or((None, f64::NEG_INFINITY), |subscription| {
                (subscription.sent, subscription.proved_at)
            });
            let acknowledged = position.in_force.min(index);
            let subscription = ScopeSubscription {
                position,
                acknowledged,
                polled_at: now,
                wants_proof: true,
                proved_at,
                sent,
            };
            session.scopes.insert(scope, subscription);
        }
        self.send(now, from, &[alive]);
        self.sessions.serve_by(from, now);
        self.gather(now, from, poll.nonce);
    }

    fn gather(&mut self, now: f64, from: Id, nonce: u64) {
        if self.polls.len() >= Batch::MAX_NONCES {
            return;
        }
        self.polls.push((from, nonce));
        self.gather_until = self.gather_until.min(now + GATHER_HEARTBEATS * self.terms.heartbeat);
    }

    /// Asks a subscriber to poll again later; the delay grows with the number of deferred subscribers.
    fn defer(&mut self, now: f64, id: Id) {
        self.counts.deferred += 1;
        self.deferred.0 += 1;
        let waiting = self.deferred.0.max(self.deferred.1) as f64;
        let rounds = (waiting / self.terms.snapshots_at_once.max(1) as f64).ceil();
        let heartbeats = 0.5 + self.rng.random::<f64>() * rounds;
        let after = heartbeats.min(MAX_RETRY_HEARTBEATS) * self.terms.heartbeat;
        self.send(now, id, &[Message::RetryLater { after_ms: after as u32 }]);
    }

    /// One turn of the event loop: to be called when time has passed, or something was decided or certified.
    pub fn turn(&mut self, now: f64) {
        self.advance(now);
        if now >= self.sweep_at {
            self.sweep(now);
        }
        if now >= self.gather_until {
            self.request_freshness(now);
        }
        while self.byte_budget.available(now) > 0.0
            && let Some(id) = self.sessions.next(now)
        {
            self.serve(now, id);
        }
    }

    /// Removes subscribers, snapshot slots and batches that have expired.
    fn sweep(&mut self, now: f64) {
        let heartbeat = self.terms.heartbeat;
        self.sweep_at = now + heartbeat;
        self.deferred = (0, self.deferred.0);
        let expired_ids = self.sessions.expire(now - EXPIRY_HEARTBEATS * heartbeat);
        self.counts.expired += expired_ids.len() as u64;
        let expired_before = now - SNAPSHOT_SLOT_HEARTBEATS * heartbeat;
        self.snapshots.retain(|_, progress_at| *progress_at >= expired_before);
        self.pending_batches.retain(|pending| pending.requested_at >= expired_before);
    }

    /// Asks the council for a freshness proof for all collected polls.
    fn request_freshness(&mut self, now: f64) {
        self.gather_until = f64::INFINITY;
        let polls = std::mem::take(&mut self.polls);
        let nonces: Vec<u64> = polls.iter().map(|(_, nonce)| *nonce).collect();
        let batch = Batch::new(&nonces);
        self.freshness_requests.push_back(batch.nonce());
        self.pending_batches.push_back(PendingBatch { batch, polls, requested_at: now });
        while self.pending_batches.len() > MAX_BATCHES {
            self.pending_batches.pop_front();
        }
        while self.freshness_requests.len() > MAX_BATCHES {
            self.freshness_requests.pop_front();
        }
    }

    /// Sends a subscriber what it is missing, as far as its byte budget allows.
    fn serve(&mut self, now: f64, id: Id) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if session.byte_budget.available(now) <= 0.0 {
            let at = session.byte_budget.available_at(1.0);
            return self.sessions.serve_by(id, at);
        }
        let is_listening = now - session.polled_at <= SILENT_HEARTBEATS * self.terms.heartbeat;
        let scopes: Vec<Scope> = session.scopes.keys().copied().collect();
        let council = session.council_since;
        let mut response = Response::default();
        self.add_council_proofs(council, &mut response);
        // It verifies only certificates of the newest council that it knows.
        let knows_council =
            self.replica.served().is_some_and(|(certificate, _)| certificate.statement.version == council);
        for scope in scopes.into_iter().filter(|_| knows_council) {
            let plan = self.plan(now, id, scope);
            if matches!(plan, Plan::Snapshot(_)) && !self.may_read_snapshot(now, id) {
                response.deferred = true;
            } else {
                response.reads_snapshot |= matches!(plan, Plan::Snapshot(_));
                self.add_messages(now, id, scope, plan, &mut response);
            }
        }
        if !response.reads_snapshot && !self.is_reading_snapshot(id) {
            self.snapshots.remove(&id);
        }
        if let Some((certificate, _)) = self.replica.served().filter(|_| response.includes_proof) {
            response.messages.push(Message::Certificate(Certificate::clone(certificate)));
        }
        self.send(now, id, &response.messages);
        if let Some(session) = self.sessions.get_mut(id).filter(|_| response.needs_repeat) {
            session.pushed_at = now;
        }
        if response.deferred {
            self.defer(now, id);
        }
        if response.needs_repeat && is_listening {
            self.sessions.serve_by(id, now + self.terms.heartbeat / REPEATS_PER_HEARTBEAT);
        }
    }

    /// Adds proofs of the councils after a given one, to be repeated until a poll names a newer one.
    fn add_council_proofs(&self, council: Version, response: &mut Response) {
        let newer = self
            .council_proofs
            .iter()
            .filter(|council_proof| council_proof.certificate.statement.version > council);
        response.messages.extend(newer.take(COUNCIL_PROOFS_AT_ONCE).cloned().map(Message::CouncilProof));
        response.needs_repeat |= !response.messages.is_empty();
    }

    /// Whether a subscriber has begun to read a scope that it has not acknowledged as in force.
    fn is_reading_snapshot(&self, id: Id) -> bool {
        let reading = |subscription: &ScopeSubscription| {
            let base = subscription.position.transfer.as_ref().map(|transfer| transfer.base);
            subscription.position.in_force == 0
                || base.is_some_and(|base| base != subscription.position.in_force)
        };
        self.sessions.get(id).is_some_and(|session| session.scopes.values().any(reading))
    }

    /// Whether a subscriber may read a scope from its beginning; the number of concurrent readers is limited.
    fn may_read_snapshot(&mut self, now: f64, id: Id) -> bool {
        if self.snapshots.len() < self.terms.snapshots_at_once {
            self.snapshots.entry(id).or_insert(now);
        }
        self.snapshots.contains_key(&id)
    }

    fn plan(&self, now: f64, id: Id, scope: Scope) -> Plan {
        let subscription = self.sessions.get(id).and_then(|session| session.scopes.get(&scope));
        let (Some(subscription), Some((certificate, state))) = (subscription, self.replica.served()) else {
            return Plan::Nothing;
        };
        let index = certificate.index();
        if subscription.position.in_force >= index {
            return Plan::Nothing;
        }
        let last_sent = subscription
            .sent
            .as_ref()
            .filter(|sent| sent.index == index && sent.position == subscription.position);
        match last_sent {
            Some(sent) if now - sent.sent_at < IN_FLIGHT_HEARTBEATS * self.terms.heartbeat => Plan::InFlight,
            _ => match plan(subscription, index, state, scope) {
                Plan::Refresh
                    if self.is_busy()
                        || now - subscription.proved_at < REFRESH_HEARTBEATS * self.terms.heartbeat =>
                {
                    Plan::Nothing
                }
                plan => plan,
            },
        }
    }

    /// Whether bytes are short: refreshes of unchanged scopes then wait in favour of changes.
    fn is_busy(&self) -> bool {
        self.byte_budget.fraction_left() < BUSY_FRACTION
    }

    /// Adds the messages of a plan to the response.
    fn add_messages(&mut self, now: f64, id: Id, scope: Scope, plan: Plan, response: &mut Response) {
        let (Some(session), Some((certificate, state))) = (self.sessions.get_mut(id), self.replica.served())
        else {
            return;
        };
        let Some(subscription) = session.scopes.get_mut(&scope) else { return };
        let index = certificate.index();
        let repeats = matches!(plan, Plan::Transfer(_));
        let transfer = match plan {
            Plan::Nothing => return,
            Plan::InFlight => {
                response.needs_repeat |= subscription.sent.as_ref().is_some_and(|sent| sent.repeats);
                return;
            }
            Plan::Proof | Plan::Refresh => None,
            Plan::Transfer(transfer) | Plan::Snapshot(transfer) => Some(transfer),
        };
        subscription.wants_proof = false;
        subscription.sent =
            Some(Sent { position: subscription.position.clone(), index, sent_at: now, repeats });
        response.needs_repeat |= repeats;
        let mut remaining_bytes = session.byte_budget.available(now);
        let complete = transfer.is_none_or(|mut transfer| {
            while let Some(changes) = read_changes(state, scope, index, &transfer) {
                let complete = changes.complete;
                transfer.after = changes.end();
                response.messages.push(Message::Changes(changes));
                remaining_bytes -= MAX_CHANGES_BYTES as f64;
                if complete || remaining_bytes <= 0.0 {
                    return complete;
                }
            }
            false
        });
        if complete {
            subscription.proved_at = now;
            response.messages.push(Message::Proof { scope, index, proof: state.proof(scope) });
            response.includes_proof = true;
        }
    }

    fn send(&mut self, now: f64, to: Id, messages: &[Message]) {
        for bytes in wire::encode(messages) {
            let size = (bytes.len() + PACKET_OVERHEAD_BYTES) as f64;
            self.byte_budget.spend(now, size);
            if let Some(session) = self.sessions.get_mut(to) {
                session.byte_budget.spend(now, size);
            }
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            self.outgoing.push_back(Outgoing { to, bytes });
        }
        while self.outgoing.len() > MAX_OUTGOING_PER_SUBSCRIBER * self.terms.max_subscribers.max(1) {
            self.outgoing.pop_front();
            self.counts.dropped += 1;
        }
    }

    /// Time of the next turn.
    pub fn due(&self) -> f64 {
        let serve = self.sessions.due().max(self.byte_budget.available_at(1.0));
        let serve = if self.replica.can_advance() { f64::NEG_INFINITY } else { serve };
        serve.min(self.gather_until).min(self.sweep_at)
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// Status for operators.
    pub fn status(&self) -> ControlStatus {
        ControlStatus {
            index: self.replica.index(),
            subscribers: self.sessions.len(),
            snapshots: self.snapshots.len(),
            counts: ControlCounts { diverged: self.replica.diverged(), ..self.counts },
        }
    }

    /// Progress of the newest changes, the newest first, as reported by subscribers.
    pub fn changes(&self, now: f64) -> Vec<ChangeProgress> {
        self.progress.changes(&self.sessions, now)
    }
}

/// A token bucket that allows no more than this many bytes in any second.
fn new_byte_budget(bytes_per_second: f64, now: f64) -> TokenBucket {
    TokenBucket::new((1.0 - BURST_FRACTION) * bytes_per_second, BURST_FRACTION * bytes_per_second, now)
}

/// Plans what to send a subscriber with this position in a scope. A snapshot proceeds at the pace of the
/// reader's polls; changes are pushed.
fn plan(subscription: &ScopeSubscription, index: Version, state: &ScopedState, scope: Scope) -> Plan {
    let position = &subscription.position;
    let in_force = position.in_force;
    let from_in_force =
        Transfer { base: in_force, source_version: in_force, after: Cursor::end_of(in_force) };
    let transfer = position.transfer.clone().unwrap_or(from_in_force);
    if transfer.source_version > index {
        return Plan::Nothing;
    }
    let snapshot = |transfer| if subscription.wants_proof { Plan::Snapshot(transfer) } else { Plan::Nothing };
    let from_start = Transfer { base: index, source_version: index, after: Cursor::end_of(0) };
    if in_force == 0 && position.transfer.is_none() {
        return snapshot(from_start);
    }
    if transfer.after >= Cursor::end_of(state.summary(scope).version) {
        // It has the newest content; only the proof is missing.
        return match position.transfer {
            _ if !subscription.wants_proof => Plan::Nothing,
            Some(_) => Plan::Proof,
            None => Plan::Refresh,
        };
    }
    match state.changes(scope, transfer.base, &transfer.after, 0) {
        Err(_) => snapshot(from_start),
        Ok(_) if transfer.base != in_force => snapshot(transfer),
        Ok(_) => Plan::Transfer(transfer),
    }
}

/// Reads the changes of one message.
fn read_changes(
    state: &ScopedState,
    scope: Scope,
    source_version: Version,
    transfer: &Transfer,
) -> Option<Changes> {
    let (base, after) = (transfer.base, transfer.after.clone());
    let run = state.changes(scope, base, &after, MAX_CHANGES_BYTES).ok()?;
    let change = |(version, key, value)| KeyChange { version, key, value };
    let mut changes: Vec<KeyChange> = run.changes.into_iter().map(change).collect();
    let mut complete = run.complete;
    if is_injected(Fault::OmitDeltas) && base != 0 {
        let before = changes.len();
        changes.retain(|change| change.version <= base);
        complete |= changes.len() < before;
    }
    Some(Changes { scope, base, source_version, after, changes, complete })
}
