//! Scale runs: the layout, the script, the check of the machine's resources, and the virtual clock.

mod engine;
mod flat;
mod layout;
mod network;
mod resources;
mod script;
mod tier;
