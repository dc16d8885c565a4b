//! The interface of the [`super::engine`]: a node with real decision parts, and a fleet that starts nodes.

use std::net::SocketAddr;

use super::layout::{NodeId, Scope};

/// The index of a decision in the log.
pub type Version = u64;

/// A change of configuration: sets a key of a scope to a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    pub scope: Scope,
    pub key: String,
    pub value: Vec<u8>,
}

/// Error of a node that accepts no proposal now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotReady;

/// One control machine or border proxy. Times are milliseconds since the run began.
pub trait Node: Send {
    fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]);

    /// Runs one turn of the node's event loop; also called after each [`Node::receive`].
    fn turn(&mut self, now: f64);

    /// Time of the next [`Node::turn`].
    fn due(&self) -> f64;

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)>;

    /// The newest decision that is in force in this node's state of a scope.
    fn in_force(&self, scope: Scope) -> Version;

    /// Proposes a change; `number` identifies it.
    ///
    /// # Errors
    ///
    /// Fails if the node accepts no proposal now: the change is proposed again later.
    fn propose(&mut self, now: f64, number: usize, change: &ConfigChange) -> Result<(), NotReady>;

    /// Removes and returns the next decided change that was proposed here: its number and version.
    fn next_decided(&mut self) -> Option<(usize, Version)>;

    /// Content of the node's disk.
    fn disk(&self) -> Vec<u8>;

    /// Size in bytes of the node's encoded state.
    fn state_bytes(&self) -> usize;
}

/// A kind of fleet.
pub trait Fleet: Sync {
    type Node: Node;

    /// Starts a node with the content of its disk; `generation` counts its starts from 0.
    fn start(&self, node: NodeId, generation: u32, disk: &[u8], now: f64) -> Self::Node;
}
