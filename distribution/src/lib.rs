//! Distribution of decided state by scope over a tier of control machines, without I/O.
//!
//! A [`scope::Scope`] is the part of the state that a change belongs to: everything, a region, a zone or a
//! service. [`state::ScopedState`] holds the entries of all scopes, with a Merkle root over them and a proof
//! for each scope. docs/distribution.md explains how the parts work together.
//!
//! Times are milliseconds on the clock of whoever is given them; it only goes forward.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod content;
pub mod cursor;
pub mod entry;
pub mod merkle;
pub mod scope;
pub mod state;

/// The index of a decision in the log of [`agree`]: what it changed has this version.
pub type Version = agree::Index;

pub use entry::{Change, Entry, Key};
pub use scope::Scope;
pub use state::{Refused, ScopeProof, ScopedState};
