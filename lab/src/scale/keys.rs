//! Keys of the nodes of a scale run: derived from the nodes' numbers, and known to all.

use std::sync::Arc;

use agree::{Id, Signer};
use gossip::keys::{Roster, SIGNATURE_BYTES, Secrets};

use super::layout::NodeId;
use crate::stand_ins::peers::FLEET_KEY;

/// The secret key of a node.
pub fn own_key(node: NodeId) -> [u8; 32] {
    let mut own = [0x5c; 32];
    own[..8].copy_from_slice(&(node as u64).to_le_bytes());
    own
}

pub fn secrets(node: NodeId) -> Secrets {
    Secrets::new(own_key(node), vec![FLEET_KEY]).expect("a valid fleet key")
}

pub fn name(node: NodeId) -> String {
    format!("n{node}")
}

/// The names and public keys of some nodes.
pub fn roster(nodes: impl IntoIterator<Item = NodeId>) -> Roster {
    let members: Vec<_> = nodes.into_iter().map(|node| (name(node), secrets(node).public_key())).collect();
    let members = members.iter().map(|(name, key)| (name.as_str(), *key));
    Roster::new(members).expect("distinct names and keys")
}

/// Signs as one node and verifies with a roster that all nodes of this process share.
#[derive(Clone)]
pub struct SharedKeys {
    pub secrets: Secrets,
    pub roster: Arc<Roster>,
}

impl Signer for SharedKeys {
    fn sign(&self, bytes: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.secrets.sign(bytes)
    }

    fn verify(&self, by: Id, bytes: &[u8], signature: &[u8; SIGNATURE_BYTES]) -> bool {
        self.roster.verify_signature(by, bytes, signature)
    }
}
