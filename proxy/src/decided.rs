//! The tie between what is decided for all proxies, the gossip that carries it, and this proxy. [`Decided::exchange`]
//! moves words both ways; [`Decided::wish`] asks for a decision, [`Decided::outcome`] tells what came of it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use agree::disk::{Kept, Lost, Write};
use agree::seal::FleetKeys;
use agree::{AgreeStanding, AgreeTerms, Agreement, Council, Id, Machine, Outcome, Refusal, Seat, Unknown};
use gossip::Node;
use gossip::wire::{Part, Standing};
use outs::evidence::{Evidence, Judgement, Report};
use outs::holder::{Holder, HolderTerms, Own, Replace};
use outs::{Command, Drains, Kind, OUTS, Outs, Phase, Verdict, drains, grants, releases};
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
    /// `sum` is the BLAKE3 sum of a file, in hexadecimal digits.
    Stage {
        kind: Kind,
        sum: String,
        why: String,
    },
    Start,
    Halt {
        why: String,
    },
    Back,
    /// A proxy that is out never comes back.
    WriteOff {
        proxy: String,
        why: String,
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

/// What is agreed for who may be out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutTerms {
    /// The part of a pool's central servers that may be out at once; one at least.
    pub pool_part: f64,
    pub holder: HolderTerms,
    /// Spans in milliseconds, by which released proxies are compared with others; none where no release is judged.
    pub span: Option<f64>,
}

/// What the shell knows of this process.
#[derive(Clone, Debug)]
pub struct Life {
    /// The release that it runs; 0 for none.
    pub runs: u64,
    /// The release that it could not become, and why.
    pub failed: Option<(u64, String)>,
    /// Where it takes callers.
    pub callers: SocketAddr,
}

