//! Border proxies that are out: who may go, who is away, who is back but not yet seen to be well. Planned and
//! unplanned count in one sum.
//!
//! | state | how it comes about | counts |
//! | --- | --- | --- |
//! | in | at first; or seen well again | no |
//! | granted | it asked while the sum allowed one more | yes |
//! | out | it began, by a decision that it waits for before it does | yes |
//! | back | it says that it takes calls again | yes, until enough others have seen it do so |
//! | missed | enough others say that it does not answer | yes, until enough say that it does |
//!
//! A holder begins only when the decision that it began is here, so that one which was cut off, paused, or
//! whose grant was taken back meanwhile never goes: no clock is trusted. A grant that is not begun is taken
//! back by whoever notices ([`Command::Forfeit`]); one that never comes back holds its place until an
//! operator writes it off.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use agree::{Id, Index};
use serde::{Deserialize, Serialize};

use crate::drains::MAX_REASON_BYTES;

/// Proxies that are kept in the books at most.
pub const MOST_PROXIES: usize = 4096;

/// What may be asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Proxies that may be out at once, and how many others have to see one well before it is in again.
    Budget {
        max_unavailable: u16,
        witnesses: u16,
    },
    /// Please let me out, for that release.
    Request {
        proxy: Id,
        release: Index,
    },
    /// I go now, by the grant of that decision.
    Begin {
        proxy: Id,
        grant: Index,
    },
    /// It did not go in time.
    Revoke {
        proxy: Id,
        grant: Index,
    },
    /// I take calls again, at that address, and run that release; 0 for none.
    Returned {
        proxy: Id,
        running_release: Index,
        caller_address: SocketAddr,
    },
    /// I, another, have seen it take calls since it came back.
    Healthy {
        proxy: Id,
        witness: Id,
    },
    /// I, another, hear nothing of it; or do again.
    Suspected {
        proxy: Id,
        witness: Id,
    },
    SuspicionCleared {
        proxy: Id,
        witness: Id,
    },
    /// It never comes back: an operator's word.
    WriteOff {
        proxy: Id,
        why: String,
    },
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Done; a grant is known by the number of its decision.
    Done,
    /// So many are out, and no more may be.
    Full {
        unavailable: u16,
        max_unavailable: u16,
    },
    /// It makes no difference as things are.
    NoEffect,
    Invalid,
}

/// How a proxy that is out came to be so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailability {
    Granted { grant: Index, release: Index },
    Offline { since: Index },
    Returned { since: Index, running_release: Index, caller_address: SocketAddr, seen_by: BTreeSet<Id> },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Standing {
    away: Option<Unavailability>,
    /// Who hears nothing of it.
    suspected_by: BTreeSet<Id>,
    written_off: Option<String>,
}

/// All proxies that are out, or that somebody misses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    max_unavailable: u16,
    witnesses: u16,
    proxies: BTreeMap<Id, Standing>,
    /// Seen well by the latest decision, with the release that it runs.
    #[serde(skip)]
    returned: Option<(Id, Index)>,
}

impl Grants {
    /// Who was seen well again by the latest decision, and which release it runs.
    pub(crate) fn returned(&mut self) -> Option<(Id, Index)> {
        self.returned.take()
    }

    /// Takes back what was granted for a release and has not begun.
    pub(crate) fn recall(&mut self, release: Index) {
        for standing in self.proxies.values_mut() {
            standing.away.take_if(
                |away| matches!(away, Unavailability::Granted { release: of, .. } if *of == release),
            );
        }
        self.proxies.retain(|_, standing| *standing != Standing::default());
    }

    /// All that are away by their own asking.
    pub fn unavailabilities(&self) -> impl Iterator<Item = (Id, &Unavailability)> {
        self.proxies.iter().filter_map(|(&id, standing)| Some((id, standing.away.as_ref()?)))
    }

    pub fn max_unavailable(&self) -> u16 {
        self.max_unavailable
    }

    pub fn witnesses(&self) -> u16 {
        self.witnesses
    }

    /// How a proxy is away by its own asking.
    pub fn unavailability(&self, proxy: Id) -> Option<&Unavailability> {
        self.proxies.get(&proxy)?.away.as_ref()
    }

    /// Whether a proxy takes up a place, and those that do.
    pub fn counts_as_unavailable(&self, proxy: Id) -> bool {
        self.proxies.get(&proxy).is_some_and(|standing| self.is_out(standing))
    }

    pub fn unavailable(&self) -> impl Iterator<Item = Id> {
        self.proxies.iter().filter(|(_, standing)| self.is_out(standing)).map(|(&id, _)| id)
    }

    /// Who says that nothing is heard of it.
    pub fn suspected_by(&self, proxy: Id) -> impl Iterator<Item = Id> {
        self.proxies.get(&proxy).into_iter().flat_map(|standing| standing.suspected_by.iter().copied())
    }

    pub fn written_off(&self, proxy: Id) -> Option<&str> {
        self.proxies.get(&proxy)?.written_off.as_deref()
    }

    fn is_missed(&self, standing: &Standing) -> bool {
        !standing.suspected_by.is_empty() && standing.suspected_by.len() >= usize::from(self.witnesses)
    }

