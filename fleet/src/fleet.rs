//! All limits at one member: whose part is how large, whom to ask when it does not do, what to answer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::ledger::{Id, Ledger, LedgerStatus, LoanTerms};
use crate::wire::{self, LimitId, MOST_WORDS, Word};

/// Limits at most: a flood of names cannot grow the books.
const MOST_LIMITS: usize = 512;
/// Lenders that are asked at once for one limit.
const ASKED: usize = 3;
/// Members that are told at once, in a beat, that this one has started.
const TOLD: usize = 16;
/// What is missed is asked for after this part of a beat at the latest, not only at the next one.
const SOON: f64 = 0.1;

/// What is agreed for limits of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetTerms {
    pub loans: LoanTerms,
    /// How often a member looks at what it needs.
    pub tick_interval: f64,
}

/// What is to be told to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: Id,
    pub bytes: Vec<u8>,
}

/// What was done, and what was dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    #[serde(rename = "asked")]
    pub requested: u64,
    pub lent: u64,
    pub borrowed: u64,
    /// Of no form, of a limit or a member that is not known here, more than the limit, not asked for or too
    /// late.
    pub malformed: u64,
    pub unknown: u64,
    #[serde(rename = "over")]
    pub over_limit: u64,
    #[serde(rename = "stray")]
    pub unexpected: u64,
    /// Set-ups that found no permit.
    #[serde(rename = "missed")]
    pub without_permit: u64,
}

/// Where this member stands with a limit, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitState {
    pub name: String,
    /// Set-ups in any window, over all members, and the window.
    pub permits: usize,
    pub window: f64,
    pub ledger: LedgerStatus,
}

struct Limit {
    name: String,
    permits: usize,
    window: f64,
    ledger: Ledger,
    /// All members: the first of them have one permit more where the limit does not go up evenly.
    ranks: Vec<Id>,
    /// What lenders last said they could still lend, and when.
    left: BTreeMap<Id, (usize, f64)>,
    /// Withdrawn then: forgotten when nothing of it can be lent any more.
    withdrawn: Option<f64>,
}

impl Limit {
    fn part(&self, member: Id) -> usize {
        self.ranks.iter().position(|&id| id == member).map_or(0, |rank| self.part_at(rank))
    }

    fn part_at(&self, rank: usize) -> usize {
        let members = self.ranks.len().max(1);
        self.permits / members + usize::from(rank < self.permits % members)
    }
}

/// The limits of the fleet at one member.
pub struct Fleet {
    id: Id,
    /// This process, drawn by chance.
    life: u64,
    terms: FleetTerms,
    members: Vec<Id>,
    /// Who may still use what an earlier life of this member lent.
    unclear: BTreeSet<Id>,
    /// When all others had let go of that.
    cleared: Option<f64>,
    limits: BTreeMap<LimitId, Limit>,
    chance: Pcg64Mcg,
    began: f64,
    beat_at: f64,
    out: VecDeque<Outgoing>,
    counts: Counts,
}

