//! A fleet of members under a virtual clock, each with the real thinking parts: gossip, and where wanted the
//! log of decisions and the limits, fed and drained as `proxy/` does. Links lose and hold back; what members
//! send is counted by bytes and second, and what they cost by the processor time of this thread.

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
const STEP: f64 = 10.0;
/// How often a member looks at another, as the settings have it by default, in milliseconds.
const BEAT: f64 = 200.0;
/// The longest that a datagram is on its way on a link, in milliseconds.
const WAY: f64 = 10.0;
/// The gap after which an unanswered set-up is sent again, in milliseconds.
const RESEND: f64 = 500.0;
/// Members that vote.
const COUNCIL: usize = 5;
/// Bytes of a command: a drain with a name and a reason.
const COMMAND: usize = 64;
/// The window of a limit, in milliseconds.
const WINDOW: f64 = 1000.0;
/// Parts of a member's second that are kept apart, to find its busiest.
const MS: f64 = 1000.0;
/// The wall clock at the start, in milliseconds: the first incarnation.
const BORN: u64 = 1_000_000_000_000;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub members: usize,
    /// Bytes a second of each member's gossip.
    pub cap: f64,
    /// The part of all datagrams that is lost.
    pub loss: f64,
    /// Faulty members tolerated.
    pub liars: usize,
    /// Central servers that each member calls, and set-ups a second to each of them.
    pub servers: u64,
    pub rate: f64,
    /// Whether there is a council, and a log.
    pub council: bool,
    /// Limits that each member holds, and set-ups a second that each allows to all.
    pub limits: usize,
    pub limit_rate: f64,
    /// Limits that a member uses at all; the rest it only holds.
    pub limits_used: usize,
    pub seed: u64,
}

/// Decisions as lines of a book: each by the number in it, and when it came.
#[derive(Clone, Debug, Default)]
pub struct Book {
    pub lines: Vec<u64>,
}

impl Machine for Book {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let line = command.first_chunk::<8>().ok_or_else(|| unread(index, part))?;
        self.lines.push(u64::from_le_bytes(*line));
        Ok(Vec::new())
    }

    fn state(&self) -> Vec<u8> {
        self.lines.iter().flat_map(|line| line.to_le_bytes()).collect()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), UnsupportedDecision> {
        self.lines =
            state.chunks_exact(8).map(|line| u64::from_le_bytes(line.try_into().expect("eight"))).collect();
        Ok(())
    }
}

fn unread(index: Index, part: u8) -> UnsupportedDecision {
    UnsupportedDecision { index, part, reason: "no line".to_owned() }
}

struct Member {
    node: Node,
    agreement: Option<Agreement<Book, FleetKeys>>,
    limits: Option<Fleet>,
    /// Set-ups whose answers come then, by server.
    answers: VecDeque<(f64, u64)>,
    /// Bytes of the second that runs, by ten parts, and the most in any second.
    sent: VecDeque<(f64, usize)>,
    in_second: usize,
    most: usize,
    /// When it first believed that the silent server is silent.
    believed: Option<f64>,
    seen_lines: usize,
}

/// The fleet.
pub struct World {
    terms: Terms,
    pub now: f64,
    members: Vec<Member>,
    chance: Pcg64Mcg,
    coming: BinaryHeap<Reverse<(u64, u64)>>,
    flying: BTreeMap<u64, (usize, usize, Vec<u8>)>,
    datagrams: u64,
    /// Bytes and datagrams that all sent since the last [`World::count_anew`].
    pub bytes: u64,
    pub packets: u64,
    /// Processor time of the members' own work since then, in milliseconds.
    pub cpu: f64,
    since: f64,
    /// A server that answers nobody since.
    silent: Option<(u64, f64)>,
    /// When each line was asked for, and when members came to know it.
    asked: BTreeMap<u64, f64>,
    known: BTreeMap<u64, Vec<f64>>,
    lines: u64,
}

/// Processor time of this thread, in milliseconds.
pub fn thread_cpu() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |time| time.tv_sec() as f64 * 1000.0 + time.tv_nsec() as f64 / 1e6)
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, (member >> 16) as u8, (member >> 8) as u8, member as u8], 7000))
}

