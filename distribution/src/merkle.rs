//! A Merkle trie over the scopes, with one leaf for each scope at a position given by the hash of its name.
//! The trie is as deep as the common prefix of two positions, so a path has about log2 of the number of
//! scopes hashes. A path proves what a scope holds, and also that a scope was never written to.

use agree::Hash;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Version;
use crate::content;
use crate::scope::Scope;

/// The hash of a subtree without leaves; also the root without scopes.
pub const EMPTY_HASH: Hash = [0; 32];
/// Maximum number of hashes in a path. The positions of as many scopes as there are pool numbers have shorter
/// common prefixes, except with a probability of one in 2^30.
pub const MAX_PATH_LEN: usize = 64;

/// What the root proves about a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ScopeSummary {
    /// The digest of its live entries ([`crate::content::Content::digest`]).
    pub digest: Hash,
    /// The decision that changed it last; 0 if none ever did.
    pub version: Version,
}

impl Default for ScopeSummary {
    fn default() -> Self {
        Self { digest: content::EMPTY_DIGEST, version: 0 }
    }
}

/// The path from a scope's leaf to the root.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MerklePath {
    /// Sibling hashes from the root down; `None` for an empty subtree.
    siblings: Vec<Option<Hash>>,
    /// For a scope that was never written to: the position and summary hash of the leaf found at the end of
    /// its path, if there is one.
    other_leaf: Option<(Hash, Hash)>,
}

/// Why a path was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PathError {
    /// It has more than [`MAX_PATH_LEN`] hashes.
    #[error("the path has more than {MAX_PATH_LEN} hashes")]
    TooLong,
    /// The leaf that it names instead of the scope's is not on the scope's path.
    #[error("the leaf named instead of the scope's is not on its path")]
    WrongLeaf,
    /// It leads to another root.
    #[error("the path does not lead to the expected root")]
    RootMismatch,
}

impl MerklePath {
    /// Number of sibling hashes, including those of empty subtrees.
    pub fn len(&self) -> usize {
        self.siblings.len()
    }

    /// Whether the scope's leaf is the root itself.
    pub fn is_empty(&self) -> bool {
        self.siblings.is_empty()
    }

    /// Verifies that the root contains this summary of the scope.
    ///
    /// # Errors
    ///
    /// [`PathError`] if the path does not prove it.
    pub fn verify(&self, root: &Hash, scope: Scope, summary: &ScopeSummary) -> Result<(), PathError> {
        if self.siblings.len() > MAX_PATH_LEN {
            return Err(PathError::TooLong);
        }
        let position = scope_position(scope);
        let absent = *summary == ScopeSummary::default();
        let leaf_hash = match &self.other_leaf {
            None if absent => EMPTY_HASH,
            None => hash_summary_leaf(&position, summary),
            Some((other_leaf, hash)) => {
                let shares_prefix =
                    (0..self.siblings.len()).all(|depth| bit(other_leaf, depth) == bit(&position, depth));
                if !absent || *other_leaf == position || !shares_prefix {
                    return Err(PathError::WrongLeaf);
                }
                hash_leaf(other_leaf, hash)
            }
        };
        let (mut hash, mut depth) = (leaf_hash, self.siblings.len());
        for sibling in self.siblings.iter().rev() {
            depth -= 1;
            let sibling = sibling.unwrap_or(EMPTY_HASH);
            hash = if bit(&position, depth) {
                hash_branch(&sibling, &hash)
            } else {
                hash_branch(&hash, &sibling)
            };
        }
        if hash == *root { Ok(()) } else { Err(PathError::RootMismatch) }
    }
}

/// The trie of all scopes. Setting one scope rehashes only the nodes between its leaf and the root.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trie {
    root: Node,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Node {
    #[default]
    Empty,
    Leaf {
        position: Hash,
        summary: Hash,
        hash: Hash,
    },
    Branch {
        hash: Hash,
        children: Box<[Node; 2]>,
    },
}

impl Node {
    fn hash(&self) -> Hash {
        match self {
            Self::Empty => EMPTY_HASH,
            Self::Leaf { hash, .. } | Self::Branch { hash, .. } => *hash,
        }
    }

    fn branch_of(children: Box<[Self; 2]>) -> Self {
        Self::Branch { hash: hash_branch(&children[0].hash(), &children[1].hash()), children }
    }

    fn insert(self, depth: usize, new: (Hash, Hash)) -> Self {
        let (position, summary) = new;
        match self {
            Self::Leaf { position: old, .. } if old != position => {
                let mut children = Box::new([Self::Empty, Self::Empty]);
                children[usize::from(bit(&old, depth))] = self;
                Self::Branch { hash: EMPTY_HASH, children }.insert(depth, new)
            }
            Self::Empty | Self::Leaf { .. } => {
                Self::Leaf { position, summary, hash: hash_leaf(&position, &summary) }
            }
            Self::Branch { mut children, .. } => {
                let child = &mut children[usize::from(bit(&position, depth))];
                *child = std::mem::take(child).insert(depth + 1, new);
                Self::branch_of(children)
            }
        }
    }
}

impl Trie {
    /// Sets the summary of a scope.
    pub fn set(&mut self, scope: Scope, summary: &ScopeSummary) {
        let new = (scope_position(scope), summary_hash(summary));
        self.root = std::mem::take(&mut self.root).insert(0, new);
    }

    /// The root hash.
    pub fn root(&self) -> Hash {
        self.root.hash()
    }

    /// The path from the scope's leaf, or from where it would be, to the root.
    pub fn path(&self, scope: Scope) -> MerklePath {
        let target = scope_position(scope);
        let (mut node, mut siblings) = (&self.root, Vec::new());
        while let Node::Branch { children, .. } = node {
            let side = usize::from(bit(&target, siblings.len()));
            let sibling = &children[1 - side];
            siblings.push(Some(sibling.hash()).filter(|_| *sibling != Node::Empty));
            node = &children[side];
        }
        let other_leaf = match node {
            Node::Leaf { position, summary, .. } if *position != target => Some((*position, *summary)),
            _ => None,
        };
        MerklePath { siblings, other_leaf }
    }
}

fn hash_parts(context: &str, parts: &[&[u8]]) -> Hash {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for part in parts {
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

fn scope_position(scope: Scope) -> Hash {
    let name = postcard::to_stdvec(&scope).expect("plain data always serializes");
    hash_parts("frostthread distribution 1 place", &[&name])
}

fn summary_hash(summary: &ScopeSummary) -> Hash {
    hash_parts("frostthread distribution 1 summary", &[&summary.digest, &summary.version.to_le_bytes()])
}

fn hash_leaf(position: &Hash, summary: &Hash) -> Hash {
    hash_parts("frostthread distribution 1 leaf", &[position, summary])
}

fn hash_summary_leaf(position: &Hash, summary: &ScopeSummary) -> Hash {
    hash_leaf(position, &summary_hash(summary))
}

fn hash_branch(left: &Hash, right: &Hash) -> Hash {
    hash_parts("frostthread distribution 1 branch", &[left, right])
}

/// The bit of a position that selects the side of the branch at a depth.
fn bit(position: &Hash, depth: usize) -> bool {
    position[depth / 8] >> (7 - depth % 8) & 1 == 1
}
