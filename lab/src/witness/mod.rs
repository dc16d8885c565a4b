//! What passed in a drill: the checker of the five rules, and the events that are kept.

mod checker;
pub mod events;

pub use checker::{RuleChecker, ServerFacts, Verdict};
