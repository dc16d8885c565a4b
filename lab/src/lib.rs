//! The laboratory: stand-in central servers and callers, faults, drills and the checker of the rules.
//!
//! A [`drill`] says who is there and what goes wrong when. A [`world`] plays it, without I/O of its own:
//! [`simulated`] drives it with border proxies under a virtual clock, [`sockets`] with real ones as
//! processes. What passed is kept by the [`witness`], who judges the rules from it. The stand-ins of the
//! platform's protocol are in [`platform`].

#![forbid(unsafe_code)]

pub mod alone;
pub mod baseline;
pub mod callers;
pub mod central;
pub mod drill;
pub mod events;
pub mod feed;
pub mod link;
pub mod page;
pub mod peers;
pub mod permits;
pub mod platform;
pub mod release;
pub mod report;
pub mod scale;
pub mod simulated;
pub mod sockets;
pub mod witness;
pub mod world;
