//! A voter's signed statement on how far decisions had come. The requester can pass it on to others that
//! have no vote: they only have to trust that voter.

use serde::{Deserialize, Serialize};

use crate::Id;
use crate::certificate::{SIGNATURE_BYTES, Signer};
use crate::council::Council;
use crate::log::Index;

/// Drawn at random by the requester: a response that contains it was given after it was drawn.
pub type Nonce = [u8; 16];

/// Domain separation: nothing else that the key signs starts with these bytes.
const DOMAIN: &[u8] = b"frostthread fresh 1";

/// A signed response to a nonce: all decisions up to `index` were made before `signer` answered, and every
/// decision made before the request has an index of at most `index`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FreshnessProof {
    pub nonce: Nonce,
    pub index: Index,
    pub signer: Id,
    pub signature: Vec<u8>,
}

impl FreshnessProof {
    /// Signs a response to a nonce.
    pub fn sign(signer: Id, nonce: Nonce, index: Index, keys: &impl Signer) -> Self {
        let signature = keys.sign(&Self::bytes(&nonce, index)).to_vec();
        Self { nonce, index, signer, signature }
    }

    /// Whether a voter of the council signed it.
    pub fn is_valid(&self, council: &Council, keys: &impl Signer) -> bool {
        let signature: Option<&[u8; SIGNATURE_BYTES]> = self.signature.as_slice().try_into().ok();
        let signed = |of| keys.verify(self.signer, &Self::bytes(&self.nonce, self.index), of);
        council.contains(self.signer) && signature.is_some_and(signed)
    }

    fn bytes(nonce: &Nonce, index: Index) -> Vec<u8> {
        postcard::to_extend(&(nonce, index), DOMAIN.to_vec()).expect("plain data can be encoded")
    }
}
