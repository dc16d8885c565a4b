//! A control machine's copy of the state as of the newest certified index. Proofs of scopes hold only against
//! that index, so later decisions wait.

use std::collections::VecDeque;

use agree::certificate::Certificate;

use crate::Version;
use crate::entry::Change;
use crate::state::ScopedState;
use crate::trust::SharedCertificate;

/// Maximum number of changes that wait for a certificate; past that the state has to be restored.
/// Certificates follow decisions within a few heartbeats of the council, so this many mean that no majority
/// signs.
const MAX_WAITING_CHANGES: usize = 65_536;

/// The state at the newest certified index.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    state: ScopedState,
    /// The state holds all decisions up to this index; `None` if it has to be restored first.
    applied_to: Option<Version>,
    /// Changes decided later, and the index of the last decision.
    waiting: VecDeque<Change>,
    decided: Version,
    /// The certificate of the state that is served.
    certificate: Option<SharedCertificate>,
    /// A certificate of an index that is not decided here yet.
    pending_certificate: Option<SharedCertificate>,
    /// States whose root differed from the one that a majority signed.
    diverged: u64,
}

impl Replica {
    /// Whether to call [`Replica::restore`].
    pub fn needs_state(&self) -> bool {
        self.applied_to.is_none()
    }

    /// States whose root differed from the one that a majority signed.
    pub fn diverged(&self) -> u64 {
        self.diverged
    }

    /// Replaces the state with one that holds all decisions up to an index. It is served from the first
    /// certificate that is not older.
    pub fn restore(&mut self, index: Version, state: ScopedState) {
        (self.state, self.applied_to, self.decided) = (state, Some(index), index);
        self.waiting.clear();
        self.certificate = None;
    }

    /// Adds the changes of the decisions up to an index.
    pub fn add_decided_changes(&mut self, index: Version, changes: impl IntoIterator<Item = Change>) {
        if self.applied_to.is_none() || index <= self.decided {
            return;
        }
        self.waiting.extend(changes);
        self.decided = index;
        if self.waiting.len() > MAX_WAITING_CHANGES {
            self.discard();
        }
    }

    fn discard(&mut self) {
        (self.applied_to, self.certificate) = (None, None);
        self.waiting = VecDeque::new();
    }

    /// Records that a majority signed the state at an index. The certificate waits until that index is
    /// decided here.
    pub fn update_certificate(&mut self, certificate: &Certificate) {
        let newest = self.pending_certificate.as_ref().map_or(self.index(), SharedCertificate::index);
        if certificate.statement.index > newest {
            self.pending_certificate = Some(certificate.clone().into());
        }
    }

    /// Whether [`Replica::advance`] has something to do.
    pub fn can_advance(&self) -> bool {
        let reached = |certificate: &SharedCertificate| certificate.index() <= self.decided;
        self.applied_to.is_some() && self.pending_certificate.as_ref().is_some_and(reached)
    }

    /// Advances to the newest certificate whose index is decided here. Returns the changes, or `None` if the
    /// state stays as it is.
    pub fn advance(&mut self) -> Option<Vec<Change>> {
        let applied_to = self.applied_to?;
        let certificate =
            self.pending_certificate.take_if(|certificate| certificate.index() <= self.decided)?;
        let index = certificate.index();
        if index < applied_to {
            return None;
        }
        let mut changes = Vec::new();
        while self.waiting.front().is_some_and(|change| change.version <= index) {
            changes.extend(self.waiting.pop_front());
        }
        let applied = changes.iter().all(|change| self.state.apply(change.clone()).is_ok());
        if !applied || self.state.root() != certificate.statement.state_root {
            self.diverged += 1;
            self.discard();
            return None;
        }
        (self.applied_to, self.certificate) = (Some(index), Some(certificate));
        Some(changes)
    }

    /// The certified index that is served; 0 before the first.
    pub fn index(&self) -> Version {
        self.certificate.as_ref().map_or(0, SharedCertificate::index)
    }

    /// The certificate and the state that it covers.
    pub fn served(&self) -> Option<(&SharedCertificate, &ScopedState)> {
        Some((self.certificate.as_ref()?, &self.state))
    }
}
