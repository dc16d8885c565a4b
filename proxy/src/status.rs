//! The status of a border proxy for operators: counters, and the servers as its module sees them.

use gossip::wire::MemberState;
use gossip::{Counts, Node};
use serde::{Deserialize, Serialize};

use crate::differences::Differences;
use crate::pool::PoolList;

/// Counts of events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Conversations accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Conversations answered.
    #[serde(rename = "stood")]
    pub established: u64,
    /// Conversations refused with a retry time.
    pub refused: u64,
    /// Conversations failed.
    pub failed: u64,
    /// Callers that hung up before an answer.
    #[serde(rename = "left")]
    pub caller_gone: u64,
    /// Established conversations that ended normally.
    pub cleared: u64,
    /// Established conversations that were cut.
    pub cut: u64,
    /// Calls without a route.
    pub unrouted: u64,
    /// Calls rejected because this proxy is about to stop.
    pub turned_away: u64,
    /// Calls refused because the disk did not store records as promised.
    #[serde(default)]
    pub unrecordable: u64,
    /// Attempts sent.
    #[serde(rename = "shots")]
    pub attempts: u64,
    /// Attempts rejected by servers.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Attempts without an answer in time.
    pub timed_out: u64,
    /// Attempts that the server no longer knew.
    pub reset: u64,
    /// Probes sent to servers.
    pub probes: u64,
    /// Answers to probes.
    pub pongs: u64,
}

/// Current conversations by progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConversationCounts {
    /// Without an attempt in flight.
    #[serde(rename = "held")]
    pub waiting: usize,
    /// With an attempt in flight, or an answer that is held until it is recorded.
    #[serde(rename = "shot")]
    pub attempting: usize,
    /// Answered.
    #[serde(rename = "standing")]
    pub established: usize,
}

/// A central server as the module sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub name: String,
    pub address: String,
    /// `running`, `draining` or `gone`.
    pub state: String,
    /// Whether the server is still cold after its start.
    pub cold: bool,
    /// Attempts in flight.
    #[serde(rename = "out")]
    pub in_flight: usize,
    /// The maximum of attempts in flight; below 1, the share of time in which one may be.
    #[serde(rename = "allowance")]
    pub concurrency_limit: f64,
    /// Whether the server gets only attempts of high earnings for now.
    #[serde(rename = "resting")]
    pub cooling_down: bool,
    /// Samples of set-up delay over time limit in the window.
    pub samples: usize,
    /// The mean of the samples.
    pub mean_ratio: f64,
    /// The recent delay of its answers, in milliseconds.
    pub delay_ms: f64,
    /// Set-ups per second that the server reported.
    #[serde(rename = "told_rate")]
    pub reported_rate: Option<f64>,
}

/// The status of a border proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The version of the pool list, if there is one.
    pub list_version: Option<u64>,
    /// Whether the proxy rejects new calls.
    pub stopping: bool,
    /// Legs to callers and to servers.
    pub legs: usize,
    #[serde(rename = "present")]
    pub conversations: ConversationCounts,
    #[serde(rename = "tally")]
    pub counters: Counters,
    pub servers: Vec<ServerStatus>,
    /// Differences under proposed terms, if such terms are evaluated.
    #[serde(default)]
    pub watch: Option<Differences>,
}

/// A border proxy of the fleet as this one sees it, or this one itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub address: String,
    /// `alive`, `suspect`, `dead`, or `this one`.
    #[serde(rename = "standing")]
    pub state: String,
    /// The number by which the member refutes suspicions.
    pub incarnation: u64,
}

/// A server that at least one member accuses of being silent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionStatus {
    pub server: String,
    /// When the accused process started, in Unix milliseconds; 0 if that is long ago.
    pub started: u64,
    /// The members that accuse it.
    pub accusers: Vec<String>,
    /// How many members had an answer from it.
    pub vouchers: usize,
    /// How long ago the accusations became sufficient, in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: f64,
    /// Whether this proxy believes that the server is silent.
    pub believed: bool,
    /// How long ago this proxy last got an answer from it, in milliseconds.
    #[serde(rename = "answered")]
    pub last_answer_ms: Option<f64>,
}

