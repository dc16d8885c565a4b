//! Searches all orders of a few steps of three members: a message is delivered, delivered to a member that
//! crashes before its disk write, dropped or duplicated; time passes at a member, it gets a proposal, it
//! restarts. In no order may two members decide differently or two lead in one term.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash as _, Hasher};

use rstest::rstest;

use super::Fault;
use super::cluster::{HEARTBEAT_MS, LEASE_MS, Proxy};
use super::fakes::{Disk, Keys, RecordingMachine};
use crate::agreement::{Agreement, AgreementTerms};
use crate::wire::Stage;
use crate::{Hash, Id, Index, Role, Term, disk};

const MEMBERS: usize = 3;
/// Messages that wait on a link; older ones are dropped.
const MAX_QUEUED: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize, usize),
    DeliverAndCrash(usize, usize),
    Drop(usize, usize),
    Duplicate(usize, usize),
    AdvanceTime(usize),
    Propose(usize),
    Restart(usize),
}

#[derive(Clone)]
struct ThreeNodes {
    proxies: Vec<Proxy>,
    disks: Vec<Disk>,
    clocks: Vec<f64>,
    links: BTreeMap<(usize, usize), VecDeque<Vec<u8>>>,
    decided_hashes: BTreeMap<Index, Hash>,
    leaders_by_term: BTreeMap<Term, usize>,
    restarts: u64,
    fault: Option<Fault>,
}

impl ThreeNodes {
    fn new(fault: Option<Fault>) -> Self {
        let disks = vec![Disk::default(); MEMBERS];
        let mut nodes = Self {
            proxies: (0..MEMBERS).map(|node| proxy(node, &disks[node], 0.0, 0)).collect(),
            disks,
            clocks: vec![0.0; MEMBERS],
            links: BTreeMap::new(),
            decided_hashes: BTreeMap::new(),
            leaders_by_term: BTreeMap::new(),
            restarts: 0,
            fault,
        };
        for node in 0..MEMBERS {
            nodes.proxies[node].fault = fault;
            nodes.proxies[node].persisted.stage = Stage::Voting;
            nodes.proxies[node].bootstrap.disk_verified = true;
            nodes.process_outputs(node, true);
        }
        nodes
    }

    fn process_outputs(&mut self, node: usize, survives: bool) {
        let (now, disk, proxy) = (self.clocks[node], &mut self.disks[node], &mut self.proxies[node]);
        while let Some(write) = proxy.next_write(now) {
            disk.writing = Some((write, now));
            if survives {
                disk.sync();
            } else if self.fault != Some(Fault::Unsynced) {
                break;
            }
            proxy.write_succeeded(now);
        }
        while let Some(out) = proxy.outgoing() {
            let link = self.links.entry((node, out.to as usize)).or_default();
            link.push_back(out.bytes);
            if link.len() > MAX_QUEUED {
                link.pop_front();
            }
        }
        if !survives {
            self.restart(node);
        }
    }

    fn restart(&mut self, node: usize) {
        self.disks[node].crash(0.0);
        self.restarts += 1;
        self.proxies[node] = proxy(node, &self.disks[node], self.clocks[node], self.restarts);
        self.proxies[node].fault = self.fault;
        // The others would confirm that its disk is no older copy.
        self.proxies[node].bootstrap.disk_verified = true;
        self.process_outputs(node, true);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (&(from, to), _) in self.links.iter().filter(|(_, waiting)| !waiting.is_empty()) {
            steps.extend([Step::Deliver(from, to), Step::DeliverAndCrash(from, to)]);
            steps.extend([Step::Drop(from, to), Step::Duplicate(from, to)]);
        }
        for node in 0..MEMBERS {
            steps.extend([Step::AdvanceTime(node), Step::Restart(node)]);
            if self.proxies[node].role() == Role::Leads {
                steps.push(Step::Propose(node));
            }
        }
        steps
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Deliver(from, to) | Step::DeliverAndCrash(from, to) | Step::Duplicate(from, to) => {
                let link = self.links.get_mut(&(from, to)).expect("a message waits");
                let bytes = link.pop_front().expect("a message waits");
                if matches!(step, Step::Duplicate(..)) {
                    link.push_back(bytes.clone());
                }
                self.proxies[to].receive(self.clocks[to], from as Id, &bytes);
                self.process_outputs(to, !matches!(step, Step::DeliverAndCrash(..)));
            }
            Step::Drop(from, to) => {
                drop(self.links.get_mut(&(from, to)).expect("a message waits").pop_front())
            }
            Step::AdvanceTime(node) => {
                // Long enough for a leader's heartbeat, and for others to start an election.
                let leads = self.proxies[node].role() == Role::Leads;
                self.clocks[node] += if leads { 1.2 * HEARTBEAT_MS } else { 21.0 * HEARTBEAT_MS };
                self.proxies[node].turn(self.clocks[node]);
                self.process_outputs(node, true);
            }
            Step::Propose(node) => {
                let line = (self.restarts * 10 + node as u64).to_le_bytes().to_vec();
                let _ = self.proxies[node].propose(self.clocks[node], 0, line);
                self.process_outputs(node, true);
            }
            Step::Restart(node) => self.restart(node),
        }
    }

    fn violation(&mut self) -> Option<String> {
        for (node, proxy) in self.proxies.iter().enumerate() {
            for index in 1..=proxy.applied {
                let Some(hash) = proxy.hash_at(index) else { continue };
                if *self.decided_hashes.entry(index).or_insert(hash) != hash {
                    return Some(format!("p{node} decided a different entry at {index}"));
                }
            }
            if proxy.role() == Role::Leads
                && *self.leaders_by_term.entry(proxy.persisted.term).or_insert(node) != node
            {
                return Some(format!("p{node} also leads term {}", proxy.persisted.term));
            }
        }
        None
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (proxy, disk) in self.proxies.iter().zip(&self.disks) {
            let (persisted, last) = (&proxy.persisted, proxy.persisted.log.last());
            (persisted.term, persisted.voted, last, proxy.decided, proxy.applied).hash(&mut hasher);
            (format!("{:?}", proxy.role_state), &disk.contents).hash(&mut hasher);
        }
        (&self.links, &self.decided_hashes).hash(&mut hasher);
        hasher.finish()
    }
}

