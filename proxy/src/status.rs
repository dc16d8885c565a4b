//! What a border proxy says of itself: counters, and the servers as its module sees them.

use serde::{Deserialize, Serialize};

/// How often each thing has happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub taken: u64,
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
    /// The caller went before its answer.
    pub left: u64,
    pub cleared: u64,
    pub cut: u64,
    pub unrouted: u64,
    /// Turned away because this proxy is about to stop.
    pub turned_away: u64,
    pub shots: u64,
    pub nacked: u64,
    pub timed_out: u64,
    pub reset: u64,
    pub probes: u64,
    pub pongs: u64,
}

/// Conversations at present, by how far they have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Present {
    pub held: usize,
    pub shot: usize,
    pub standing: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub name: String,
    pub address: String,
    pub state: String,
    pub cold: bool,
    pub out: usize,
    pub allowance: f64,
    pub resting: bool,
    pub samples: usize,
    pub mean_ratio: f64,
    pub delay_ms: f64,
    pub told_rate: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub list_version: Option<u64>,
    pub stopping: bool,
    pub legs: usize,
    pub present: Present,
    pub tally: Tally,
    pub servers: Vec<ServerStatus>,
}
