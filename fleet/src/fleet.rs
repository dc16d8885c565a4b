//! All limits at one member: whose part is how large, whom to ask when it does not do, what to answer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::ledger::{Id, Ledger, LedgerStatus, LoanTerms};
use crate::wire::{self, LimitId, MAX_MESSAGES, Message};

/// Limits at most: a flood of names cannot grow the books.
const MAX_LIMITS: usize = 512;
/// Lenders that are asked at once for one limit.
const LENDERS_PER_REQUEST: usize = 3;
/// Members that are told at once, in a beat, that this one has started.
const START_NOTICES_PER_TICK: usize = 16;
/// What is missed is asked for after this part of a beat at the latest, not only at the next one.
const EARLY_TICK_FRACTION: f64 = 0.1;

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
    member_order: Vec<Id>,
    /// What lenders last said they could still lend, and when.
    lendable: BTreeMap<Id, (usize, f64)>,
    /// Withdrawn then: forgotten when nothing of it can be lent any more.
    removed_at: Option<f64>,
}

impl Limit {
    fn part_of(&self, member: Id) -> usize {
        self.member_order.iter().position(|&id| id == member).map_or(0, |rank| self.part_of_rank(rank))
    }

    fn part_of_rank(&self, rank: usize) -> usize {
        let members = self.member_order.len().max(1);
        self.permits / members + usize::from(rank < self.permits % members)
    }
}

/// The limits of the fleet at one member.
pub struct Fleet {
    id: Id,
    /// This process, drawn by chance.
    generation: u64,
    terms: FleetTerms,
    members: Vec<Id>,
    /// Who may still use what an earlier life of this member lent.
    uncleared: BTreeSet<Id>,
    /// When all others had let go of that.
    cleared_at: Option<f64>,
    limits: BTreeMap<LimitId, Limit>,
    rng: Pcg64Mcg,
    started_at: f64,
    next_tick_at: f64,
    send_queue: VecDeque<Outgoing>,
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
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let next_tick_at = now + terms.tick_interval * rng.random::<f64>();
        let uncleared: BTreeSet<Id> = members.iter().copied().filter(|&member| member != id).collect();
        Self {
            id,
            generation: rng.random(),
            terms,
            cleared_at: uncleared.is_empty().then_some(now),
            uncleared,
            members,
            limits: BTreeMap::new(),
            rng,
            started_at: now,
            next_tick_at,
            send_queue: VecDeque::new(),
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
        let joined = self.members.iter().filter(|&member| former.binary_search(member).is_err());
        self.uncleared.extend(joined.filter(|&&member| member != self.id));
        let members = self.members.clone();
        for (&id, limit) in &mut self.limits {
            limit.member_order = member_order(&members, id);
            limit.ledger.set_part(limit.part_of(self.id));
        }
    }

    /// A limit for the whole fleet: so many set-ups a second, whole ones in each window. False where there
    /// are too many.
    pub fn set_limit(&mut self, name: &str, rate: f64, window: f64) -> bool {
        let id = limit_id(name);
        let permits = (rate.max(0.0) * window / 1000.0).min(f64::from(u16::MAX)) as usize;
        if !self.limits.contains_key(&id) && self.limits.len() >= MAX_LIMITS {
            return false;
        }
        let (loans, started_at, serial) = (self.terms.loans, self.started_at, self.rng.random::<u64>() >> 1);
        let limit = self.limits.entry(id).or_insert_with(|| Limit {
            name: name.to_owned(),
            permits,
            window,
            ledger: Ledger::new(loans, window, started_at, serial),
            member_order: member_order(&self.members, id),
            lendable: BTreeMap::new(),
            removed_at: None,
        });
        limit.removed_at = None;
        if let Some(at) = self.cleared_at {
            limit.ledger.earlier_loans_cleared(at);
        }
        if limit.permits != permits || limit.ledger.part() == 0 {
            limit.permits = permits;
            limit.ledger.set_part(limit.part_of(self.id));
        }
        true
    }

    /// The limit holds no more, as when its server has gone.
    pub fn remove_limit(&mut self, now: f64, name: &str) {
        if let Some(limit) = self.limits.get_mut(&limit_id(name)) {
            limit.removed_at.get_or_insert(now);
        }
    }

