//! The decided state and this proxy's part in the council, for operators.

use agree::{AgreementStatus, Id, Voter};
use gossip::Node;
use outs::{Availability, Kind, Phase, grants};
use serde::{Deserialize, Serialize};

use super::DecidedState;

/// The council and this proxy's state in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CouncilStatus {
    /// This proxy's role in the council.
    pub role: agree::Role,
    /// The generation of this proxy's disk, by which it is admitted as a voter; 0 if it votes as a bootstrap
    /// member.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<String>,
    /// The latest decision known.
    pub decided: u64,
    /// The latest decision applied.
    pub applied: u64,
    /// The latest decision with a certificate, which proves it to proxies without a vote.
    #[serde(rename = "sealed")]
    pub certified: u64,
    /// A hash of the state after all applied decisions. It is the same on all proxies at the same decision.
    pub hash: String,
    /// The maximum age of what this proxy knows, in milliseconds; `None` before its first message.
    pub age_ms: Option<f64>,
    /// The voters.
    #[serde(rename = "seats")]
    pub voters: Vec<VoterStatus>,
    /// The decision since which these voters vote.
    pub since: u64,
    /// Whether this council is proved to proxies without a vote.
    pub proved: bool,
    /// Members whose disks have no vote, with the generations by which they can be admitted.
    #[serde(rename = "voteless")]
    pub non_voters: Vec<VoterStatus>,
    /// Why this proxy stopped applying decisions, if it did.
    pub stopped: Option<String>,
    /// Counts of messages and elections.
    pub counts: agree::Counts,
}

/// A member of the council, or one that could be admitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The proxy's name.
    pub name: String,
    /// The generation of its disk.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The end of its log, known if this proxy leads.
    #[serde(rename = "has")]
    pub log_index: Option<u64>,
}

impl CouncilStatus {
    /// Converts the state of the agreement.
    pub fn of(standing: AgreementStatus, node: &Node) -> Self {
        let name = |id: Id| node.name(id).unwrap_or("?").to_owned();
        let voter = |seat: &Voter| VoterStatus {
            name: name(seat.id),
            generation: seat.disk_id,
            log_index: standing.progress.get(&seat.id).copied(),
        };
        let non_voters = standing.unadmitted_disks.iter().map(|(&id, &life)| VoterStatus {
            name: name(id),
            generation: life,
            log_index: None,
        });
        Self {
            role: standing.role,
            generation: standing.disk_id,
            term: standing.term,
            leader: standing.leader.map(name),
            decided: standing.decided,
            applied: standing.applied,
            certified: standing.certified,
            hash: hex::encode(&standing.hash[..8]),
            age_ms: Some(standing.age).filter(|age| age.is_finite()),
            voters: standing.council.voters().iter().map(voter).collect(),
            since: standing.council_since,
            proved: standing.council_proved,
            non_voters: non_voters.collect(),
            stopped: standing.stopped.clone(),
            counts: standing.counts,
        }
    }
}

/// Servers and proxies that are unavailable, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AvailabilityStatus {
    /// Drained central servers.
    pub drains: Vec<DrainStatus>,
    /// Proxies that count as unavailable.
    pub proxies: Vec<UnavailabilityStatus>,
    /// How many proxies may be unavailable at once.
    #[serde(rename = "most")]
    pub max_unavailable: u16,
    /// How many other proxies must see a returned proxy as healthy.
    pub witnesses: u16,
    /// The current or last release.
    pub release: Option<ReleaseStatus>,
    /// The maximum age of what this proxy knows, in milliseconds; `None` before its first message.
    pub age_ms: Option<f64>,
}

/// A drained central server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Its name.
    pub server: String,
    /// The number of its pool.
    pub pool: u16,
    /// Who asked for the drain.
    pub by: String,
    /// The reason given.
    pub why: String,
    /// When it was asked for, in Unix milliseconds by the clock of the proxy that asked.
    pub since: u64,
    /// The number of the decision.
    pub decision: u64,
    /// Conversations of this proxy that are established there or have an attempt in flight there.
    #[serde(rename = "here")]
    pub conversations_here: usize,
}

