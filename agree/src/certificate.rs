//! The proof that something is decided, for those who have no vote. Each member of the council signs what it
//! knows to be decided; a majority's signatures on the same statement are a [`Certificate`], which anybody can pass
//! on. A council is proved by a seal of the one before it ([`CouncilProof`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Id;
use crate::council::Council;
use crate::log::{Hash, Index};

/// Bytes of a signature.
pub const SIGNATURE_BYTES: usize = gossip::keys::SIGNATURE;
/// What a signature is for: nothing else that the key signs begins so.
const DOMAIN: &[u8] = b"frostthread agree 2";

/// How members sign, and who said what.
pub trait Signer {
    fn sign(&self, bytes: &[u8]) -> [u8; SIGNATURE_BYTES];
    fn verify(&self, by: Id, bytes: &[u8], signature: &[u8; SIGNATURE_BYTES]) -> bool;
}

/// What a member says of the log: all up to `index` is decided, and comes to this.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Statement {
    pub index: Index,
    pub hash: Hash,
    /// The newest snapshot at or before it, and the digest of that.
    pub snapshot_index: Index,
    pub snapshot_digest: Hash,
    /// Since when its council votes, and the digest of that.
    pub version: Index,
    pub council_digest: Hash,
    /// The machine's root once all up to `index` is carried out.
    pub state_root: Hash,
}

impl Statement {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_extend(self, DOMAIN.to_vec()).expect("plain data")
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Certificate {
    pub statement: Statement,
    pub signatures: Vec<(Id, Vec<u8>)>,
}

impl Certificate {
    /// Signatures of a majority of a council, and no more, where there are so many.
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

/// A council, proved by the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CouncilProof {
    pub council: Council,
    pub certificate: Certificate,
}

impl CouncilProof {
    /// Whether the former council says that this one votes.
    pub fn is_valid(&self, former: &Council, keys: &impl Signer) -> bool {
        self.council.digest() == self.certificate.statement.council_digest
            && self.certificate.is_valid(former, keys)
    }
}

/// The keys of gossip, as they sign what is decided.
pub struct FleetKeys {
    pub secrets: gossip::keys::Secrets,
    pub roster: gossip::keys::Roster,
}

impl Signer for FleetKeys {
    fn sign(&self, bytes: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.secrets.sign(bytes)
    }

    fn verify(&self, by: Id, bytes: &[u8], signature: &[u8; SIGNATURE_BYTES]) -> bool {
        self.roster.said(by, bytes, signature)
    }
}
