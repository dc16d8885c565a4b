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
    held: Option<VerifiedScope>,
    staged: Option<Staged>,
    /// The newest proof that holds, while its content is not in force.
    proved: Option<(SharedCertificate, ScopeProof)>,
    /// A proof whose seal has not come.
    unsealed: Option<(Version, ScopeProof)>,
    /// When the poll was sent since which nothing newer was decided than what is in force.
    fresh: Option<f64>,
}

impl ScopeStore {
    /// What is in force.
    pub fn verified(&self) -> Option<&VerifiedScope> {
        self.held.as_ref()
    }

    /// The index of the seal by which the scope is in force; 0 where it is not.
    pub fn index(&self) -> Version {
        self.held.as_ref().map_or(0, VerifiedScope::index)
    }

    /// Takes what was kept, once it is verified as below.
    pub fn restore(&mut self, held: VerifiedScope) -> bool {
        let fits = held.content.digest() == held.proof.summary.digest;
        if fits {
            *self = Self { held: Some(held), ..Self::default() };
        }
        fits
    }

    /// What the control machine is told.
    pub fn position(&self) -> Position {
        let transfer = self.staged.as_ref().map(|staged| staged.transfer.clone());
        Position { in_force: self.index(), transfer }
    }

    /// Whether a transfer is under way, or waits for its proof.
    pub fn is_in_progress(&self) -> bool {
        self.staged.is_some() || self.held.is_none()
    }

    /// All decided before that time is in force.
    pub fn fresh_since(&self) -> Option<f64> {
        self.fresh
    }

    /// Nothing was decided after an index before that time.
    pub fn record_freshness(&mut self, index: Version, at: f64) {
        if self.held.is_some() && index <= self.index() {
            self.fresh = Some(self.fresh.map_or(at, |before| before.max(at)));
        }
    }

    /// Up to where the content is known that newer changes are put on.
    fn start(&self) -> Transfer {
        let in_force = self.index();
        let transfer = Transfer { base: in_force, source_version: in_force, after: Cursor::end_of(in_force) };
        self.staged.as_ref().map_or(transfer, |staged| staged.transfer.clone())
    }

    /// Stages changes that go on from what is there, or begin the scope anew.
    pub fn stage(&mut self, from: Id, message: Changes, most_bytes: usize) -> UpdateOutcome {
        if !is_ordered(&message) {
            return UpdateOutcome::Malformed;
        }
        let start = self.start();
        let goes_on = message.base <= start.base
            && message.after <= start.after
            && message.source_version >= start.base;
        let begins = message.after == Cursor::end_of(0) && message.base > start.base;
        let until = message.end();
        if begins {
            let transfer = Transfer { base: message.base, source_version: 0, after: Cursor::end_of(0) };
            self.staged =
                Some(Staged { transfer, content: Content::default(), bytes: 0, source: Some(from) });
        } else if !goes_on || until <= start.after {
            return UpdateOutcome::NoEffect;
        }
        let content = || self.held.as_ref().map(|held| held.content.clone()).unwrap_or_default();
        let fresh = || Staged { transfer: start, content: content(), bytes: 0, source: Some(from) };
        let staged = self.staged.get_or_insert_with(fresh);
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
        staged.transfer.after = until;
        staged.transfer.source_version = staged.transfer.source_version.max(message.source_version);
        if staged.bytes > most_bytes {
            self.staged = None;
            return UpdateOutcome::Malformed;
        }
        UpdateOutcome::Staged
    }

    /// A proof came whose seal is not known yet: the latest waits for it.
    pub fn defer_proof(&mut self, index: Version, proof: ScopeProof) {
        if index > self.index() || is_injected(Fault::AcceptOlderCertificate) {
            self.unsealed = Some((index, proof));
        }
    }

    /// The proof that waits for the seal of an index.
    pub fn take_deferred_proof(&mut self, index: Version) -> Option<ScopeProof> {
        self.unsealed.take_if(|(of, _)| *of == index).map(|(_, proof)| proof)
    }

    /// A proof that holds by a seal.
    pub fn add_proof(&mut self, seal: SharedCertificate, proof: ScopeProof) {
        let newest = self.proved.as_ref().map_or(self.index(), |(seal, _)| seal.index());
        if seal.index() > newest || is_injected(Fault::AcceptOlderCertificate) {
            self.proved = Some((seal, proof));
        }
    }

    /// Puts in force what is complete and proved.
    pub fn apply_verified(&mut self) -> UpdateOutcome {
        let Some((seal, proof)) = self.proved.as_ref() else { return UpdateOutcome::NoEffect };
        let (index, summary) = (seal.index(), proof.summary);
        if is_injected(Fault::SkipDigestCheck) && self.staged.is_some() {
            return self.put_in_force();
        }
        if let Some(held) = self.held.as_ref().filter(|held| summary.version <= held.index()) {
            // Not changed since.
            return if held.proof.summary.digest == summary.digest
                || is_injected(Fault::AcceptOlderCertificate)
            {
                self.confirm()
            } else {
                self.proved = None;
                UpdateOutcome::Mismatch(None)
            };
        }
        let Some(staged) = &self.staged else {
            let nothing = summary == ScopeSummary { digest: EMPTY_DIGEST, version: 0 };
            return if self.held.is_none() && nothing {
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
        let from_force = self.staged.take().is_some_and(|staged| staged.transfer.base == self.index());
        if from_force && self.held.is_some() {
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
        let Some((seal, proof)) = self.proved.take() else { return UpdateOutcome::NoEffect };
        let content = self.staged.take().map(|staged| staged.content).unwrap_or_default();
        self.held = Some(VerifiedScope { certificate: seal, proof, content });
        UpdateOutcome::Changed
    }

    /// The content in force is the same by a newer seal.
    fn confirm(&mut self) -> UpdateOutcome {
        let (Some((seal, proof)), Some(held)) = (self.proved.take(), &mut self.held) else {
            return UpdateOutcome::NoEffect;
        };
        let (before, index) = (held.index(), seal.index());
        (held.certificate, held.proof) = (seal, proof);
        if let Some(staged) = &mut self.staged {
            if staged.transfer.after <= Cursor::end_of(index) {
                self.staged = None;
            } else if staged.transfer.base == before {
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
    let place = |change: &KeyChange| Cursor::at(change.version, change.key.clone());
    let mut before = message.after.clone();
    message.changes.iter().all(|change| {
        let ordered = place(change) > before;
        before = place(change);
        ordered && change.version <= message.source_version
    })
}