/// What is decided for all, as this proxy knows it.
pub struct Decided {
    agreement: Agreement<Outs, FleetKeys>,
    terms: OutTerms,
    name: String,
    /// The servers that are drained, as the pool list was last told.
    drained: BTreeSet<String>,
    holder: Holder,
    own: Own,
    /// What this proxy's own wishes came to concerns nobody.
    own_wishes: BTreeSet<u64>,
    looks: Vec<SocketAddr>,
    replace: Option<Replace>,
    turn_at: f64,
    beat: f64,
    /// What proxies told of their conversations, kept where this one may have to judge.
    evidence: Evidence,
    report_at: f64,
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
        life: Life,
        keys: FleetKeys,
        file: Result<Kept, Lost>,
        seed: u64,
        now: f64,
    ) -> Result<Self, Unknown> {
        let name = node.name(node.id()).unwrap_or_default().to_owned();
        let beat = terms.0.beat;
        let agreement = Agreement::new(node.id(), terms.0, keys, Outs::default(), file, seed, now)?;
        let Life { runs, failed, callers } = life;
        let (fleet, silent) = (node.fleet().collect(), BTreeSet::new());
        let own = Own { id: node.id(), fleet, runs, callers, leads: false, silent, failed, staged: None };
        Ok(Self {
            agreement,
            terms: terms.1,
            name,
            drained: BTreeSet::new(),
            holder: Holder::default(),
            own,
            own_wishes: BTreeSet::new(),
            looks: Vec::new(),
            replace: None,
            turn_at: now,
            beat,
            evidence: Evidence::default(),
            report_at: now + terms.1.span.unwrap_or(f64::INFINITY),
        })
    }

    pub fn rekey(&mut self, keys: FleetKeys) {
        self.agreement.rekey(keys);
    }

    /// Does what has fallen due, and moves words between the agreement and the gossip.
    pub fn exchange(&mut self, now: f64, node: &mut Node) {
        while let Some((from, bytes)) = node.said_to(Part::Agreement) {
            self.agreement.receive(now, from, &bytes);
        }
        while let Some((from, bytes)) = node.said_to(Part::Evidence) {
            if let Some((report, span)) = Report::read(&bytes).zip(self.terms.span) {
                self.evidence.told((now / span) as u64, from, report);
            }
        }
        if self.agreement.due() <= now {
            let alive = node.members.all().filter(|(_, member)| member.standing != Standing::Dead);
            self.agreement.set_peers(alive.map(|(id, _)| id).collect::<Vec<_>>());
            self.agreement.turn(now);
        }
        if now >= self.turn_at {
            self.turn_at = now + self.beat;
            self.hold(now, node);
        }
        while let Some(out) = self.agreement.outgoing() {
            // What the cap forbids is lost, as on the network: it is said again.
            node.say_to(now, out.to, Part::Agreement, out.bytes);
        }
    }

    pub fn due(&self) -> f64 {
        self.agreement.due().min(self.turn_at).min(self.report_at)
    }

    /// What this proxy itself does by what is decided.
    fn hold(&mut self, now: f64, node: &Node) {
        let dead = node.members.all().filter(|(_, member)| member.standing == Standing::Dead);
        self.own.silent = dead.map(|(id, _)| id).collect();
        self.own.fleet = node.fleet().collect();
        self.own.leads = self.agreement.role() == agree::Role::Leads;
        let outs = self.agreement.machine();
        let runs = |id: Id, release: u64| outs.releases.runs(id) == release;
        let (span, evidence) = (self.terms.span, &mut self.evidence);
        if let Some(release) = outs.releases.current().filter(|of| of.phase == Phase::Staged) {
            evidence.begins(release.number);
        }
        let judge = |release, wave| match span {
            Some(span) => evidence.judge((now / span) as u64, release, wave, |id| runs(id, release)),
            None => Judgement::Go,
        };
        let (wanted, replace) = self.holder.turn(now, outs, &self.own, &self.terms.holder, judge);
        self.looks = self.holder.to_look_at(outs, &self.own).into_iter().map(|(_, at)| at).collect();
        self.replace = replace.or(self.replace.take());
        for command in wanted {
            self.own_wishes.extend(self.agreement.propose(now, OUTS, command.write()));
        }
    }

    /// Whether what became of conversations is to be told now.
    pub fn reports(&self, now: f64) -> bool {
        now >= self.report_at
    }

    /// Tells the council what became of this proxy's conversations in the span that is over.
    pub fn report(&mut self, now: f64, node: &mut Node, report: Report) {
        let Some(span) = self.terms.span else { return };
        self.report_at = now + span;
        self.evidence.told((now / span) as u64, self.own.id, report);
        let council = self.agreement.standing(now).council;
        for member in council.ids().filter(|&id| id != self.own.id) {
            node.say_to(now, member, Part::Evidence, report.write());
        }
    }

    /// Callers' sockets of others that are to be asked for a sign of life now.
    pub fn looks(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.looks)
    }

    /// Somebody answered at that address.
    pub fn answered(&mut self, now: f64, at: SocketAddr) {
        self.holder.answered(now, self.agreement.machine(), at);
    }

    /// What this proxy is to become now, if anything.
    pub fn replace(&mut self) -> Option<Replace> {
        self.replace.take()
    }

    /// What it was to become it could not.
    pub fn stays(&mut self, release: u64, why: &str) {
        self.holder.stays();
        self.own.failed = Some((release, why.to_owned()));
    }

    /// The file of a release that is staged, until it is known whether it is fit here.
    pub fn to_check(&self) -> Option<(Kind, agree::Hash)> {
        let release = self.agreement.machine().releases.current().filter(|of| of.phase == Phase::Staged)?;
        let checked = self.own.staged.as_ref().is_some_and(|(sum, fit)| *sum == release.sum && fit.is_ok());
        (!checked).then_some((release.kind, release.sum))
    }

    pub fn checked(&mut self, sum: agree::Hash, fit: Result<(), String>) {
        self.own.staged = Some((sum, fit));
    }

    /// Whether this process was seen well with the release that it runs.
    pub fn is_well(&self) -> bool {
        self.agreement.machine().releases.runs(self.own.id) == self.own.runs
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

    /// The number of the release that is under way, or was last.
    fn release(&self) -> Result<u64, String> {
        let release = self.agreement.machine().releases.current();
        release.map(|release| release.number).ok_or_else(|| "no release was staged".to_owned())
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
            Wish::Undrain { server } => {
                Asked::Outs(Command::Drains(drains::Command::Undrain { server: server.clone() }))
            }
            Wish::Stage { kind, sum, why } => Asked::Outs(Command::Releases(releases::Command::Stage {
                kind: *kind,
                sum: unhex(sum).ok_or_else(|| format!("{sum}: 64 hexadecimal digits wanted"))?,
                by: self.name.clone(),
                why: why.clone(),
                unix: unix as u64,
            })),
            Wish::Start => Asked::Outs(Command::Releases(releases::Command::Start {
                release: self.release()?,
                proxies: node.fleet().count() as u16,
            })),
            Wish::Halt { why } => {
                let (release, why) = (self.release()?, why.clone());
                Asked::Outs(Command::Releases(releases::Command::Halt { release, why }))
            }
            Wish::Back => {
                Asked::Outs(Command::Releases(releases::Command::Back { release: self.release()? }))
            }
            Wish::WriteOff { proxy, why } => {
                let (proxy, why) = (id(proxy)?, why.clone());
                Asked::Outs(Command::Grants(grants::Command::WriteOff { proxy, why }))
            }
            Wish::Drain { server, why } => {
                let listed = pool.named(server).ok_or_else(|| format!("{server}: not on the pool list"))?;
                let (of, listed_out) = pool.out_of(pool.pool(listed));
                Asked::Outs(Command::Drains(drains::Command::Drain {
                    server: server.clone(),
                    pool: pool.pool(listed),
                    most: drains::most_out(self.terms.pool_part, of),
                    listed_out: listed_out as u16,
                    by: self.name.clone(),
                    why: why.clone(),
                    unix: unix as u64,
                }))
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
            Asked::Outs(command) => {
                let told = self.agreement.machine().clone().decide(0, OUTS, &command.write());
                let told = told.map_err(|unknown| unknown.to_string())?;
                Verdict::read(&told).map_or(Answer::Already, |told| verdict(0, &told))
            }
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
            Asked::Outs(command) => self.agreement.propose(now, OUTS, command.write()),
            Asked::Council(council) => self.agreement.propose_council(now, council),
        }
        .map_err(refusal)
    }

    /// No longer wants to know what became of a wish.
    pub fn forget(&mut self, request: u64) {
        self.agreement.forget(request);
    }

    pub fn outcome(&mut self) -> Option<(u64, Answer)> {
        let (request, outcome) = loop {
            let (request, outcome) = self.agreement.outcome()?;
            if !self.own_wishes.remove(&request) {
                break (request, outcome);
            }
        };
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

fn unhex(digits: &str) -> Option<agree::Hash> {
    let pairs: Vec<&[u8]> = digits.as_bytes().chunks(2).collect();
    let byte = |pair: &&[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    pairs.iter().map(byte).collect::<Option<Vec<u8>>>()?.try_into().ok()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn verdict(decision: u64, verdict: &Verdict) -> Answer {
    use {drains::Verdict as D, grants::Verdict as G, releases::Verdict as R};
    let why = match verdict {
        Verdict::Drains(D::Done) | Verdict::Grants(G::Done) | Verdict::Releases(R::Done) => {
            return Answer::Done { decision };
        }
        Verdict::Drains(D::Already) | Verdict::Grants(G::Moot) | Verdict::Releases(R::Moot) => {
            return Answer::Already;
        }
        Verdict::Drains(D::Unfit) | Verdict::Grants(G::Unfit) | Verdict::Releases(R::Unfit) => {
            "a name or reason is empty or too long, or there are too many".to_owned()
        }
        Verdict::Drains(D::OverBudget { out, most, drained }) => {
            format!("{out} of its pool would be out, {most} may be; drained: {}", drained.join(" "))
        }
        Verdict::Grants(G::Full { out, most }) => format!("{out} proxies are out, {most} may be"),
        Verdict::Releases(R::Unready { ready, proxies }) => {
            format!("{ready} of {proxies} proxies are ready, or one is unfit: `release state` has them")
        }
        Verdict::Releases(R::Another { release }) => format!("release {release} is under way"),
    };
    Answer::Refused { why }
}

/// The council and how this proxy stands with it, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CouncilStatus {
    pub role: agree::Role,
    /// The number of this proxy's disk, by which it is let in; 0 where it votes as a founder.
    pub life: u64,
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
            life: standing.life,
            term: standing.term,
            leader: standing.leader.map(name),
            decided: standing.decided,
            applied: standing.applied,
            sealed: standing.sealed,
            hash: hex(&standing.hash[..8]),
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
    /// Proxies that are out, how many may be, and how many others have to see one well.
    pub proxies: Vec<AwayStatus>,
    pub most: u16,
    pub witnesses: u16,
    pub release: Option<ReleaseStatus>,
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

/// A proxy that takes up a place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AwayStatus {
    pub proxy: String,
    /// `granted`, `out`, `back` or `missed`.
    pub how: String,
    /// By which decision, and what is waited for.
    pub since: Option<u64>,
    pub waits_for: String,
}

/// The release that is under way, or was last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseStatus {
    pub release: u64,
    pub kind: Kind,
    pub sum: String,
    pub by: String,
    pub why: String,
    pub phase: Phase,
    pub ready: usize,
    pub unfit: Vec<(String, String)>,
    /// By wave: all of it, and those that run it.
    pub waves: Vec<(usize, usize)>,
}

impl AwayStatus {
    fn of(grants: &outs::Grants, id: Id, name: &impl Fn(Id) -> String) -> Self {
        use grants::Away;
        let (how, since, waits_for) = match grants.away(id) {
            Some(Away::Granted { grant, .. }) => {
                ("granted", Some(*grant), "its word that it goes".to_owned())
            }
            Some(Away::Out { since }) => ("out", Some(*since), "its word that it is back".to_owned()),
            Some(Away::Back { since, seen_by, .. }) => {
                let (seen, of) = (seen_by.len(), grants.witnesses());
                ("back", Some(*since), format!("others to see it well: {seen} of {of} have"))
            }
            None => {
                let by: Vec<String> = grants.missed_by(id).map(name).collect();
                ("missed", None, format!("word of it; missed by {}", by.join(" ")))
            }
        };
        Self { proxy: name(id), how: how.to_owned(), since, waits_for }
    }
}

impl ReleaseStatus {
    fn of(releases: &outs::Releases, name: &impl Fn(Id) -> String) -> Option<Self> {
        let of = releases.current()?;
        let runs = |wave: &Vec<Id>| wave.iter().filter(|id| releases.runs(**id) == of.number).count();
        Some(Self {
            release: of.number,
            kind: of.kind,
            sum: hex(&of.sum),
            by: of.by.clone(),
            why: of.why.clone(),
            phase: of.phase.clone(),
            ready: of.ready.len(),
            unfit: of.unfit.iter().map(|(&id, why)| (name(id), why.clone())).collect(),
            waves: of.waves.iter().map(|wave| (wave.len(), runs(wave))).collect(),
        })
    }
}

impl OutsStatus {
    pub fn of(decided: &Decided, node: &Node, now: f64, here: impl Fn(&str) -> usize) -> Self {
        let name = |id: Id| node.name(id).unwrap_or("?").to_owned();
        let Outs { grants, releases, .. } = decided.agreement.machine();
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
        Self {
            drains: decided.drains().iter().map(row).collect(),
            proxies: grants.out().map(|id| AwayStatus::of(grants, id, &name)).collect(),
            most: grants.most(),
            witnesses: grants.witnesses(),
            release: ReleaseStatus::of(releases, &name),
            age_ms,
        }
    }
}