fn member_at(address: SocketAddr) -> usize {
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

fn life(server: u64) -> Generation {
    Generation { server, started: 1 }
}

fn limit_name(limit: usize) -> String {
    format!("server-{limit:05}@1")
}

impl World {
    /// All members have just started.
    pub fn new(terms: Terms) -> Result<Self> {
        let all: Vec<Secrets> = (0..terms.members).map(secrets).collect::<Result<_>>()?;
        let names: Vec<String> = (0..terms.members).map(|member| format!("p{member}")).collect();
        let roster = Roster::new(names.iter().map(String::as_str).zip(all.iter().map(Secrets::public_key)))?;
        let mut chance = Pcg64Mcg::seed_from_u64(terms.seed);
        let founders: Vec<_> = all.iter().take(COUNCIL).map(Secrets::id).collect();
        let mut members = Vec::new();
        for (place, own) in all.into_iter().enumerate() {
            let gossip = GossipTerms {
                address: address(place),
                seeds: vec![address(0), address(1), address(2)],
                max_bytes_per_second: terms.cap,
                probe_interval: BEAT,
                max_faulty: terms.liars,
                resend_interval: RESEND,
            };
            let keys = FleetKeys { secrets: secrets(place)?, roster: roster.clone() };
            let node = Node::new(gossip, own, roster.clone(), chance.random(), 0.0, BORN as f64);
            let agreement = if terms.council {
                let agree = AgreementTerms {
                    bootstrap_members: founders.clone(),
                    heartbeat: BEAT,
                    lease: 30.0 * BEAT,
                };
                let lost = agree::disk::recover(&[]);
                Some(Agreement::new(node.id(), agree, keys, Book::default(), lost, chance.random(), 0.0)?)
            } else {
                None
            };
            let limits = (terms.limits > 0).then(|| {
                let loans = LoanTerms { lease: 2.0 * WINDOW, drift: 0.01, spread: 0.0, floor: 0.0 };
                let of = FleetTerms { loans, tick_interval: BEAT };
                let mut limits = Fleet::new(node.id(), node.roster_ids(), of, chance.random(), 0.0);
                for limit in 0..terms.limits {
                    limits.set_limit(&limit_name(limit), terms.limit_rate, WINDOW);
                }
                limits
            });
            members.push(Member {
                node,
                agreement,
                limits,
                answers: VecDeque::new(),
                sent: VecDeque::new(),
                in_second: 0,
                most: 0,
                believed: None,
                seen_lines: 0,
            });
        }
        Ok(Self {
            terms,
            now: 0.0,
            members,
            chance,
            coming: BinaryHeap::new(),
            flying: BTreeMap::new(),
            datagrams: 0,
            bytes: 0,
            packets: 0,
            cpu: 0.0,
            since: 0.0,
            silent: None,
            asked: BTreeMap::new(),
            known: BTreeMap::new(),
            lines: 0,
        })
    }

    /// Lets time pass, in milliseconds.
    pub fn pass(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    /// Begins to count bytes and processor time anew.
    pub fn count_anew(&mut self) {
        (self.bytes, self.packets, self.cpu, self.since) = (0, 0, 0.0, self.now);
        self.members.iter_mut().for_each(|member| member.most = member.in_second);
    }

    fn member_seconds(&self) -> f64 {
        self.members.len() as f64 * (self.now - self.since) / MS
    }

    /// Bytes that a member sends in a second, on average; the most of any in any second.
    pub fn bytes_a_second(&self) -> (f64, usize) {
        let most = self.members.iter().map(|member| member.most).max().unwrap_or(0);
        (self.bytes as f64 / self.member_seconds(), most)
    }

    pub fn packets_a_second(&self) -> f64 {
        self.packets as f64 / self.member_seconds()
    }

    /// Milliseconds of processor time that a member takes in a second, without system calls.
    pub fn cpu_a_second(&self) -> f64 {
        self.cpu / self.member_seconds()
    }

    /// Members that are known, on average over all.
    pub fn mean_known(&self) -> f64 {
        let known = self.members.iter().map(|member| member.node.members.alive()).sum::<usize>();
        known as f64 / self.members.len() as f64
    }

    /// How often members had to refute that they are dead, on average since the start.
    pub fn refuted(&self) -> f64 {
        let refuted = self.members.iter().map(|member| member.node.incarnation() - BORN).sum::<u64>();
        refuted as f64 / self.members.len() as f64
    }

    pub fn has_leader(&self) -> bool {
        let leads = |member: &Member| member.agreement.as_ref().is_some_and(|of| of.role() == Role::Leads);
        self.members.iter().any(leads)
    }

    /// How often the cap put a send off, over all.
    pub fn deferred(&self) -> u64 {
        self.members.iter().map(|member| member.node.deferred()).sum()
    }

    /// From now on a server answers nobody.
    pub fn silence(&mut self, server: u64) {
        self.silent = Some((server, self.now));
    }

    /// Milliseconds until members believed it silent, in order; and how many do not.
    pub fn belief(&self) -> (Vec<f64>, usize) {
        let since = self.silent.map_or(0.0, |(_, at)| at);
        let mut took: Vec<f64> =
            self.members.iter().filter_map(|member| Some(member.believed? - since)).collect();
        took.sort_by(f64::total_cmp);
        let unaware = self.members.len() - took.len();
        (took, unaware)
    }

    /// Asks at a member for a decision; gives its line.
    pub fn ask(&mut self, place: usize) -> u64 {
        self.lines += 1;
        let line = self.lines;
        let mut command = vec![0; COMMAND];
        command[..8].copy_from_slice(&line.to_le_bytes());
        let asked =
            self.members[place].agreement.as_mut().map(|agreement| agreement.propose(self.now, 0, command));
        if matches!(asked, Some(Ok(_))) {
            self.asked.insert(line, self.now);
        }
        line
    }

    /// Milliseconds from when a line was asked for until each member knew it, in order; and how many do not.
    pub fn spread(&self, line: u64) -> (Vec<f64>, usize) {
        let asked = self.asked.get(&line).copied().unwrap_or(f64::NAN);
        let mut took: Vec<f64> = self.known.get(&line).into_iter().flatten().map(|at| at - asked).collect();
        took.sort_by(f64::total_cmp);
        let unaware = self.members.len() - took.len();
        (took, unaware)
    }

    fn step(&mut self) {
        let arrived = self.arrived();
        let shots = self.shots();
        let began = thread_cpu();
        for (from, to, bytes) in arrived {
            self.members[to].node.receive(self.now, address(from), &bytes);
        }
        for (place, server, answered) in shots {
            self.shoot(place, server, answered);
        }
        for place in 0..self.members.len() {
            self.turn(place);
        }
        self.cpu += thread_cpu() - began;
        for place in 0..self.members.len() {
            self.send_all(place);
            self.look(place);
        }
    }

    fn arrived(&mut self) -> Vec<(usize, usize, Vec<u8>)> {
        let mut arrived = Vec::new();
        while let Some(Reverse((at, id))) = self.coming.peek().copied() {
            if at > (self.now * 1000.0) as u64 {
                break;
            }
            self.coming.pop();
            arrived.extend(self.flying.remove(&id));
        }
        arrived
    }

    /// Set-ups of this step, by member and server, and whether an answer will come.
    fn shots(&mut self) -> Vec<(usize, u64, bool)> {
        let mut shots = Vec::new();
        let each = self.terms.rate * STEP / 1000.0;
        for place in 0..self.members.len() {
            for server in 0..self.terms.servers {
                let mut count = each.floor() as usize;
                count += usize::from(self.chance.random::<f64>() < each.fract());
                let answers = self.silent.is_none_or(|(silent, _)| silent != server);
                shots.extend(std::iter::repeat_n((place, server, answers), count));
            }
        }
        shots
    }

    fn shoot(&mut self, place: usize, server: u64, answers: bool) {
        let (now, used) = (self.now, self.terms.limits_used);
        let member = &mut self.members[place];
        member.node.evidence.attempt_sent(now, life(server));
        if answers {
            member.answers.push_back((now + 50.0, server));
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

    fn turn(&mut self, place: usize) {
        let now = self.now;
        let member = &mut self.members[place];
        while let Some((_, server)) = member.answers.pop_front_if(|(at, _)| *at <= now) {
            member.node.evidence.answered(now, life(server));
        }
        if member.node.due() <= now {
            member.node.turn(now);
        }
        if let Some(agreement) = &mut member.agreement {
            exchange(now, agreement, &mut member.node);
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

    fn send_all(&mut self, from: usize) {
        let now = self.now;
        while let Some(out) = self.members[from].node.outgoing() {
            let (bytes, to) = (out.bytes.len(), member_at(out.peer));
            self.bytes += bytes as u64;
            self.packets += 1;
            let member = &mut self.members[from];
            member.sent.push_back((now, bytes));
            member.in_second += bytes;
            while let Some((_, bytes)) = member.sent.pop_front_if(|(at, _)| *at <= now - MS) {
                member.in_second -= bytes;
            }
            member.most = member.most.max(member.in_second);
            if self.chance.random::<f64>() >= self.terms.loss {
                let at = now + WAY * self.chance.random::<f64>();
                self.datagrams += 1;
                self.coming.push(Reverse(((at * 1000.0) as u64, self.datagrams)));
                self.flying.insert(self.datagrams, (from, to, out.bytes));
            }
        }
    }

    /// What the member has come to know, without counting its processor time.
    fn look(&mut self, place: usize) {
        let now = self.now;
        let member = &mut self.members[place];
        if let Some((server, _)) = self.silent.filter(|_| member.believed.is_none()) {
            let believed = |accused: &gossip::statements::AccusedServer| {
                accused.generation == life(server) && accused.believed
            };
            if member.node.accused(now).iter().any(believed) {
                member.believed = Some(now);
            }
        }
        if let Some(agreement) = &member.agreement {
            let lines = &agreement.machine().lines;
            for line in &lines[member.seen_lines.min(lines.len())..] {
                self.known.entry(*line).or_default().push(now);
            }
            member.seen_lines = lines.len();
        }
    }
}

/// Words between the log and the gossip, as `proxy::decided` moves them; a disk that writes at once.
fn exchange(now: f64, agreement: &mut Agreement<Book, FleetKeys>, node: &mut Node) {
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
