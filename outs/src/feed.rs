//! What the decisions changed in the distributed state, on its way to whoever serves it to others.

use std::collections::VecDeque;

use distribution::Change;

/// Changes that wait to be taken, about a megabyte. Past that they are dropped, and whoever serves the state
/// is to begin anew from all of it: it costs memory here where nobody takes them.
const MAX_WAITING: usize = 4096;

/// What was changed since it was last asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// These, in the order of the decisions.
    Since(Vec<Change>),
    /// Not known one by one: the whole state is to be taken anew.
    Reset,
}

/// Changes that wait to be taken, each of them once.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    waiting: VecDeque<Change>,
    needs_reset: bool,
}

impl Feed {
    pub(crate) fn push(&mut self, change: Change) {
        if self.needs_reset {
            return;
        }
        self.waiting.push_back(change);
        if self.waiting.len() > MAX_WAITING {
            self.reset();
        }
    }

    /// The state was replaced as a whole.
    pub(crate) fn reset(&mut self) {
        self.waiting.clear();
        self.needs_reset = true;
    }

    pub(crate) fn take(&mut self) -> Changes {
        if std::mem::take(&mut self.needs_reset) {
            return Changes::Reset;
        }
        Changes::Since(self.waiting.drain(..).collect())
    }
}
