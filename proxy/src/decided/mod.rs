//! The tie between what is decided for all proxies, the gossip that carries it, and this proxy.
//! [`DecidedState::exchange`] moves words both ways; [`DecidedState::submit_command`] asks for a decision, [`DecidedState::next_outcome`]
//! tells what came of it.

mod commands;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use agree::certificate::FleetKeys;
use agree::disk::{DiskWrite, PersistedState, RecoveryError};
use agree::{Agreement, AgreementStatus, AgreementTerms, Id, UnsupportedDecision};
use distribution::ScopedState;
use gossip::Node;
use gossip::wire::{MemberState, Subsystem};
use outs::evidence::{Evidence, Judgement, Report};
use outs::holder::{Holder, HolderTerms, LocalState, Replacement};
use outs::{AVAILABILITY_PART, Availability, Command, Drains, Kind, Phase};

pub use commands::{CommandOutcome, OperatorCommand};
pub use status::{
    AvailabilityStatus, CouncilStatus, DrainStatus, ReleaseStatus, UnavailabilityStatus, VoterStatus,
};

/// What was decided and is still wanted is asked for again after so many beats.
const AGAIN_BEATS: f64 = 10.0;

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
    agreement: Agreement<Availability, FleetKeys>,
    terms: AvailabilityTerms,
    name: String,
    /// The servers that are drained, as the pool list was last told.
    drained: BTreeSet<String>,
    holder: Holder,
    own: LocalState,
    /// What this proxy itself has asked for, by number; and what was decided lately, with when it may ask
    /// again.
    asked: BTreeMap<u64, Command>,
    rests: Vec<(Command, f64)>,
    looks: Vec<SocketAddr>,
    replace: Option<Replacement>,
    turn_at: f64,
    beat: f64,
    /// What proxies told of their conversations, kept where this one may have to judge.
    evidence: Evidence,
    report_at: f64,
}

impl DecidedState {
    /// `file` is what the disk gave.
    pub fn new(
        node: &Node,
        terms: (AgreementTerms, AvailabilityTerms),
        process: ProcessInfo,
        keys: FleetKeys,
        file: Result<PersistedState, RecoveryError>,
        seed: u64,
        now: f64,
    ) -> Result<Self, UnsupportedDecision> {
        let name = node.name(node.id()).unwrap_or_default().to_owned();
        let beat = terms.0.heartbeat;
        let agreement = Agreement::new(node.id(), terms.0, keys, Availability::default(), file, seed, now)?;
        let ProcessInfo { running_release: runs, failed_release: failed, caller_address: callers } = process;
        let (fleet, silent) = (node.roster_ids().collect(), BTreeSet::new());
        let own = LocalState {
            id: node.id(),
            fleet,
            running_release: runs,
            caller_address: callers,
            is_leader: false,
            unreachable: silent,
            failed,
            staged: None,
        };
        Ok(Self {
            agreement,
            terms: terms.1,
            name,
            drained: BTreeSet::new(),
            holder: Holder::default(),
            own,
            asked: BTreeMap::new(),
            rests: Vec::new(),
            looks: Vec::new(),
            replace: None,
            turn_at: now,
            beat,
            evidence: Evidence::default(),
            report_at: now + terms.1.comparison_period.unwrap_or(f64::INFINITY),
        })
    }

    /// What is decided, for whoever serves it to others.
    pub(crate) fn agreement(&mut self) -> &mut Agreement<Availability, FleetKeys> {
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
        while let Some((from, bytes)) = node.next_payload(Subsystem::Agreement) {
            self.agreement.receive(now, from, &bytes);
        }
        while let Some((from, bytes)) = node.next_payload(Subsystem::Evidence) {
            if let Some((report, span)) = Report::decode(&bytes).zip(self.terms.comparison_period) {
                self.evidence.record((now / span) as u64, from, report);
            }
        }
        if self.agreement.due() <= now {
            let alive = node.members.all().filter(|(_, member)| member.state != MemberState::Dead);
            self.agreement.set_peers(alive.map(|(id, _)| id).collect::<Vec<_>>());
            self.agreement.turn(now);
        }
        if now >= self.turn_at {
            self.turn_at = now + self.beat;
            self.hold(now, node);
        }
        while let Some(out) = self.agreement.outgoing() {
            // What the cap forbids is lost, as on the network: it is said again.
            node.send_payload(now, out.to, Subsystem::Agreement, out.bytes);
        }
    }

