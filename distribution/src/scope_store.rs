//! What a subscriber has of one scope: the content in force, and newer content on its way. Content comes in
//! force only when its digest is the one that a seal proves for the scope, and that seal is newer than the
//! one of the content in force. So no scope ever goes back a version, and none is skipped, whoever the
//! content came from.

use agree::Id;

use crate::Version;
use crate::content::{Content, EMPTY_DIGEST};
use crate::cursor::Cursor;
use crate::entry::Entry;
use crate::faults::{Fault, is_injected};
use crate::merkle::ScopeSummary;
use crate::state::{ScopeProof, change_size};
use crate::trust::SharedCertificate;
use crate::wire::{Changes, KeyChange, Position, Transfer};

/// Content that is proved.
#[derive(Clone, Debug, PartialEq)]
pub struct VerifiedScope {
    /// The seal of the state that it is part of.
    pub certificate: SharedCertificate,
    /// The way from the scope to that state's root.
    pub proof: ScopeProof,
    /// The entries.
    pub content: Content,
}

impl VerifiedScope {
    /// The index of the seal.
    pub fn index(&self) -> Version {
        self.certificate.index()
    }
}

/// Newer content, until it is complete and proved.
#[derive(Clone, Debug)]
struct Staged {
    transfer: Transfer,
    content: Content,
    /// Bytes that came.
    bytes: usize,
    /// Who sent all of it; none where several did.
    source: Option<Id>,
}

/// What came of some changes, or of a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// They are of no use here, or not yet.
    NoEffect,
    /// They are staged.
    Staged,
    /// The scope is in force by a newer seal, with the same content.
    Confirmed,
    /// Newer content is in force.
    Changed,
    /// They are not in the order that they say, or too much.
    Malformed,
    /// What was staged is not what is proved; the scope is fetched anew. Names who sent it, where one did.
    Mismatch(Option<Id>),
}

/// One scope.
#[derive(Clone, Debug, Default)]
pub struct ScopeStore {
    verified: Option<VerifiedScope>,
    staged: Option<Staged>,
    /// The newest proof that holds, while its content is not in force.
    pending_proof: Option<(SharedCertificate, ScopeProof)>,
    /// A proof whose seal has not come.
    deferred_proof: Option<(Version, ScopeProof)>,
    /// When the poll was sent since which nothing newer was decided than what is in force.
    fresh_since: Option<f64>,
}

impl ScopeStore {
    /// What is in force.
    pub fn verified(&self) -> Option<&VerifiedScope> {
        self.verified.as_ref()
    }

    /// The index of the seal by which the scope is in force; 0 where it is not.
    pub fn index(&self) -> Version {
        self.verified.as_ref().map_or(0, VerifiedScope::index)
    }

    /// Takes what was kept, once it is verified as below.
    pub fn restore(&mut self, verified: VerifiedScope) -> bool {
        let matches = verified.content.digest() == verified.proof.summary.digest;
        if matches {
            *self = Self { verified: Some(verified), ..Self::default() };
        }
        matches
    }

    /// What the control machine is told.
    pub fn position(&self) -> Position {
        let transfer = self.staged.as_ref().map(|staged| staged.transfer.clone());
        Position { in_force: self.index(), transfer }
    }

    /// Whether a transfer is under way, or waits for its proof.
    pub fn is_in_progress(&self) -> bool {
        self.staged.is_some() || self.verified.is_none()
    }

    /// All decided before that time is in force.
    pub fn fresh_since(&self) -> Option<f64> {
        self.fresh_since
    }

    /// Nothing was decided after an index before that time.
    pub fn record_freshness(&mut self, index: Version, at: f64) {
        if self.verified.is_some() && index <= self.index() {
            self.fresh_since = Some(self.fresh_since.map_or(at, |previous| previous.max(at)));
        }
    }

    /// Up to where the content is known that newer changes are put on.
    fn transfer_start(&self) -> Transfer {
        let in_force = self.index();
        let transfer = Transfer { base: in_force, source_version: in_force, after: Cursor::end_of(in_force) };
        self.staged.as_ref().map_or(transfer, |staged| staged.transfer.clone())
    }

    /// Stages changes that go on from what is there, or begin the scope anew.
    pub fn stage(&mut self, from: Id, message: Changes, max_bytes: usize) -> UpdateOutcome {
        if !is_ordered(&message) {
            return UpdateOutcome::Malformed;
        }
        let transfer_start = self.transfer_start();
        let continues = message.base <= transfer_start.base
            && message.after <= transfer_start.after
            && message.source_version >= transfer_start.base;
        let restarts = message.after == Cursor::end_of(0) && message.base > transfer_start.base;
        let end = message.end();
        if restarts {
            let transfer = Transfer { base: message.base, source_version: 0, after: Cursor::end_of(0) };
            self.staged =
                Some(Staged { transfer, content: Content::default(), bytes: 0, source: Some(from) });
        } else if !continues || end <= transfer_start.after {
            return UpdateOutcome::NoEffect;
        }
        let content = || self.verified.as_ref().map(|verified| verified.content.clone()).unwrap_or_default();
        let new_staged =
            || Staged { transfer: transfer_start, content: content(), bytes: 0, source: Some(from) };
        let staged = self.staged.get_or_insert_with(new_staged);
        staged.source = staged.source.filter(|source| *source == from);
        for KeyChange { version, key, value } in message.changes {
            if staged.transfer.after.covers(version, &key) {
                continue;
            }
            staged.bytes += change_size(&key, value.as_deref());
            match value {
                Some(value) => staged.content.insert(Entry { key, version, value }),
                None => staged.content.remove(&key),
            }
        }
        staged.transfer.after = end;
        staged.transfer.source_version = staged.transfer.source_version.max(message.source_version);
        if staged.bytes > max_bytes {
            self.staged = None;
            return UpdateOutcome::Malformed;
        }
        UpdateOutcome::Staged
    }