/// The state of gossip at this proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipStatus {
    pub members: Vec<MemberStatus>,
    pub suspicions: Vec<SuspicionStatus>,
    #[serde(rename = "tally")]
    pub counters: Counts,
    /// Sends postponed because of the cap.
    pub deferred: u64,
}

impl GossipStatus {
    /// Collects the status from the gossip node.
    pub fn of(node: &Node, pool: &PoolList, now: f64) -> Self {
        let name = |id| node.name(id).unwrap_or("?").to_owned();
        let members = node.members.all().map(|(id, member)| MemberStatus {
            name: name(id),
            address: member.address.to_string(),
            state: match member.state {
                MemberState::Alive => "alive",
                MemberState::Suspect => "suspect",
                MemberState::Dead => "dead",
            }
            .to_owned(),
            incarnation: member.incarnation,
        });
        let own = MemberStatus {
            name: name(node.id()),
            address: node.address().to_string(),
            state: "this one".to_owned(),
            incarnation: node.incarnation(),
        };
        let listed_server =
            |generation| pool.servers().find(|&server| pool.generation(server) == Some(generation));
        let suspicions = node.accused(now).into_iter().map(|accused| SuspicionStatus {
            // A server that is not on this proxy's list, or not in this generation, has no name here.
            server: listed_server(accused.generation)
                .map_or("?".to_owned(), |server| pool.name(server).to_owned()),
            started: accused.generation.started,
            accusers: node.accusers(accused.generation).into_iter().map(name).collect(),
            vouchers: accused.vouchers,
            age_ms: now - accused.since,
            believed: accused.believed,
            last_answer_ms: node.evidence.last_answer(accused.generation).map(|at| now - at),
        });
        Self {
            members: std::iter::once(own).chain(members).collect(),
            suspicions: suspicions.collect(),
            counters: node.counts(),
            deferred: node.deferred(),
        }
    }
}

/// The fleet's limits at this proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitsStatus {
    pub limits: Vec<LimitStatus>,
    /// Counts of messages between members.
    pub counts: fleet::Counts,
}

/// A limit on set-ups per window over all proxies, and this proxy's part in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// The server with its generation, or the tenant.
    pub server: String,
    /// Set-ups per window over all proxies.
    pub permits: usize,
    pub window_ms: f64,
    /// This proxy's own permits.
    pub part: usize,
    /// Permits lent to others.
    pub lent: usize,
    /// Permits borrowed from others.
    pub borrowed: usize,
    #[serde(rename = "resting")]
    pub used_in_window: usize,
    /// Permits free now.
    pub free: usize,
    /// Why no set-up may be sent now; empty if one may.
    pub why: String,
}

impl LimitsStatus {
    /// Converts the state and the counts of all limits.
    pub fn of((standings, counts): (Vec<fleet::LimitState>, fleet::Counts)) -> Self {
        let limit_status = |limit: fleet::LimitState| {
            let fleet::LedgerStatus {
                part,
                lent,
                borrowed,
                cooling_down: resting,
                free,
                recovering: waits_out,
            } = limit.ledger;
            let why = match (free, waits_out) {
                (1.., _) => "",
                (0, true) => "started recently: waiting for loans of an earlier process to expire",
                (0, false) if part + borrowed == 0 => "no permits of its own, and none borrowed",
                (0, false) if resting > 0 => "all used within the window",
                (0, false) => "lent to others",
            };
            let (server, permits, window_ms) = (limit.name, limit.permits, limit.window);
            LimitStatus {
                server,
                permits,
                window_ms,
                part,
                lent,
                borrowed,
                used_in_window: resting,
                free,
                why: why.to_owned(),
            }
        };
        Self { limits: standings.into_iter().map(limit_status).collect(), counts }
    }
}
