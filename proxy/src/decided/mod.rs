//! Connects the decisions of the council with gossip, which carries the messages, and with this proxy.
//! [`DecidedState::exchange`] moves messages in both directions, [`DecidedState::submit_command`] proposes a
//! command, and [`DecidedState::next_outcome`] returns its outcome.

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

/// A command that was decided and is still wanted is proposed again after this many intervals.
const RETRY_INTERVALS: f64 = 10.0;

/// The configuration of unavailability: how many may be unavailable, and how releases are judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailabilityTerms {
    /// The part of a pool's central servers that may be unavailable at once; at least one server.
    pub pool_part: f64,
    /// When this proxy asks for leave and returns.
    pub holder: HolderTerms,
    /// The period over which proxies with a new release are compared with others, in milliseconds; `None` if
    /// releases are not judged.
    pub comparison_period: Option<f64>,
}

/// What the daemon knows of this process.
#[derive(Clone, Debug)]
pub struct ProcessInfo {
    /// The release that it runs; 0 for none.
    pub running_release: u64,
    /// The release that it failed to start, with the reason.
    pub failed_release: Option<(u64, String)>,
    /// The address for callers.
    pub caller_address: SocketAddr,
}

/// The decided state as this proxy knows it.
pub struct DecidedState {
    agreement: Agreement<Availability, FleetKeys>,
    terms: AvailabilityTerms,
    name: String,
    /// The drained servers, as last passed to the pool list.
    drained: BTreeSet<String>,
    holder: Holder,
    own: LocalState,
    /// Commands that this proxy has proposed, by number, and commands that were decided recently, with the
    /// time in milliseconds from which they may be proposed again.
    pending: BTreeMap<u64, Command>,
    retry_later: Vec<(Command, f64)>,
    probe_addresses: Vec<SocketAddr>,
    replace: Option<Replacement>,
    next_turn_at: f64,
    interval: f64,
    /// Reports of the proxies on their conversations, kept in case this proxy has to judge a release.
    evidence: Evidence,
    next_report_at: f64,
}

impl DecidedState {
    /// `file` is the stored state.
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
        let interval = terms.0.heartbeat;
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

    /// The agreement, for serving decided state to others.
    pub(crate) fn agreement(&mut self) -> &mut Agreement<Availability, FleetKeys> {
        &mut self.agreement
    }

    /// The decided state by scope.
    pub(crate) fn scoped(&self) -> &ScopedState {
        self.agreement.machine().scoped()
    }

    /// The decision since which the current council votes.
    pub(crate) fn council_since(&self) -> u64 {
        self.agreement.council_since()
    }

    /// Replaces the fleet's keys and roster.
    pub fn rekey(&mut self, keys: FleetKeys) {
        self.agreement.rekey(keys);
    }

    /// Runs everything that is due, and moves messages between the agreement and gossip.
    pub fn exchange(&mut self, now: f64, node: &mut Node) {
        while let Some((from, bytes)) = node.next_payload(Subsystem::Agreement) {
            self.agreement.receive(now, from, &bytes);
        }
        while let Some((from, bytes)) = node.next_payload(Subsystem::Evidence) {
            if let Some((report, period)) = Report::decode(&bytes).zip(self.terms.comparison_period) {
                self.evidence.record((now / period) as u64, from, report);
            }
        }
        if self.agreement.due() <= now {
            let alive = node.members.all().filter(|(_, member)| member.state != MemberState::Dead);
            self.agreement.set_peers(alive.map(|(id, _)| id).collect::<Vec<_>>());
            self.agreement.turn(now);
        }
        if now >= self.next_turn_at {
            self.next_turn_at = now + self.interval;
            self.act_on_decisions(now, node);
        }
        while let Some(message) = self.agreement.outgoing() {
            // A message over the cap is dropped like one lost on the network; it is sent again later.
            node.send_payload(now, message.to, Subsystem::Agreement, message.bytes);
        }
    }

    /// The time of the next [`DecidedState::exchange`].
    pub fn due(&self) -> f64 {
        self.agreement.due().min(self.next_turn_at).min(self.next_report_at)
    }

