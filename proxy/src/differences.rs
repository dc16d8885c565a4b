//! Counts of decisions that proposed terms would have made differently. [`crate::watch`] counts them,
//! [`crate::status`] reports them.

use serde::{Deserialize, Serialize};

/// How often the proposed terms would have decided differently, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Differences {
    /// Turns of the module.
    pub turns: u64,
    /// Turns that were also decided under the proposed terms.
    #[serde(rename = "seen")]
    pub compared: u64,
    /// Compared turns with any difference.
    pub differing: u64,
    /// Attempts that would go to another server.
    #[serde(rename = "elsewhere")]
    pub other_server: u64,
    /// Attempts that would have another timeout.
    #[serde(rename = "time_out")]
    pub timeout: u64,
    /// Attempts that would not be sent yet.
    pub held_back: u64,
    /// Attempts that would be sent earlier.
    #[serde(rename = "sooner")]
    pub earlier: u64,
    /// Conversations that would be refused or failed in that turn.
    pub given_up: u64,
    /// Conversations that would be kept instead of being refused or failed.
    pub kept: u64,
    /// Conversations refused in both cases, with different retry times.
    #[serde(rename = "advice")]
    pub retry_after: u64,
    /// Attempts cancelled in only one of the cases.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Probes that would not be sent.
    #[serde(rename = "unprobed")]
    pub probes_dropped: u64,
    /// Probes that would be sent in addition.
    #[serde(rename = "probed")]
    pub probes_added: u64,
}
