//! The machine of control machines in a scale run: changes by scope, as they are served.

use agree::{Hash, Index, Machine, UnsupportedDecision};
use distribution::{Change, Key, ScopedState};

use super::kv_machine::{CHANGES_PART, Command};
use super::node::Version;

/// The state of all scopes, and what has changed since it was last asked for.
#[derive(Clone, Debug, Default)]
pub struct ScopedMachine {
    newest: Version,
    state: ScopedState,
    changes: Vec<Change>,
    /// The state was put in place as a whole.
    replaced: bool,
}

impl ScopedMachine {
    pub fn newest(&self) -> Version {
        self.newest
    }

    pub fn state(&self) -> &ScopedState {
        &self.state
    }

    /// What has changed since this was last asked for; none where the state was put in place as a whole.
    pub fn take_changes(&mut self) -> Option<Vec<Change>> {
        let changes = std::mem::take(&mut self.changes);
        (!std::mem::take(&mut self.replaced)).then_some(changes)
    }
}

impl Machine for ScopedMachine {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let unsupported = |what: &str| UnsupportedDecision { index, part, reason: what.to_owned() };
        if part != CHANGES_PART {
            return Err(unsupported("no part of a scale run"));
        }
        let command: Command = postcard::from_bytes(command).map_err(|_| unsupported("no change"))?;
        let key = Key::new(command.key).map_err(|_| unsupported("no key"))?;
        let change = Change { scope: command.scope, key, version: index, value: Some(command.value) };
        self.state.apply(change.clone()).map_err(|_| unsupported("out of order"))?;
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
            reason: "no state of a scale run".to_owned(),
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
