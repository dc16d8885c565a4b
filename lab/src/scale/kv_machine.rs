//! The state machine that applies decided changes in a scale run: a value by scope and key.
//!
//! It stands for all that a fleet decides, so that a run can have changes of every scope; the drains of
//! `outs/` belong to services only.

use std::collections::BTreeMap;

use agree::{Index, Machine, UnsupportedDecision};
use serde::{Deserialize, Serialize};

use super::layout::Scope;
use super::node::{ConfigChange, Version};

/// Number of the agreement's part that changes are proposed to.
pub const CHANGES_PART: u8 = 9;

#[derive(Serialize, Deserialize)]
pub(super) struct Command {
    pub scope: Scope,
    pub key: String,
    pub value: Vec<u8>,
}

/// Encodes a change as a command of the agreement.
pub fn encode_command(change: &ConfigChange) -> Vec<u8> {
    let ConfigChange { scope, key, value } = change.clone();
    postcard::to_stdvec(&Command { scope, key, value }).expect("plain data")
}

/// All values, with the versions at which they were decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValueMachine {
    /// Index of the last applied decision.
    newest: Version,
    values: BTreeMap<(Scope, String), (Version, Vec<u8>)>,
}

impl KeyValueMachine {
    pub fn newest(&self) -> Version {
        self.newest
    }

    pub fn get(&self, scope: Scope, key: &str) -> Option<(Version, &[u8])> {
        let (version, value) = self.values.get(&(scope, key.to_owned()))?;
        Some((*version, value))
    }
}

impl Machine for KeyValueMachine {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let unsupported = |what: &str| UnsupportedDecision { index, part, reason: what.to_owned() };
        if part != CHANGES_PART {
            return Err(unsupported("unknown part"));
        }
        let command: Command =
            postcard::from_bytes(command).map_err(|_| unsupported("not a valid change"))?;
        self.newest = index;
        self.values.insert((command.scope, command.key), (index, command.value));
        Ok(Vec::new())
    }

    fn state(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.values).expect("plain data")
    }

    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), UnsupportedDecision> {
        let invalid_state = |_| UnsupportedDecision {
            index,
            part: CHANGES_PART,
            reason: "not a valid state of a scale run".to_owned(),
        };
        self.values = postcard::from_bytes(state).map_err(invalid_state)?;
        self.newest = index;
        Ok(())
    }
}