    pub fn due(&self) -> f64 {
        self.agreement.due().min(self.turn_at).min(self.report_at)
    }

    /// What this proxy itself does by what is decided.
    fn hold(&mut self, now: f64, node: &Node) {
        let dead = node.members.all().filter(|(_, member)| member.state == MemberState::Dead);
        self.own.unreachable = dead.map(|(id, _)| id).collect();
        self.own.fleet = node.roster_ids().collect();
        self.own.is_leader = self.agreement.role() == agree::Role::Leads;
        let outs = self.agreement.machine();
        let runs = |id: Id, release: u64| outs.releases.running_release(id) == release;
        let (span, evidence) = (self.terms.comparison_period, &mut self.evidence);
        if let Some(release) = outs.releases.current().filter(|of| of.phase == Phase::Staged) {
            evidence.start_release(release.number);
        }
        let judge = |release, wave| match span {
            Some(span) => evidence.judge((now / span) as u64, release, wave, |id| runs(id, release)),
            None => Judgement::Go,
        };
        let (wanted, replace) = self.holder.turn(now, outs, &self.own, &self.terms.holder, judge);
        self.looks = self.holder.to_probe(outs, &self.own).into_iter().map(|(_, at)| at).collect();
        self.replace = replace.or(self.replace.take());
        self.ask(now, wanted);
    }

    /// Asks for what is wanted and not asked for yet, and for nothing that is wanted no more: what waits
    /// while no majority is heard would all be decided at once afterwards.
    fn ask(&mut self, now: f64, wanted: Vec<Command>) {
        let vain: Vec<u64> = self
            .asked
            .iter()
            .filter(|(_, command)| !wanted.contains(command))
            .map(|(&request, _)| request)
            .collect();
        for request in vain {
            self.asked.remove(&request);
            self.agreement.forget(request);
        }
        self.rests.retain(|(_, until)| now < *until);
        for command in wanted {
            let waits =
                self.asked.values().chain(self.rests.iter().map(|(of, _)| of)).any(|of| *of == command);
            if !waits && let Ok(request) = self.agreement.propose(now, AVAILABILITY_PART, command.encode()) {
                self.asked.insert(request, command);
            }
        }
    }

    /// Whether what became of conversations is to be told now.
    pub fn report_due(&self, now: f64) -> bool {
        now >= self.report_at
    }

    /// Tells the council what became of this proxy's conversations in the span that is over.
    pub fn send_report(&mut self, now: f64, node: &mut Node, report: Report) {
        let Some(span) = self.terms.comparison_period else { return };
        self.report_at = now + span;
        self.evidence.record((now / span) as u64, self.own.id, report);
        let council = self.agreement.status(now).council;
        for member in council.ids().filter(|&id| id != self.own.id) {
            node.send_payload(now, member, Subsystem::Evidence, report.encode());
        }
    }

    /// Callers' sockets of others that are to be asked for a sign of life now.
    pub fn addresses_to_probe(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.looks)
    }

    /// Somebody answered at that address.
    pub fn probe_answered(&mut self, now: f64, at: SocketAddr) {
        self.holder.probe_answered(now, self.agreement.machine(), at);
    }

    /// What this proxy is to become now, if anything.
    pub fn next_replacement(&mut self) -> Option<Replacement> {
        self.replace.take()
    }

    /// What it was to become it could not.
    pub fn replacement_failed(&mut self, release: u64, why: &str) {
        self.holder.replacement_failed();
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
        self.agreement.machine().releases.running_release(self.own.id) == self.own.running_release
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

    pub fn status(&self, now: f64) -> AgreementStatus {
        self.agreement.status(now)
    }

    /// Bytes for the disk, as [`Agreement::to_write`].
    pub fn next_write(&mut self, now: f64) -> Option<DiskWrite> {
        self.agreement.next_write(now)
    }

    /// What the disk came to.
    pub fn write_finished(&mut self, now: f64, well: bool) {
        if well { self.agreement.write_succeeded(now) } else { self.agreement.write_failed(now) }
    }
}
