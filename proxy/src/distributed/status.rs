//! How decided state reaches this proxy, or whom it serves, for operators.

use std::collections::BTreeMap;

use gossip::channel::ChannelCounts;
use serde::{Deserialize, Serialize};

/// What a proxy is in the distribution of decided state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DistributionRole {
    /// It follows the log and serves subscribers.
    Control,
    /// It holds the scopes that it uses.
    Subscriber,
}

/// How decided state reaches this proxy by scope, or how it serves that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DistributionStatus {
    /// What it is.
    pub role: DistributionRole,
    /// A subscriber's control machine, and for how long it has been that, in milliseconds.
    pub control: Option<String>,
    /// See [`DistributionStatus::control`].
    pub control_since_ms: Option<f64>,
    /// The decision since which the newest council votes that is known.
    pub council: u64,
    /// What is held, or served.
    pub scopes: Vec<ScopeStatus>,
    /// The servers that a subscriber drains.
    pub drains: Vec<DistributedDrain>,
    /// Whom a control machine serves.
    pub subscribers: Option<SubscribersStatus>,
    /// Packets.
    pub channel: ChannelCounts,
    /// What was done and what was dropped, by name.
    pub counts: BTreeMap<String, u64>,
}

/// One scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScopeStatus {
    /// Its name, as in the settings.
    pub scope: String,
    /// A subscriber: all decisions up to this are obeyed here; 0 before anything is proved. A control
    /// machine: the decision that changed the scope last.
    pub version: u64,
    /// Entries in it.
    pub entries: usize,
    /// How old what is in force can be, in milliseconds; none before a voter's word came since the start.
    pub age_ms: Option<f64>,
}

/// A server that gets nothing new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DistributedDrain {
    /// Its name.
    pub server: String,
    /// Who asked for it, and why.
    pub by: String,
    /// See [`DistributedDrain::by`].
    pub why: String,
    /// The decision.
    pub decision: u64,
}

/// Whom a control machine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscribersStatus {
    /// Those that poll it.
    pub sessions: usize,
    /// Of these, how many read a scope from its beginning.
    pub snapshots: usize,
    /// The sealed index that is served.
    #[serde(rename = "sealed")]
    pub certified: u64,
}

/// A change, and who has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// The scope that it belongs to.
    pub scope: String,
    /// The entry that it changed.
    pub key: String,
    /// The decision.
    pub version: u64,
    /// Whether the entry was removed.
    pub removed: bool,
    /// For how long it has been served here, in milliseconds.
    pub since_ms: f64,
    /// Subscribers of the scope here that have acknowledged it.
    pub have: usize,
    /// Subscribers of the scope here.
    pub of: usize,
    /// Some of those that have not.
    pub lacking: Vec<LackingStatus>,
}

/// A subscriber that has not acknowledged a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LackingStatus {
    /// Its name.
    pub subscriber: String,
    /// For how long it has lacked it, in milliseconds.
    pub since_ms: f64,
    /// For how long nothing was heard of it, in milliseconds.
    pub silent_ms: f64,
}

/// A number for JSON, which has no infinity.
pub(super) fn finite(number: f64) -> Option<f64> {
    Some(number).filter(|number| number.is_finite())
}
