//! What a subscriber keeps on its disk: councils, seals, scopes. It is verified on reading as if it came from
//! the network, so that a damaged or an older file does no harm: its reader starts with less.

use std::collections::BTreeMap;

use agree::Council;
use agree::certificate::{Certificate, CouncilProof, Signer};
use serde::{Deserialize, Serialize};

use crate::Version;
use crate::entry::{Entry, MAX_VALUE_BYTES};
use crate::scope::Scope;
use crate::scope_store::VerifiedScope;
use crate::state::ScopeProof;
use crate::trust::{MAX_COUNCIL_PROOFS, SharedCertificate};

/// The first byte of a file.
const VERSION: u8 = 1;

/// A scope in a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedScope {
    scope: Scope,
    /// Which of the seals.
    index: Version,
    proof: ScopeProof,
    entries: Vec<Entry>,
}

/// All that is kept.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SavedState {
    /// The proofs of all councils since the founders'.
    pub links: Vec<CouncilProof>,
    seals: Vec<Certificate>,
    scopes: Vec<SavedScope>,
}

/// What a file came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Scopes that are in force from it.
    pub scopes: usize,
    /// Scopes in it that are not proved: their parts are damaged, or by councils that are not known.
    pub unverified: usize,
}

impl SavedState {
    /// Puts together what is kept.
    pub fn new<'a>(links: &[CouncilProof], held: impl Iterator<Item = (Scope, &'a VerifiedScope)>) -> Self {
        let (mut seals, mut scopes) = (BTreeMap::new(), Vec::new());
        for (scope, held) in held {
            seals.insert(held.index(), (*held.certificate).clone());
            let (index, proof, entries) = (held.index(), held.proof.clone(), held.content.entries());
            scopes.push(SavedScope { scope, index, proof, entries });
        }
        Self { links: links.to_vec(), seals: seals.into_values().collect(), scopes }
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![VERSION]).expect("plain data")
    }

    /// What bytes hold; none where they are of no form that is known.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&version, body) = bytes.split_first()?;
        let (saved, rest) = postcard::take_from_bytes::<Self>(body).ok()?;
        (version == VERSION && rest.is_empty() && saved.links.len() <= MAX_COUNCIL_PROOFS).then_some(saved)
    }

    /// The scopes whose seals a majority of a council signed that the founders' and the links prove; none for
    /// each that is not proved.
    pub fn verify(self, founders: &Council, keys: &impl Signer) -> Vec<Option<(Scope, VerifiedScope)>> {
        let councils = councils(founders, &self.links, keys);
        let mut seals = BTreeMap::new();
        for seal in self.seals {
            let of = &seal.statement;
            let council = councils.get(&of.version).filter(|council| council.digest() == of.council_digest);
            if council.is_some_and(|council| seal.is_valid(council, keys)) {
                seals.insert(of.index, SharedCertificate::from(seal));
            }
        }
        let held = |saved: SavedScope| {
            let seal = seals.get(&saved.index)?.clone();
            saved.proof.verify(&seal.statement.state_root, saved.scope).ok()?;
            let fit = saved.entries.iter().all(|entry| entry.value.len() <= MAX_VALUE_BYTES);
            let content = saved.entries.into_iter().collect();
            fit.then_some((saved.scope, VerifiedScope { certificate: seal, proof: saved.proof, content }))
        };
        self.scopes.into_iter().map(held).collect()
    }
}

/// All councils from the founders on, by the decision since which each votes.
fn councils(founders: &Council, links: &[CouncilProof], keys: &impl Signer) -> BTreeMap<Version, Council> {
    let mut councils = BTreeMap::from([(0, founders.clone())]);
    for link in links {
        let (newest, former) = councils.last_key_value().expect("the founders'");
        let version = link.certificate.statement.version;
        if version <= *newest || !link.is_valid(former, keys) {
            break;
        }
        councils.insert(version, link.council.clone());
    }
    councils
}
