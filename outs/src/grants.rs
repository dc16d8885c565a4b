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
pub const MAX_PROXIES: usize = 4096;

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
struct ProxyState {
    unavailability: Option<Unavailability>,
    /// Who hears nothing of it.
    suspected_by: BTreeSet<Id>,
    written_off: Option<String>,
}

/// All proxies that are out, or that somebody misses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    max_unavailable: u16,
    witnesses: u16,
    proxies: BTreeMap<Id, ProxyState>,
    /// Seen well by the latest decision, with the release that it runs.
    #[serde(skip)]
    returned: Option<(Id, Index)>,
}

impl Grants {
    /// Who was seen well again by the latest decision, and which release it runs.
    pub(crate) fn take_returned(&mut self) -> Option<(Id, Index)> {
        self.returned.take()
    }

    /// Takes back what was granted for a release and has not begun.
    pub(crate) fn revoke_unstarted(&mut self, release: Index) {
        for state in self.proxies.values_mut() {
            state.unavailability.take_if(
                |unavailability| matches!(unavailability, Unavailability::Granted { release: of, .. } if *of == release),
            );
        }
        self.proxies.retain(|_, state| *state != ProxyState::default());
    }

    /// All that are away by their own asking.
    pub fn unavailabilities(&self) -> impl Iterator<Item = (Id, &Unavailability)> {
        self.proxies.iter().filter_map(|(&id, state)| Some((id, state.unavailability.as_ref()?)))
    }

    pub fn max_unavailable(&self) -> u16 {
        self.max_unavailable
    }

    pub fn witnesses(&self) -> u16 {
        self.witnesses
    }

    /// How a proxy is away by its own asking.
    pub fn unavailability(&self, proxy: Id) -> Option<&Unavailability> {
        self.proxies.get(&proxy)?.unavailability.as_ref()
    }

    /// Whether a proxy takes up a place, and those that do.
    pub fn counts_as_unavailable(&self, proxy: Id) -> bool {
        self.proxies.get(&proxy).is_some_and(|state| self.takes_a_place(state))
    }

    pub fn unavailable(&self) -> impl Iterator<Item = Id> {
        self.proxies.iter().filter(|(_, state)| self.takes_a_place(state)).map(|(&id, _)| id)
    }

    /// Who says that nothing is heard of it.
    pub fn suspected_by(&self, proxy: Id) -> impl Iterator<Item = Id> {
        self.proxies.get(&proxy).into_iter().flat_map(|state| state.suspected_by.iter().copied())
    }

    pub fn written_off(&self, proxy: Id) -> Option<&str> {
        self.proxies.get(&proxy)?.written_off.as_deref()
    }

    fn is_suspected(&self, state: &ProxyState) -> bool {
        !state.suspected_by.is_empty() && state.suspected_by.len() >= usize::from(self.witnesses)
    }

    fn takes_a_place(&self, state: &ProxyState) -> bool {
        state.written_off.is_none() && (state.unavailability.is_some() || self.is_suspected(state))
    }

    fn over_budget(&self, one_more: u16) -> Option<Verdict> {
        let unavailable = self.unavailable().count() as u16;
        (unavailable + one_more > self.max_unavailable)
            .then_some(Verdict::Full { unavailable, max_unavailable: self.max_unavailable })
    }

    pub fn decide(&mut self, decision: Index, command: Command) -> Verdict {
        let is_known = |proxy| self.proxies.contains_key(&proxy);
        let adds_proxy = match &command {
            Command::Request { proxy, .. } | Command::Suspected { proxy, .. } => !is_known(*proxy),
            _ => false,
        };
        if adds_proxy && self.proxies.len() >= MAX_PROXIES {
            return Verdict::Invalid;
        }
        let verdict = self.apply(decision, command);
        self.proxies.retain(|_, state| *state != ProxyState::default());
        verdict
    }

