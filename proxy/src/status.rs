//! What a border proxy says of itself: counters, and the servers as its module sees them.

use gossip::wire::Standing;
use gossip::{Counts, Node};
use serde::{Deserialize, Serialize};

use crate::differences::Differences;
use crate::pool::PoolList;

/// How often each thing has happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    #[serde(rename = "taken")]
    pub accepted: u64,
    #[serde(rename = "stood")]
    pub established: u64,
    pub refused: u64,
    pub failed: u64,
    /// The caller went before its answer.
    #[serde(rename = "left")]
    pub caller_gone: u64,
    pub cleared: u64,
    pub cut: u64,
    pub unrouted: u64,
    /// Turned away because this proxy is about to stop.
    pub turned_away: u64,
    /// Refused because the disk did not keep records as promised.
    #[serde(default)]
    pub unrecordable: u64,
    #[serde(rename = "shots")]
    pub attempts: u64,
    #[serde(rename = "nacked")]
    pub rejected: u64,
    pub timed_out: u64,
    pub reset: u64,
    pub probes: u64,
    pub pongs: u64,
}

/// Conversations at present, by how far they have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConversationCounts {
    #[serde(rename = "held")]
    pub waiting: usize,
    #[serde(rename = "shot")]
    pub attempting: usize,
    #[serde(rename = "standing")]
    pub established: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub name: String,
    pub address: String,
    pub state: String,
    pub cold: bool,
    #[serde(rename = "out")]
    pub in_flight: usize,
    #[serde(rename = "allowance")]
    pub concurrency_limit: f64,
    #[serde(rename = "resting")]
    pub cooling_down: bool,
    pub samples: usize,
    pub mean_ratio: f64,
    pub delay_ms: f64,
    #[serde(rename = "told_rate")]
    pub reported_rate: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub list_version: Option<u64>,
    pub stopping: bool,
    pub legs: usize,
    #[serde(rename = "present")]
    pub conversations: ConversationCounts,
    #[serde(rename = "tally")]
    pub counters: Counters,
    pub servers: Vec<ServerStatus>,
    /// Where the terms to come would have decided otherwise, if any are watched.
    #[serde(default)]
    pub watch: Option<Differences>,
}

/// Another border proxy, as this one sees it; or this one itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub address: String,
    #[serde(rename = "standing")]
    pub state: String,
    pub incarnation: u64,
}

/// A server that somebody says is silent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionStatus {
    pub server: String,
    /// When the accused process started, in Unix milliseconds; 0 where that is long ago.
    pub started: u64,
    pub accusers: Vec<String>,
    pub vouchers: usize,
    /// How long ago enough accusations had begun, in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: f64,
    pub believed: bool,
    /// When this proxy last had an answer of it, in milliseconds ago.
    #[serde(rename = "answered")]
    pub last_answer_ms: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipStatus {
    pub members: Vec<MemberStatus>,
    pub suspicions: Vec<SuspicionStatus>,
    #[serde(rename = "tally")]
    pub counters: Counts,
    /// Sends that the cap did not allow; they come later.
    pub deferred: u64,
}

impl GossipStatus {
    pub fn of(node: &Node, pool: &PoolList, now: f64) -> Self {
        let name = |id| node.name(id).unwrap_or("?").to_owned();
        let members = node.members.all().map(|(id, member)| MemberStatus {
            name: name(id),
            address: member.address.to_string(),
            state: match member.standing {
                Standing::Alive => "alive",
                Standing::Suspect => "suspect",
                Standing::Dead => "dead",
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
            // What is not on this proxy's list, or not in this life, has no name here.
            server: listed_server(accused.life).map_or("?".to_owned(), |server| pool.name(server).to_owned()),
            started: accused.life.started,
            accusers: node.accusers(accused.life).into_iter().map(name).collect(),
            vouchers: accused.vouchers,
            age_ms: now - accused.since,
            believed: accused.believed,
            last_answer_ms: node.evidence.last_answer(accused.life).map(|at| now - at),
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
    pub counts: fleet::Counts,
}

/// One limit: whole set-ups in each window over all proxies, and where this one stands with them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// The server with its life, or the tenant.
    pub server: String,
    pub permits: usize,
    pub window_ms: f64,
    /// Its own, lent to others, borrowed from others, used within the window, and free now.
    pub part: usize,
    pub lent: usize,
    pub borrowed: usize,
    #[serde(rename = "resting")]
    pub used_in_window: usize,
    pub free: usize,
    /// Why no more may go now; empty where more may.
    pub why: String,
}

impl LimitsStatus {
    pub fn of((standings, counts): (Vec<fleet::LimitStanding>, fleet::Counts)) -> Self {
        let limit_status = |limit: fleet::LimitStanding| {
            let fleet::Standing { part, lent, borrowed, resting, free, waits_out } = limit.standing;
            let why = match (free, waits_out) {
                (1.., _) => "",
                (0, true) => "started lately: what an earlier process may have lent is waited out",
                (0, false) if part + borrowed == 0 => "no part of it, and none borrowed",
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