/// A proxy that counts as unavailable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnavailabilityStatus {
    /// Its name.
    pub proxy: String,
    /// `granted`, `out`, `back` or `missed`.
    #[serde(rename = "how")]
    pub state: String,
    /// The decision that led to this state, if any.
    pub since: Option<u64>,
    /// What the proxy's return to service waits for.
    pub waits_for: String,
}

/// The current or last release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseStatus {
    /// Its number.
    pub release: u64,
    /// What it replaces.
    pub kind: Kind,
    /// The hash of its file, in hexadecimal digits.
    pub sum: String,
    /// Who staged it.
    pub by: String,
    /// The reason given.
    pub why: String,
    /// How far it has come.
    pub phase: Phase,
    /// How many proxies are ready for it.
    pub ready: usize,
    /// Proxies that cannot run it, with the reasons.
    #[serde(rename = "unfit")]
    pub rejected: Vec<(String, String)>,
    /// By wave: the number of proxies, and how many of them run the release.
    pub waves: Vec<(usize, usize)>,
}

impl UnavailabilityStatus {
    fn of(grants: &outs::Grants, id: Id, name: &impl Fn(Id) -> String) -> Self {
        use grants::Unavailability;
        let (how, since, waits_for) = match grants.unavailability(id) {
            Some(Unavailability::Granted { grant, .. }) => {
                ("granted", Some(*grant), "its notice that it leaves".to_owned())
            }
            Some(Unavailability::Offline { since }) => {
                ("out", Some(*since), "its notice that it has returned".to_owned())
            }
            Some(Unavailability::Returned { since, seen_by, .. }) => {
                let (seen, of) = (seen_by.len(), grants.witnesses());
                ("back", Some(*since), format!("other proxies to see it as healthy: {seen} of {of} have"))
            }
            None => {
                let by: Vec<String> = grants.suspected_by(id).map(name).collect();
                ("missed", None, format!("a message from it; suspected by {}", by.join(" ")))
            }
        };
        Self { proxy: name(id), state: how.to_owned(), since, waits_for }
    }
}

impl ReleaseStatus {
    fn of(releases: &outs::Releases, name: &impl Fn(Id) -> String) -> Option<Self> {
        let of = releases.current()?;
        let runs =
            |wave: &Vec<Id>| wave.iter().filter(|id| releases.running_release(**id) == of.number).count();
        Some(Self {
            release: of.number,
            kind: of.kind,
            sum: hex::encode(of.sum),
            by: of.by.clone(),
            why: of.why.clone(),
            phase: of.phase.clone(),
            ready: of.ready.len(),
            rejected: of.rejected.iter().map(|(&id, why)| (name(id), why.clone())).collect(),
            waves: of.waves.iter().map(|wave| (wave.len(), runs(wave))).collect(),
        })
    }
}

impl AvailabilityStatus {
    /// Collects the status; `conversations_at` counts this proxy's conversations at a server.
    pub fn of(
        decided: &DecidedState,
        node: &Node,
        now: f64,
        conversations_at: impl Fn(&str) -> usize,
    ) -> Self {
        let name = |id: Id| node.name(id).unwrap_or("?").to_owned();
        let Availability { grants, releases, .. } = decided.agreement.machine();
        let drain_status = |(server, drain): (&str, &outs::Drain)| DrainStatus {
            server: server.to_owned(),
            pool: drain.pool,
            by: drain.by.clone(),
            why: drain.why.clone(),
            since: drain.unix_ms,
            decision: drain.decision,
            conversations_here: conversations_at(server),
        };
        let age_ms = Some(decided.age(now)).filter(|age| age.is_finite());
        Self {
            drains: decided.drains().iter().map(drain_status).collect(),
            proxies: grants.unavailable().map(|id| UnavailabilityStatus::of(grants, id, &name)).collect(),
            max_unavailable: grants.max_unavailable(),
            witnesses: grants.witnesses(),
            release: ReleaseStatus::of(releases, &name),
            age_ms,
        }
    }
}