    fn apply(&mut self, decision: Index, command: Command) -> Verdict {
        match command {
            // A smaller budget calls nobody back: what is out comes back, and nothing goes until the sum
            // fits.
            Command::Budget { max_unavailable, witnesses } if max_unavailable > 0 && witnesses > 0 => {
                let unchanged = (self.max_unavailable, self.witnesses) == (max_unavailable, witnesses);
                (self.max_unavailable, self.witnesses) = (max_unavailable, witnesses);
                if unchanged { Verdict::NoEffect } else { Verdict::Done }
            }
            Command::Budget { .. } => Verdict::Invalid,
            Command::Request { proxy, release } => {
                let state = self.proxies.get(&proxy).cloned().unwrap_or_default();
                if state.unavailability.is_some() || state.written_off.is_some() {
                    return Verdict::NoEffect;
                }
                // One that is missed already takes up its place.
                let one_more = u16::from(!self.takes_a_place(&state));
                if let Some(verdict) = self.over_budget(one_more) {
                    return verdict;
                }
                self.proxies.entry(proxy).or_default().unavailability =
                    Some(Unavailability::Granted { grant: decision, release });
                Verdict::Done
            }
            Command::Begin { proxy, grant } => {
                self.transition(proxy, |unavailability| match unavailability {
                    Some(Unavailability::Granted { grant: held_grant, .. }) if *held_grant == grant => {
                        Some(Some(Unavailability::Offline { since: decision }))
                    }
                    _ => None,
                })
            }
            Command::Revoke { proxy, grant } => {
                self.transition(proxy, |unavailability| match unavailability {
                    Some(Unavailability::Granted { grant: held_grant, .. }) if *held_grant == grant => {
                        Some(None)
                    }
                    _ => None,
                })
            }
            Command::Returned { proxy, running_release, caller_address } => {
                // Whoever was written off and comes all the same is to be seen well like any other.
                let state = self.proxies.entry(proxy).or_default();
                let returned = Unavailability::Returned {
                    since: decision,
                    running_release,
                    caller_address,
                    seen_by: BTreeSet::new(),
                };
                if state.written_off.take().is_some() {
                    state.unavailability = Some(returned);
                    return Verdict::Done;
                }
                self.transition(proxy, |unavailability| match unavailability {
                    Some(Unavailability::Offline { .. }) => Some(Some(returned)),
                    _ => None,
                })
            }
            Command::Healthy { proxy, witness } => {
                let required = usize::from(self.witnesses);
                let unavailability =
                    self.proxies.get_mut(&proxy).and_then(|state| state.unavailability.as_mut());
                let Some(Unavailability::Returned { running_release, seen_by, .. }) =
                    unavailability.filter(|_| witness != proxy)
                else {
                    return Verdict::NoEffect;
                };
                if !seen_by.insert(witness) {
                    return Verdict::NoEffect;
                }
                if seen_by.len() >= required {
                    self.returned = Some((proxy, *running_release));
                    return self.transition(proxy, |_| Some(None));
                }
                Verdict::Done
            }
            Command::Suspected { proxy, witness } if witness != proxy => {
                let is_new = self.proxies.entry(proxy).or_default().suspected_by.insert(witness);
                if is_new { Verdict::Done } else { Verdict::NoEffect }
            }
            Command::Suspected { .. } => Verdict::Invalid,
            Command::SuspicionCleared { proxy, witness } => {
                let was_suspected =
                    self.proxies.get_mut(&proxy).is_some_and(|state| state.suspected_by.remove(&witness));
                if was_suspected { Verdict::Done } else { Verdict::NoEffect }
            }
            Command::WriteOff { proxy, why } => {
                if why.is_empty() || why.len() > MAX_REASON_BYTES {
                    return Verdict::Invalid;
                }
                match self.proxies.get_mut(&proxy).filter(|state| state.written_off.is_none()) {
                    Some(state) => {
                        (state.unavailability, state.written_off) = (None, Some(why));
                        Verdict::Done
                    }
                    None => Verdict::NoEffect,
                }
            }
        }
    }

    /// Moves how a proxy is away to what `next` says, if anything.
    fn transition(
        &mut self,
        proxy: Id,
        next: impl FnOnce(&Option<Unavailability>) -> Option<Option<Unavailability>>,
    ) -> Verdict {
        let state = self.proxies.entry(proxy).or_default();
        match next(&state.unavailability) {
            Some(unavailability) => {
                state.unavailability = unavailability;
                Verdict::Done
            }
            None => Verdict::NoEffect,
        }
    }
}
