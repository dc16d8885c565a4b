//! The tie between what is decided for all proxies, the gossip that carries it, and this proxy.
//! [`DecidedState::exchange`] moves words both ways; [`DecidedState::submit_command`] asks for a decision, [`DecidedState::next_outcome`]
//! tells what came of it.

mod commands;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use agree::disk::{Kept, Lost, Write};
use agree::seal::FleetKeys;
use agree::{AgreeStanding, AgreeTerms, Agreement, Id, Unknown};
use distribution::ScopedState;
use gossip::Node;
use gossip::wire::{Part, Standing};
use outs::evidence::{Evidence, Judgement, Report};
use outs::holder::{Holder, HolderTerms, Own, Replace};
use outs::{Command, Drains, Kind, OUTS, Outs, Phase};

pub use commands::{CommandOutcome, OperatorCommand};
pub use status::{
    AvailabilityStatus, CouncilStatus, DrainStatus, ReleaseStatus, UnavailabilityStatus, VoterStatus,
};

/// What was decided and is still wanted is asked for again after so many beats.
const RETRY_INTERVALS: f64 = 10.0;

/// What is agreed for who may be out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailabilityTerms {
    /// The part of a pool's central servers that may be out at once; one at least.
    pub pool_part: f64,
    pub holder: HolderTerms,
    /// Spans in milliseconds, by which released proxies are compared with others; none where no release is
    /// judged.
    pub comparison_period: Option<f64>,
}

/// What the shell knows of this process.
#[derive(Clone, Debug)]
pub struct ProcessInfo {
    /// The release that it runs; 0 for none.
    pub running_release: u64,
    /// The release that it could not become, and why.
    pub failed_release: Option<(u64, String)>,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
}

/// What is decided for all, as this proxy knows it.
pub struct DecidedState {
    agreement: Agreement<Outs, FleetKeys>,
    terms: AvailabilityTerms,
    name: String,
    /// The servers that are drained, as the pool list was last told.
    drained: BTreeSet<String>,
    holder: Holder,
    own: Own,
    /// What this proxy itself has asked for, by number; and what was decided lately, with when it may ask
    /// again.
    pending: BTreeMap<u64, Command>,
    retry_later: Vec<(Command, f64)>,
    probe_addresses: Vec<SocketAddr>,
    replace: Option<Replace>,
    next_turn_at: f64,
    interval: f64,
    /// What proxies told of their conversations, kept where this one may have to judge.
    evidence: Evidence,
    next_report_at: f64,
}

impl DecidedState {
    /// `file` is what the disk gave.
    pub fn new(
        node: &Node,
        terms: (AgreeTerms, AvailabilityTerms),
        process: ProcessInfo,
        keys: FleetKeys,
        file: Result<Kept, Lost>,
        seed: u64,
        now: f64,
    ) -> Result<Self, Unknown> {
        let name = node.name(node.id()).unwrap_or_default().to_owned();
        let interval = terms.0.beat;
        let agreement = Agreement::new(node.id(), terms.0, keys, Outs::default(), file, seed, now)?;
        let ProcessInfo { running_release: runs, failed_release: failed, caller_address: callers } = process;
        let (fleet, silent) = (node.fleet().collect(), BTreeSet::new());
        let own = Own { id: node.id(), fleet, runs, callers, leads: false, silent, failed, staged: None };
        Ok(Self {
            agreement,
            terms: terms.1,
            name,
            drained: BTreeSet::new(),
            holder: Holder::default(),
            own,
            pending: BTreeMap::new(),
            retry_later: Vec::new(),
            probe_addresses: Vec::new(),
            replace: None,
            next_turn_at: now,
            interval,
            evidence: Evidence::default(),
            next_report_at: now + terms.1.comparison_period.unwrap_or(f64::INFINITY),
        })
    }

    /// What is decided, for whoever serves it to others.
    pub(crate) fn agreement(&mut self) -> &mut Agreement<Outs, FleetKeys> {
        &mut self.agreement
    }

    /// What is distributed by scope.
    pub(crate) fn scoped(&self) -> &ScopedState {
        self.agreement.machine().scoped()
    }

