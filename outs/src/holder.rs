//! One proxy's actions on the decisions: it requests a grant when it is its turn, leaves once the decision
//! that it begins has reached it, reports that it has returned, witnesses whether others are healthy or
//! silent, and as the leader opens the next wave. No I/O.
//!
//! The caller calls [`Holder::turn`] at each heartbeat with the decided state and its own observations, and
//! gets the commands that this proxy wants decided, and its replacement if it has to leave.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher as _;
use std::net::SocketAddr;

use agree::{Hash, Id, Index};

use crate::evidence::Judgement;
use crate::grants::{self, Unavailability};
use crate::releases::{self, Kind, Phase, Release};
use crate::{Availability, Command};

/// Starts in a row of a release that were not confirmed healthy, after which a proxy gives the release up.
pub const MAX_STARTS: u32 = 3;
/// Leases after which a grant that is not begun is revoked by any proxy that notices.
const REVOKE_AFTER_LEASES: f64 = 1.0;
/// Proxies that observe another one, per required witness: some of them may be cut off from it.
const OBSERVERS_PER_WITNESS: usize = 2;
/// Answers that a returned proxy has to give on its caller address within the time that it has to be
/// healthy.
const REQUIRED_ANSWERS: u32 = 4;

/// Settings that are the same on all proxies; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderTerms {
    /// The fraction of the proxies that may be unavailable at the same time; at least one may.
    pub max_unavailable_fraction: f64,
    /// How many witnesses have to confirm a returned proxy.
    pub witnesses: u16,
    /// How long a returned proxy has to be healthy.
    pub healthy_for: f64,
    /// How old a proxy's knowledge of the decisions may be when it acts on them.
    pub lease: f64,
}

/// This proxy's own state and observations.
#[derive(Clone, Debug)]
pub struct LocalState {
    pub id: Id,
    /// All proxies of the fleet, including this one.
    pub fleet: Vec<Id>,
    /// The release that this process runs; 0 for none.
    pub running_release: Index,
    /// Where it accepts callers.
    pub caller_address: SocketAddr,
    /// Whether it leads the council.
    pub is_leader: bool,
    /// Other proxies from which nothing is heard.
    pub unreachable: BTreeSet<Id>,
    /// The release that this proxy could not change to, and why.
    pub failed: Option<(Index, String)>,
    /// The hash of a staged file, and whether it is present and valid or what is wrong with it.
    pub staged: Option<(Hash, Result<(), String>)>,
}

/// What this process is to be replaced with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    pub release: Index,
    pub kind: Kind,
    pub sum: Hash,
    /// Whether to run the release, or to return to what ran before it.
    pub forward: bool,
}

/// What this proxy has seen of a returned one.
#[derive(Clone, Debug, Default)]
struct Observation {
    returned_at: Index,
    answers: u32,
    first_answer_at: f64,
}

/// State of one proxy between turns.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Grants of other proxies, and since when they are known here.
    granted: BTreeMap<Id, (Index, f64)>,
    observations: BTreeMap<Id, Observation>,
    /// The replacement has begun and the caller is carrying it out.
    replacing: bool,
}

/// Whether this proxy observes another one. All proxies come to the same result, as both ids determine it.
fn observes(own: Id, other: Id, fleet: &[Id], observers: usize) -> bool {
    let draw = |of: Id| {
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(other, 1);
        hasher.write_u64(of);
        hasher.finish()
    };
    let own_draw = draw(own);
    fleet.iter().filter(|&&of| of != other && draw(of) < own_draw).count() < observers
}

impl Holder {
    /// The returned proxies that this one observes; each has to be probed at its caller address.
    pub fn to_probe(&self, availability: &Availability, own: &LocalState) -> Vec<(Id, SocketAddr)> {
        let observers = OBSERVERS_PER_WITNESS * usize::from(availability.grants.witnesses().max(1));
        let returned =
            availability.grants.unavailabilities().filter_map(|(id, unavailability)| match unavailability {
                Unavailability::Returned { caller_address, seen_by, .. } if !seen_by.contains(&own.id) => {
                    Some((id, *caller_address))
                }
                _ => None,
            });
        returned.filter(|(id, _)| *id != own.id && observes(own.id, *id, &own.fleet, observers)).collect()
    }

