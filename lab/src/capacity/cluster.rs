//! A cluster of members under a virtual clock, each with the real gossip and optionally the real log of
//! decisions and fleet limits, connected as `proxy/` connects them. Links lose and delay datagrams. Bytes
//! sent are counted per second, processor time by the time of this thread.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use agree::certificate::FleetKeys;
use agree::{Agreement, AgreementTerms, Index, Machine, Role, UnsupportedDecision};
use anyhow::Result;
use fleet::{Fleet, FleetTerms, LoanTerms};
use gossip::keys::{Roster, Secrets};
use gossip::wire::{Generation, Subsystem};
use gossip::{GossipTerms, Node};
use nix::time::{ClockId, clock_gettime};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Milliseconds between two steps of the virtual clock.
const STEP_MS: f64 = 10.0;
/// Milliseconds between probes, heartbeats and limit ticks: the default of the settings.
const INTERVAL_MS: f64 = 200.0;
/// Maximum delay of a datagram on a link, in milliseconds.
const MAX_DELAY_MS: f64 = 10.0;
/// Milliseconds after which an unanswered set-up is sent again.
const RESEND_INTERVAL_MS: f64 = 500.0;
/// Milliseconds until a central server answers a set-up.
const ANSWER_DELAY_MS: f64 = 50.0;
/// Number of members that vote.
const VOTERS: usize = 5;
/// Size of a command in bytes: about a drain with a name and a reason.
const COMMAND_BYTES: usize = 64;
/// Window of each fleet limit, in milliseconds.
const LIMIT_WINDOW_MS: f64 = 1000.0;
/// Length in milliseconds of the sliding window in which a member's busiest second is found.
const SECOND_MS: f64 = 1000.0;
/// Wall clock at the start, in Unix milliseconds; also the first incarnation of each member.
const START_UNIX_MS: u64 = 1_000_000_000_000;

/// Size, load and faults of a measured cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterTerms {
    pub members: usize,
    /// Limit on the bytes per second that each member's gossip sends.
    pub max_bytes_per_second: f64,
    /// Share of all datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// Number of faulty members that gossip tolerates.
    pub max_faulty: usize,
    /// Central servers that each member calls, and its set-ups per second to each of them (`rate`).
    pub servers: u64,
    pub rate: f64,
    /// Whether the members also run the agreement log, with the first [`VOTERS`] as council.
    pub council: bool,
    /// Limits that each member holds, and the set-ups per second that each allows to the whole fleet.
    pub limits: usize,
    pub limit_rate: f64,
    /// Number of limits that a member uses; it only holds the others.
    pub limits_used: usize,
    pub seed: u64,
}

/// State machine that records the number in each decided command, in the order of the log.
#[derive(Clone, Debug, Default)]
pub struct RecordingMachine {
    pub numbers: Vec<u64>,
}

impl Machine for RecordingMachine {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let number = command.first_chunk::<8>().ok_or_else(|| invalid_command(index, part))?;
        self.numbers.push(u64::from_le_bytes(*number));
        Ok(Vec::new())
    }

    fn state(&self) -> Vec<u8> {
        self.numbers.iter().flat_map(|number| number.to_le_bytes()).collect()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), UnsupportedDecision> {
        self.numbers = state
            .chunks_exact(8)
            .map(|number| u64::from_le_bytes(number.try_into().expect("chunk of 8 bytes")))
            .collect();
        Ok(())
    }
}

fn invalid_command(index: Index, part: u8) -> UnsupportedDecision {
    UnsupportedDecision { index, part, reason: "command shorter than 8 bytes".to_owned() }
}

struct Member {
    node: Node,
    agreement: Option<Agreement<RecordingMachine, FleetKeys>>,
    limits: Option<Fleet>,
    /// Pending answers to set-ups: when each arrives, and from which server.
    answers: VecDeque<(f64, u64)>,
    /// Sends of the last second with their bytes, the sum of these, and the maximum of any second.
    recent_sends: VecDeque<(f64, usize)>,
    bytes_in_window: usize,
    max_bytes_in_window: usize,
    /// When it first believed that the silent server does not answer.
    believed_silent_at: Option<f64>,
    seen_decisions: usize,
}

/// A cluster of members and the links between them.
pub struct Cluster {
    terms: ClusterTerms,
    pub now: f64,
    members: Vec<Member>,
    rng: Pcg64Mcg,
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    in_flight: BTreeMap<u64, (usize, usize, Vec<u8>)>,
    last_datagram_id: u64,
    /// Bytes and datagrams that all members sent since the last [`Cluster::reset_counters`].
    pub bytes: u64,
    pub packets: u64,
    /// Processor time of the members' own work since the same moment, in milliseconds.
    pub cpu_ms: f64,
    counting_since: f64,
    /// A server that answers nobody, and since when.
    silent_server: Option<(u64, f64)>,
    /// When each number was proposed, and when each member learned that it is decided.
    proposed_at: BTreeMap<u64, f64>,
    known_at: BTreeMap<u64, Vec<f64>>,
    proposals: u64,
}

