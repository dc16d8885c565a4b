//! What the decisions are about: a machine that comes to the same state wherever it is given the same ones.

use thiserror::Error;

use crate::log::{Hash, Index};

/// A decision or a state that this program does not know: made by a newer one, or for another machine.
/// Whoever meets it stops there, rather than guess.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("decision {index}: part {part}: {reason}")]
pub struct UnsupportedDecision {
    pub index: Index,
    pub part: u8,
    pub reason: String,
}

/// The parts that decisions are given to. Nothing but what it is given may sway it: no clock, no chance, no
/// hash order.
pub trait Machine {
    /// Carries a decision out. Gives what it came to, for whoever asked: a refusal by the machine's own rules
    /// too.
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision>;

    /// A digest of what the decisions so far came to, the same wherever they are the same. It is signed with
    /// them, so that a part of the state can be proved to whoever does not follow the log. All zero for a
    /// machine of which nothing is proved so.
    fn root(&self) -> Hash {
        Hash::default()
    }

    /// All that is to be known of it, to begin anew from.
    fn state(&self) -> Vec<u8>;

    /// Takes a state that [`Machine::state`] gave, in place of its own.
    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), UnsupportedDecision>;
}
