//! What a subscriber believes, and why: councils from the founders on, each proved by the one before it, and
//! the states that a majority of such a council signed.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use agree::Council;
use agree::certificate::{Certificate, CouncilProof, Signer, Statement};
use agree::freshness::FreshnessProof;

use crate::Version;
use crate::scope::Scope;
use crate::state::ScopeProof;

/// Seals that are kept: proofs of scopes that come out of order still find theirs. More would cost memory
/// only.
const MOST_SEALS: usize = 8;
/// Proofs of councils that are kept, at subscribers and at control machines: as many as [`agree`] keeps.
pub const MOST_LINKS: usize = 64;

/// A seal that several hold. Printed short: by its index and what begins the state's root.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedSeal(Arc<Certificate>);

impl SharedSeal {
    /// The index that it is of.
    pub fn index(&self) -> Version {
        self.0.statement.index
    }
}

impl From<Certificate> for SharedSeal {
    fn from(seal: Certificate) -> Self {
        Self(Arc::new(seal))
    }
}

impl Deref for SharedSeal {
    type Target = Certificate;

    fn deref(&self) -> &Certificate {
        &self.0
    }
}

impl fmt::Debug for SharedSeal {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Statement { index, version, state_root: state, .. } = &self.0.statement;
        write!(to, "Seal({index} by council {version}, state {:02x?})", &state[..8])
    }
}

/// Why something was not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unbelieved {
    /// A majority's signatures are wanting.
    Unsigned,
    /// It is by a council that is not known (yet), or no longer the newest.
    OtherCouncil,
}

/// The newest council that is proved, and seals by it.
#[derive(Clone, Debug)]
pub struct Trust<K> {
    keys: K,
    council: Council,
    /// Since when it votes.
    version: Version,
    links: Vec<CouncilProof>,
    seals: BTreeMap<Version, SharedSeal>,
}

impl<K: Signer> Trust<K> {
    /// Believes the founders.
    pub fn new(founders: Council, keys: K) -> Self {
        Self { keys, council: founders, version: 0, links: Vec::new(), seals: BTreeMap::new() }
    }

    /// Who signs, and how that is verified.
    pub fn keys(&self) -> &K {
        &self.keys
    }

    /// Takes other keys in their place; what was verified stays so.
    pub fn rekey(&mut self, keys: K) {
        self.keys = keys;
    }

    /// Since when the newest council votes that is proved.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The proofs of all councils since the founders'.
    pub fn links(&self) -> &[CouncilProof] {
        &self.links
    }

    /// Whether a link could be the next one.
    pub fn is_next(&self, link: &CouncilProof) -> bool {
        link.certificate.statement.version > self.version && self.links.len() < MOST_LINKS
    }

    /// Goes on to the next council.
    ///
    /// # Errors
    ///
    /// [`Unbelieved`] where a majority of the council before it does not prove it.
    pub fn follow(&mut self, link: CouncilProof) -> Result<(), Unbelieved> {
        if !self.is_next(&link) {
            return Err(Unbelieved::OtherCouncil);
        }
        if !link.is_valid(&self.council, &self.keys) {
            return Err(Unbelieved::Unsigned);
        }
        (self.version, self.council) = (link.certificate.statement.version, link.council.clone());
        self.links.push(link);
        Ok(())
    }

    /// The newest sealed index.
    pub fn newest(&self) -> Version {
        self.seals.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Whether a seal of that index is known.
    pub fn has_seal(&self, index: Version) -> bool {
        self.seals.contains_key(&index)
    }

    /// Takes a seal; the oldest of those that are kept make room.
    ///
    /// # Errors
    ///
    /// [`Unbelieved`] where a majority of the newest council did not sign it.
    pub fn seal(&mut self, seal: Certificate) -> Result<SharedSeal, Unbelieved> {
        let of = &seal.statement;
        if let Some(known) = self.seals.get(&of.index).filter(|known| known.statement == *of) {
            return Ok(known.clone());
        }
        if of.version != self.version || of.council_digest != self.council.digest() {
            return Err(Unbelieved::OtherCouncil);
        }
        if !seal.is_valid(&self.council, &self.keys) {
            return Err(Unbelieved::Unsigned);
        }
        let (index, seal) = (of.index, SharedSeal::from(seal));
        self.seals.insert(index, seal.clone());
        if self.seals.len() > MOST_SEALS {
            self.seals.pop_first();
        }
        Ok(seal)
    }

    /// The seal by which a proof of a scope holds.
    pub fn proved(&self, scope: Scope, index: Version, proof: &ScopeProof) -> Option<SharedSeal> {
        let seal = self.seals.get(&index)?;
        proof.check(&seal.statement.state_root, scope).is_ok().then(|| seal.clone())
    }

    /// Whether a voter of the newest council signed how far decisions were.
    pub fn is_fresh(&self, proof: &FreshnessProof) -> bool {
        proof.is_valid(&self.council, &self.keys)
    }
}
