//! Scale runs: thousands of border proxies without callers, and the control machines that serve them.
//!
//! Such a hollow proxy has the real decision parts, encodings, signatures and timers, but no callers. A
//! [`layout`] places the nodes, a [`script`] schedules changes and faults, [`resources`] checks whether the
//! machine can hold the run. [`virtual_run`] executes it under a virtual clock: [`engine`] is the clock and
//! the links, sharded over threads, [`tier`] the fleet with control machines, [`flat`] the fleet without
//! them, and [`evaluation`] compares the result with the limits.

pub mod council;
pub mod engine;
pub mod evaluation;
pub mod flat;
pub mod keys;
pub mod kv_machine;
pub mod layout;
pub mod meter;
pub mod network;
pub mod node;
pub mod proposals;
pub mod report;
pub mod resources;
pub mod scoped_machine;
pub mod script;
pub mod tier;
pub mod virtual_run;
