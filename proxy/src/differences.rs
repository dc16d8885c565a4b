//! Counts of what other terms would have decided otherwise; [`crate::watch`] counts, [`crate::status`] tells.

use serde::{Deserialize, Serialize};

/// How often the terms to come would have decided otherwise, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Differences {
    /// Turns, those of them that were decided twice, and those of these in which anything differed.
    pub turns: u64,
    #[serde(rename = "seen")]
    pub compared: u64,
    pub differing: u64,
    /// Shots that would go to another server, with another time-out, or not yet; and shots that would go
    /// sooner.
    #[serde(rename = "elsewhere")]
    pub other_server: u64,
    #[serde(rename = "time_out")]
    pub timeout: u64,
    pub held_back: u64,
    #[serde(rename = "sooner")]
    pub earlier: u64,
    /// Conversations that would be refused or failed in that turn, and those that would be kept.
    pub given_up: u64,
    pub kept: u64,
    /// Conversations refused in both, with other advice.
    #[serde(rename = "advice")]
    pub retry_after: u64,
    /// Shots called off in only one of both.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Probes that would not be sent, and that would be.
    #[serde(rename = "unprobed")]
    pub probes_dropped: u64,
    #[serde(rename = "probed")]
    pub probes_added: u64,
}
