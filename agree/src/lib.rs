//! One order of decisions for all border proxies, without I/O.
//!
//! [`Agreement`] is one proxy's part in it. It is handed messages, the time and what its disk came to; it
//! hands back messages, bytes for the disk, and gives each decision to its [`Machine`] in the one order.
//! [`council`] is who votes, [`log`] the decisions, [`certificate`] the proof by which those outside the council
//! believe them, [`disk`] what lasts, [`wire`] the form of messages. docs/agree.md weighs the ways and states
//! the bounds.
//!
//! Times are milliseconds on the proxy's clock, which only goes forward.

#![forbid(unsafe_code)]

mod agreement;
mod bootstrap;
pub mod certificate;
pub mod council;
pub mod disk;
mod dissemination;
mod election;
pub mod freshness;
mod freshness_requests;
pub mod log;
mod machine;
mod replication;
mod requests;
mod status;
#[cfg(test)]
mod tests;
pub mod wire;

pub use agreement::{Agreement, AgreementTerms, Outgoing};
pub use certificate::Signer;
pub use council::{Council, Voter};
pub use freshness::{FreshnessProof, Nonce};
pub use log::{Entry, Hash, Index, LogPosition, Payload, Term};
pub use machine::{Machine, UnsupportedDecision};
pub use requests::{Outcome, Refusal};
pub use status::{AgreementStatus, Counts, Role};

/// A member of the fleet, as gossip knows it.
pub type Id = gossip::keys::Id;
