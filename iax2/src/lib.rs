//! IAX2 (RFC 5456) without I/O.
//!
//! [`frame`] reads and writes datagrams, [`element`] the information elements in them. [`Endpoint`] holds all
//! call legs of one socket: give it datagrams and the time, drain datagrams and events from it, and run its
//! turn when it is due. Times are milliseconds on the program's monotonic clock.

#![forbid(unsafe_code)]

pub mod cause;
pub mod element;
mod endpoint;
pub mod frame;

pub use element::Elements;
pub use endpoint::{Counts, Datagram, EndReason, Endpoint, Event, Leg, Limits, Media, Poke};