/// Processor time of this thread, in milliseconds; 0 if the clock cannot be read.
pub fn thread_cpu_ms() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |time| time.tv_sec() as f64 * 1000.0 + time.tv_nsec() as f64 / 1e6)
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, (member >> 16) as u8, (member >> 8) as u8, member as u8], 7000))
}

fn member_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => u32::from(*v4.ip()) as usize & 0xff_ffff,
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn secrets(member: usize) -> Result<Secrets> {
    let mut key = [7; 32];
    key[..8].copy_from_slice(&(member as u64 + 1).to_le_bytes());
    Ok(Secrets::new(key, vec![[9; 32]])?)
}

fn generation(server: u64) -> Generation {
    Generation { server, started: 1 }
}

fn limit_name(limit: usize) -> String {
    format!("server-{limit:05}@1")
}

impl Cluster {
    /// Starts all members at time 0.
    pub fn new(terms: ClusterTerms) -> Result<Self> {
        let secret_keys: Vec<Secrets> = (0..terms.members).map(secrets).collect::<Result<_>>()?;
        let names: Vec<String> = (0..terms.members).map(|member| format!("p{member}")).collect();
        let roster =
            Roster::new(names.iter().map(String::as_str).zip(secret_keys.iter().map(Secrets::public_key)))?;
        let mut rng = Pcg64Mcg::seed_from_u64(terms.seed);
        let bootstrap_members: Vec<_> = secret_keys.iter().take(VOTERS).map(Secrets::id).collect();
        let mut members = Vec::new();
        for (index, own) in secret_keys.into_iter().enumerate() {
            let gossip_terms = GossipTerms {
                address: address(index),
                seeds: vec![address(0), address(1), address(2)],
                max_bytes_per_second: terms.max_bytes_per_second,
                probe_interval: INTERVAL_MS,
                max_faulty: terms.max_faulty,
                resend_interval: RESEND_INTERVAL_MS,
            };
            let keys = FleetKeys { secrets: secrets(index)?, roster: roster.clone() };
            let node = Node::new(gossip_terms, own, roster.clone(), rng.random(), 0.0, START_UNIX_MS as f64);
            let agreement = if terms.council {
                let agreement_terms = AgreementTerms {
                    bootstrap_members: bootstrap_members.clone(),
                    heartbeat: INTERVAL_MS,
                    lease: 30.0 * INTERVAL_MS,
                };
                let recovered = agree::disk::recover(&[]);
                Some(Agreement::new(
                    node.id(),
                    agreement_terms,
                    keys,
                    RecordingMachine::default(),
                    recovered,
                    rng.random(),
                    0.0,
                )?)
            } else {
                None
            };
            let limits = (terms.limits > 0).then(|| {
                let loans = LoanTerms { lease: 2.0 * LIMIT_WINDOW_MS, drift: 0.01, spread: 0.0, floor: 0.0 };
                let fleet_terms = FleetTerms { loans, tick_interval: INTERVAL_MS };
                let mut limits = Fleet::new(node.id(), node.roster_ids(), fleet_terms, rng.random(), 0.0);
                for limit in 0..terms.limits {
                    limits.set_limit(&limit_name(limit), terms.limit_rate, LIMIT_WINDOW_MS);
                }
                limits
            });
            members.push(Member {
                node,
                agreement,
                limits,
                answers: VecDeque::new(),
                recent_sends: VecDeque::new(),
                bytes_in_window: 0,
                max_bytes_in_window: 0,
                believed_silent_at: None,
                seen_decisions: 0,
            });
        }
        Ok(Self {
            terms,
            now: 0.0,
            members,
            rng,
            arrivals: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            last_datagram_id: 0,
            bytes: 0,
            packets: 0,
            cpu_ms: 0.0,
            counting_since: 0.0,
            silent_server: None,
            proposed_at: BTreeMap::new(),
            known_at: BTreeMap::new(),
            proposals: 0,
        })
    }

