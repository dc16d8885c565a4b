//! Distribution of decided state by scope over a tier of control machines, without I/O.
//!
//! A [`scope::Scope`] is the part of the state that a change belongs to: everything, a region, a zone or a
//! service. [`state::ScopedState`] holds the entries of all scopes, with a Merkle root over them and a proof
//! for each scope. docs/distribution.md explains how the parts work together.
//!
//! A [`Control`] is driven so: [`Control::restore`] gives it the machine's state while
//! [`Control::needs_state`]; [`Control::add_decided_changes`] each decision carried out, with what it changed;
//! [`Control::update_certificate`] the newest seal and links of the agreement; [`Control::receive`] each datagram. Then
//! [`Control::turn`], also when [`Control::due`] has come. Then [`Control::outgoing`] is emptied into
//! packets, and [`Control::next_freshness_request`] into `Agreement::request_freshness`, whose answers go to [`Control::receive_freshness_proof`].
//!
//! A [`Subscriber`] so: [`Subscriber::subscribe`] for each scope, [`Subscriber::restore`] with the file if
//! there is one; [`Subscriber::receive`] for each datagram, [`Subscriber::turn`] when [`Subscriber::due`] has
//! come; after either, [`Subscriber::outgoing`] is emptied into packets, [`Subscriber::next_changed_scope`] tells which
//! scopes' [`Subscriber::content`] to carry out, and [`Subscriber::state_to_save`] what to write.
//!
//! Times are milliseconds on the clock of whoever is given them; it only goes forward.

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

/// The index of a decision in the log of [`agree`]: what it changed has this version.
pub type Version = agree::Index;

/// A datagram to a member, to be put into a packet that proves its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// To whom.
    pub to: agree::Id,
    /// At most [`wire::MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
}

pub use control::{Control, ControlTerms};
pub use entry::{Change, Entry, Key};
pub use scope::Scope;
pub use state::{ApplyError, ScopeProof, ScopedState};
pub use subscriber::{Subscriber, SubscriberTerms};
