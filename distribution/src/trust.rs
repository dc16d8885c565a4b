//! What a subscriber has verified: councils since the bootstrap members, each proved by the one before it,
//! and the states that a majority of such a council signed.

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

/// Number of certificates kept, so that proofs of scopes that arrive out of order still find theirs. A larger
/// value would only cost memory.
const MAX_CERTIFICATES: usize = 8;
/// Number of council proofs kept, at subscribers and at control machines: as many as [`agree`] keeps.
pub const MAX_COUNCIL_PROOFS: usize = 64;

/// A certificate shared by several scopes. `Debug` prints only its index, its council and the start of the
/// state root.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedCertificate(Arc<Certificate>);

impl SharedCertificate {
    /// The certified index.
    pub fn index(&self) -> Version {
        self.0.statement.index
    }
}

impl From<Certificate> for SharedCertificate {
    fn from(certificate: Certificate) -> Self {
        Self(Arc::new(certificate))
    }
}

impl Deref for SharedCertificate {
    type Target = Certificate;

    fn deref(&self) -> &Certificate {
        &self.0
    }
}

impl fmt::Debug for SharedCertificate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Statement { index, version, state_root: state, .. } = &self.0.statement;
        write!(formatter, "Certificate({index} by council {version}, state {:02x?})", &state[..8])
    }
}

/// Why a certificate or a council was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationError {
    /// The signatures of a majority are missing.
    Unsigned,
    /// It is by a council that is not known (yet), or is no longer the newest.
    UnknownCouncil,
}

/// The newest proved council, and the certificates that it signed.
#[derive(Clone, Debug)]
pub struct Trust<K> {
    keys: K,
    council: Council,
    /// The decision since which the council votes.
    council_since: Version,
    council_proofs: Vec<CouncilProof>,
    certificates: BTreeMap<Version, SharedCertificate>,
}

impl<K: Signer> Trust<K> {
    /// Starts with the bootstrap council.
    pub fn new(bootstrap_council: Council, keys: K) -> Self {
        Self {
            keys,
            council: bootstrap_council,
            council_since: 0,
            council_proofs: Vec::new(),
            certificates: BTreeMap::new(),
        }
    }

    /// The keys that verify signatures.
    pub fn keys(&self) -> &K {
        &self.keys
    }

    /// Replaces the keys; what was already verified stays so.
    pub fn rekey(&mut self, keys: K) {
        self.keys = keys;
    }

    /// The decision since which the newest proved council votes.
    pub fn council_since(&self) -> Version {
        self.council_since
    }

    /// Proofs of all councils since the bootstrap members.
    pub fn council_proofs(&self) -> &[CouncilProof] {
        &self.council_proofs
    }

    /// Whether a proof could be of the next council.
    pub fn is_next(&self, council_proof: &CouncilProof) -> bool {
        council_proof.certificate.statement.version > self.council_since
            && self.council_proofs.len() < MAX_COUNCIL_PROOFS
    }

    /// Advances to the next council.
    ///
    /// # Errors
    ///
    /// [`VerificationError`] if a majority of the current council does not prove it.
    pub fn advance_council(&mut self, council_proof: CouncilProof) -> Result<(), VerificationError> {
        if !self.is_next(&council_proof) {
            return Err(VerificationError::UnknownCouncil);
        }
        if !council_proof.is_valid(&self.council, &self.keys) {
            return Err(VerificationError::Unsigned);
        }
        (self.council_since, self.council) =
            (council_proof.certificate.statement.version, council_proof.council.clone());
        self.council_proofs.push(council_proof);
        Ok(())
    }

    /// The newest certified index.
    pub fn newest_index(&self) -> Version {
        self.certificates.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Whether a certificate of that index is known.
    pub fn has_certificate(&self, index: Version) -> bool {
        self.certificates.contains_key(&index)
    }

    /// Verifies and keeps a certificate; the oldest one is dropped if there are too many.
    ///
    /// # Errors
    ///
    /// [`VerificationError`] if a majority of the newest council did not sign it.
    pub fn add_certificate(
        &mut self,
        certificate: Certificate,
    ) -> Result<SharedCertificate, VerificationError> {
        let statement = &certificate.statement;
        if let Some(known) =
            self.certificates.get(&statement.index).filter(|known| known.statement == *statement)
        {
            return Ok(known.clone());
        }
        if statement.version != self.council_since || statement.council_digest != self.council.digest() {
            return Err(VerificationError::UnknownCouncil);
        }
        if !certificate.is_valid(&self.council, &self.keys) {
            return Err(VerificationError::Unsigned);
        }
        let (index, certificate) = (statement.index, SharedCertificate::from(certificate));
        self.certificates.insert(index, certificate.clone());
        if self.certificates.len() > MAX_CERTIFICATES {
            self.certificates.pop_first();
        }
        Ok(certificate)
    }

    /// The certificate by which a proof of a scope is valid.
    pub fn certificate_for(
        &self,
        scope: Scope,
        index: Version,
        proof: &ScopeProof,
    ) -> Option<SharedCertificate> {
        let certificate = self.certificates.get(&index)?;
        proof.verify(&certificate.statement.state_root, scope).is_ok().then(|| certificate.clone())
    }

    /// Whether a voter of the newest council signed the freshness proof.
    pub fn is_valid_freshness_proof(&self, proof: &FreshnessProof) -> bool {
        proof.is_valid(&self.council, &self.keys)
    }
}