/// The number that a limit goes by between members.
pub fn limit_id(name: &str) -> LimitId {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

impl Fleet {
    /// `members` are all that belong to the fleet, this one too: the same at each of them. Start it with the
    /// process, since it waits out what an earlier life of this member may have lent.
    pub fn new(
        id: Id,
        members: impl IntoIterator<Item = Id>,
        terms: FleetTerms,
        seed: u64,
        now: f64,
    ) -> Self {
        let mut members: Vec<Id> = members.into_iter().collect();
        members.sort_unstable();
        members.dedup();
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let beat_at = now + terms.tick_interval * chance.random::<f64>();
        let unclear: BTreeSet<Id> = members.iter().copied().filter(|&member| member != id).collect();
        Self {
            id,
            life: chance.random(),
            terms,
            cleared: unclear.is_empty().then_some(now),
            unclear,
            members,
            limits: BTreeMap::new(),
            chance,
            began: now,
            beat_at,
            out: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Who belongs to the fleet has changed. Until all members have been told, their parts may not go up.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Id>) {
        let former = std::mem::replace(&mut self.members, members.into_iter().collect());
        self.members.sort_unstable();
        self.members.dedup();
        // Who has come may hold what an earlier life of this one lent under another roster.
        let come = self.members.iter().filter(|&member| former.binary_search(member).is_err());
        self.unclear.extend(come.filter(|&&member| member != self.id));
        let members = self.members.clone();
        for (&id, limit) in &mut self.limits {
            limit.ranks = ranks(&members, id);
            limit.ledger.set_part(limit.part(self.id));
        }
    }

    /// A limit for the whole fleet: so many set-ups a second, whole ones in each window. False where there
    /// are too many.
    pub fn set_limit(&mut self, name: &str, rate: f64, window: f64) -> bool {
        let id = limit_id(name);
        let permits = (rate.max(0.0) * window / 1000.0).min(f64::from(u16::MAX)) as usize;
        if !self.limits.contains_key(&id) && self.limits.len() >= MOST_LIMITS {
            return false;
        }
        let (loans, began, serial) = (self.terms.loans, self.began, self.chance.random::<u64>() >> 1);
        let limit = self.limits.entry(id).or_insert_with(|| Limit {
            name: name.to_owned(),
            permits,
            window,
            ledger: Ledger::new(loans, window, began, serial),
            ranks: ranks(&self.members, id),
            left: BTreeMap::new(),
            withdrawn: None,
        });
        limit.withdrawn = None;
        if let Some(at) = self.cleared {
            limit.ledger.cleared(at);
        }
        if limit.permits != permits || limit.ledger.part() == 0 {
            limit.permits = permits;
            limit.ledger.set_part(limit.part(self.id));
        }
        true
    }

    /// The limit holds no more, as when its server has gone.
    pub fn remove_limit(&mut self, now: f64, name: &str) {
        if let Some(limit) = self.limits.get_mut(&limit_id(name)) {
            limit.withdrawn.get_or_insert(now);
        }
    }

    /// How many set-ups may go now; none told where there is no such limit.
    pub fn free_permits(&mut self, now: f64, name: &str) -> Option<usize> {
        let limit = self.limits.get_mut(&limit_id(name)).filter(|limit| limit.withdrawn.is_none())?;
        Some(limit.ledger.free_permits(now))
    }

    /// Whether this member knows for sure what it lent before it started.
    pub fn is_recovered(&self, now: f64, name: &str) -> bool {
        self.limits.get(&limit_id(name)).is_some_and(|limit| limit.ledger.is_recovered(now))
    }

    /// A set-up goes. False where none may.
    pub fn try_acquire(&mut self, now: f64, name: &str) -> bool {
        self.limits.get_mut(&limit_id(name)).is_none_or(|limit| limit.ledger.try_acquire(now))
    }

    /// So many set-ups more are held, or went elsewhere, for want of a permit; each is told once.
    pub fn record_shortage(&mut self, now: f64, name: &str, count: usize) {
        let Some(limit) = self.limits.get_mut(&limit_id(name)).filter(|_| count > 0) else { return };
        limit.ledger.record_shortage(now, count);
        self.counts.without_permit += count as u64;
        let soon = now + SOON * self.terms.tick_interval * self.chance.random::<f64>();
        self.beat_at = self.beat_at.min(soon);
    }

    /// When [`Fleet::turn`] is wanted, or more set-ups may go.
    pub fn due(&self, now: f64) -> f64 {
        self.limits.values().map(|limit| limit.ledger.due(now)).fold(self.beat_at, f64::min)
    }

    /// The next message to another member.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.out.pop_front()
    }

    /// Does what has fallen due: gives back what is not needed, asks for what is.
    pub fn turn(&mut self, now: f64) {
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + self.terms.tick_interval * (0.9 + 0.2 * self.chance.random::<f64>());
        let known =
            self.terms.loans.lease + self.limits.values().map(|l| l.ledger.rest()).fold(0.0, f64::max);
        self.limits.retain(|_, limit| limit.withdrawn.is_none_or(|at| now - at < known));
        let mut words: BTreeMap<Id, Vec<Word>> = BTreeMap::new();
        let lease = self.terms.loans.lease;
        for (&id, limit) in self.limits.iter_mut().filter(|(_, limit)| limit.withdrawn.is_none()) {
            for lender in limit.ledger.spare(now) {
                if let Some(serial) = limit.ledger.give_back(now, lender) {
                    words.entry(lender).or_default().push(Word::Return { limit: id, serial });
                }
            }
            for (lender, serial) in limit.ledger.ended(now) {
                words.entry(lender).or_default().push(Word::Return { limit: id, serial });
            }
            let need = limit.ledger.need(now);
            let mut asks: Vec<(Id, usize)> = limit.ledger.ending(now);
            asks.retain(|&(_, count)| need + count as isize > 0);
            if need > 0 {
                limit.left.retain(|_, (_, at)| now - *at < 0.5 * lease);
                let mut lenders: Vec<(bool, u32, Id)> = Vec::new();
                for (rank, &lender) in
                    limit.ranks.iter().enumerate().filter(|(_, lender)| **lender != self.id)
                {
                    // Those that said they can, then those of whom nothing is known, in an order drawn by
                    // chance.
                    let left = limit.left.get(&lender).map(|&(left, _)| left);
                    if limit.part_at(rank) > 0 && left != Some(0) && !limit.ledger.awaits(lender) {
                        lenders.push((left.is_none(), self.chance.random(), lender));
                    }
                }
                lenders.sort_unstable();
                lenders.truncate(ASKED);
                let each = (need as usize).div_ceil(lenders.len().max(1));
                // A later loan takes the place of an earlier one of the same lender, so that is asked for
                // with it.
                for (_, _, lender) in lenders {
                    asks.retain(|(other, _)| *other != lender);
                    asks.push((lender, limit.ledger.lent_by(lender, now) + each));
                }
            }
            let bare = limit.ledger.is_bare(now);
            let again = limit.ledger.unanswered(now, 0.9 * self.terms.tick_interval);
            for (lender, serial, want) in again {
                let want = want as u16;
                words.entry(lender).or_default().push(Word::Ask { limit: id, serial, want, bare });
            }
            for (lender, want) in asks {
                let want = if limit.ledger.is_mute(lender) { 0 } else { want.min(limit.permits) };
                let serial = limit.ledger.ask(now, lender, want);
                self.counts.requested += 1;
                let want = want as u16;
                words.entry(lender).or_default().push(Word::Ask { limit: id, serial, want, bare });
            }
        }
        // Once all that it may have lent has lapsed nobody need let go of it.
        if self.cleared.is_none() && now < self.began + lease {
            let mut unclear: Vec<Id> = self.unclear.iter().copied().collect();
            let (told, _) = unclear.partial_shuffle(&mut self.chance, TOLD);
            for &mut to in told {
                words.entry(to).or_default().insert(0, Word::Started);
            }
        }
        for (to, words) in words {
            for words in words.chunks(MOST_WORDS) {
                self.out.push_back(Outgoing { to, bytes: wire::write(self.life, words) });
            }
        }
    }

    /// Another member's message. Anything may stand in it.
    pub fn receive(&mut self, now: f64, from: Id, bytes: &[u8]) {
        let Ok((life, words)) = wire::read(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        if self.members.binary_search(&from).is_err() {
            self.counts.unknown += words.len() as u64;
            return;
        }
        let mut answers = Vec::new();
        for word in words {
            let id = match word {
                Word::Ask { limit, .. } | Word::Grant { limit, .. } | Word::Return { limit, .. } => limit,
                Word::Started => {
                    self.limits.values_mut().for_each(|limit| limit.ledger.forsake(from));
                    answers.push(Word::Cleared { life });
                    continue;
                }
                Word::Cleared { life } => {
                    if life == self.life {
                        self.let_go(now, from);
                    }
                    continue;
                }
            };
            let Some(limit) = self.limits.get_mut(&id) else {
                self.counts.unknown += 1;
                continue;
            };
            match word {
                Word::Ask { serial, want, bare, .. } => {
                    let want = usize::from(want).min(limit.permits);
                    let (count, left) = limit.ledger.asked(now, (from, life), serial, want, bare);
                    self.counts.lent += count as u64;
                    let (count, left) = (count as u16, left as u16);
                    let lease = self.terms.loans.lease as u32;
                    answers.push(Word::Grant { limit: id, serial, count, left, lease });
                }
                Word::Grant { serial, count, left, lease, .. } => {
                    let count = usize::from(count);
                    if count > limit.part(from) {
                        self.counts.over_limit += 1;
                    } else if limit.ledger.granted(now, from, serial, count, f64::from(lease)) {
                        self.counts.borrowed += count as u64;
                        limit.left.insert(from, (usize::from(left), now));
                    } else {
                        self.counts.unexpected += 1;
                    }
                }
                Word::Return { serial, .. } => limit.ledger.returned(now, (from, life), serial),
                Word::Started | Word::Cleared { .. } => {}
            }
        }
        if !answers.is_empty() {
            self.out.push_back(Outgoing { to: from, bytes: wire::write(self.life, &answers) });
        }
    }

    /// A member uses nothing any more that an earlier life of this one lent.
    fn let_go(&mut self, now: f64, member: Id) {
        if self.unclear.remove(&member) && self.unclear.is_empty() {
            self.cleared = Some(now);
            self.limits.values_mut().for_each(|limit| limit.ledger.cleared(now));
        }
    }

    pub fn limit_states(&mut self, now: f64) -> Vec<LimitState> {
        let held = self.limits.values_mut().filter(|limit| limit.withdrawn.is_none());
        let state = |limit: &mut Limit| LimitState {
            name: limit.name.clone(),
            permits: limit.permits,
            window: limit.window,
            ledger: limit.ledger.status(now),
        };
        held.map(state).collect()
    }
}

/// The members in an order of their own for each limit, so that the odd permits of many limits do not all
/// fall to the same ones.
fn ranks(members: &[Id], limit: LimitId) -> Vec<Id> {
    let drawn = |id: Id| {
        let mut hasher = SipHasher13::new_with_keys(limit, id);
        hasher.write_u64(id);
        hasher.finish()
    };
    let mut ranks = members.to_vec();
    ranks.sort_unstable_by_key(|&id| (drawn(id), id));
    ranks
}