    /// Advances the virtual clock by `duration` milliseconds.
    pub fn run_for(&mut self, duration: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP_MS;
            self.step();
        }
    }

    /// Resets the counters of bytes, datagrams and processor time.
    pub fn reset_counters(&mut self) {
        (self.bytes, self.packets, self.cpu_ms, self.counting_since) = (0, 0, 0.0, self.now);
        self.members.iter_mut().for_each(|member| member.max_bytes_in_window = member.bytes_in_window);
    }

    fn member_seconds(&self) -> f64 {
        self.members.len() as f64 * (self.now - self.counting_since) / SECOND_MS
    }

    /// Mean bytes that a member sends per second, and the maximum of any member in any second.
    pub fn bytes_per_second(&self) -> (f64, usize) {
        let max_bytes = self.members.iter().map(|member| member.max_bytes_in_window).max().unwrap_or(0);
        (self.bytes as f64 / self.member_seconds(), max_bytes)
    }

    pub fn packets_per_second(&self) -> f64 {
        self.packets as f64 / self.member_seconds()
    }

    /// Mean processor time per member, in milliseconds per second, without system calls.
    pub fn cpu_ms_per_second(&self) -> f64 {
        self.cpu_ms / self.member_seconds()
    }

    /// Mean number of members that a member knows as alive.
    pub fn mean_alive_members(&self) -> f64 {
        let known = self.members.iter().map(|member| member.node.members.alive()).sum::<usize>();
        known as f64 / self.members.len() as f64
    }

    /// Mean number of times since the start that a member refuted a claim that it is dead.
    pub fn mean_refutations(&self) -> f64 {
        let refuted =
            self.members.iter().map(|member| member.node.incarnation() - START_UNIX_MS).sum::<u64>();
        refuted as f64 / self.members.len() as f64
    }

    pub fn has_leader(&self) -> bool {
        let leads = |member: &Member| member.agreement.as_ref().is_some_and(|of| of.role() == Role::Leads);
        self.members.iter().any(leads)
    }

    /// Number of sends that the byte limit deferred, over all members.
    pub fn total_deferred(&self) -> u64 {
        self.members.iter().map(|member| member.node.deferred()).sum()
    }

    /// Makes a server answer nobody from now on.
    pub fn silence_server(&mut self, server: u64) {
        self.silent_server = Some((server, self.now));
    }

    /// Sorted milliseconds until each member believed the server silent, and the number that do not yet.
    pub fn belief_delays(&self) -> (Vec<f64>, usize) {
        let since = self.silent_server.map_or(0.0, |(_, silent_since)| silent_since);
        let mut delays: Vec<f64> =
            self.members.iter().filter_map(|member| Some(member.believed_silent_at? - since)).collect();
        delays.sort_by(f64::total_cmp);
        let unaware = self.members.len() - delays.len();
        (delays, unaware)
    }

    /// Proposes a decision at a member and returns its number.
    pub fn propose(&mut self, index: usize) -> u64 {
        self.proposals += 1;
        let number = self.proposals;
        let mut command = vec![0; COMMAND_BYTES];
        command[..8].copy_from_slice(&number.to_le_bytes());
        let proposed =
            self.members[index].agreement.as_mut().map(|agreement| agreement.propose(self.now, 0, command));
        if matches!(proposed, Some(Ok(_))) {
            self.proposed_at.insert(number, self.now);
        }
        number
    }

    /// Sorted milliseconds from a proposal until each member knew it, and the number that do not yet.
    pub fn decision_delays(&self, number: u64) -> (Vec<f64>, usize) {
        let proposed_at = self.proposed_at.get(&number).copied().unwrap_or(f64::NAN);
        let mut delays: Vec<f64> =
            self.known_at.get(&number).into_iter().flatten().map(|at| at - proposed_at).collect();
        delays.sort_by(f64::total_cmp);
        let unaware = self.members.len() - delays.len();
        (delays, unaware)
    }

    fn step(&mut self) {
        let arrived = self.take_arrivals();
        let attempts = self.draw_attempts();
        let began = thread_cpu_ms();
        for (from, to, bytes) in arrived {
            self.members[to].node.receive(self.now, address(from), &bytes);
        }
        for (index, server, answered) in attempts {
            self.send_attempt(index, server, answered);
        }
        for index in 0..self.members.len() {
            self.turn_member(index);
        }
        self.cpu_ms += thread_cpu_ms() - began;
        for index in 0..self.members.len() {
            self.send_outgoing(index);
            self.observe(index);
        }
    }

    fn take_arrivals(&mut self) -> Vec<(usize, usize, Vec<u8>)> {
        let mut arrived = Vec::new();
        while let Some(Reverse((at, id))) = self.arrivals.peek().copied() {
            if at > (self.now * 1000.0) as u64 {
                break;
            }
            self.arrivals.pop();
            arrived.extend(self.in_flight.remove(&id));
        }
        arrived
    }

    /// Draws the attempts of this step: member, server, and whether the server will answer.
    fn draw_attempts(&mut self) -> Vec<(usize, u64, bool)> {
        let mut attempts = Vec::new();
        let per_step = self.terms.rate * STEP_MS / 1000.0;
        for index in 0..self.members.len() {
            for server in 0..self.terms.servers {
                let mut count = per_step.floor() as usize;
                count += usize::from(self.rng.random::<f64>() < per_step.fract());
                let answers = self.silent_server.is_none_or(|(silent, _)| silent != server);
                attempts.extend(std::iter::repeat_n((index, server, answers), count));
            }
        }
        attempts
    }

    fn send_attempt(&mut self, index: usize, server: u64, answers: bool) {
        let (now, used) = (self.now, self.terms.limits_used);
        let member = &mut self.members[index];
        member.node.evidence.attempt_sent(now, generation(server));
        if answers {
            member.answers.push_back((now + ANSWER_DELAY_MS, server));
        }
        if let Some(limits) = member.limits.as_mut().filter(|_| used > 0) {
            let name = limit_name(server as usize % used);
            if limits.free_permits(now, &name) > Some(0) {
                limits.try_acquire(now, &name);
            } else {
                limits.record_shortage(now, &name, 1);
            }
        }
    }

    fn turn_member(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        while let Some((_, server)) = member.answers.pop_front_if(|(at, _)| *at <= now) {
            member.node.evidence.answered(now, generation(server));
        }
        if member.node.due() <= now {
            member.node.turn(now);
        }
        if let Some(agreement) = &mut member.agreement {
            exchange_messages(now, agreement, &mut member.node);
        }
        if let Some(limits) = &mut member.limits {
            while let Some((from, bytes)) = member.node.next_payload(Subsystem::Limits) {
                limits.receive(now, from, &bytes);
            }
            limits.turn(now);
            while let Some(out) = limits.outgoing() {
                member.node.send_payload(now, out.to, Subsystem::Limits, out.bytes);
            }
        }
    }

    fn send_outgoing(&mut self, from: usize) {
        let now = self.now;
        while let Some(out) = self.members[from].node.outgoing() {
            let (bytes, to) = (out.bytes.len(), member_index(out.peer));
            self.bytes += bytes as u64;
            self.packets += 1;
            let member = &mut self.members[from];
            member.recent_sends.push_back((now, bytes));
            member.bytes_in_window += bytes;
            while let Some((_, bytes)) = member.recent_sends.pop_front_if(|(at, _)| *at <= now - SECOND_MS) {
                member.bytes_in_window -= bytes;
            }
            member.max_bytes_in_window = member.max_bytes_in_window.max(member.bytes_in_window);
            if self.rng.random::<f64>() >= self.terms.loss {
                let at = now + MAX_DELAY_MS * self.rng.random::<f64>();
                self.last_datagram_id += 1;
                self.arrivals.push(Reverse(((at * 1000.0) as u64, self.last_datagram_id)));
                self.in_flight.insert(self.last_datagram_id, (from, to, out.bytes));
            }
        }
    }

    /// Records what a member has learned; not counted in its processor time.
    fn observe(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        if let Some((server, _)) = self.silent_server.filter(|_| member.believed_silent_at.is_none()) {
            let believed = |accused: &gossip::statements::AccusedServer| {
                accused.generation == generation(server) && accused.believed
            };
            if member.node.accused(now).iter().any(believed) {
                member.believed_silent_at = Some(now);
            }
        }
        if let Some(agreement) = &member.agreement {
            let numbers = &agreement.machine().numbers;
            for number in &numbers[member.seen_decisions.min(numbers.len())..] {
                self.known_at.entry(*number).or_default().push(now);
            }
            member.seen_decisions = numbers.len();
        }
    }
}

/// Passes payloads between the log and the gossip as `proxy::decided` does; disk writes succeed at once.
fn exchange_messages(now: f64, agreement: &mut Agreement<RecordingMachine, FleetKeys>, node: &mut Node) {
    while let Some((from, bytes)) = node.next_payload(Subsystem::Agreement) {
        agreement.receive(now, from, &bytes);
    }
    if agreement.due() <= now {
        let alive = node.members.all().filter(|(_, m)| m.state != gossip::wire::MemberState::Dead);
        agreement.set_peers(alive.map(|(id, _)| id).collect::<Vec<_>>());
        agreement.turn(now);
    }
    while agreement.next_write(now).is_some() {
        agreement.write_succeeded(now);
    }
    while agreement.outcome().is_some() {}
    while let Some(out) = agreement.outgoing() {
        node.send_payload(now, out.to, Subsystem::Agreement, out.bytes);
    }
}
