//! Drivers of a [drill](crate::drill): under a virtual clock, on sockets, or one stand-in at a time.

pub mod cluster;
pub mod permits;
pub mod release;
pub mod simulated;
pub mod sockets;
pub mod standalone;
