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
const MOST_WAITING: usize = 65_536;

/// The state at the newest sealed index.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    state: ScopedState,
    /// The state holds all decisions up to here; none where it is to be given first.
    at: Option<Version>,
    /// What was decided later, and up to where.
    waiting: VecDeque<Change>,
    decided: Version,
    /// The seal of the state as it is served.
    seal: Option<SharedCertificate>,
    /// A seal of more than is decided here.
    ahead: Option<SharedCertificate>,
    /// States that came to another root than the one that a majority signed.
    diverged: u64,
}

impl Replica {
    /// Whether a state is to be given by [`Replica::restore`].
    pub fn needs_state(&self) -> bool {
        self.at.is_none()
    }

    /// States that came to another root than the one that a majority signed.
    pub fn diverged(&self) -> u64 {
        self.diverged
    }

    /// Takes a state that holds all decisions up to an index. It is served from the first seal on that is not
    /// older.
    pub fn restore(&mut self, index: Version, state: ScopedState) {
        (self.state, self.at, self.decided) = (state, Some(index), index);
        self.waiting.clear();
        self.seal = None;
    }

    /// Decisions up to an index changed this.
    pub fn add_decided_changes(&mut self, index: Version, changes: impl IntoIterator<Item = Change>) {
        if self.at.is_none() || index <= self.decided {
            return;
        }
        self.waiting.extend(changes);
        self.decided = index;
        if self.waiting.len() > MOST_WAITING {
            self.forget();
        }
    }

    fn forget(&mut self) {
        (self.at, self.seal) = (None, None);
        self.waiting = VecDeque::new();
    }

    /// A majority signed the state at an index. It is kept until as much is decided here.
    pub fn update_certificate(&mut self, seal: &Certificate) {
        let newest = self.ahead.as_ref().map_or(self.index(), SharedCertificate::index);
        if seal.statement.index > newest {
            self.ahead = Some(seal.clone().into());
        }
    }

    /// Whether [`Replica::advance`] has something to do.
    pub fn can_advance(&self) -> bool {
        let reached = |seal: &SharedCertificate| seal.index() <= self.decided;
        self.at.is_some() && self.ahead.as_ref().is_some_and(reached)
    }

    /// Goes on to the newest seal, as far as it is decided here. Gives what has changed with it; none where
    /// it stays.
    pub fn advance(&mut self) -> Option<Vec<Change>> {
        let at = self.at?;
        let seal = self.ahead.take_if(|seal| seal.index() <= self.decided)?;
        let index = seal.index();
        if index < at {
            return None;
        }
        let mut changes = Vec::new();
        while self.waiting.front().is_some_and(|change| change.version <= index) {
            changes.extend(self.waiting.pop_front());
        }
        let applied = changes.iter().all(|change| self.state.apply(change.clone()).is_ok());
        if !applied || self.state.root() != seal.statement.state_root {
            self.diverged += 1;
            self.forget();
            return None;
        }
        (self.at, self.seal) = (Some(index), Some(seal));
        Some(changes)
    }

    /// The sealed index that is served; 0 before the first.
    pub fn index(&self) -> Version {
        self.seal.as_ref().map_or(0, SharedCertificate::index)
    }

    /// The seal, and the state that it is of.
    pub fn served(&self) -> Option<(&SharedCertificate, &ScopedState)> {
        Some((self.seal.as_ref()?, &self.state))
    }
}
