//! What passed in a drill: the checker of the five rules, and the recorded events.

mod checker;
pub mod events;

pub use checker::{RuleChecker, ServerFacts, Verdict};
