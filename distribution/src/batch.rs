//! Batches the nonces of many polls into one Merkle tree, so that a control machine asks the council once for
//! many subscribers. Each subscriber gets the path from its own nonce to the root that the council signed,
//! and does not have to trust the control machine.

use agree::freshness::Nonce;
use serde::{Deserialize, Serialize};

/// Maximum number of hashes in a path: a batch of 65,536 polls.
pub const MAX_PATH_LEN: usize = 16;

/// The Merkle path from one nonce to the root of its batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BatchPath {
    /// Index of the leaf in the batch.
    index: u32,
    /// Sibling hashes from the leaf up; `None` where the node has no sibling.
    siblings: Vec<Option<Nonce>>,
}

impl BatchPath {
    /// Whether the path has at most [`MAX_PATH_LEN`] hashes.
    pub fn is_bounded(&self) -> bool {
        self.siblings.len() <= MAX_PATH_LEN
    }

    /// Whether the path leads from the nonce to the root.
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

/// A Merkle tree over nonces that are sent to the council together.
#[derive(Clone, Debug)]
pub struct Batch {
    levels: Vec<Vec<Nonce>>,
}

impl Batch {
    /// Maximum number of nonces in a batch.
    pub const MAX_NONCES: usize = 1 << MAX_PATH_LEN;

    /// Builds the tree over at least one nonce; those past [`Batch::MAX_NONCES`] are left out.
    pub fn new(nonces: &[u64]) -> Self {
        let mut levels =
            vec![nonces.iter().take(Self::MAX_NONCES).map(|&nonce| hash_leaf(nonce)).collect::<Vec<_>>()];
        while levels.last().is_some_and(|level| level.len() > 1) {
            let level = levels.last().expect("there are levels");
            levels.push(level.chunks(2).map(|pair| hash_branch(&pair[0], pair.get(1))).collect());
        }
        Self { levels }
    }

    /// The root, which is sent to the council as a nonce; zeros for an empty batch.
    pub fn nonce(&self) -> Nonce {
        self.levels.last().and_then(|level| level.first()).copied().unwrap_or_default()
    }

    /// The path of the nonce at an index.
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
    hasher.finalize().as_bytes()[..16].try_into().expect("16 bytes")
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
