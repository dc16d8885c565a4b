//! Scale runs: thousands of hollow border proxies and the control machines that serve them.
//!
//! A hollow proxy has the real decision parts, encodings, signatures and timers, and no callers. A [`layout`]
//! says who is where, a [`script`] what goes wrong when, [`resources`] whether the machine bears the run.
//! [`virtual_run`] plays it under a virtual clock: [`engine`] is the clock and the links, sharded over
//! threads, [`flat`] the fleet as it is without control machines, [`evaluation`] holds what was measured against
//! the limits.

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
