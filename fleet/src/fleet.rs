//! All limits at one member: each member's part, whom to request permits from, and the answers to requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::ledger::{Id, Ledger, LedgerStatus, LoanTerms};
use crate::wire::{self, LimitId, MAX_MESSAGES, Message};

/// Maximum number of limits: a flood of names must not grow memory.
const MAX_LIMITS: usize = 512;
/// Lenders that are asked at once for one limit.
const LENDERS_PER_REQUEST: usize = 3;
/// Members notified per tick that this one has started.
const START_NOTICES_PER_TICK: usize = 16;
/// A shortage brings the next tick forward to at most this fraction of a tick interval.
const EARLY_TICK_FRACTION: f64 = 0.1;

/// Configuration of the fleet's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetTerms {
    /// Configuration of loans between members.
    pub loans: LoanTerms,
    /// How often a member checks what it needs, in milliseconds.
    pub tick_interval: f64,
}

/// A payload to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Id,
    pub bytes: Vec<u8>,
}

/// Counts of requests and loans, and of what was dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that this member sent.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Permits lent to other members.
    pub lent: u64,
    /// Permits borrowed from other members.
    pub borrowed: u64,
    /// Payloads that are not well formed.
    pub malformed: u64,
    /// Messages about an unknown limit or from an unknown member.
    pub unknown: u64,
    /// Grants of more permits than the lender owns.
    #[serde(rename = "over")]
    pub over_limit: u64,
    /// Grants that were not requested or came too late.
    #[serde(rename = "stray")]
    pub unexpected: u64,
    /// Set-ups that found no permit.
    #[serde(rename = "missed")]
    pub without_permit: u64,
}

/// State of a limit at this member, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitState {
    pub name: String,
    /// Set-ups in any window over all members.
    pub permits: usize,
    /// The window, in milliseconds.
    pub window: f64,
    /// This member's permits.
    pub ledger: LedgerStatus,
}

/// One limit of the fleet, as this member holds it.
struct Limit {
    name: String,
    permits: usize,
    window: f64,
    ledger: Ledger,
    /// All members, in this limit's order: if the limit does not divide evenly, the first of them have one
    /// more permit.
    member_order: Vec<Id>,
    /// How many more permits lenders last said they could lend, and when.
    lendable: BTreeMap<Id, (usize, f64)>,
    /// When the limit was removed. It is forgotten once no loan of it can be in use any more.
    removed_at: Option<f64>,
}

impl Limit {
    /// How many permits a member owns.
    fn part_of(&self, member: Id) -> usize {
        self.member_order.iter().position(|&id| id == member).map_or(0, |rank| self.part_of_rank(rank))
    }

    /// How many permits the member at this place of the order owns.
    fn part_of_rank(&self, rank: usize) -> usize {
        let members = self.member_order.len().max(1);
        self.permits / members + usize::from(rank < self.permits % members)
    }
}

/// The limits of the fleet at one member.
pub struct Fleet {
    id: Id,
    /// A random number that identifies this process.
    generation: u64,
    terms: FleetTerms,
    members: Vec<Id>,
    /// Members that may still use what an earlier generation of this member lent.
    uncleared: BTreeSet<Id>,
    /// When all other members had stopped using it.
    cleared_at: Option<f64>,
    limits: BTreeMap<LimitId, Limit>,
    rng: Pcg64Mcg,
    started_at: f64,
    next_tick_at: f64,
    send_queue: VecDeque<Outgoing>,
    counts: Counts,
}

