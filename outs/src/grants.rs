//! Unavailable border proxies: which may leave, which have left, and which have returned but are not yet
//! confirmed healthy. Planned and unplanned unavailability count against one disruption budget.
//!
//! | state | how it comes about | counts |
//! | --- | --- | --- |
//! | available | initially; or confirmed healthy again | no |
//! | granted | it requested a grant while the budget allowed one more | yes |
//! | offline | it began, by a decision that it waits for before it leaves | yes |
//! | returned | it reports that it accepts calls again | yes, until enough witnesses confirm it |
//! | suspected | enough witnesses report that it does not answer | yes, until enough report that it does |
//!
//! A holder of a grant leaves only once the decision on its own [`Command::Begin`] has reached it. So a
//! proxy that was cut off or paused, or whose grant was revoked in the meantime, never leaves, and no clock
//! has to be trusted. A grant that is not begun is revoked by any proxy that notices ([`Command::Revoke`]).
//! A proxy that never returns counts until an operator writes it off.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use agree::{Id, Index};
use serde::{Deserialize, Serialize};

use crate::drains::MAX_REASON_BYTES;

/// Most proxies with a recorded state.
pub const MAX_PROXIES: usize = 4096;

/// A command about grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// How many proxies may be unavailable at the same time, and how many witnesses have to confirm a
    /// returned one.
    Budget {
        max_unavailable: u16,
        witnesses: u16,
    },
    /// Requests a grant for the proxy to leave for a release.
    Request {
        proxy: Id,
        release: Index,
    },
    /// The proxy leaves now, by the grant with that decision index.
    Begin {
        proxy: Id,
        grant: Index,
    },
    /// Revokes a grant that was not begun in time.
    Revoke {
        proxy: Id,
        grant: Index,
    },
    /// The proxy accepts calls again at that address and runs that release; 0 for none.
    Returned {
        proxy: Id,
        running_release: Index,
        caller_address: SocketAddr,
    },
    /// The witness has seen the proxy accept calls since it returned.
    Healthy {
        proxy: Id,
        witness: Id,
    },
    /// The witness hears nothing from the proxy, or hears from it again.
    Suspected {
        proxy: Id,
        witness: Id,
    },
    SuspicionCleared {
        proxy: Id,
        witness: Id,
    },
    /// An operator states that the proxy never returns.
    WriteOff {
        proxy: Id,
        why: String,
    },
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Done. A grant is identified by the index of its decision.
    Done,
    /// This many proxies are unavailable, and no more may be.
    Full {
        unavailable: u16,
        max_unavailable: u16,
    },
    /// The command changes nothing in the current state.
    NoEffect,
    Invalid,
}

/// The planned unavailability of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unavailability {
    /// It may leave, by the grant with that decision index.
    Granted { grant: Index, release: Index },
    /// It has left, since that decision.
    Offline { since: Index },
    /// It has returned; `seen_by` are the witnesses that confirmed it.
    Returned { since: Index, running_release: Index, caller_address: SocketAddr, seen_by: BTreeSet<Id> },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ProxyState {
    unavailability: Option<Unavailability>,
    /// The witnesses that hear nothing from it.
    suspected_by: BTreeSet<Id>,
    written_off: Option<String>,
}

/// All proxies that are unavailable or that a witness suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    max_unavailable: u16,
    witnesses: u16,
    proxies: BTreeMap<Id, ProxyState>,
    /// The proxy that the latest decision confirmed as healthy, with the release that it runs.
    #[serde(skip)]
    returned: Option<(Id, Index)>,
}

impl Grants {
    /// Takes the proxy that the latest decision confirmed as healthy, with the release that it runs.
    pub(crate) fn take_returned(&mut self) -> Option<(Id, Index)> {
        self.returned.take()
    }

    /// Revokes the grants for a release that have not begun.
    pub(crate) fn revoke_unstarted(&mut self, release: Index) {
        for state in self.proxies.values_mut() {
            state.unavailability.take_if(
                |unavailability| matches!(unavailability, Unavailability::Granted { release: of, .. } if *of == release),
            );
        }
        self.proxies.retain(|_, state| *state != ProxyState::default());
    }

    /// All proxies with a planned unavailability.
    pub fn unavailabilities(&self) -> impl Iterator<Item = (Id, &Unavailability)> {
        self.proxies.iter().filter_map(|(&id, state)| Some((id, state.unavailability.as_ref()?)))
    }

    /// How many proxies may be unavailable at the same time.
    pub fn max_unavailable(&self) -> u16 {
        self.max_unavailable
    }

    /// How many witnesses have to confirm a returned proxy, or suspect a silent one.
    pub fn witnesses(&self) -> u16 {
        self.witnesses
    }

    /// A proxy's planned unavailability.
    pub fn unavailability(&self, proxy: Id) -> Option<&Unavailability> {
        self.proxies.get(&proxy)?.unavailability.as_ref()
    }

    /// Whether a proxy counts against the budget.
    pub fn counts_as_unavailable(&self, proxy: Id) -> bool {
        self.proxies.get(&proxy).is_some_and(|state| self.takes_a_place(state))
    }

    /// All proxies that count against the budget.
    pub fn unavailable(&self) -> impl Iterator<Item = Id> {
        self.proxies.iter().filter(|(_, state)| self.takes_a_place(state)).map(|(&id, _)| id)
    }

    /// The witnesses that hear nothing from a proxy.
    pub fn suspected_by(&self, proxy: Id) -> impl Iterator<Item = Id> {
        self.proxies.get(&proxy).into_iter().flat_map(|state| state.suspected_by.iter().copied())
    }

    /// The reason why a proxy was written off.
    pub fn written_off(&self, proxy: Id) -> Option<&str> {
        self.proxies.get(&proxy)?.written_off.as_deref()
    }

    fn is_suspected(&self, state: &ProxyState) -> bool {
        !state.suspected_by.is_empty() && state.suspected_by.len() >= usize::from(self.witnesses)
    }

    fn takes_a_place(&self, state: &ProxyState) -> bool {
        state.written_off.is_none() && (state.unavailability.is_some() || self.is_suspected(state))
    }

    /// The verdict if so many more proxies would exceed the budget.
    fn over_budget(&self, one_more: u16) -> Option<Verdict> {
        let unavailable = self.unavailable().count() as u16;
        (unavailable + one_more > self.max_unavailable)
            .then_some(Verdict::Full { unavailable, max_unavailable: self.max_unavailable })
    }

    /// Applies a command with the index of its decision.
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
            // A smaller budget recalls nobody: unavailable proxies return, and none may leave until the sum
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
                // A suspected proxy already counts.
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
                // A proxy that was written off and returns anyway has to be confirmed healthy like any
                // other.
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

    /// Changes a proxy's planned unavailability to what `next` returns, if anything.
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
