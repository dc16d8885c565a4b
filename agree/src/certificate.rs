//! Quorum certificates, by which proxies without a vote verify decisions. Each council member signs a
//! statement on what it knows to be decided; a majority's signatures on the same statement are a
//! [`Certificate`], which anybody can pass on. A council is proved by a certificate of the council before
//! it ([`CouncilProof`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Id;
use crate::council::Council;
use crate::log::{Hash, Index};

/// Length of a signature.
pub const SIGNATURE_BYTES: usize = gossip::keys::SIGNATURE_BYTES;
/// Domain separation: nothing else that the key signs starts with these bytes.
const DOMAIN: &[u8] = b"frostthread agree 2";

/// Signs statements and verifies the signatures of other members.
pub trait Signer {
    /// Signs with this member's key.
    fn sign(&self, bytes: &[u8]) -> [u8; SIGNATURE_BYTES];
    /// Whether `by` signed the bytes.
    fn verify(&self, by: Id, bytes: &[u8], signature: &[u8; SIGNATURE_BYTES]) -> bool;
}

/// A member's statement that everything up to `index` is decided, and on the state that results.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Statement {
    pub index: Index,
    pub hash: Hash,
    /// The newest snapshot at or before `index`, and its digest.
    pub snapshot_index: Index,
    pub snapshot_digest: Hash,
    /// The index since which the council votes at `index`, and the council's digest.
    pub version: Index,
    pub council_digest: Hash,
    /// The machine's state root after `index` is applied.
    pub state_root: Hash,
}

impl Statement {
    /// The bytes that are signed.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_extend(self, DOMAIN.to_vec()).expect("plain data can be encoded")
    }
}

/// The signatures of a majority of a council on the same statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Certificate {
    pub statement: Statement,
    pub signatures: Vec<(Id, Vec<u8>)>,
}

impl Certificate {
    /// Builds a certificate from exactly a majority of the council's signatures; `None` if there are too
    /// few.
    pub fn from_signatures(
        statement: &Statement,
        by: &BTreeMap<Id, Vec<u8>>,
        council: &Council,
    ) -> Option<Self> {
        let signed = council.ids().filter_map(|id| Some((id, by.get(&id)?.clone())));
        let signatures: Vec<_> = signed.take(council.majority()).collect();
        (signatures.len() == council.majority()).then(|| Self { statement: statement.clone(), signatures })
    }

    /// Whether a majority of the council signed it.
    pub fn is_valid(&self, council: &Council, keys: &impl Signer) -> bool {
        let bytes = self.statement.bytes();
        let has_signed = |id: Id| {
            let mut own = self.signatures.iter().filter(|(by, _)| *by == id);
            let signature = own.next().and_then(|(_, signature)| signature.as_slice().try_into().ok());
            signature.is_some_and(|signature| keys.verify(id, &bytes, signature))
        };
        self.signatures.len() <= crate::council::MAX_VOTERS
            && council.is_majority(|voter| has_signed(voter.id))
    }
}

/// A council with the certificate by which the council before it confirms it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CouncilProof {
    pub council: Council,
    pub certificate: Certificate,
}

impl CouncilProof {
    /// Whether the former council confirms that this one votes.
    pub fn is_valid(&self, former: &Council, keys: &impl Signer) -> bool {
        self.council.digest() == self.certificate.statement.council_digest
            && self.certificate.is_valid(former, keys)
    }
}

/// Signs and verifies with the fleet's gossip keys.
pub struct FleetKeys {
    pub secrets: gossip::keys::Secrets,
    pub roster: gossip::keys::Roster,
}

impl Signer for FleetKeys {
    fn sign(&self, bytes: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.secrets.sign(bytes)
    }

    fn verify(&self, by: Id, bytes: &[u8], signature: &[u8; SIGNATURE_BYTES]) -> bool {
        self.roster.verify_signature(by, bytes, signature)
    }
}
