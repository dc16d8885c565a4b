//! A test council that decides at once, and whose majority signs every index.

use std::collections::BTreeMap;
use std::rc::Rc;

use agree::certificate::{Certificate, CouncilProof, Signer, Statement};
use agree::freshness::{FreshnessProof, Nonce};
use agree::{Id, Voter};
use distribution::{Change, Key, Scope, ScopedState, Version};

/// The first voter's id.
const VOTERS: Id = 50;

/// Keys with cheap signatures, which are not secure: no test forges them.
#[derive(Clone, Debug)]
pub struct Keys(pub Id);

fn signature(id: Id, bytes: &[u8]) -> [u8; 64] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&id.to_le_bytes());
    hasher.update(bytes);
    let mut signature = [0; 64];
    hasher.finalize_xof().fill(&mut signature);
    signature
}

impl Signer for Keys {
    fn sign(&self, bytes: &[u8]) -> [u8; 64] {
        signature(self.0, bytes)
    }

    fn verify(&self, by: Id, bytes: &[u8], signature_bytes: &[u8; 64]) -> bool {
        signature(by, bytes) == *signature_bytes
    }
}

#[derive(Clone, Debug)]
struct Decision {
    decided_at: f64,
    changes: Vec<Change>,
    state: ScopedState,
    certificate: Option<Certificate>,
}

#[derive(Clone, Debug)]
pub struct Council {
    bootstrap_members: Vec<Id>,
    voters: agree::Council,
    version: Version,
    council_proofs: Vec<CouncilProof>,
    decisions: Vec<Rc<Decision>>,
}

impl Council {
    pub fn new(voters: u64) -> Self {
        let bootstrap_members: Vec<Id> = (VOTERS..VOTERS + voters).collect();
        let voters = agree::Council::bootstrap(bootstrap_members.iter().copied());
        let start = Decision {
            decided_at: f64::NEG_INFINITY,
            changes: Vec::new(),
            state: ScopedState::default(),
            certificate: None,
        };
        Self {
            bootstrap_members,
            voters,
            version: 0,
            council_proofs: Vec::new(),
            decisions: vec![Rc::new(start)],
        }
    }

    pub fn bootstrap_members(&self) -> Vec<Id> {
        self.bootstrap_members.clone()
    }

    pub fn index(&self) -> Version {
        self.decisions.len() as Version - 1
    }

    fn newest(&self) -> &Decision {
        self.decisions.last().expect("the start")
    }

    pub fn decide(&mut self, now: f64, changes: &[(Scope, &str, Option<&[u8]>)]) -> Version {
        let version = self.index() + 1;
        let mut state = self.newest().state.clone();
        let change = |&(scope, key, value): &(Scope, &str, Option<&[u8]>)| {
            let (key, value) = (Key::new(key).expect("a valid key"), value.map(<[u8]>::to_vec));
            Change { scope, key, version, value }
        };
        let changes: Vec<Change> = changes.iter().map(change).collect();
        changes.iter().for_each(|change| state.apply(change.clone()).expect("in order"));
        let voters = self.voters.clone();
        let certificate = Some(self.sign_state(version, &state, &voters));
        self.decisions.push(Rc::new(Decision { decided_at: now, changes, state, certificate }));
        version
    }

    /// Adds another voter to the council.
    pub fn elect(&mut self, now: f64) -> Version {
        let previous = self.voters.clone();
        self.voters = previous.with(Voter { id: 90 + self.index(), disk_id: 0 });
        self.version = self.index() + 1;
        let state = self.newest().state.clone();
        let council_proof = CouncilProof {
            council: self.voters.clone(),
            certificate: self.sign_state(self.version, &state, &previous),
        };
        self.council_proofs.push(council_proof);
        self.decide(now, &[])
    }

    fn sign_state(&self, index: Version, state: &ScopedState, by: &agree::Council) -> Certificate {
        let zero = [0; 32];
        let statement = Statement {
            index,
            hash: zero,
            snapshot_index: 0,
            snapshot_digest: zero,
            version: self.version,
            council_digest: self.voters.digest(),
            state_root: state.root(),
        };
        let bytes = statement.bytes();
        let signed: BTreeMap<Id, Vec<u8>> = by.ids().map(|id| (id, signature(id, &bytes).to_vec())).collect();
        Certificate::from_signatures(&statement, &signed, by).expect("a majority")
    }

    pub fn changes(&self, index: Version) -> &[Change] {
        &self.decisions[index as usize].changes
    }

    pub fn state(&self, index: Version) -> &ScopedState {
        &self.decisions[index as usize].state
    }

    pub fn certificate(&self, index: Version) -> Option<&Certificate> {
        self.decisions[index as usize].certificate.as_ref()
    }

    pub fn council_proofs(&self) -> &[CouncilProof] {
        &self.council_proofs
    }

    pub fn scope_version(&self, scope: Scope) -> Version {
        self.newest().state.summary(scope).version
    }

    /// The newest index decided before a time.
    pub fn decided_by(&self, time: f64) -> Version {
        self.decisions
            .iter()
            .rposition(|decision| decision.decided_at < time)
            .map_or(0, |index| index as Version)
    }

    /// A voter's freshness proof for the current index.
    pub fn freshness_proof(&self, nonce: Nonce) -> FreshnessProof {
        let signer = self.voters.ids().next().expect("a voter");
        FreshnessProof::sign(signer, nonce, self.index(), &Keys(signer))
    }
}
