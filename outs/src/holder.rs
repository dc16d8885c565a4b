//! What one proxy does by what is decided: asks to go out when it is its turn, goes when the decision that it
//! began is here, says that it is back, witnesses that others are well or missed, and opens the next wave. No
//! I/O.
//!
//! Call [`Holder::turn`] at each beat with what is decided and what this proxy sees; it gives all that this
//! proxy wants decided now, and whether it is to go.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher as _;
use std::net::SocketAddr;

use agree::{Hash, Id, Index};

use crate::evidence::Judgement;
use crate::grants::{self, Unavailability};
use crate::releases::{self, Kind, Phase, Release};
use crate::{Availability, Command};

/// Starts in a row of a release that were not seen well, after which a proxy gives it up.
pub const MAX_STARTS: u32 = 3;
/// A grant that is not begun after so many leases is taken back by whoever notices.
const REVOKE_AFTER_LEASES: f64 = 1.0;
/// Of others so many times the witnesses that are wanted look at one: some of them may be cut off from it.
const OBSERVERS_PER_WITNESS: usize = 2;
/// One that is back has to answer at its callers' socket so many times in the time that it has to be well.
const REQUIRED_ANSWERS: u32 = 4;

/// What is agreed, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderTerms {
    /// The part of the proxies that may be out at once; one at least.
    pub max_unavailable_fraction: f64,
    pub witnesses: u16,
    /// How long one that is back has to be well.
    pub healthy_for: f64,
    pub lease: f64,
}

/// How this proxy stands.
#[derive(Clone, Debug)]
pub struct LocalState {
    pub id: Id,
    /// All of the fleet, this one too.
    pub fleet: Vec<Id>,
    /// The release that this process runs; 0 for none.
    pub running_release: Index,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Whether it leads the council.
    pub is_leader: bool,
    /// Others of which nothing is heard.
    pub unreachable: BTreeSet<Id>,
    /// The release that this proxy could not become, and why.
    pub failed: Option<(Index, String)>,
    /// Whether the staged file with that sum is here and fit, or what is wrong with it.
    pub staged: Option<(Hash, Result<(), String>)>,
}

/// What this proxy is to become.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    pub release: Index,
    pub kind: Kind,
    pub sum: Hash,
    /// To run the release, or to go back to what ran before it.
    pub forward: bool,
}

/// One that is back, as this proxy has seen it since.
#[derive(Clone, Debug, Default)]
struct Observation {
    returned_at: Index,
    answers: u32,
    first_answer_at: f64,
}

/// What one proxy has in mind.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Grants of others and since when they are known here.
    granted: BTreeMap<Id, (Index, f64)>,
    observations: BTreeMap<Id, Observation>,
    /// It began; the shell is at it.
    replacing: bool,
}

/// Whether this proxy is among those that look at another: the same few at all, drawn by both.
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
    /// Those that are back and that this proxy looks at: each is to be asked for a sign of life at its
    /// callers' socket.
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

    /// Somebody answered at that callers' socket.
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

    /// Looks at what is decided. Gives what this proxy wants decided, and what it is to become, once.
    /// `judge` says whether the next wave may open after the one that it is asked of.
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

    fn own_commands(&self, availability: &Availability, own: &LocalState, wanted: &mut Vec<Command>) {
        let proxy = own.id;
        if let Some(release) = availability.releases.current().filter(|of| of.phase == Phase::Staged)
            && let Some((_, check_result)) = own.staged.as_ref().filter(|(sum, _)| *sum == release.sum)
        {
            let release_number = release.number;
            let known = (release.ready.contains(&proxy), release.rejected.get(&proxy));
            match check_result {
                Ok(()) if !known.0 => {
                    wanted
                        .push(Command::Releases(releases::Command::Ready { release: release_number, proxy }));
                }
                Err(why) if known.1 != Some(why) => {
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
            && let Some(of) = availability.releases.current().filter(|of| of.number == *release)
            && matches!(of.phase, Phase::Running { .. })
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
            // This process has begun nothing: it is the one that came after.
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

    /// The release that it has still to change to, or from, by what is decided.
    fn pending_change<'a>(
        &self,
        availability: &'a Availability,
        own: &LocalState,
    ) -> Option<(&'a Release, bool)> {
        let failed = own.failed.as_ref().map(|(release, _)| *release);
        let next = availability.releases.next_change(own.id);
        next.filter(|(of, forward)| {
            *forward != (own.running_release == of.number) && failed != Some(of.number)
        })
    }

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

    /// What it was to become it could not: it is still what it was.
    pub fn replacement_failed(&mut self) {
        self.replacing = false;
    }

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

/// What a leader sees to: that the budget is the settings', and that waves open.
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
