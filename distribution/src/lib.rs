//! Distribution of decided state by scope over a tier of control machines, without I/O.
//!
//! A [`scope::Scope`] is the part of the state that a change belongs to: everything, a region, a zone or a
//! service. [`state::ScopedState`] holds the entries of all scopes, with a Merkle root over them and a proof
//! for each scope. docs/distribution.md explains how the parts work together.
//!
//! To run a [`Control`]: call [`Control::restore`] with the machine's state while [`Control::needs_state`];
//! [`Control::add_decided_changes`] for each applied decision, with what it changed;
//! [`Control::update_certificate`] with the newest certificate and council proofs of the agreement; and
//! [`Control::receive`] for each datagram. Then call [`Control::turn`], also when [`Control::due`] is
//! reached. Then send all datagrams of [`Control::outgoing`], and pass all nonces of
//! [`Control::next_freshness_request`] to `Agreement::request_freshness`, whose proofs go to
//! [`Control::receive_freshness_proof`].
//!
//! To run a [`Subscriber`]: call [`Subscriber::subscribe`] for each scope, and [`Subscriber::restore`] with
//! the saved file if there is one; [`Subscriber::receive`] for each datagram, and [`Subscriber::turn`] when
//! [`Subscriber::due`] is reached. After either, send all datagrams of [`Subscriber::outgoing`], apply the
//! [`Subscriber::content`] of the scopes that [`Subscriber::next_changed_scope`] returns, and write what
//! [`Subscriber::state_to_save`] returns.
//!
//! Times are milliseconds on the caller's clock, which only goes forward.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod batch;
pub mod content;
pub mod control;
pub mod cursor;
pub mod entry;
pub mod faults;
pub mod merkle;
pub mod nonces;
pub mod placement;
pub mod progress;
pub mod replica;
pub mod saved;
pub mod scope;
pub mod scope_store;
pub mod sessions;
pub mod state;
pub mod subscriber;
pub mod token_bucket;
pub mod trust;
pub mod wire;

/// The index of a decision in the log of [`agree`], which is the version of what it changed.
pub type Version = agree::Index;

/// A datagram to a member, to be sent in a packet that authenticates its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// The recipient.
    pub to: agree::Id,
    /// At most [`wire::MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
}

pub use control::{Control, ControlTerms};
pub use entry::{Change, Entry, Key};
pub use scope::Scope;
pub use state::{ApplyError, ScopeProof, ScopedState};
pub use subscriber::{Subscriber, SubscriberTerms};
