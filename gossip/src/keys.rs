//! Keys of members, signatures and tags.
//!
//! Each member has its own Ed25519 key; the [`Roster`] names the public keys of all members of the fleet. A
//! member signs its packets and statements with its own key, so a faulty member can make false statements
//! only in its own name. A tag made with a fleet key (keyed BLAKE3) lets members drop packets of outsiders
//! cheaply. During a key rotation the old and the new fleet key are accepted, and the first is used.

use std::collections::BTreeMap;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Bytes of a signature.
pub const SIGNATURE_BYTES: usize = 64;
/// Bytes of the fleet's tag.
pub const TAG_BYTES: usize = 16;

/// A member: the first eight bytes of the hash of its public key.
pub type Id = u64;

/// Why keys or a roster are invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    #[error("member {0}: the public key is not a valid Ed25519 key")]
    InvalidPublicKey(String),
    #[error("member {0} has the same public key as member {1}")]
    DuplicateKey(String, String),
    #[error("no fleet key given, wanted is at least one")]
    NoFleetKey,
}

/// The id of the member with this public key.
pub fn id_of_key(key: &[u8; 32]) -> Id {
    let hash = blake3::hash(key);
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("eight bytes"))
}

/// Names and public keys of all members of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<Id, (String, VerifyingKey)>,
}

impl Roster {
    /// Builds a roster from names and public keys.
    pub fn new<'a>(members: impl IntoIterator<Item = (&'a str, [u8; 32])>) -> Result<Self, KeyError> {
        let mut roster = Self::default();
        for (name, bytes) in members {
            let key = VerifyingKey::from_bytes(&bytes).ok().filter(|key| !key.is_weak());
            let key = key.ok_or_else(|| KeyError::InvalidPublicKey(name.to_owned()))?;
            if let Some((other, _)) = roster.members.insert(id_of_key(&bytes), (name.to_owned(), key)) {
                return Err(KeyError::DuplicateKey(name.to_owned(), other));
            }
        }
        Ok(roster)
    }

    /// The member's name.
    pub fn name(&self, id: Id) -> Option<&str> {
        self.members.get(&id).map(|(name, _)| &name[..])
    }

    /// Whether the member is on the roster.
    pub fn contains(&self, id: Id) -> bool {
        self.members.contains_key(&id)
    }

    /// Ids of all members, in order.
    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.members.keys().copied()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the member signed these bytes.
    pub fn verify_signature(&self, id: Id, bytes: &[u8], signature: &[u8; SIGNATURE_BYTES]) -> bool {
        let Some((_, key)) = self.members.get(&id) else { return false };
        key.verify_strict(bytes, &Signature::from_bytes(signature)).is_ok()
    }
}

/// A member's own key and the fleet keys.
#[derive(Clone)]
pub struct Secrets {
    own: SigningKey,
    fleet_keys: Vec<[u8; 32]>,
}

impl Secrets {
    /// `fleet_keys` holds the key in use first, then those that are still accepted.
    pub fn new(own: [u8; 32], fleet_keys: Vec<[u8; 32]>) -> Result<Self, KeyError> {
        if fleet_keys.is_empty() {
            return Err(KeyError::NoFleetKey);
        }
        Ok(Self { own: SigningKey::from_bytes(&own), fleet_keys })
    }

    /// The public key of this member.
    pub fn public_key(&self) -> [u8; 32] {
        self.own.verifying_key().to_bytes()
    }

    /// The id of this member.
    pub fn id(&self) -> Id {
        id_of_key(&self.public_key())
    }

    /// Signs the bytes with the member's own key.
    pub fn sign(&self, bytes: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.own.sign(bytes).to_bytes()
    }

    /// The tag over the bytes, made with the fleet key in use.
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        Self::keyed_tag(&self.fleet_keys[0], bytes)
    }

    fn keyed_tag(key: &[u8; 32], bytes: &[u8]) -> [u8; TAG_BYTES] {
        blake3::keyed_hash(key, bytes).as_bytes()[..TAG_BYTES].try_into().expect("as many bytes")
    }

    /// Whether the tag is made with any accepted fleet key, in time that does not depend on where it differs.
    pub fn verify_tag(&self, bytes: &[u8], tag: &[u8; TAG_BYTES]) -> bool {
        let same = |key| bool::from(Self::keyed_tag(key, bytes)[..].ct_eq(&tag[..]));
        self.fleet_keys.iter().fold(false, |any, key| any | same(key))
    }
}
