//! A control machine's copy of the state, as it was at the newest sealed index: proofs of scopes hold against
//! that index alone. Decisions after it wait.

use std::collections::VecDeque;

use agree::certificate::Certificate;

use crate::Version;
use crate::entry::Change;
use crate::state::ScopedState;
use crate::trust::SharedCertificate;

/// Changes that wait for a seal at most; past that the state is to be given anew. Seals follow decisions
/// within a few probe intervals of the council, so that this many mean that no majority signs.
const MAX_WAITING_CHANGES: usize = 65_536;

/// The state at the newest sealed index.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    state: ScopedState,
    /// The state holds all decisions up to here; none where it is to be given first.
    applied_to: Option<Version>,
    /// What was decided later, and up to where.
    waiting: VecDeque<Change>,
    decided: Version,
    /// The seal of the state as it is served.
    certificate: Option<SharedCertificate>,
    /// A seal of more than is decided here.
    pending_certificate: Option<SharedCertificate>,
    /// States that came to another root than the one that a majority signed.
    diverged: u64,
}

impl Replica {
    /// Whether a state is to be given by [`Replica::restore`].
    pub fn needs_state(&self) -> bool {
        self.applied_to.is_none()
    }

    /// States that came to another root than the one that a majority signed.
    pub fn diverged(&self) -> u64 {
        self.diverged
    }

    /// Takes a state that holds all decisions up to an index. It is served from the first seal on that is not
    /// older.
    pub fn restore(&mut self, index: Version, state: ScopedState) {
        (self.state, self.applied_to, self.decided) = (state, Some(index), index);
        self.waiting.clear();
        self.certificate = None;
    }

    /// Decisions up to an index changed this.
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

    /// A majority signed the state at an index. It is kept until as much is decided here.
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

    /// Goes on to the newest seal, as far as it is decided here. Gives what has changed with it; none where
    /// it stays.
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

    /// The sealed index that is served; 0 before the first.
    pub fn index(&self) -> Version {
        self.certificate.as_ref().map_or(0, SharedCertificate::index)
    }

    /// The seal, and the state that it is of.
    pub fn served(&self) -> Option<(&SharedCertificate, &ScopedState)> {
        Some((self.certificate.as_ref()?, &self.state))
    }
}
