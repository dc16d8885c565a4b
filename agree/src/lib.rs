//! A replicated log: one order of decisions for all border proxies, without I/O.
//!
//! [`Agreement`] is one proxy's replica. It takes messages, the time and the results of disk writes; it
//! returns messages and bytes to write, and applies each decision to its [`Machine`] in log order.
//! [`council`] holds the voting members, [`log`] the decisions, [`certificate`] the quorum certificates by
//! which proxies outside the council verify decisions, [`disk`] the persisted state, [`wire`] the encoding
//! of messages. docs/agree.md compares the alternatives and states the bounds.
//!
//! Times are milliseconds on the proxy's own monotonic clock.

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

/// A member of the fleet, as identified by gossip.
pub type Id = gossip::keys::Id;