    /// The decision since which the council votes.
    pub(crate) fn council_since(&self) -> u64 {
        self.agreement.council_since()
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
            if let Some((report, period)) = Report::read(&bytes).zip(self.terms.comparison_period) {
                self.evidence.told((now / period) as u64, from, report);
            }
        }
        if self.agreement.due() <= now {
            let alive = node.members.all().filter(|(_, member)| member.standing != Standing::Dead);
            self.agreement.set_peers(alive.map(|(id, _)| id).collect::<Vec<_>>());
            self.agreement.turn(now);
        }
        if now >= self.next_turn_at {
            self.next_turn_at = now + self.interval;
            self.act_on_decisions(now, node);
        }
        while let Some(message) = self.agreement.outgoing() {
            // What the cap forbids is lost, as on the network: it is said again.
            node.say_to(now, message.to, Part::Agreement, message.bytes);
        }
    }

    pub fn due(&self) -> f64 {
        self.agreement.due().min(self.next_turn_at).min(self.next_report_at)
    }

    /// What this proxy itself does by what is decided.
    fn act_on_decisions(&mut self, now: f64, node: &Node) {
        let dead = node.members.all().filter(|(_, member)| member.standing == Standing::Dead);
        self.own.silent = dead.map(|(id, _)| id).collect();
        self.own.fleet = node.fleet().collect();
        self.own.leads = self.agreement.role() == agree::Role::Leads;
        let outs = self.agreement.machine();
        let runs = |id: Id, release: u64| outs.releases.runs(id) == release;
        let (period, evidence) = (self.terms.comparison_period, &mut self.evidence);
        if let Some(release) = outs.releases.current().filter(|of| of.phase == Phase::Staged) {
            evidence.begins(release.number);
        }
        let judge = |release, wave| match period {
            Some(period) => evidence.judge((now / period) as u64, release, wave, |id| runs(id, release)),
            None => Judgement::Go,
        };
        let (wanted, replace) = self.holder.turn(now, outs, &self.own, &self.terms.holder, judge);
        self.probe_addresses =
            self.holder.to_look_at(outs, &self.own).into_iter().map(|(_, at)| at).collect();
        self.replace = replace.or(self.replace.take());
        self.propose_wanted(now, wanted);
    }

    /// Asks for what is wanted and not asked for yet, and for nothing that is wanted no more: what waits
    /// while no majority is heard would all be decided at once afterwards.
    fn propose_wanted(&mut self, now: f64, wanted: Vec<Command>) {
        let obsolete: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, command)| !wanted.contains(command))
            .map(|(&request, _)| request)
            .collect();
        for request in obsolete {
            self.pending.remove(&request);
            self.agreement.forget(request);
        }
        self.retry_later.retain(|(_, until)| now < *until);
        for command in wanted {
            let already_asked = self
                .pending
                .values()
                .chain(self.retry_later.iter().map(|(later, _)| later))
                .any(|other| *other == command);
            if !already_asked && let Ok(request) = self.agreement.propose(now, OUTS, command.write()) {
                self.pending.insert(request, command);
            }
        }
    }

    /// Whether what became of conversations is to be told now.
    pub fn report_due(&self, now: f64) -> bool {
        now >= self.next_report_at
    }

    /// Tells the council what became of this proxy's conversations in the period that is over.
    pub fn send_report(&mut self, now: f64, node: &mut Node, report: Report) {
        let Some(period) = self.terms.comparison_period else { return };
        self.next_report_at = now + period;
        self.evidence.told((now / period) as u64, self.own.id, report);
        let council = self.agreement.standing(now).council;
        for member in council.ids().filter(|&id| id != self.own.id) {
            node.say_to(now, member, Part::Evidence, report.write());
        }
    }

    /// Callers' sockets of others that are to be asked for a sign of life now.
    pub fn addresses_to_probe(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.probe_addresses)
    }

    /// Somebody answered at that address.
    pub fn probe_answered(&mut self, now: f64, at: SocketAddr) {
        self.holder.answered(now, self.agreement.machine(), at);
    }

    /// What this proxy is to become now, if anything.
    pub fn next_replacement(&mut self) -> Option<Replace> {
        self.replace.take()
    }

    /// What it was to become it could not.
    pub fn replacement_failed(&mut self, release: u64, why: &str) {
        self.holder.stays();
        self.own.failed = Some((release, why.to_owned()));
    }

    /// The file of a release that is staged, until it is known whether it is fit here.
    pub fn release_to_check(&self) -> Option<(Kind, agree::Hash)> {
        let release = self.agreement.machine().releases.current().filter(|of| of.phase == Phase::Staged)?;
        let checked = self.own.staged.as_ref().is_some_and(|(sum, fit)| *sum == release.sum && fit.is_ok());
        (!checked).then_some((release.kind, release.sum))
    }

    pub fn release_checked(&mut self, sum: agree::Hash, fit: Result<(), String>) {
        self.own.staged = Some((sum, fit));
    }

    /// Whether this process was seen well with the release that it runs.
    pub fn is_healthy(&self) -> bool {
        self.agreement.machine().releases.runs(self.own.id) == self.own.runs
    }

    /// The servers that get nothing new, where they are others than when this was last asked.
    pub fn drained_update(&mut self) -> Option<&BTreeSet<String>> {
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

    pub fn status(&self, now: f64) -> AgreeStanding {
        self.agreement.standing(now)
    }

    /// Bytes for the disk, as [`Agreement::to_write`].
    pub fn next_write(&mut self, now: f64) -> Option<Write> {
        self.agreement.to_write(now)
    }

    /// What the disk came to.
    pub fn write_finished(&mut self, now: f64, succeeded: bool) {
        if succeeded { self.agreement.written(now) } else { self.agreement.unwritten(now) }
    }
}
