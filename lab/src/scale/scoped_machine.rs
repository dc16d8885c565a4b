//! The state machine of control machines in a scale run: changes by scope, as served to subscribers.

use agree::{Hash, Index, Machine, UnsupportedDecision};
use distribution::{Change, Key, ScopedState};

use super::kv_machine::{CHANGES_PART, Command};
use super::node::Version;

/// The state of all scopes, and the changes since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct ScopedMachine {
    newest: Version,
    state: ScopedState,
    changes: Vec<Change>,
    /// The whole state was replaced since then.
    replaced: bool,
}

impl ScopedMachine {
    pub fn newest(&self) -> Version {
        self.newest
    }

    pub fn state(&self) -> &ScopedState {
        &self.state
    }

    /// Takes the changes since the last call; `None` if the whole state was replaced.
    pub fn take_changes(&mut self) -> Option<Vec<Change>> {
        let changes = std::mem::take(&mut self.changes);
        (!std::mem::take(&mut self.replaced)).then_some(changes)
    }
}

impl Machine for ScopedMachine {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let unsupported = |what: &str| UnsupportedDecision { index, part, reason: what.to_owned() };
        if part != CHANGES_PART {
            return Err(unsupported("unknown part"));
        }
        let command: Command =
            postcard::from_bytes(command).map_err(|_| unsupported("not a valid change"))?;
        let key = Key::new(command.key).map_err(|_| unsupported("not a valid key"))?;
        let change = Change { scope: command.scope, key, version: index, value: Some(command.value) };
        self.state.apply(change.clone()).map_err(|_| unsupported("change out of order"))?;
        self.changes.push(change);
        self.newest = index;
        Ok(Vec::new())
    }

    fn state(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.newest, &self.state)).expect("plain data")
    }

    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), UnsupportedDecision> {
        let invalid_state = |_| UnsupportedDecision {
            index,
            part: CHANGES_PART,
            reason: "not a valid state of a scale run".to_owned(),
        };
        (self.newest, self.state) = postcard::from_bytes(state).map_err(invalid_state)?;
        self.changes.clear();
        self.replaced = true;
        Ok(())
    }

    fn root(&self) -> Hash {
        self.state.root()
    }
}
