//! A fleet without control machines: every node gossips with every other and follows the log. It is the
//! baseline that must fail the check of the limits.

use std::net::SocketAddr;

use super::council::{CouncilNode, CouncilTerms};
use super::keys;
use super::kv_machine::KeyValueMachine;
use super::layout::{Layout, NodeId, Scope};
use super::node::{ConfigChange, Fleet, Node, NotReady, Version};

/// A flat fleet: the terms shared by its nodes.
pub struct FlatFleet {
    terms: CouncilTerms,
}

impl FlatFleet {
    pub fn new(layout: &Layout) -> Self {
        Self { terms: CouncilTerms::for_flat_fleet(keys::roster(0..layout.node_count()), layout.voters()) }
    }
}

impl Fleet for FlatFleet {
    type Node = FlatNode;

    fn start(&self, node: NodeId, generation: u32, disk: &[u8], now: f64) -> FlatNode {
        FlatNode(CouncilNode::start(&self.terms, node, generation, KeyValueMachine::default(), disk, now))
    }
}

/// One member of a flat fleet.
pub struct FlatNode(CouncilNode<KeyValueMachine>);

impl Node for FlatNode {
    fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]) {
        self.0.receive(now, from, datagram);
    }

    fn turn(&mut self, now: f64) {
        self.0.turn(now);
    }

    fn due(&self) -> f64 {
        self.0.due()
    }

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.0.outgoing()
    }

    /// Every node follows the whole log, so the scope does not matter.
    fn in_force(&self, _: Scope) -> Version {
        self.0.machine().newest()
    }

    fn propose(&mut self, now: f64, number: usize, change: &ConfigChange) -> Result<(), NotReady> {
        self.0.propose(now, number, change)
    }

    fn next_decided(&mut self) -> Option<(usize, Version)> {
        self.0.next_decided()
    }

    fn disk(&self) -> Vec<u8> {
        self.0.disk().to_vec()
    }

    fn state_bytes(&self) -> usize {
        self.0.state_bytes()
    }
}
