//! The tie between what is decided for all proxies, the gossip that carries it, and this proxy. [`Decided::exchange`]
//! moves words both ways; [`Decided::wish`] asks for a decision, [`Decided::outcome`] tells what came of it.

use std::collections::BTreeSet;

use agree::disk::{Kept, Lost, Write};
use agree::seal::FleetKeys;
use agree::{AgreeStanding, AgreeTerms, Agreement, Council, Id, Outcome, Refusal, Seat, Unknown};
use gossip::Node;
use gossip::wire::{Part, Standing};
use outs::{Command, DRAINS, Drains, Outs, Verdict};
use serde::{Deserialize, Serialize};

use crate::pool::PoolList;

/// What an operator wants decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wish {
    Drain {
        server: String,
        why: String,
    },
    Undrain {
        server: String,
    },
    /// `life` where it is not one that a member of the council has heard of.
    Add {
        proxy: String,
        life: Option<u64>,
    },
    Remove {
        proxy: String,
    },
}

/// What became of a wish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Decided, and by which decision.
    Done {
        decision: u64,
    },
    Already,
    Refused {
        why: String,
    },
}

/// What is agreed for drains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutTerms {
    /// The part of a pool's central servers that may be out at once; one at least.
    pub pool_part: f64,
}

/// What is decided for all, as this proxy knows it.
pub struct Decided {
    agreement: Agreement<Outs, FleetKeys>,
    terms: OutTerms,
    name: String,
    /// The servers that are drained, as the pool list was last told.
    drained: BTreeSet<String>,
}

fn refusal(refusal: Refusal) -> String {
    match refusal {
        Refusal::NotOneSeat => "a council changes by one seat at a time, and keeps one at least",
        Refusal::ChangeUnderWay => "the change before it is not decided yet, or not proved to all: ask again",
        Refusal::NoMajority => "too few of that council would vote now: it could decide nothing",
        Refusal::TooLong => "longer than any decision",
        Refusal::TooMany => "too many wishes wait",
    }
    .to_owned()
}

impl Decided {
    /// `file` is what the disk gave.
    pub fn new(
        node: &Node,
        terms: (AgreeTerms, OutTerms),
        keys: FleetKeys,
        file: Result<Kept, Lost>,
        seed: u64,
        now: f64,
    ) -> Result<Self, Unknown> {
        let name = node.name(node.id()).unwrap_or_default().to_owned();
        let agreement = Agreement::new(node.id(), terms.0, keys, Outs::default(), file, seed, now)?;
        Ok(Self { agreement, terms: terms.1, name, drained: BTreeSet::new() })
    }

    pub fn rekey(&mut self, keys: FleetKeys) {
        self.agreement.rekey(keys);
    }

    /// Does what has fallen due, and moves words between the agreement and the gossip.
    pub fn exchange(&mut self, now: f64, node: &mut Node) {
        while let Some((from, bytes)) = node.said_to(Part::Agreement) {
            self.agreement.receive(now, from, &bytes);
        }
        if self.agreement.due() <= now {
            let alive = node.members.all().filter(|(_, member)| member.standing != Standing::Dead);
            self.agreement.set_peers(alive.map(|(id, _)| id).collect::<Vec<_>>());
            self.agreement.turn(now);
        }
        while let Some(out) = self.agreement.outgoing() {
            // What the cap forbids is lost, as on the network: it is said again.
            node.say_to(now, out.to, Part::Agreement, out.bytes);
        }
    }

    pub fn due(&self) -> f64 {
        self.agreement.due()
    }

    /// The servers that get nothing new, where they are others than when this was last asked.
    pub fn news(&mut self) -> Option<&BTreeSet<String>> {
        let drained: BTreeSet<String> = self.drains().iter().map(|(server, _)| server.to_owned()).collect();
        let changed = drained != self.drained;
        self.drained = drained;
        changed.then_some(&self.drained)
    }

    pub fn drains(&self) -> &Drains {
        &self.agreement.machine().drains
    }

    /// How old what this proxy knows of the decisions can be, in milliseconds.
    pub fn age(&self, now: f64) -> f64 {
        self.agreement.age(now)
    }

    pub fn standing(&self, now: f64) -> AgreeStanding {
        self.agreement.standing(now)
    }

    /// What would be asked for, and why it would not be.
    fn command(&self, wish: &Wish, node: &Node, pool: &PoolList, unix: f64) -> Result<Asked, String> {
        let id = |name: &str| {
            node.fleet()
                .find(|&id| node.name(id) == Some(name))
                .ok_or_else(|| format!("{name}: not in the roster"))
        };
        let standing = self.agreement.standing(0.0);
        Ok(match wish {
            Wish::Undrain { server } => Asked::Outs(Command::Undrain { server: server.clone() }),
            Wish::Drain { server, why } => {
                let listed = pool.named(server).ok_or_else(|| format!("{server}: not on the pool list"))?;
                let (of, listed_out) = pool.out_of(pool.pool(listed));
                Asked::Outs(Command::Drain {
                    server: server.clone(),
                    pool: pool.pool(listed),
                    most: outs::drains::most_out(self.terms.pool_part, of),
                    listed_out: listed_out as u16,
                    by: self.name.clone(),
                    why: why.clone(),
                    unix: unix as u64,
                })
            }
            Wish::Remove { proxy } => Asked::Council(standing.council.without(id(proxy)?)),
            Wish::Add { proxy, life } => {
                let id = id(proxy)?;
                let life = life.or(standing.lives.get(&id).copied());
                let unheard =
                    || format!("{proxy}: its disk's number is not known here; `council state` there has it");
                Asked::Council(standing.council.with(Seat { id, life: life.ok_or_else(unheard)? }))
            }
        })
    }