/// The number that identifies a limit between members.
pub fn limit_id(name: &str) -> LimitId {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

impl Fleet {
    /// `members` are all members of the fleet including this one, the same list at each of them. Create it
    /// when the process starts, since it waits until loans of an earlier generation of this member have
    /// ended.
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

    /// The counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Replaces the members of the fleet. Until all members know the change, no part may grow.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Id>) {
        let previous = std::mem::replace(&mut self.members, members.into_iter().collect());
        self.members.sort_unstable();
        self.members.dedup();
        // A member that has joined may hold a loan of an earlier generation of this one under another roster.
        let joined = self.members.iter().filter(|&member| previous.binary_search(member).is_err());
        self.uncleared.extend(joined.filter(|&&member| member != self.id));
        let members = self.members.clone();
        for (&id, limit) in &mut self.limits {
            limit.member_order = member_order(&members, id);
            limit.ledger.set_part(limit.part_of(self.id));
        }
    }

    /// Sets a limit for the whole fleet of `rate` set-ups per second, rounded down to whole set-ups in each
    /// window of `window` milliseconds. Returns false if there are too many limits.
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

    /// Removes a limit, as when its server is gone.
    pub fn remove_limit(&mut self, now: f64, name: &str) {
        if let Some(limit) = self.limits.get_mut(&limit_id(name)) {
            limit.removed_at.get_or_insert(now);
        }
    }

    /// How many set-ups may be sent now, or `None` if there is no such limit.
    pub fn free_permits(&mut self, now: f64, name: &str) -> Option<usize> {
        let limit = self.limits.get_mut(&limit_id(name)).filter(|limit| limit.removed_at.is_none())?;
        Some(limit.ledger.free_permits(now))
    }

    /// Whether this member knows everything that it may have lent before it started.
    pub fn is_recovered(&self, now: f64, name: &str) -> bool {
        self.limits.get(&limit_id(name)).is_some_and(|limit| limit.ledger.is_recovered(now))
    }

    /// Uses a permit for a set-up. Returns false if none is free.
    pub fn try_acquire(&mut self, now: f64, name: &str) -> bool {
        self.limits.get_mut(&limit_id(name)).is_none_or(|limit| limit.ledger.try_acquire(now))
    }

    /// Records that `count` more set-ups wait or were sent elsewhere because there was no permit; each set-up
    /// is reported once.
    pub fn record_shortage(&mut self, now: f64, name: &str, count: usize) {
        let Some(limit) = self.limits.get_mut(&limit_id(name)).filter(|_| count > 0) else { return };
        limit.ledger.record_shortage(now, count);
        self.counts.without_permit += count as u64;
        let early_tick = now + EARLY_TICK_FRACTION * self.terms.tick_interval * self.rng.random::<f64>();
        self.next_tick_at = self.next_tick_at.min(early_tick);
    }

    /// When [`Fleet::turn`] is to be called next, or more set-ups may be sent.
    pub fn due(&self, now: f64) -> f64 {
        self.limits.values().map(|limit| limit.ledger.due(now)).fold(self.next_tick_at, f64::min)
    }

    /// The next payload to another member.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.send_queue.pop_front()
    }

    /// Does everything that is due: gives back what is not needed and requests what is.
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
            let shortfall = limit.ledger.shortfall(now);
            let mut requests: Vec<(Id, usize)> = limit.ledger.expiring_loans(now);
            requests.retain(|&(_, count)| shortfall + count as isize > 0);
            if shortfall > 0 {
                limit.lendable.retain(|_, (_, at)| now - *at < 0.5 * lease);
                let mut lenders: Vec<(bool, u32, Id)> = Vec::new();
                for (rank, &lender) in
                    limit.member_order.iter().enumerate().filter(|(_, lender)| **lender != self.id)
                {
                    // First lenders that said they can lend, then those of which nothing is known, in random
                    // order.
                    let left = limit.lendable.get(&lender).map(|&(left, _)| left);
                    if limit.part_of_rank(rank) > 0 && left != Some(0) && !limit.ledger.awaits_answer(lender)
                    {
                        lenders.push((left.is_none(), self.rng.random(), lender));
                    }
                }
                lenders.sort_unstable();
                lenders.truncate(LENDERS_PER_REQUEST);
                let wanted_per_lender = (shortfall as usize).div_ceil(lenders.len().max(1));
                // A later loan replaces an earlier one of the same lender, so the request includes the
                // earlier one.
                for (_, _, lender) in lenders {
                    requests.retain(|(other, _)| *other != lender);
                    requests.push((lender, limit.ledger.borrowed_from(lender, now) + wanted_per_lender));
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
        // After one lease all earlier loans have expired, and nobody needs to clear them.
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

    /// Handles an untrusted payload of another member.
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

    /// A member no longer uses anything that an earlier generation of this one lent.
    fn member_cleared(&mut self, now: f64, member: Id) {
        if self.uncleared.remove(&member) && self.uncleared.is_empty() {
            self.cleared_at = Some(now);
            self.limits.values_mut().for_each(|limit| limit.ledger.earlier_loans_cleared(now));
        }
    }

    /// The state of all limits in force.
    pub fn limit_states(&mut self, now: f64) -> Vec<LimitState> {
        let active = self.limits.values_mut().filter(|limit| limit.removed_at.is_none());
        let limit_state = |limit: &mut Limit| LimitState {
            name: limit.name.clone(),
            permits: limit.permits,
            window: limit.window,
            ledger: limit.ledger.status(now),
        };
        active.map(limit_state).collect()
    }
}

/// The members in an order of their own for each limit, so that the odd permits of many limits do not all go
/// to the same members.
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
