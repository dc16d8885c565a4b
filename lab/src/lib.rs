//! The laboratory: stand-in central servers and callers, faults, drills and the rule checker.
//!
//! A [`drill`] describes a fleet, a load and a schedule of faults. A [cluster](drills::cluster) plays it
//! without I/O: [`drills::simulated`] drives it with border proxies under a virtual clock,
//! [`drills::sockets`] with real ones as processes. The [`witness`] records what passed and checks the
//! rules; [`reports`] present the result. Stand-ins, including those of the platform's protocol, are in
//! [`stand_ins`]. [`scale`] runs thousands of proxies without callers, [`capacity`] measures the cost of
//! components by size.
//!
//! Each module uses only those before it: drill, stand-ins, witness, drills, reports, commands.

#![forbid(unsafe_code)]

pub mod capacity;
pub mod drill;
pub mod drills;
pub mod reports;
pub mod scale;
pub mod stand_ins;
pub mod witness;
