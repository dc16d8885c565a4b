//! Gossip between border proxies, without I/O.
//!
//! [`Node`] is handed datagrams, the time and what its proxy saw of servers; it hands back datagrams, never
//! more bytes a second than its cap, and says which servers to suspect. [`members`] is who is there,
//! [`statements`] what each says and what to believe of it, [`evidence`] what this proxy itself may say,
//! [`budget`] shares out the bytes, [`channel`] carries words to those outside the gossip, [`keys`] proves who
//! spoke, [`wire`] is the form. docs/gossip.md weighs the ways.
//!
//! Times are milliseconds on the proxy's clock, which only goes forward.

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
