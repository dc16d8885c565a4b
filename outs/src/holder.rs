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
const FORFEIT_LEASES: f64 = 1.0;
/// Of others so many times the witnesses that are wanted look at one: some of them may be cut off from it.
const LOOKERS: usize = 2;
/// One that is back has to answer at its callers' socket so many times in the time that it has to be well.
const ANSWERS: u32 = 4;

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
struct Seen {
    back: Index,
    answers: u32,
    first: f64,
}

/// What one proxy has in mind.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Grants of others and since when they are known here.
    granted: BTreeMap<Id, (Index, f64)>,
    seen: BTreeMap<Id, Seen>,
    /// It began; the shell is at it.
    going: bool,
}

/// Whether this proxy is among those that look at another: the same few at all, drawn by both.
fn looks(own: Id, other: Id, fleet: &[Id], lookers: usize) -> bool {
    let drawn = |of: Id| {
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(other, 1);
        hasher.write_u64(of);
        hasher.finish()
    };
    let mine = drawn(own);
    fleet.iter().filter(|&&of| of != other && drawn(of) < mine).count() < lookers
}

impl Holder {
    /// Those that are back and that this proxy looks at: each is to be asked for a sign of life at its
    /// callers' socket.
    pub fn to_probe(&self, outs: &Availability, own: &LocalState) -> Vec<(Id, SocketAddr)> {
        let lookers = LOOKERS * usize::from(outs.grants.witnesses().max(1));
        let back = outs.grants.unavailabilities().filter_map(|(id, away)| match away {
            Unavailability::Returned { caller_address, seen_by, .. } if !seen_by.contains(&own.id) => {
                Some((id, *caller_address))
            }
            _ => None,
        });
        back.filter(|(id, _)| *id != own.id && looks(own.id, *id, &own.fleet, lookers)).collect()
    }

    /// Somebody answered at that callers' socket.
    pub fn probe_answered(&mut self, now: f64, outs: &Availability, caller_address: SocketAddr) {
        for (id, away) in outs.grants.unavailabilities() {
            if let Unavailability::Returned { since, caller_address: at, .. } = away
                && *at == caller_address
            {
                let seen = self.seen.entry(id).or_default();
                if seen.back != *since {
                    *seen = Seen { back: *since, answers: 0, first: now };
                }
                seen.answers += 1;
            }
        }
    }

    /// Looks at what is decided. Gives what this proxy wants decided, and what it is to become, once.
    /// `judge` says whether the next wave may open after the one that it is asked of.
    pub fn turn(
        &mut self,
        now: f64,
        outs: &Availability,
        own: &LocalState,
        terms: &HolderTerms,
        judge: impl FnMut(Index, usize) -> Judgement,
    ) -> (Vec<Command>, Option<Replacement>) {
        let mut wanted = Vec::new();
        self.own_steps(outs, own, &mut wanted);
        self.of_others(now, outs, own, terms, &mut wanted);
        if own.is_leader {
            conduct(outs, own, terms, judge, &mut wanted);
        }
        let goes = self.goes(outs, own);
        (wanted, goes)
    }