    /// Carries out the decisions that concern this proxy itself.
    fn act_on_decisions(&mut self, now: f64, node: &Node) {
        let dead = node.members.all().filter(|(_, member)| member.state == MemberState::Dead);
        self.own.unreachable = dead.map(|(id, _)| id).collect();
        self.own.fleet = node.roster_ids().collect();
        self.own.is_leader = self.agreement.role() == agree::Role::Leads;
        let outs = self.agreement.machine();
        let runs = |id: Id, release: u64| outs.releases.running_release(id) == release;
        let (period, evidence) = (self.terms.comparison_period, &mut self.evidence);
        if let Some(release) = outs.releases.current().filter(|of| of.phase == Phase::Staged) {
            evidence.start_release(release.number);
        }
        let judge = |release, wave| match period {
            Some(period) => evidence.judge((now / period) as u64, release, wave, |id| runs(id, release)),
            None => Judgement::Go,
        };
        let (wanted, replace) = self.holder.turn(now, outs, &self.own, &self.terms.holder, judge);
        self.probe_addresses = self.holder.to_probe(outs, &self.own).into_iter().map(|(_, at)| at).collect();
        self.replace = replace.or(self.replace.take());
        self.propose_wanted(now, wanted);
    }

    /// Proposes wanted commands that are not pending, and drops pending ones that are no longer wanted:
    /// without a majority they would accumulate and all be decided at once later.
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
            if !already_asked
                && let Ok(request) = self.agreement.propose(now, AVAILABILITY_PART, command.encode())
            {
                self.pending.insert(request, command);
            }
        }
    }

    /// Whether a report on conversations is due.
    pub fn report_due(&self, now: f64) -> bool {
        now >= self.next_report_at
    }

    /// Sends the report on this proxy's conversations in the past period to the council.
    pub fn send_report(&mut self, now: f64, node: &mut Node, report: Report) {
        let Some(period) = self.terms.comparison_period else { return };
        self.next_report_at = now + period;
        self.evidence.record((now / period) as u64, self.own.id, report);
        let council = self.agreement.status(now).council;
        for member in council.ids().filter(|&id| id != self.own.id) {
            node.send_payload(now, member, Subsystem::Evidence, report.encode());
        }
    }

    /// Callers' addresses of other proxies that should be probed now.
    pub fn addresses_to_probe(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.probe_addresses)
    }

    /// Reports an answer to a probe of that address.
    pub fn probe_answered(&mut self, now: f64, at: SocketAddr) {
        self.holder.probe_answered(now, self.agreement.machine(), at);
    }

    /// The replacement of this process that should be started now, if any.
    pub fn next_replacement(&mut self) -> Option<Replacement> {
        self.replace.take()
    }

    /// Reports that the replacement of this process failed.
    pub fn replacement_failed(&mut self, release: u64, why: &str) {
        self.holder.replacement_failed();
        self.own.failed = Some((release, why.to_owned()));
    }

    /// The kind and hash of a staged release, until its check on this machine succeeds.
    pub fn release_to_check(&self) -> Option<(Kind, agree::Hash)> {
        let release = self.agreement.machine().releases.current().filter(|of| of.phase == Phase::Staged)?;
        let checked = self.own.staged.as_ref().is_some_and(|(sum, fit)| *sum == release.sum && fit.is_ok());
        (!checked).then_some((release.kind, release.sum))
    }

    /// Reports the result of the check of a release's file.
    pub fn release_checked(&mut self, sum: agree::Hash, fit: Result<(), String>) {
        self.own.staged = Some((sum, fit));
    }

    /// Whether others have seen this process work with the release that it runs.
    pub fn is_healthy(&self) -> bool {
        self.agreement.machine().releases.running_release(self.own.id) == self.own.running_release
    }

    /// The drained servers, if they changed since the last call.
    pub fn drained_update(&mut self) -> Option<&BTreeSet<String>> {
        let drained: BTreeSet<String> = self.drains().iter().map(|(server, _)| server.to_owned()).collect();
        let changed = drained != self.drained;
        self.drained = drained;
        changed.then_some(&self.drained)
    }

    /// The drains that are in force.
    pub fn drains(&self) -> &Drains {
        &self.agreement.machine().drains
    }

    /// The maximum age of what this proxy knows of the decisions, in milliseconds.
    pub fn age(&self, now: f64) -> f64 {
        self.agreement.age(now)
    }

    /// The state of the agreement.
    pub fn status(&self, now: f64) -> AgreementStatus {
        self.agreement.status(now)
    }

    /// Bytes to write to disk; see [`Agreement::to_write`].
    pub fn next_write(&mut self, now: f64) -> Option<DiskWrite> {
        self.agreement.next_write(now)
    }

    /// Reports whether the last write to disk succeeded.
    pub fn write_finished(&mut self, now: f64, succeeded: bool) {
        if succeeded { self.agreement.write_succeeded(now) } else { self.agreement.write_failed(now) }
    }
}
