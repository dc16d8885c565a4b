//! Limits that hold for all border proxies together, without I/O.
//!
//! [`Fleet`] is told the limits, the time, the demand of its proxy and the messages of other members. It says
//! how many set-ups may be sent now and hands back messages to other members. [`ledger`] is one limit at one
//! member, with the rules that keep the sum within the limit; [`wire`] is the encoding of the messages.
//! docs/fleet.md compares the alternatives and proves the bound.
//!
//! Times are milliseconds on the proxy's monotonic clock.

#![forbid(unsafe_code)]

mod fleet;
pub mod ledger;
pub mod wire;

pub use fleet::{Counts, Fleet, FleetTerms, LimitState, Outgoing, limit_id};
pub use ledger::{Id, LedgerStatus, LoanTerms};
