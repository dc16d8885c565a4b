//! The laboratory: stand-in central servers and callers, faults, drills and the checker of the rules.
//!
//! A [`drill`] says who is there and what goes wrong when. A [cluster](drills::cluster) plays it, without I/O of
//! its own: [`drills::simulated`] drives it with border proxies under a virtual clock, [`drills::sockets`]
//! with real ones as processes. What passed is kept by the [`witness`], which judges the rules from it, and
//! shown by [`reports`]. StandInServer-ins, also those of the platform's protocol, are in [`stand_ins`]. [`scale`] plays
//! thousands of proxies without callers, [`capacity`] measures what parts cost by size.
//!
//! Each part uses only those before it: drill, stand-ins, witness, drills, reports, commands.

#![forbid(unsafe_code)]

pub mod capacity;
pub mod drill;
pub mod drills;
pub mod reports;
pub mod scale;
pub mod stand_ins;
pub mod witness;
