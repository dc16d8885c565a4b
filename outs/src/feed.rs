//! Changes of the distributed state, on the way to the component that serves it to others.

use std::collections::VecDeque;

use distribution::Change;

/// Most changes that wait to be taken, about a megabyte. Beyond that they are dropped and the consumer has
/// to take the whole state, since changes that nobody takes would only cost memory.
const MAX_WAITING: usize = 4096;

/// The changes since the last call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changes in the order of the decisions.
    Since(Vec<Change>),
    /// The single changes are not known: the whole state has to be taken.
    Reset,
}

/// Changes that wait to be taken once.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    waiting: VecDeque<Change>,
    needs_reset: bool,
}

impl Feed {
    /// Adds a change.
    pub(crate) fn push(&mut self, change: Change) {
        if self.needs_reset {
            return;
        }
        self.waiting.push_back(change);
        if self.waiting.len() > MAX_WAITING {
            self.reset();
        }
    }

    /// The whole state was replaced, so single changes no longer describe it.
    pub(crate) fn reset(&mut self) {
        self.waiting.clear();
        self.needs_reset = true;
    }

    /// Takes the changes since the last call.
    pub(crate) fn take(&mut self) -> Changes {
        if std::mem::take(&mut self.needs_reset) {
            return Changes::Reset;
        }
        Changes::Since(self.waiting.drain(..).collect())
    }
}
