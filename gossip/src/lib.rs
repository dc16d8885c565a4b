//! Membership, failure detection and server suspicions among border proxies, without I/O.
//!
//! [`Node`] is handed datagrams, the time and what its proxy observed of servers. It hands back datagrams,
//! never more bytes per second than its cap, and says which servers to suspect. [`members`] tracks the
//! members, [`statements`] holds what each of them states and decides what to believe, [`evidence`] collects
//! what this proxy observed itself, [`budget`] divides the bytes, [`channel`] carries payloads to processes
//! that do not gossip, [`keys`] authenticates members and [`wire`] is the encoding. docs/gossip.md compares
//! the alternatives.
//!
//! Times are milliseconds on the proxy's monotonic clock.

#![forbid(unsafe_code)]

pub mod budget;
pub mod channel;
pub mod evidence;
pub mod keys;
pub mod members;
mod node;
pub mod statements;
pub mod wire;

pub use node::{Counts, GossipTerms, Node, Outgoing};
