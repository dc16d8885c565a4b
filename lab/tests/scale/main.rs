//! Scale runs: the layout, the script, the look at the machine, and the virtual clock.

mod engine;
mod flat;
mod layout;
mod network;
mod resources;
mod script;
mod tier;
