//! The status of the distribution of decided state, for operators.

use std::collections::BTreeMap;

use gossip::channel::ChannelCounts;
use serde::{Deserialize, Serialize};

/// A proxy's role in the distribution of decided state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DistributionRole {
    /// It follows the log and serves subscribers.
    Control,
    /// It holds the scopes that it uses.
    Subscriber,
}

/// How this proxy receives or serves decided state by scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DistributionStatus {
    /// The proxy's role.
    pub role: DistributionRole,
    /// A subscriber's control machine.
    pub control: Option<String>,
    /// For how long [`DistributionStatus::control`] has been used, in milliseconds.
    pub control_since_ms: Option<f64>,
    /// The decision since which the newest known council votes.
    pub council: u64,
    /// The scopes that are held or served.
    pub scopes: Vec<ScopeStatus>,
    /// The servers that a subscriber drains.
    pub drains: Vec<DistributedDrain>,
    /// The subscribers of a control machine.
    pub subscribers: Option<SubscribersStatus>,
    /// Counts of packets.
    pub channel: ChannelCounts,
    /// Counts of other events, by name.
    pub counts: BTreeMap<String, u64>,
}

/// The state of a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScopeStatus {
    /// Its name, as in the settings.
    pub scope: String,
    /// At a subscriber: all decisions up to this one are in force here; 0 before any is proved. At a control
    /// machine: the last decision that changed the scope.
    pub version: u64,
    /// The number of entries.
    pub entries: usize,
    /// The maximum age of the state in force, in milliseconds; `None` before the first message of a voter
    /// since the start.
    pub age_ms: Option<f64>,
}

/// A drained server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DistributedDrain {
    /// Its name.
    pub server: String,
    /// Who asked for the drain.
    pub by: String,
    /// The reason given.
    pub why: String,
    /// The number of the decision.
    pub decision: u64,
}

/// The subscribers of a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscribersStatus {
    /// Subscribers that poll it.
    pub sessions: usize,
    /// How many of them fetch a whole scope.
    pub snapshots: usize,
    /// The certified log index that is served.
    #[serde(rename = "sealed")]
    pub certified: u64,
}

/// A change and its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// The scope of the entry.
    pub scope: String,
    /// The key of the changed entry.
    pub key: String,
    /// The number of the decision.
    pub version: u64,
    /// Whether the entry was removed.
    pub removed: bool,
    /// For how long it has been served here, in milliseconds.
    pub since_ms: f64,
    /// Subscribers of the scope that have acknowledged it here.
    pub have: usize,
    /// Subscribers of the scope here.
    pub of: usize,
    /// Some of those that have not acknowledged it.
    pub lacking: Vec<LackingStatus>,
}

/// A subscriber that has not acknowledged a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LackingStatus {
    /// Its name.
    pub subscriber: String,
    /// For how long it has lacked the change, in milliseconds.
    pub since_ms: f64,
    /// For how long it has been silent, in milliseconds.
    pub silent_ms: f64,
}

/// The number if it is finite, as JSON has no infinity.
pub(super) fn finite(number: f64) -> Option<f64> {
    Some(number).filter(|number| number.is_finite())
}
