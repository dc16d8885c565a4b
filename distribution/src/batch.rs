//! Many nonces behind one: a control machine asks the council once for the polls of many subscribers. Each
//! gets the path from its own nonce to the one that the council signed, so that it need not believe the
//! control machine.

use agree::freshness::Nonce;
use serde::{Deserialize, Serialize};

/// Hashes of the longest path: a batch of 65,536 polls.
pub const MAX_PATH_LEN: usize = 16;

/// The way from one nonce to the batch's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BatchPath {
    /// Where it stands in the batch.
    index: u32,
    /// The hashes beside the way, from the nonce up; none where the way has no other side.
    siblings: Vec<Option<Nonce>>,
}

impl BatchPath {
    /// Whether it is no longer than any.
    pub fn is_bounded(&self) -> bool {
        self.siblings.len() <= MAX_PATH_LEN
    }

    /// Whether it leads from one to the other.
    pub fn verifies(&self, nonce: u64, root: &Nonce) -> bool {
        let (mut hash, mut index) = (hash_leaf(nonce), self.index);
        for sibling in &self.siblings {
            hash = match sibling {
                None => hash_branch(&hash, None),
                Some(sibling) if index & 1 == 1 => hash_branch(sibling, Some(&hash)),
                Some(sibling) => hash_branch(&hash, Some(sibling)),
            };
            index >>= 1;
        }
        self.is_bounded() && hash == *root
    }
}

/// Nonces that are asked for together, as a Merkle tree.
#[derive(Clone, Debug)]
pub struct Batch {
    levels: Vec<Vec<Nonce>>,
}

impl Batch {
    /// Most nonces of a batch.
    pub const MAX_NONCES: usize = 1 << MAX_PATH_LEN;

    /// The tree over some nonces, of which there must be one at least; those past [`Batch::MAX_NONCES`] are left
    /// out.
    pub fn new(nonces: &[u64]) -> Self {
        let mut levels =
            vec![nonces.iter().take(Self::MAX_NONCES).map(|&nonce| hash_leaf(nonce)).collect::<Vec<_>>()];
        while levels.last().is_some_and(|level| level.len() > 1) {
            let level = levels.last().expect("just looked at");
            levels.push(level.chunks(2).map(|pair| hash_branch(&pair[0], pair.get(1))).collect());
        }
        Self { levels }
    }

    /// What the council is asked with; zeros for no nonces.
    pub fn nonce(&self) -> Nonce {
        self.levels.last().and_then(|level| level.first()).copied().unwrap_or_default()
    }

    /// The way from the nonce at a place.
    pub fn path(&self, index: usize) -> BatchPath {
        let levels_below_root = &self.levels[..self.levels.len() - 1];
        let sibling = |(depth, level): (usize, &Vec<Nonce>)| level.get(index >> depth ^ 1).copied();
        BatchPath {
            index: index as u32,
            siblings: levels_below_root.iter().enumerate().map(sibling).collect(),
        }
    }
}

fn truncate(hasher: &blake3::Hasher) -> Nonce {
    hasher.finalize().as_bytes()[..16].try_into().expect("as many bytes")
}

fn hash_leaf(nonce: u64) -> Nonce {
    let mut hasher = blake3::Hasher::new_derive_key("frostthread distribution 1 poll");
    truncate(hasher.update(&nonce.to_le_bytes()))
}

fn hash_branch(left: &Nonce, right: Option<&Nonce>) -> Nonce {
    let mut hasher = blake3::Hasher::new_derive_key("frostthread distribution 1 polls");
    hasher.update(left);
    truncate(hasher.update(right.map_or(&[], |right| &right[..])))
}