    /// Records an answer from a caller address.
    pub fn probe_answered(&mut self, now: f64, availability: &Availability, caller_address: SocketAddr) {
        for (id, unavailability) in availability.grants.unavailabilities() {
            if let Unavailability::Returned { since, caller_address: at, .. } = unavailability
                && *at == caller_address
            {
                let observation = self.observations.entry(id).or_default();
                if observation.returned_at != *since {
                    *observation = Observation { returned_at: *since, answers: 0, first_answer_at: now };
                }
                observation.answers += 1;
            }
        }
    }

    /// Returns the commands that this proxy wants decided now, and once its replacement if it has to leave.
    /// `judge` says whether the wave after the given one may open.
    pub fn turn(
        &mut self,
        now: f64,
        availability: &Availability,
        own: &LocalState,
        terms: &HolderTerms,
        judge: impl FnMut(Index, usize) -> Judgement,
    ) -> (Vec<Command>, Option<Replacement>) {
        let mut wanted = Vec::new();
        self.own_commands(availability, own, &mut wanted);
        self.commands_about_others(now, availability, own, terms, &mut wanted);
        if own.is_leader {
            leader_commands(availability, own, terms, judge, &mut wanted);
        }
        let replacement = self.next_replacement(availability, own);
        (wanted, replacement)
    }

    /// The commands about this proxy itself.
    fn own_commands(&self, availability: &Availability, own: &LocalState, wanted: &mut Vec<Command>) {
        let proxy = own.id;
        if let Some(release) =
            availability.releases.current().filter(|release| release.phase == Phase::Staged)
            && let Some((_, check_result)) = own.staged.as_ref().filter(|(sum, _)| *sum == release.sum)
        {
            let release_number = release.number;
            let reported = (release.ready.contains(&proxy), release.rejected.get(&proxy));
            match check_result {
                Ok(()) if !reported.0 => {
                    wanted
                        .push(Command::Releases(releases::Command::Ready { release: release_number, proxy }));
                }
                Err(why) if reported.1 != Some(why) => {
                    let why = why.clone();
                    wanted.push(Command::Releases(releases::Command::Rejected {
                        release: release_number,
                        proxy,
                        why,
                    }));
                }
                _ => {}
            }
        }
        if let Some((release, why)) = &own.failed
            && let Some(current) =
                availability.releases.current().filter(|current| current.number == *release)
            && matches!(current.phase, Phase::Running { .. })
        {
            let (release, why) = (*release, why.clone());
            wanted.push(Command::Releases(releases::Command::Halt { release, why }));
        }
        match availability.grants.unavailability(proxy) {
            None => {
                if let Some((release, _)) =
                    self.pending_change(availability, own).filter(|_| availability.may_request(proxy))
                {
                    let release = release.number;
                    wanted.push(Command::Grants(grants::Command::Request { proxy, release }));
                }
            }
            Some(Unavailability::Granted { grant, .. }) => {
                wanted.push(Command::Grants(grants::Command::Begin { proxy, grant: *grant }));
            }
            // This process has not begun a replacement, so it is the new one.
            Some(Unavailability::Offline { .. })
                if !self.replacing && self.pending_change(availability, own).is_none() =>
            {
                let (running_release, caller_address) = (own.running_release, own.caller_address);
                wanted.push(Command::Grants(grants::Command::Returned {
                    proxy,
                    running_release,
                    caller_address,
                }));
            }
            _ => {}
        }
    }