    fn is_out(&self, standing: &Standing) -> bool {
        standing.written_off.is_none() && (standing.away.is_some() || self.is_missed(standing))
    }

    fn full(&self, one_more: u16) -> Option<Verdict> {
        let unavailable = self.unavailable().count() as u16;
        (unavailable + one_more > self.max_unavailable)
            .then_some(Verdict::Full { unavailable, max_unavailable: self.max_unavailable })
    }

    pub fn decide(&mut self, decided: Index, command: Command) -> Verdict {
        let known = |proxy| self.proxies.contains_key(&proxy);
        let new = match &command {
            Command::Request { proxy, .. } | Command::Suspected { proxy, .. } => !known(*proxy),
            _ => false,
        };
        if new && self.proxies.len() >= MOST_PROXIES {
            return Verdict::Invalid;
        }
        let verdict = self.carry_out(decided, command);
        self.proxies.retain(|_, standing| *standing != Standing::default());
        verdict
    }

    fn carry_out(&mut self, decided: Index, command: Command) -> Verdict {
        match command {
            // A smaller budget calls nobody back: what is out comes back, and nothing goes until the sum
            // fits.
            Command::Budget { max_unavailable, witnesses } if max_unavailable > 0 && witnesses > 0 => {
                let same = (self.max_unavailable, self.witnesses) == (max_unavailable, witnesses);
                (self.max_unavailable, self.witnesses) = (max_unavailable, witnesses);
                if same { Verdict::NoEffect } else { Verdict::Done }
            }
            Command::Budget { .. } => Verdict::Invalid,
            Command::Request { proxy, release } => {
                let standing = self.proxies.get(&proxy).cloned().unwrap_or_default();
                if standing.away.is_some() || standing.written_off.is_some() {
                    return Verdict::NoEffect;
                }
                // One that is missed already takes up its place.
                let one_more = u16::from(!self.is_out(&standing));
                if let Some(full) = self.full(one_more) {
                    return full;
                }
                self.proxies.entry(proxy).or_default().away =
                    Some(Unavailability::Granted { grant: decided, release });
                Verdict::Done
            }
            Command::Begin { proxy, grant } => self.turn(proxy, |away| match away {
                Some(Unavailability::Granted { grant: held, .. }) if *held == grant => {
                    Some(Some(Unavailability::Offline { since: decided }))
                }
                _ => None,
            }),
            Command::Revoke { proxy, grant } => self.turn(proxy, |away| match away {
                Some(Unavailability::Granted { grant: held, .. }) if *held == grant => Some(None),
                _ => None,
            }),
            Command::Returned { proxy, running_release, caller_address } => {
                // Whoever was written off and comes all the same is to be seen well like any other.
                let standing = self.proxies.entry(proxy).or_default();
                let back = Unavailability::Returned {
                    since: decided,
                    running_release,
                    caller_address,
                    seen_by: BTreeSet::new(),
                };
                if standing.written_off.take().is_some() {
                    standing.away = Some(back);
                    return Verdict::Done;
                }
                self.turn(proxy, |away| match away {
                    Some(Unavailability::Offline { .. }) => Some(Some(back)),
                    _ => None,
                })
            }
            Command::Healthy { proxy, witness } => {
                let enough = usize::from(self.witnesses);
                let away = self.proxies.get_mut(&proxy).and_then(|standing| standing.away.as_mut());
                let Some(Unavailability::Returned { running_release, seen_by, .. }) =
                    away.filter(|_| witness != proxy)
                else {
                    return Verdict::NoEffect;
                };
                if !seen_by.insert(witness) {
                    return Verdict::NoEffect;
                }
                if seen_by.len() >= enough {
                    self.returned = Some((proxy, *running_release));
                    return self.turn(proxy, |_| Some(None));
                }
                Verdict::Done
            }
            Command::Suspected { proxy, witness } if witness != proxy => {
                let fresh = self.proxies.entry(proxy).or_default().suspected_by.insert(witness);
                if fresh { Verdict::Done } else { Verdict::NoEffect }
            }
            Command::Suspected { .. } => Verdict::Invalid,
            Command::SuspicionCleared { proxy, witness } => {
                let gone = self.proxies.get_mut(&proxy).is_some_and(|of| of.suspected_by.remove(&witness));
                if gone { Verdict::Done } else { Verdict::NoEffect }
            }
            Command::WriteOff { proxy, why } => {
                if why.is_empty() || why.len() > MAX_REASON_BYTES {
                    return Verdict::Invalid;
                }
                match self.proxies.get_mut(&proxy).filter(|of| of.written_off.is_none()) {
                    Some(standing) => {
                        (standing.away, standing.written_off) = (None, Some(why));
                        Verdict::Done
                    }
                    None => Verdict::NoEffect,
                }
            }
        }
    }

    /// Moves how a proxy is away to what `next` says, if anything.
    fn turn(
        &mut self,
        proxy: Id,
        next: impl FnOnce(&Option<Unavailability>) -> Option<Option<Unavailability>>,
    ) -> Verdict {
        let standing = self.proxies.entry(proxy).or_default();
        match next(&standing.away) {
            Some(away) => {
                standing.away = away;
                Verdict::Done
            }
            None => Verdict::NoEffect,
        }
    }
}