    /// What a wish would come to by what this proxy knows now, without asking for it.
    pub fn try_wish(&self, wish: &Wish, node: &Node, pool: &PoolList, unix: f64) -> Result<Answer, String> {
        Ok(match self.command(wish, node, pool, unix)? {
            Asked::Outs(command) => verdict(0, &self.drains().clone().decide(0, command)),
            Asked::Council(council) if council.follows(&self.agreement.standing(0.0).council) => {
                Answer::Done { decision: 0 }
            }
            Asked::Council(_) => Answer::Refused { why: refusal(Refusal::NotOneSeat) },
        })
    }

    /// Asks for a decision; gives the number that its outcome comes under.
    pub fn wish(
        &mut self,
        now: f64,
        unix: f64,
        wish: &Wish,
        node: &Node,
        pool: &PoolList,
    ) -> Result<u64, String> {
        match self.command(wish, node, pool, unix)? {
            Asked::Outs(command) => self.agreement.propose(now, DRAINS, command.write()),
            Asked::Council(council) => self.agreement.propose_council(now, council),
        }
        .map_err(refusal)
    }

    /// No longer wants to know what became of a wish.
    pub fn forget(&mut self, request: u64) {
        self.agreement.forget(request);
    }

    pub fn outcome(&mut self) -> Option<(u64, Answer)> {
        let (request, outcome) = self.agreement.outcome()?;
        let answer = match outcome {
            Outcome::Refused(why) => Answer::Refused { why: refusal(why) },
            Outcome::Done { by } => Answer::Done { decision: by },
            Outcome::Decided { index, answer } if answer.is_empty() => Answer::Done { decision: index },
            Outcome::Decided { index, answer } => match Verdict::read(&answer) {
                Some(told) => verdict(index, &told),
                None => Answer::Done { decision: index },
            },
        };
        Some((request, answer))
    }

    /// Bytes for the disk, as [`Agreement::to_write`].
    pub fn to_write(&mut self, now: f64) -> Option<Write> {
        self.agreement.to_write(now)
    }

    /// What the disk came to.
    pub fn written(&mut self, now: f64, well: bool) {
        if well { self.agreement.written(now) } else { self.agreement.unwritten(now) }
    }
}

enum Asked {
    Outs(Command),
    Council(Council),
}

fn verdict(decision: u64, verdict: &Verdict) -> Answer {
    match verdict {
        Verdict::Done => Answer::Done { decision },
        Verdict::Already => Answer::Already,
        Verdict::Unfit => {
            Answer::Refused { why: "a name or reason is empty or too long, or too many are drained".into() }
        }
        Verdict::OverBudget { out, most, drained } => {
            let drained = drained.join(" ");
            Answer::Refused {
                why: format!("{out} of its pool would be out, {most} may be; drained: {drained}"),
            }
        }
    }
}

/// The council and how this proxy stands with it, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CouncilStatus {
    pub role: agree::Role,
    pub term: u64,
    pub leader: Option<String>,
    /// Decisions known, those carried out, and those proved to whoever has no vote.
    pub decided: u64,
    pub applied: u64,
    pub sealed: u64,
    /// What all decisions carried out come to: the same at the same number everywhere.
    pub hash: String,
    /// How old what this proxy knows can be, in milliseconds; none before it was ever told.
    pub age_ms: Option<f64>,
    pub seats: Vec<SeatStatus>,
    /// The decision since which these vote, and whether it is proved to whoever has no vote.
    pub since: u64,
    pub proved: bool,
    /// Members whose disks have no vote, with their numbers, to be let in by.
    pub voteless: Vec<SeatStatus>,
    /// Why this proxy stopped carrying decisions out, if it did.
    pub stopped: Option<String>,
    pub counts: agree::Counts,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeatStatus {
    pub name: String,
    pub life: u64,
    /// Up to where it has the log, where this proxy leads.
    pub has: Option<u64>,
}

impl CouncilStatus {
    pub fn of(standing: AgreeStanding, node: &Node) -> Self {
        let name = |id: Id| node.name(id).unwrap_or("?").to_owned();
        let seat = |seat: &Seat| SeatStatus {
            name: name(seat.id),
            life: seat.life,
            has: standing.progress.get(&seat.id).copied(),
        };
        let voteless =
            standing.lives.iter().map(|(&id, &life)| SeatStatus { name: name(id), life, has: None });
        Self {
            role: standing.role,
            term: standing.term,
            leader: standing.leader.map(name),
            decided: standing.decided,
            applied: standing.applied,
            sealed: standing.sealed,
            hash: standing.hash[..8].iter().map(|byte| format!("{byte:02x}")).collect(),
            age_ms: Some(standing.age).filter(|age| age.is_finite()),
            seats: standing.council.seats().iter().map(seat).collect(),
            since: standing.version,
            proved: standing.linked,
            voteless: voteless.collect(),
            stopped: standing.stopped.clone(),
            counts: standing.counts,
        }
    }
}

/// Who is out, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutsStatus {
    pub drains: Vec<DrainStatus>,
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
    pub here: usize,
}

impl OutsStatus {
    pub fn of(decided: &Decided, now: f64, here: impl Fn(&str) -> usize) -> Self {
        let row = |(server, drain): (&str, &outs::Drain)| DrainStatus {
            server: server.to_owned(),
            pool: drain.pool,
            by: drain.by.clone(),
            why: drain.why.clone(),
            since: drain.unix,
            decision: drain.decided,
            here: here(server),
        };
        let age_ms = Some(decided.age(now)).filter(|age| age.is_finite());
        Self { drains: decided.drains().iter().map(row).collect(), age_ms }
    }
}
