//! What passed in a drill: the judge of the five rules, and the events that are kept.

pub mod events;
mod judge;

pub use judge::{ServerFacts, Verdict, Witness};
