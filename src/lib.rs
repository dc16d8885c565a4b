//! Decides which call set-ups go to which central server, one [`Proxy`] for each border proxy.
//!
//! The decisions are in [`choice`]; the interface to the program around them is in [`host`].

#![forbid(unsafe_code)]

pub mod choice;
pub mod host;

pub use choice::Proxy;
pub use host::Handle;