    /// The release that it still has to change to, or from, by the decisions.
    fn pending_change<'a>(
        &self,
        availability: &'a Availability,
        own: &LocalState,
    ) -> Option<(&'a Release, bool)> {
        let failed = own.failed.as_ref().map(|(release, _)| *release);
        let next = availability.releases.next_change(own.id);
        next.filter(|(release, forward)| {
            *forward != (own.running_release == release.number) && failed != Some(release.number)
        })
    }

    /// The replacement to begin, once.
    fn next_replacement(&mut self, availability: &Availability, own: &LocalState) -> Option<Replacement> {
        let is_offline =
            matches!(availability.grants.unavailability(own.id), Some(Unavailability::Offline { .. }));
        if !is_offline {
            self.replacing = false;
        }
        let (release, forward) =
            self.pending_change(availability, own).filter(|_| is_offline && !self.replacing)?;
        self.replacing = true;
        Some(Replacement { release: release.number, kind: release.kind, sum: release.sum, forward })
    }

    /// The replacement failed: the process goes on as it is.
    pub fn replacement_failed(&mut self) {
        self.replacing = false;
    }

    /// The commands about the proxies that this one observes.
    fn commands_about_others(
        &mut self,
        now: f64,
        availability: &Availability,
        own: &LocalState,
        terms: &HolderTerms,
        wanted: &mut Vec<Command>,
    ) {
        let observers = OBSERVERS_PER_WITNESS * usize::from(availability.grants.witnesses().max(1));
        let is_observed = |id: Id| id != own.id && observes(own.id, id, &own.fleet, observers);
        for &proxy in own.fleet.iter().filter(|&&id| is_observed(id)) {
            let witness = own.id;
            let is_suspected = availability.grants.suspected_by(proxy).any(|by| by == witness);
            let is_unreachable = own.unreachable.contains(&proxy);
            if is_unreachable && !is_suspected && availability.grants.written_off(proxy).is_none() {
                wanted.push(Command::Grants(grants::Command::Suspected { proxy, witness }));
            } else if !is_unreachable && is_suspected {
                wanted.push(Command::Grants(grants::Command::SuspicionCleared { proxy, witness }));
            }
        }
        let mut granted = BTreeMap::new();
        for (id, unavailability) in availability.grants.unavailabilities().filter(|(id, _)| is_observed(*id))
        {
            match unavailability {
                Unavailability::Granted { grant, .. } => {
                    let known = self.granted.get(&id).filter(|(of, _)| of == grant);
                    let since = known.map_or(now, |(_, since)| *since);
                    granted.insert(id, (*grant, since));
                    if now - since > REVOKE_AFTER_LEASES * terms.lease {
                        wanted.push(Command::Grants(grants::Command::Revoke { proxy: id, grant: *grant }));
                    }
                }
                Unavailability::Returned { since, seen_by, .. } if !seen_by.contains(&own.id) => {
                    let is_healthy = self.observations.get(&id).is_some_and(|observation| {
                        observation.returned_at == *since
                            && observation.answers >= REQUIRED_ANSWERS
                            && now - observation.first_answer_at >= terms.healthy_for
                    });
                    if is_healthy {
                        wanted.push(Command::Grants(grants::Command::Healthy { proxy: id, witness: own.id }));
                    }
                }
                _ => {}
            }
        }
        self.granted = granted;
        self.observations.retain(|id, _| availability.grants.unavailability(*id).is_some());
    }
}

/// The leader's commands: it aligns the budget with the settings and opens waves.
fn leader_commands(
    availability: &Availability,
    own: &LocalState,
    terms: &HolderTerms,
    mut judge: impl FnMut(Index, usize) -> Judgement,
    wanted: &mut Vec<Command>,
) {
    let max_unavailable = crate::drains::max_unavailable(terms.max_unavailable_fraction, own.fleet.len());
    let witnesses = terms.witnesses;
    if (availability.grants.max_unavailable(), availability.grants.witnesses())
        != (max_unavailable, witnesses)
    {
        wanted.push(Command::Grants(grants::Command::Budget { max_unavailable, witnesses }));
    }
    let Some((release, wave)) = availability.releases.next_wave() else { return };
    match judge(release, usize::from(wave) - 1) {
        Judgement::Go => wanted.push(Command::Releases(releases::Command::OpenWave { release, wave })),
        Judgement::Halt { why } => wanted.push(Command::Releases(releases::Command::Halt { release, why })),
        Judgement::Wait => {}
    }
}
