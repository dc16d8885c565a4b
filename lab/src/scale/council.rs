//! The agreement as run by a node of a scale run: over gossip, with a disk whose writes succeed at once, and
//! with the changes that were proposed at this node.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use agree::{Agreement, AgreementTerms, Id, Machine, Outcome};
use gossip::keys::Roster;
use gossip::wire::{MemberState, Subsystem};
use gossip::{GossipTerms, Node as Member};

use super::keys::{self, SharedKeys};
use super::kv_machine;
use super::layout::{Layout, NodeId};
use super::node::{ConfigChange, NotReady, Version};

/// Limit of a member's gossip in bytes per second, and milliseconds between probes and between the leader's
/// heartbeats: the values of the example settings.
const MAX_BYTES_PER_SECOND: f64 = 16_000.0;
const PROBE_INTERVAL_MS: f64 = 200.0;
const HEARTBEAT_MS: f64 = 200.0;
/// The same for control machines. The heartbeat is meant to be longer than the time to the farthest region
/// and back; ten heartbeats without a leader start an election.
const CONTROL_MAX_BYTES_PER_SECOND: f64 = 1e6;
const CONTROL_HEARTBEAT_MS: f64 = 100.0;
const LEASE_MS: f64 = 10_000.0;
const MAX_FAULTY: usize = 2;
const RESEND_INTERVAL_MS: f64 = 500.0;
/// Wall clock at the start of every run, in Unix milliseconds.
pub const EPOCH_UNIX_MS: f64 = 1.7e12;

/// Terms shared by all nodes that gossip.
pub struct CouncilTerms {
    /// The nodes that gossip.
    pub roster: Arc<Roster>,
    pub voters: Vec<NodeId>,
    /// Limit on the bytes per second that gossip sends.
    pub max_bytes_per_second: f64,
    /// Milliseconds between a leader's heartbeats.
    pub heartbeat: f64,
}

impl CouncilTerms {
    /// Terms of a fleet without control machines, from the example settings.
    pub fn for_flat_fleet(roster: Roster, voters: Vec<NodeId>) -> Self {
        Self {
            roster: Arc::new(roster),
            voters,
            max_bytes_per_second: MAX_BYTES_PER_SECOND,
            heartbeat: HEARTBEAT_MS,
        }
    }

    /// Terms of dedicated control machines: their gossip may send as many bytes as decisions need.
    pub fn for_controls(roster: Roster, voters: Vec<NodeId>) -> Self {
        Self {
            max_bytes_per_second: CONTROL_MAX_BYTES_PER_SECOND,
            heartbeat: CONTROL_HEARTBEAT_MS,
            ..Self::for_flat_fleet(roster, voters)
        }
    }
}

/// The gossip and agreement of one node.
pub struct CouncilNode<M> {
    member: Member,
    agreement: Agreement<M, SharedKeys>,
    file: Vec<u8>,
    /// Changes proposed here, by the number of the agreement's request.
    requests: BTreeMap<u64, (usize, ConfigChange)>,
    decided: VecDeque<(usize, Version)>,
}

impl<M: Machine> CouncilNode<M> {
    pub fn start(
        terms: &CouncilTerms,
        node: NodeId,
        generation: u32,
        machine: M,
        disk: &[u8],
        now: f64,
    ) -> Self {
        let secrets = keys::secrets(node);
        let gossip_terms = GossipTerms {
            address: Layout::address(node),
            seeds: terms.voters.iter().copied().map(Layout::address).collect(),
            max_bytes_per_second: terms.max_bytes_per_second,
            probe_interval: PROBE_INTERVAL_MS,
            max_faulty: MAX_FAULTY,
            resend_interval: RESEND_INTERVAL_MS,
        };
        let seed = node as u64 ^ u64::from(generation) << 32;
        let member = Member::new(
            gossip_terms,
            secrets.clone(),
            (*terms.roster).clone(),
            seed,
            now,
            EPOCH_UNIX_MS + now,
        );
        let bootstrap_members = terms.voters.iter().map(|&voter| keys::secrets(voter).id()).collect();
        let agreement_terms =
            AgreementTerms { bootstrap_members, heartbeat: terms.heartbeat, lease: LEASE_MS };
        let signer = SharedKeys { secrets, roster: terms.roster.clone() };
        let recovered = agree::disk::recover(disk);
        let agreement = Agreement::new(member.id(), agreement_terms, signer, machine, recovered, seed, now);
        let agreement = agreement.expect("a snapshot written by this machine");
        let (requests, decided) = (BTreeMap::new(), VecDeque::new());
        Self { member, agreement, file: disk.to_vec(), requests, decided }
    }

