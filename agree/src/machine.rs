//! The deterministic state machine that the decisions apply to.

use thiserror::Error;

use crate::log::{Hash, Index};

/// A decision or a state that this program does not know, because a newer program or one for another
/// machine made it. A replica that meets one stops there.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("decision {index}: part {part}: {reason}")]
pub struct UnsupportedDecision {
    pub index: Index,
    pub part: u8,
    pub reason: String,
}

/// A state machine with several parts. Its state may only depend on the decisions: not on a clock, random
/// numbers or the iteration order of a hash map.
pub trait Machine {
    /// Applies a decision. The returned bytes are the answer for the requester; that includes a refusal by
    /// the machine's own rules.
    ///
    /// # Errors
    ///
    /// [`UnsupportedDecision`] if this program does not know the part or the command.
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision>;

    /// A digest of the state, the same on all replicas. It is signed with the decisions, so that a part of
    /// the state can be proved to proxies that do not follow the log. All zero for a machine that proves
    /// nothing this way.
    fn root(&self) -> Hash {
        Hash::default()
    }

    /// The complete state, as [`Machine::restore`] takes it.
    fn state(&self) -> Vec<u8>;

    /// Replaces the state with one from [`Machine::state`].
    ///
    /// # Errors
    ///
    /// [`UnsupportedDecision`] if this program cannot read the state.
    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), UnsupportedDecision>;
}
