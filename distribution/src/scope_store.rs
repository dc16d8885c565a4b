//! A subscriber's copy of one scope: the content in force, and newer content that is being transferred.
//! Content comes in force only if its digest is the one that a certificate proves for the scope, and if that
//! certificate is newer than the one of the content in force. So no scope ever goes back a version, and none
//! is skipped, regardless of who sent the content.

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

/// Content with its proof.
#[derive(Clone, Debug, PartialEq)]
pub struct VerifiedScope {
    /// The certificate of the state that it is part of.
    pub certificate: SharedCertificate,
    /// The path from the scope to that state's root.
    pub proof: ScopeProof,
    /// The entries.
    pub content: Content,
}

impl VerifiedScope {
    /// The index of the certificate.
    pub fn index(&self) -> Version {
        self.certificate.index()
    }
}

/// Newer content that is not complete or not proved yet.
#[derive(Clone, Debug)]
struct Staged {
    transfer: Transfer,
    content: Content,
    /// Bytes received.
    bytes: usize,
    /// The sender of all of it; `None` if there were several.
    source: Option<Id>,
}

/// The result of handling changes or a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// They are of no use, or not yet.
    NoEffect,
    /// The changes are staged.
    Staged,
    /// The scope is in force by a newer certificate, with the same content.
    Confirmed,
    /// Newer content is in force.
    Changed,
    /// The changes are out of order, or too large.
    Malformed,
    /// The staged content does not match the proof, and the scope is fetched again. Names the sender, if
    /// there was only one.
    Mismatch(Option<Id>),
}

/// One scope of a subscriber.
#[derive(Clone, Debug, Default)]
pub struct ScopeStore {
    verified: Option<VerifiedScope>,
    staged: Option<Staged>,
    /// The newest valid proof whose content is not in force yet.
    pending_proof: Option<(SharedCertificate, ScopeProof)>,
    /// A proof whose certificate has not arrived.
    deferred_proof: Option<(Version, ScopeProof)>,
    /// When the poll was sent for which a voter confirmed that nothing newer was decided than what is in
    /// force.
    fresh_since: Option<f64>,
}

impl ScopeStore {
    /// The content in force, with its proof.
    pub fn verified(&self) -> Option<&VerifiedScope> {
        self.verified.as_ref()
    }

    /// The index of the certificate by which the scope is in force; 0 if it is not.
    pub fn index(&self) -> Version {
        self.verified.as_ref().map_or(0, VerifiedScope::index)
    }

    /// Puts saved content in force if its digest matches its proof, which the caller has verified.
    pub fn restore(&mut self, verified: VerifiedScope) -> bool {
        let matches = verified.content.digest() == verified.proof.summary.digest;
        if matches {
            *self = Self { verified: Some(verified), ..Self::default() };
        }
        matches
    }

    /// The position to report to the control machine.
    pub fn position(&self) -> Position {
        let transfer = self.staged.as_ref().map(|staged| staged.transfer.clone());
        Position { in_force: self.index(), transfer }
    }

    /// Whether a transfer is in progress, or waits for its proof.
    pub fn is_in_progress(&self) -> bool {
        self.staged.is_some() || self.verified.is_none()
    }

    /// All that was decided before this time is in force.
    pub fn fresh_since(&self) -> Option<f64> {
        self.fresh_since
    }

    /// Records that at a time nothing after this index had been decided.
    pub fn record_freshness(&mut self, index: Version, at: f64) {
        if self.verified.is_some() && index <= self.index() {
            self.fresh_since = Some(self.fresh_since.map_or(at, |previous| previous.max(at)));
        }
    }

    /// Position from which newer changes continue.
    fn transfer_start(&self) -> Transfer {
        let in_force = self.index();
        let transfer = Transfer { base: in_force, source_version: in_force, after: Cursor::end_of(in_force) };
        self.staged.as_ref().map_or(transfer, |staged| staged.transfer.clone())
    }

    /// Stages changes that continue from what is there, or that restart the scope.
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

    /// Keeps the latest proof whose certificate is not known yet.
    pub fn defer_proof(&mut self, index: Version, proof: ScopeProof) {
        if index > self.index() || is_injected(Fault::AcceptOlderCertificate) {
            self.deferred_proof = Some((index, proof));
        }
    }

    /// Takes the proof that waits for the certificate of an index.
    pub fn take_deferred_proof(&mut self, index: Version) -> Option<ScopeProof> {
        self.deferred_proof.take_if(|(awaited, _)| *awaited == index).map(|(_, proof)| proof)
    }

    /// Keeps a proof that was verified with a certificate.
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
            // The content has not changed since.
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
    /// nothing if this one started from what is in force.
    fn restart_transfer(&mut self) {
        let from_in_force = self.staged.take().is_some_and(|staged| staged.transfer.base == self.index());
        if from_in_force && self.verified.is_some() {
            let transfer = Transfer { base: 0, source_version: 0, after: Cursor::end_of(0) };
            self.staged = Some(Staged { transfer, content: Content::default(), bytes: 0, source: None });
        }
    }

    /// Drops what was staged from a newer state than the one that the control machine serves, so that it can
    /// continue from what is in force.
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

    /// Confirms the content in force by a newer certificate.
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

/// Whether the changes are in order, after the cursor that they follow, and not newer than the state that
/// they were read from.
fn is_ordered(message: &Changes) -> bool {
    let cursor = |change: &KeyChange| Cursor::at(change.version, change.key.clone());
    let mut previous = message.after.clone();
    message.changes.iter().all(|change| {
        let ordered = cursor(change) > previous;
        previous = cursor(change);
        ordered && change.version <= message.source_version
    })
}
