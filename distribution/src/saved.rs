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
    pub council_proofs: Vec<CouncilProof>,
    certificates: Vec<Certificate>,
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
    pub fn new<'a>(
        council_proofs: &[CouncilProof],
        verified: impl Iterator<Item = (Scope, &'a VerifiedScope)>,
    ) -> Self {
        let (mut certificates, mut scopes) = (BTreeMap::new(), Vec::new());
        for (scope, verified) in verified {
            certificates.insert(verified.index(), (*verified.certificate).clone());
            let (index, proof, entries) =
                (verified.index(), verified.proof.clone(), verified.content.entries());
            scopes.push(SavedScope { scope, index, proof, entries });
        }
        Self {
            council_proofs: council_proofs.to_vec(),
            certificates: certificates.into_values().collect(),
            scopes,
        }
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![VERSION]).expect("plain data")
    }

    /// What bytes hold; none where they are of no form that is known.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&version, body) = bytes.split_first()?;
        let (saved, remaining) = postcard::take_from_bytes::<Self>(body).ok()?;
        (version == VERSION && remaining.is_empty() && saved.council_proofs.len() <= MAX_COUNCIL_PROOFS)
            .then_some(saved)
    }

    /// The scopes whose seals a majority of a council signed that the founders' and the links prove; none for
    /// each that is not proved.
    pub fn verify(
        self,
        bootstrap_council: &Council,
        keys: &impl Signer,
    ) -> Vec<Option<(Scope, VerifiedScope)>> {
        let councils = councils(bootstrap_council, &self.council_proofs, keys);
        let mut certificates = BTreeMap::new();
        for certificate in self.certificates {
            let statement = &certificate.statement;
            let council = councils
                .get(&statement.version)
                .filter(|council| council.digest() == statement.council_digest);
            if council.is_some_and(|council| certificate.is_valid(council, keys)) {
                certificates.insert(statement.index, SharedCertificate::from(certificate));
            }
        }
        let verified = |saved: SavedScope| {
            let certificate = certificates.get(&saved.index)?.clone();
            saved.proof.verify(&certificate.statement.state_root, saved.scope).ok()?;
            let within_limits = saved.entries.iter().all(|entry| entry.value.len() <= MAX_VALUE_BYTES);
            let content = saved.entries.into_iter().collect();
            within_limits.then_some((saved.scope, VerifiedScope { certificate, proof: saved.proof, content }))
        };
        self.scopes.into_iter().map(verified).collect()
    }
}

/// All councils from the founders on, by the decision since which each votes.
fn councils(
    bootstrap_council: &Council,
    council_proofs: &[CouncilProof],
    keys: &impl Signer,
) -> BTreeMap<Version, Council> {
    let mut councils = BTreeMap::from([(0, bootstrap_council.clone())]);
    for council_proof in council_proofs {
        let (newest, previous) = councils.last_key_value().expect("the founders'");
        let version = council_proof.certificate.statement.version;
        if version <= *newest || !council_proof.is_valid(previous, keys) {
            break;
        }
        councils.insert(version, council_proof.council.clone());
    }
    councils
}