    /// A proof came whose seal is not known yet: the latest waits for it.
    pub fn defer_proof(&mut self, index: Version, proof: ScopeProof) {
        if index > self.index() || is_injected(Fault::AcceptOlderCertificate) {
            self.deferred_proof = Some((index, proof));
        }
    }

    /// The proof that waits for the seal of an index.
    pub fn take_deferred_proof(&mut self, index: Version) -> Option<ScopeProof> {
        self.deferred_proof.take_if(|(of, _)| *of == index).map(|(_, proof)| proof)
    }

    /// A proof that holds by a seal.
    pub fn add_proof(&mut self, certificate: SharedCertificate, proof: ScopeProof) {
        let newest = self.pending_proof.as_ref().map_or(self.index(), |(certificate, _)| certificate.index());
        if certificate.index() > newest || is_injected(Fault::AcceptOlderCertificate) {
            self.pending_proof = Some((certificate, proof));
        }
    }

    /// Puts in force what is complete and proved.
    pub fn apply_verified(&mut self) -> UpdateOutcome {
        let Some((certificate, proof)) = self.pending_proof.as_ref() else { return UpdateOutcome::NoEffect };
        let (index, summary) = (certificate.index(), proof.summary);
        if is_injected(Fault::SkipDigestCheck) && self.staged.is_some() {
            return self.put_in_force();
        }
        if let Some(verified) = self.verified.as_ref().filter(|verified| summary.version <= verified.index())
        {
            // Not changed since.
            return if verified.proof.summary.digest == summary.digest
                || is_injected(Fault::AcceptOlderCertificate)
            {
                self.confirm()
            } else {
                self.pending_proof = None;
                UpdateOutcome::Mismatch(None)
            };
        }
        let Some(staged) = &self.staged else {
            let is_empty_scope = summary == ScopeSummary { digest: EMPTY_DIGEST, version: 0 };
            return if self.verified.is_none() && is_empty_scope {
                self.put_in_force()
            } else {
                UpdateOutcome::NoEffect
            };
        };
        if staged.transfer.after < Cursor::end_of(summary.version) {
            return UpdateOutcome::NoEffect;
        }
        if staged.content.digest() == summary.digest {
            return self.put_in_force();
        }
        if staged.transfer.source_version > index {
            return UpdateOutcome::NoEffect;
        }
        let source = staged.source;
        self.restart_transfer();
        UpdateOutcome::Mismatch(source)
    }

    /// Drops what is staged; what is in force stays. The next transfer starts from what is in force, or from
    /// nothing where this one did.
    fn restart_transfer(&mut self) {
        let from_in_force = self.staged.take().is_some_and(|staged| staged.transfer.base == self.index());
        if from_in_force && self.verified.is_some() {
            let transfer = Transfer { base: 0, source_version: 0, after: Cursor::end_of(0) };
            self.staged = Some(Staged { transfer, content: Content::default(), bytes: 0, source: None });
        }
    }

    /// Drops what is staged from a state that is newer than the one which the control machine serves, so that
    /// it can go on from what is in force.
    pub fn discard_newer_than(&mut self, index: Version) -> bool {
        let newer = |staged: &mut Staged| staged.transfer.source_version > index;
        index > self.index() && self.staged.take_if(newer).is_some()
    }

    fn put_in_force(&mut self) -> UpdateOutcome {
        let Some((certificate, proof)) = self.pending_proof.take() else { return UpdateOutcome::NoEffect };
        let content = self.staged.take().map(|staged| staged.content).unwrap_or_default();
        self.verified = Some(VerifiedScope { certificate, proof, content });
        UpdateOutcome::Changed
    }

    /// The content in force is the same by a newer seal.
    fn confirm(&mut self) -> UpdateOutcome {
        let (Some((certificate, proof)), Some(verified)) = (self.pending_proof.take(), &mut self.verified)
        else {
            return UpdateOutcome::NoEffect;
        };
        let (previous, index) = (verified.index(), certificate.index());
        (verified.certificate, verified.proof) = (certificate, proof);
        if let Some(staged) = &mut self.staged {
            if staged.transfer.after <= Cursor::end_of(index) {
                self.staged = None;
            } else if staged.transfer.base == previous {
                // Nothing was removed in between.
                staged.transfer.base = index;
            }
        }
        UpdateOutcome::Confirmed
    }
}

/// Whether the changes are in their order, after the place that they follow, and none newer than the state
/// that they are of.
fn is_ordered(message: &Changes) -> bool {
    let cursor = |change: &KeyChange| Cursor::at(change.version, change.key.clone());
    let mut previous = message.after.clone();
    message.changes.iter().all(|change| {
        let ordered = cursor(change) > previous;
        previous = cursor(change);
        ordered && change.version <= message.source_version
    })
}
