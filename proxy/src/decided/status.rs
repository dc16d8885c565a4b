//! What is decided, and how this proxy stands with it, for operators.

use agree::{AgreeStanding, Id, Seat};
use gossip::Node;
use outs::{Kind, Outs, Phase, grants};
use serde::{Deserialize, Serialize};

use super::DecidedState;

/// The council and how this proxy stands with it, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CouncilStatus {
    pub role: agree::Role,
    /// The number of this proxy's disk, by which it is let in; 0 where it votes as a founder.
    #[serde(rename = "life")]
    pub generation: u64,
    pub term: u64,
    pub leader: Option<String>,
    /// Decisions known, those carried out, and those proved to whoever has no vote.
    pub decided: u64,
    pub applied: u64,
    #[serde(rename = "sealed")]
    pub certified: u64,
    /// What all decisions carried out come to: the same at the same number everywhere.
    pub hash: String,
    /// How old what this proxy knows can be, in milliseconds; none before it was ever told.
    pub age_ms: Option<f64>,
    #[serde(rename = "seats")]
    pub voters: Vec<VoterStatus>,
    /// The decision since which these vote, and whether it is proved to whoever has no vote.
    pub since: u64,
    pub proved: bool,
    /// Members whose disks have no vote, with their numbers, to be let in by.
    #[serde(rename = "voteless")]
    pub non_voters: Vec<VoterStatus>,
    /// Why this proxy stopped carrying decisions out, if it did.
    pub stopped: Option<String>,
    pub counts: agree::Counts,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    pub name: String,
    #[serde(rename = "life")]
    pub generation: u64,
    /// Up to where it has the log, where this proxy leads.
    #[serde(rename = "has")]
    pub log_index: Option<u64>,
}

impl CouncilStatus {
    pub fn of(standing: AgreeStanding, node: &Node) -> Self {
        let name = |id: Id| node.name(id).unwrap_or("?").to_owned();
        let voter = |seat: &Seat| VoterStatus {
            name: name(seat.id),
            generation: seat.life,
            log_index: standing.progress.get(&seat.id).copied(),
        };
        let non_voters = standing.lives.iter().map(|(&id, &life)| VoterStatus {
            name: name(id),
            generation: life,
            log_index: None,
        });
        Self {
            role: standing.role,
            generation: standing.life,
            term: standing.term,
            leader: standing.leader.map(name),
            decided: standing.decided,
            applied: standing.applied,
            certified: standing.sealed,
            hash: hex::encode(&standing.hash[..8]),
            age_ms: Some(standing.age).filter(|age| age.is_finite()),
            voters: standing.council.seats().iter().map(voter).collect(),
            since: standing.version,
            proved: standing.linked,
            non_voters: non_voters.collect(),
            stopped: standing.stopped.clone(),
            counts: standing.counts,
        }
    }
}

/// Who is out, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AvailabilityStatus {
    pub drains: Vec<DrainStatus>,
    /// Proxies that are out, how many may be, and how many others have to see one well.
    pub proxies: Vec<UnavailabilityStatus>,
    #[serde(rename = "most")]
    pub max_unavailable: u16,
    pub witnesses: u16,
    pub release: Option<ReleaseStatus>,
    pub age_ms: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    pub server: String,
    pub pool: u16,
    pub by: String,
    pub why: String,
    /// In Unix milliseconds, by the asker's clock.
    pub since: u64,
    pub decision: u64,
    /// Conversations that stand or are out there through this proxy.
    #[serde(rename = "here")]
    pub conversations_here: usize,
}

/// A proxy that takes up a place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnavailabilityStatus {
    pub proxy: String,
    /// `granted`, `out`, `back` or `missed`.
    #[serde(rename = "how")]
    pub state: String,
    /// By which decision, and what is waited for.
    pub since: Option<u64>,
    pub waits_for: String,
}

/// The release that is under way, or was last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseStatus {
    pub release: u64,
    pub kind: Kind,
    pub sum: String,
    pub by: String,
    pub why: String,
    pub phase: Phase,
    pub ready: usize,
    #[serde(rename = "unfit")]
    pub rejected: Vec<(String, String)>,
    /// By wave: all of it, and those that run it.
    pub waves: Vec<(usize, usize)>,
}

impl UnavailabilityStatus {
    fn of(grants: &outs::Grants, id: Id, name: &impl Fn(Id) -> String) -> Self {
        use grants::Away;
        let (how, since, waits_for) = match grants.away(id) {
            Some(Away::Granted { grant, .. }) => {
                ("granted", Some(*grant), "its word that it goes".to_owned())
            }
            Some(Away::Out { since }) => ("out", Some(*since), "its word that it is back".to_owned()),
            Some(Away::Back { since, seen_by, .. }) => {
                let (seen, of) = (seen_by.len(), grants.witnesses());
                ("back", Some(*since), format!("others to see it well: {seen} of {of} have"))
            }
            None => {
                let by: Vec<String> = grants.missed_by(id).map(name).collect();
                ("missed", None, format!("word of it; missed by {}", by.join(" ")))
            }
        };
        Self { proxy: name(id), state: how.to_owned(), since, waits_for }
    }
}

impl ReleaseStatus {
    fn of(releases: &outs::Releases, name: &impl Fn(Id) -> String) -> Option<Self> {
        let of = releases.current()?;
        let runs = |wave: &Vec<Id>| wave.iter().filter(|id| releases.runs(**id) == of.number).count();
        Some(Self {
            release: of.number,
            kind: of.kind,
            sum: hex::encode(of.sum),
            by: of.by.clone(),
            why: of.why.clone(),
            phase: of.phase.clone(),
            ready: of.ready.len(),
            rejected: of.unfit.iter().map(|(&id, why)| (name(id), why.clone())).collect(),
            waves: of.waves.iter().map(|wave| (wave.len(), runs(wave))).collect(),
        })
    }
}

impl AvailabilityStatus {
    pub fn of(
        decided: &DecidedState,
        node: &Node,
        now: f64,
        conversations_at: impl Fn(&str) -> usize,
    ) -> Self {
        let name = |id: Id| node.name(id).unwrap_or("?").to_owned();
        let Outs { grants, releases, .. } = decided.agreement.machine();
        let drain_status = |(server, drain): (&str, &outs::Drain)| DrainStatus {
            server: server.to_owned(),
            pool: drain.pool,
            by: drain.by.clone(),
            why: drain.why.clone(),
            since: drain.unix,
            decision: drain.decided,
            conversations_here: conversations_at(server),
        };
        let age_ms = Some(decided.age(now)).filter(|age| age.is_finite());
        Self {
            drains: decided.drains().iter().map(drain_status).collect(),
            proxies: grants.out().map(|id| UnavailabilityStatus::of(grants, id, &name)).collect(),
            max_unavailable: grants.most(),
            witnesses: grants.witnesses(),
            release: ReleaseStatus::of(releases, &name),
            age_ms,
        }
    }
}
