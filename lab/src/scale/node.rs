//! What the [`super::engine`] drives: a node with real decision parts, and a fleet that starts nodes.

use std::net::SocketAddr;

use super::layout::{NodeId, Scope};

/// The index of a decision in the log.
pub type Version = u64;

/// A change of configuration: a key of a scope gets a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    pub scope: Scope,
    pub key: String,
    pub value: Vec<u8>,
}

/// Why a change was not taken by the node that it was given to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotReady;

/// One control machine or border proxy. Times are milliseconds since the run began.
pub trait Node: Send {
    fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]);

    /// Does what has fallen due; called after each [`Node::receive`] too.
    fn turn(&mut self, now: f64);

    /// When [`Node::turn`] is wanted.
    fn due(&self) -> f64;

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)>;

    /// Up to which decision this node's state of a scope is in force.
    fn in_force(&self, scope: Scope) -> Version;

    /// Has a change decided; `number` tells it from others.
    ///
    /// # Errors
    ///
    /// When the node takes none now: it is asked again.
    fn propose(&mut self, now: f64, number: usize, change: &ConfigChange) -> Result<(), NotReady>;

    /// The next change that was proposed here and is decided, by its number, with its version.
    fn next_decided(&mut self) -> Option<(usize, Version)>;

    /// What the node's disk holds.
    fn disk(&self) -> Vec<u8>;

    /// Bytes of the state that the node holds, written out.
    fn state_bytes(&self) -> usize;
}

/// A kind of fleet.
pub trait Fleet: Sync {
    type Node: Node;

    /// Starts a node with what its disk holds; `life` counts its starts from 0.
    fn start(&self, node: NodeId, generation: u32, disk: &[u8], now: f64) -> Self::Node;
}