    pub fn machine(&self) -> &M {
        self.agreement.machine()
    }

    pub fn agreement(&mut self) -> &mut Agreement<M, SharedKeys> {
        &mut self.agreement
    }

    pub fn receive(&mut self, now: f64, from: std::net::SocketAddr, datagram: &[u8]) {
        self.member.receive(now, from, datagram);
    }

    pub fn turn(&mut self, now: f64) {
        if self.member.due() <= now {
            self.member.turn(now);
        }
        while let Some((from, bytes)) = self.member.next_payload(Subsystem::Agreement) {
            self.agreement.receive(now, from, &bytes);
        }
        if self.agreement.due() <= now {
            let alive = self.member.members.all().filter(|(_, member)| member.state != MemberState::Dead);
            self.agreement.set_peers(alive.map(|(id, _)| id).collect::<Vec<Id>>());
            self.agreement.turn(now);
        }
        self.write_to_disk(now);
        while let Some(out) = self.agreement.outgoing() {
            // A message over the byte limit is lost as on the network; the agreement sends it again.
            self.member.send_payload(now, out.to, Subsystem::Agreement, out.bytes);
        }
        self.collect_outcomes(now);
    }

    fn write_to_disk(&mut self, now: f64) {
        while let Some(write) = self.agreement.next_write(now) {
            if write.replaces_file {
                self.file.clear();
            }
            self.file.extend(write.bytes);
            self.agreement.write_succeeded(now);
        }
    }

    fn collect_outcomes(&mut self, now: f64) {
        while let Some((request, outcome)) = self.agreement.outcome() {
            let Some((number, change)) = self.requests.remove(&request) else { continue };
            match outcome {
                Outcome::Decided { index, .. } => self.decided.push_back((number, index)),
                Outcome::Done { by } => self.decided.push_back((number, by)),
                // Proposed again, as an operator would.
                Outcome::Refused(_) => drop(self.propose(now, number, &change)),
            }
        }
    }

    pub fn propose(&mut self, now: f64, number: usize, change: &ConfigChange) -> Result<(), NotReady> {
        let proposed =
            self.agreement.propose(now, kv_machine::CHANGES_PART, kv_machine::encode_command(change));
        let request = proposed.map_err(|_| NotReady)?;
        self.requests.insert(request, (number, change.clone()));
        Ok(())
    }

    pub fn next_decided(&mut self) -> Option<(usize, Version)> {
        self.decided.pop_front()
    }

    pub fn due(&self) -> f64 {
        self.member.due().min(self.agreement.due())
    }

    pub fn outgoing(&mut self) -> Option<(std::net::SocketAddr, Vec<u8>)> {
        self.member.outgoing().map(|out| (out.peer, out.bytes))
    }

    pub fn disk(&self) -> &[u8] {
        &self.file
    }

    /// Size in bytes of the encoded state: statements, members and decisions.
    pub fn state_bytes(&self) -> usize {
        let encoded_bytes = |statement| postcard::to_stdvec(statement).expect("plain data").len();
        let statements: usize = self.member.statements().map(encoded_bytes).sum();
        statements + self.member.members.all().count() * MEMBER_BYTES + self.agreement.machine().state().len()
    }
}

/// Bytes per member: id, address, incarnation and state.
const MEMBER_BYTES: usize = 8 + 18 + 8 + 1;
