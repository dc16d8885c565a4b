//! The file that a subscriber keeps on disk: council proofs, certificates, scopes. It is verified on reading
//! as if it came from the network, so a damaged or older file does no harm: the subscriber starts with less.

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

/// First byte of the file.
const VERSION: u8 = 1;

/// A scope in the file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SavedScope {
    scope: Scope,
    /// Index of its certificate.
    index: Version,
    proof: ScopeProof,
    entries: Vec<Entry>,
}

/// The contents of the file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SavedState {
    /// Proofs of all councils since the bootstrap members.
    pub council_proofs: Vec<CouncilProof>,
    certificates: Vec<Certificate>,
    scopes: Vec<SavedScope>,
}

/// What was restored from a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Scopes that are in force from the file.
    pub scopes: usize,
    /// Scopes of the file that could not be verified: damaged, or signed by unknown councils.
    pub unverified: usize,
}

impl SavedState {
    /// Collects what to save.
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

    /// Encodes the file.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![VERSION]).expect("plain data always serializes")
    }

    /// Decodes a file; `None` if it is malformed or of an unknown version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&version, body) = bytes.split_first()?;
        let (saved, remaining) = postcard::take_from_bytes::<Self>(body).ok()?;
        (version == VERSION && remaining.is_empty() && saved.council_proofs.len() <= MAX_COUNCIL_PROOFS)
            .then_some(saved)
    }

    /// The scopes whose certificates were signed by a majority of a council that the bootstrap council and
    /// the council proofs prove; `None` for each scope that is not proved.
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

/// All councils since the bootstrap members, by the decision since which each votes.
fn councils(
    bootstrap_council: &Council,
    council_proofs: &[CouncilProof],
    keys: &impl Signer,
) -> BTreeMap<Version, Council> {
    let mut councils = BTreeMap::from([(0, bootstrap_council.clone())]);
    for council_proof in council_proofs {
        let (newest, previous) = councils.last_key_value().expect("the bootstrap council");
        let version = council_proof.certificate.statement.version;
        if version <= *newest || !council_proof.is_valid(previous, keys) {
            break;
        }
        councils.insert(version, council_proof.council.clone());
    }
    councils
}