    /// How many set-ups may go now; none told where there is no such limit.
    pub fn free_permits(&mut self, now: f64, name: &str) -> Option<usize> {
        let limit = self.limits.get_mut(&limit_id(name)).filter(|limit| limit.removed_at.is_none())?;
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
        let early_tick = now + EARLY_TICK_FRACTION * self.terms.tick_interval * self.rng.random::<f64>();
        self.next_tick_at = self.next_tick_at.min(early_tick);
    }

    /// When [`Fleet::turn`] is wanted, or more set-ups may go.
    pub fn due(&self, now: f64) -> f64 {
        self.limits.values().map(|limit| limit.ledger.due(now)).fold(self.next_tick_at, f64::min)
    }

    /// The next message to another member.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.send_queue.pop_front()
    }

    /// Does what has fallen due: gives back what is not needed, asks for what is.
    pub fn turn(&mut self, now: f64) {
        if now < self.next_tick_at {
            return;
        }
        self.next_tick_at = now + self.terms.tick_interval * (0.9 + 0.2 * self.rng.random::<f64>());
        let removed_limit_lifetime =
            self.terms.loans.lease + self.limits.values().map(|l| l.ledger.cool_down()).fold(0.0, f64::max);
        self.limits.retain(|_, limit| limit.removed_at.is_none_or(|at| now - at < removed_limit_lifetime));
        let mut messages: BTreeMap<Id, Vec<Message>> = BTreeMap::new();
        let lease = self.terms.loans.lease;
        for (&id, limit) in self.limits.iter_mut().filter(|(_, limit)| limit.removed_at.is_none()) {
            for lender in limit.ledger.surplus_lenders(now) {
                if let Some(serial) = limit.ledger.give_back(now, lender) {
                    messages.entry(lender).or_default().push(Message::Return { limit: id, serial });
                }
            }
            for (lender, serial) in limit.ledger.take_ended_loans(now) {
                messages.entry(lender).or_default().push(Message::Return { limit: id, serial });
            }
            let need = limit.ledger.shortfall(now);
            let mut requests: Vec<(Id, usize)> = limit.ledger.expiring_loans(now);
            requests.retain(|&(_, count)| need + count as isize > 0);
            if need > 0 {
                limit.lendable.retain(|_, (_, at)| now - *at < 0.5 * lease);
                let mut lenders: Vec<(bool, u32, Id)> = Vec::new();
                for (rank, &lender) in
                    limit.member_order.iter().enumerate().filter(|(_, lender)| **lender != self.id)
                {
                    // Those that said they can, then those of whom nothing is known, in an order drawn by
                    // chance.
                    let left = limit.lendable.get(&lender).map(|&(left, _)| left);
                    if limit.part_of_rank(rank) > 0 && left != Some(0) && !limit.ledger.awaits_answer(lender)
                    {
                        lenders.push((left.is_none(), self.rng.random(), lender));
                    }
                }
                lenders.sort_unstable();
                lenders.truncate(LENDERS_PER_REQUEST);
                let each = (need as usize).div_ceil(lenders.len().max(1));
                // A later loan takes the place of an earlier one of the same lender, so that is asked for
                // with it.
                for (_, _, lender) in lenders {
                    requests.retain(|(other, _)| *other != lender);
                    requests.push((lender, limit.ledger.borrowed_from(lender, now) + each));
                }
            }
            let no_permits = limit.ledger.has_no_permits(now);
            let resends = limit.ledger.requests_to_resend(now, 0.9 * self.terms.tick_interval);
            for (lender, serial, want) in resends {
                let want = want as u16;
                messages.entry(lender).or_default().push(Message::Request {
                    limit: id,
                    serial,
                    want,
                    no_permits,
                });
            }
            for (lender, want) in requests {
                let want = if limit.ledger.is_unresponsive(lender) { 0 } else { want.min(limit.permits) };
                let serial = limit.ledger.request(now, lender, want);
                self.counts.requested += 1;
                let want = want as u16;
                messages.entry(lender).or_default().push(Message::Request {
                    limit: id,
                    serial,
                    want,
                    no_permits,
                });
            }
        }
        // Once all that it may have lent has lapsed nobody need let go of it.
        if self.cleared_at.is_none() && now < self.started_at + lease {
            let mut uncleared: Vec<Id> = self.uncleared.iter().copied().collect();
            let (notified, _) = uncleared.partial_shuffle(&mut self.rng, START_NOTICES_PER_TICK);
            for &mut to in notified {
                messages.entry(to).or_default().insert(0, Message::Started);
            }
        }
        for (to, messages) in messages {
            for messages in messages.chunks(MAX_MESSAGES) {
                self.send_queue.push_back(Outgoing { to, bytes: wire::encode(self.generation, messages) });
            }
        }
    }

    /// Another member's message. Anything may stand in it.
    pub fn receive(&mut self, now: f64, from: Id, bytes: &[u8]) {
        let Ok((generation, messages)) = wire::decode(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        if self.members.binary_search(&from).is_err() {
            self.counts.unknown += messages.len() as u64;
            return;
        }
        let mut replies = Vec::new();
        for message in messages {
            let id = match message {
                Message::Request { limit, .. }
                | Message::Grant { limit, .. }
                | Message::Return { limit, .. } => limit,
                Message::Started => {
                    self.limits.values_mut().for_each(|limit| limit.ledger.drop_loans_from(from));
                    replies.push(Message::Cleared { generation });
                    continue;
                }
                Message::Cleared { generation } => {
                    if generation == self.generation {
                        self.member_cleared(now, from);
                    }
                    continue;
                }
            };
            let Some(limit) = self.limits.get_mut(&id) else {
                self.counts.unknown += 1;
                continue;
            };
            match message {
                Message::Request { serial, want, no_permits, .. } => {
                    let want = usize::from(want).min(limit.permits);
                    let (count, left) =
                        limit.ledger.handle_request(now, (from, generation), serial, want, no_permits);
                    self.counts.lent += count as u64;
                    let (count, left) = (count as u16, left as u16);
                    let lease = self.terms.loans.lease as u32;
                    replies.push(Message::Grant { limit: id, serial, count, left, lease });
                }
                Message::Grant { serial, count, left, lease, .. } => {
                    let count = usize::from(count);
                    if count > limit.part_of(from) {
                        self.counts.over_limit += 1;
                    } else if limit.ledger.accept_grant(now, from, serial, count, f64::from(lease)) {
                        self.counts.borrowed += count as u64;
                        limit.lendable.insert(from, (usize::from(left), now));
                    } else {
                        self.counts.unexpected += 1;
                    }
                }
                Message::Return { serial, .. } => limit.ledger.accept_return(now, (from, generation), serial),
                Message::Started | Message::Cleared { .. } => {}
            }
        }
        if !replies.is_empty() {
            self.send_queue.push_back(Outgoing { to: from, bytes: wire::encode(self.generation, &replies) });
        }
    }

    /// A member uses nothing any more that an earlier life of this one lent.
    fn member_cleared(&mut self, now: f64, member: Id) {
        if self.uncleared.remove(&member) && self.uncleared.is_empty() {
            self.cleared_at = Some(now);
            self.limits.values_mut().for_each(|limit| limit.ledger.earlier_loans_cleared(now));
        }
    }

    pub fn limit_states(&mut self, now: f64) -> Vec<LimitState> {
        let active = self.limits.values_mut().filter(|limit| limit.removed_at.is_none());
        let state = |limit: &mut Limit| LimitState {
            name: limit.name.clone(),
            permits: limit.permits,
            window: limit.window,
            ledger: limit.ledger.status(now),
        };
        active.map(state).collect()
    }
}

/// The members in an order of their own for each limit, so that the odd permits of many limits do not all
/// fall to the same ones.
fn member_order(members: &[Id], limit: LimitId) -> Vec<Id> {
    let hash = |id: Id| {
        let mut hasher = SipHasher13::new_with_keys(limit, id);
        hasher.write_u64(id);
        hasher.finish()
    };
    let mut member_order = members.to_vec();
    member_order.sort_unstable_by_key(|&id| (hash(id), id));
    member_order
}
