//! Limits that hold for all border proxies together, without I/O.
//!
//! [`Fleet`] is told the limits, the time, what its proxy wants and what other members say; it says how many
//! set-ups may go now, and hands back what others are to be told. [`ledger`] is one limit at one member, with
//! the rules that keep the sum; [`wire`] is the form of what members say. docs/fleet.md weighs the ways and
//! proves the bound.
//!
//! Times are milliseconds on the proxy's clock, which only goes forward.

#![forbid(unsafe_code)]

mod fleet;
pub mod ledger;
pub mod wire;

pub use fleet::{Counts, Fleet, FleetTerms, LimitState, Outgoing, limit_id};
pub use ledger::{Id, LedgerStatus, LoanTerms};
