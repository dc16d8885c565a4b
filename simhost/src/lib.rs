//! Translates the simulator's wire to calls on the decisions. The binary has the main loop.

#![forbid(unsafe_code)]

pub mod fleet;
pub mod instance;
pub mod wire;
