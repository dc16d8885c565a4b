//! IAX2, RFC 5456, without I/O.
//!
//! [`frame`] reads and writes datagrams, [`element`] the information elements in them. [`Endpoint`] holds
//! all call legs of one socket: feed it datagrams and the time, drain datagrams and happenings from it, and
//! wake it when it asks. Times are milliseconds on the caller's clock, which only goes forward.

#![forbid(unsafe_code)]

pub mod cause;
pub mod element;
mod endpoint;
pub mod frame;

pub use element::Elements;
pub use endpoint::{Counts, Datagram, EndReason, Endpoint, Event, Leg, Limits, Media, Poke};