fn proxy(node: usize, disk: &Disk, now: f64, restarts: u64) -> Proxy {
    let terms = AgreementTerms {
        bootstrap_members: (0..MEMBERS as Id).collect(),
        heartbeat: HEARTBEAT_MS,
        lease: LEASE_MS,
    };
    let (id, seed) = (node as Id, node as u64 + 10 * restarts);
    let file = disk::recover(&disk.contents);
    Agreement::new(id, terms, Keys(id), RecordingMachine::default(), file, seed, now).expect("no snapshot")
}

/// Searches all orders of `depth` steps. Returns the number of states, and the first violation with the
/// steps to it.
fn search(start: ThreeNodes, depth: usize) -> (usize, Option<String>) {
    let mut visited = HashSet::new();
    let mut level = vec![(start, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (nodes, path) in level {
            for step in nodes.steps() {
                let mut after = nodes.clone();
                after.perform(step);
                let path: Vec<Step> = path.iter().copied().chain([step]).collect();
                if let Some(violation) = after.violation() {
                    return (visited.len(), Some(format!("{violation}: {path:?}")));
                }
                if visited.insert(after.fingerprint()) {
                    next.push((after, path));
                }
            }
        }
        level = next;
    }
    (visited.len(), None)
}

/// Three members after some first steps.
fn prepared(fault: Option<Fault>, steps: &[Step]) -> ThreeNodes {
    let mut nodes = ThreeNodes::new(fault);
    steps.iter().for_each(|&step| nodes.perform(step));
    nodes
}

/// Member 0 has won the pre-vote with one other member; its vote requests are in flight.
const VOTE_REQUESTED: [Step; 3] = [Step::AdvanceTime(0), Step::Deliver(0, 1), Step::Deliver(1, 0)];

/// Member 0 leads, and gets a proposal.
const LEADER_WITH_ENTRY: [Step; 6] = [
    VOTE_REQUESTED[0],
    VOTE_REQUESTED[1],
    VOTE_REQUESTED[2],
    Step::Deliver(0, 1),
    Step::Deliver(1, 0),
    Step::Propose(0),
];

/// Members 0 and 2 both request the vote of member 1 in the first term.
const CONTESTED_VOTE: [Step; 6] = [
    VOTE_REQUESTED[0],
    VOTE_REQUESTED[1],
    VOTE_REQUESTED[2],
    Step::AdvanceTime(2),
    Step::Deliver(2, 1),
    Step::Deliver(1, 2),
];

#[rstest]
#[case::from_the_bootstrap(&[], 5)]
#[case::with_votes_in_flight(&CONTESTED_VOTE, 4)]
#[case::with_a_leader_and_an_entry(&LEADER_WITH_ENTRY, 4)]
fn no_order_of_steps_decides_differently_or_elects_two_leaders(#[case] steps: &[Step], #[case] depth: usize) {
    let (states, violation) = search(prepared(None, steps), depth);
    assert_eq!(violation, None);
    eprintln!("{states} states");
    assert!(states > 10_000, "{states}");
}

#[test]
fn a_vote_sent_before_it_is_synced_is_found() {
    let (_, violation) = search(prepared(Some(Fault::Unsynced), &CONTESTED_VOTE), 4);
    let violation = violation.expect("found");
    assert!(violation.contains("leads term"), "{violation}");
}