    fn own_steps(&self, outs: &Availability, own: &LocalState, wanted: &mut Vec<Command>) {
        let proxy = own.id;
        if let Some(release) = outs.releases.current().filter(|of| of.phase == Phase::Staged)
            && let Some((_, found)) = own.staged.as_ref().filter(|(sum, _)| *sum == release.sum)
        {
            let release_is = release.number;
            let known = (release.ready.contains(&proxy), release.rejected.get(&proxy));
            match found {
                Ok(()) if !known.0 => {
                    wanted.push(Command::Releases(releases::Command::Ready { release: release_is, proxy }));
                }
                Err(why) if known.1 != Some(why) => {
                    let why = why.clone();
                    wanted.push(Command::Releases(releases::Command::Rejected {
                        release: release_is,
                        proxy,
                        why,
                    }));
                }
                _ => {}
            }
        }
        if let Some((release, why)) = &own.failed
            && let Some(of) = outs.releases.current().filter(|of| of.number == *release)
            && matches!(of.phase, Phase::Running { .. })
        {
            let (release, why) = (*release, why.clone());
            wanted.push(Command::Releases(releases::Command::Halt { release, why }));
        }
        match outs.grants.unavailability(proxy) {
            None => {
                if let Some((release, _)) = self.change(outs, own).filter(|_| outs.may_request(proxy)) {
                    let release = release.number;
                    wanted.push(Command::Grants(grants::Command::Request { proxy, release }));
                }
            }
            Some(Unavailability::Granted { grant, .. }) => {
                wanted.push(Command::Grants(grants::Command::Begin { proxy, grant: *grant }));
            }
            // This process has begun nothing: it is the one that came after.
            Some(Unavailability::Offline { .. }) if !self.going && self.change(outs, own).is_none() => {
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
    fn change<'a>(&self, outs: &'a Availability, own: &LocalState) -> Option<(&'a Release, bool)> {
        let failed = own.failed.as_ref().map(|(release, _)| *release);
        let turn = outs.releases.next_change(own.id);
        turn.filter(|(of, forward)| {
            *forward != (own.running_release == of.number) && failed != Some(of.number)
        })
    }

    fn goes(&mut self, outs: &Availability, own: &LocalState) -> Option<Replacement> {
        let out = matches!(outs.grants.unavailability(own.id), Some(Unavailability::Offline { .. }));
        if !out {
            self.going = false;
        }
        let (release, forward) = self.change(outs, own).filter(|_| out && !self.going)?;
        self.going = true;
        Some(Replacement { release: release.number, kind: release.kind, sum: release.sum, forward })
    }

    /// What it was to become it could not: it is still what it was.
    pub fn replacement_failed(&mut self) {
        self.going = false;
    }

    fn of_others(
        &mut self,
        now: f64,
        outs: &Availability,
        own: &LocalState,
        terms: &HolderTerms,
        wanted: &mut Vec<Command>,
    ) {
        let lookers = LOOKERS * usize::from(outs.grants.witnesses().max(1));
        let looked_at = |id: Id| id != own.id && looks(own.id, id, &own.fleet, lookers);
        for &proxy in own.fleet.iter().filter(|&&id| looked_at(id)) {
            let witness = own.id;
            let missed = outs.grants.suspected_by(proxy).any(|by| by == witness);
            let silent = own.unreachable.contains(&proxy);
            if silent && !missed && outs.grants.written_off(proxy).is_none() {
                wanted.push(Command::Grants(grants::Command::Suspected { proxy, witness }));
            } else if !silent && missed {
                wanted.push(Command::Grants(grants::Command::SuspicionCleared { proxy, witness }));
            }
        }
        let mut granted = BTreeMap::new();
        for (id, away) in outs.grants.unavailabilities().filter(|(id, _)| looked_at(*id)) {
            match away {
                Unavailability::Granted { grant, .. } => {
                    let known = self.granted.get(&id).filter(|(of, _)| of == grant);
                    let since = known.map_or(now, |(_, since)| *since);
                    granted.insert(id, (*grant, since));
                    if now - since > FORFEIT_LEASES * terms.lease {
                        wanted.push(Command::Grants(grants::Command::Revoke { proxy: id, grant: *grant }));
                    }
                }
                Unavailability::Returned { since, seen_by, .. } if !seen_by.contains(&own.id) => {
                    let well = self.seen.get(&id).is_some_and(|seen| {
                        seen.back == *since
                            && seen.answers >= ANSWERS
                            && now - seen.first >= terms.healthy_for
                    });
                    if well {
                        wanted.push(Command::Grants(grants::Command::Healthy { proxy: id, witness: own.id }));
                    }
                }
                _ => {}
            }
        }
        self.granted = granted;
        self.seen.retain(|id, _| outs.grants.unavailability(*id).is_some());
    }
}

/// What a leader sees to: that the budget is the settings', and that waves open.
fn conduct(
    outs: &Availability,
    own: &LocalState,
    terms: &HolderTerms,
    mut judge: impl FnMut(Index, usize) -> Judgement,
    wanted: &mut Vec<Command>,
) {
    let max_unavailable = crate::drains::max_unavailable(terms.max_unavailable_fraction, own.fleet.len());
    let witnesses = terms.witnesses;
    if (outs.grants.max_unavailable(), outs.grants.witnesses()) != (max_unavailable, witnesses) {
        wanted.push(Command::Grants(grants::Command::Budget { max_unavailable, witnesses }));
    }
    let Some((release, wave)) = outs.releases.next_wave() else { return };
    match judge(release, usize::from(wave) - 1) {
        Judgement::Go => wanted.push(Command::Releases(releases::Command::OpenWave { release, wave })),
        Judgement::Halt { why } => wanted.push(Command::Releases(releases::Command::Halt { release, why })),
        Judgement::Wait => {}
    }
}
