//! Exhaustive search over the orders of a few steps of one control machine and two subscribers of one scope
//! with two keys: decisions, following them, delivery, reordering, loss, duplication, passing time, and
//! restarts from the disk or from an older copy of it. In every order no subscriber goes back a version or
//! skips one, none reports a lower age than it has, and once links work all reach the newest version.

#[path = "cluster/council.rs"]
#[allow(dead_code)]
mod council;

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::fmt::{self, Write as _};

use agree::Id;
use agree::freshness::FreshnessProof;
use council::{Council, Keys};
use distribution::faults::{Fault, inject_fault};
use distribution::placement::ControlMachine;
use distribution::state::MIN_REMEMBERED_REMOVALS;
use distribution::{Control, ControlTerms, Scope, Subscriber, SubscriberTerms, Version};
use rstest::rstest;

const SCOPE: Scope = Scope::Service(7);
const HEARTBEAT_MS: f64 = 1000.0;
/// Time that passes in one step, in milliseconds; polls are repeated at this interval.
const TIME_STEP_MS: f64 = HEARTBEAT_MS / 4.0;
/// Steps of time within which all reach the newest version once links work.
const MAX_CONVERGE_STEPS: usize = 24;
const CONTROL: usize = 0;
const SUBSCRIBERS: [usize; 2] = [1, 2];
/// Datagrams that wait on a link; older ones are lost.
const MAX_WAITING: usize = 3;
/// Length of a value, which fills most of a datagram so that a transfer takes several.
const VALUE_BYTES: usize = 390;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Decides and signs the next change of [`SCRIPT`].
    Decide,
    /// The control machine follows all decisions.
    Follow,
    Deliver(usize, usize),
    /// Delivers the second datagram on a link before the first.
    Reorder(usize, usize),
    Lose(usize, usize),
    Duplicate(usize, usize),
    /// A quarter of a heartbeat passes, and every node takes its turn if it is due.
    Time,
    Restart(usize),
    /// From a copy of the disk that is one write older; the control machine from the first state.
    RestartFromOlderDisk(usize),
}

/// Changes decided one after the other: a key, and whether it is set or removed.
const SCRIPT: [(&str, bool); 5] = [("b", true), ("a", true), ("b", false), ("a", false), ("b", true)];

#[derive(Clone)]
struct SmallCluster {
    now: f64,
    council: Council,
    control: Control,
    /// The index up to which the control machine has followed the council.
    followed: Version,
    subscribers: Vec<Subscriber<Keys>>,
    /// What each subscriber's disk holds, and what it held before the last write.
    disks: Vec<(Vec<u8>, Vec<u8>)>,
    in_force: Vec<Version>,
    links: BTreeMap<(usize, usize), VecDeque<Vec<u8>>>,
    answers: Vec<FreshnessProof>,
    decided: usize,
    restarts: u64,
}

fn control(restarts: u64, now: f64) -> Control {
    let terms = ControlTerms {
        heartbeat: HEARTBEAT_MS,
        max_subscribers: 10,
        bytes_per_second: 1e6,
        subscriber_bytes_per_second: 6000.0,
        snapshots_at_once: 10,
    };
    Control::new(terms, 1000 + restarts, now)
}

fn subscriber(node: usize, bootstrap_members: Vec<Id>, restarts: u64, now: f64) -> Subscriber<Keys> {
    let terms = SubscriberTerms {
        id: node as Id,
        region: 1,
        controls: vec![ControlMachine { id: CONTROL as Id, region: 1 }],
        bootstrap_members,
        heartbeat: HEARTBEAT_MS,
        lease: 10.0 * HEARTBEAT_MS,
        max_scope_bytes: 1 << 16,
    };
    let mut subscriber = Subscriber::new(terms, Keys(node as Id), node as u64 + 10 * restarts, now);
    subscriber.subscribe(SCOPE, now);
    subscriber
}

fn long_key(key: &str) -> String {
    key.repeat(distribution::entry::MAX_KEY_BYTES)
}

impl SmallCluster {
    /// One entry is decided, and no subscriber has it yet.
    fn new() -> Self {
        let council = Council::new(3);
        let bootstrap_members = council.bootstrap_members();
        let mut cluster = Self {
            now: 0.0,
            control: control(0, 0.0),
            followed: 0,
            subscribers: SUBSCRIBERS.map(|node| subscriber(node, bootstrap_members.clone(), 0, 0.0)).into(),
            disks: vec![Default::default(); SUBSCRIBERS.len()],
            in_force: vec![0; SUBSCRIBERS.len()],
            links: BTreeMap::new(),
            answers: Vec::new(),
            decided: 0,
            restarts: 0,
            council,
        };
        cluster.council.decide(0.0, &[(SCOPE, &long_key("a"), Some(&[0; VALUE_BYTES]))]);
        cluster.control.restore(1, cluster.council.state(1).clone());
        cluster.followed = 1;
        cluster.follow();
        cluster
    }

    /// Both subscribers have the newest version.
    fn converged() -> Self {
        let mut cluster = Self::new();
        cluster.converge().expect("converges");
        cluster.acknowledge();
        cluster
    }

    /// Two changes are in transit to both subscribers.
    fn in_transit() -> Self {
        let mut cluster = Self::converged();
        for step in [Step::Decide, Step::Follow, Step::Decide, Step::Time, Step::Follow, Step::Time] {
            cluster.apply(step);
        }
        cluster
    }

    /// Both have the newest version, and copies of the datagrams of an earlier change are still in transit.
    fn delayed() -> Self {
        let mut cluster = Self::converged();
        for step in [Step::Decide, Step::Follow] {
            cluster.apply(step);
        }
        let delayed = cluster.links.clone();
        cluster.converge().expect("converges");
        cluster.acknowledge();
        cluster.apply(Step::Decide);
        cluster.converge().expect("converges");
        cluster.acknowledge();
        cluster.links = delayed;
        cluster
    }

    /// The second has missed more removals than are remembered, and starts from its disk.
    fn behind() -> Self {
        let mut cluster = Self::converged();
        cluster.links.clear();
        for removal in 0..=MIN_REMEMBERED_REMOVALS {
            let key = format!("r{removal}");
            cluster.council.decide(cluster.now, &[(SCOPE, &key, None)]);
        }
        cluster.council.decide(cluster.now, &[(SCOPE, &long_key("b"), Some(&[9; VALUE_BYTES]))]);
        cluster.follow();
        cluster.restart(2, false);
        cluster
    }

    /// Delivers everything for a heartbeat and a half, so that the control machine knows what each has.
    fn acknowledge(&mut self) {
        for _ in 0..6 {
            self.deliver_all().expect("no invariant is violated");
            self.pass_time();
        }
        self.links.values_mut().for_each(VecDeque::clear);
    }

    fn deliver_all(&mut self) -> Result<(), String> {
        while let Some((&(from, to), _)) = self.links.iter().find(|(_, waiting)| !waiting.is_empty()) {
            self.apply(Step::Deliver(from, to));
            self.violation().map_or(Ok(()), Err)?;
        }
        Ok(())
    }

    fn follow(&mut self) {
        while self.followed < self.council.index() {
            self.followed += 1;
            self.control.add_decided_changes(self.followed, self.council.changes(self.followed).to_vec());
        }
        if let Some(certificate) = self.council.certificate(self.followed) {
            self.control.update_certificate(certificate, self.council.council_proofs());
        }
        self.control.turn(self.now);
        self.flush(CONTROL);
    }

    fn queue(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let link = self.links.entry((from, to)).or_default();
        link.push_back(bytes);
        if link.len() > MAX_WAITING {
            link.pop_front();
        }
    }

    /// Sends and saves what a step produced at a node.
    fn flush(&mut self, node: usize) {
        if node == CONTROL {
            while let Some(nonce) = self.control.next_freshness_request() {
                self.answers.push(self.council.freshness_proof(nonce));
            }
            while let Some(out) = self.control.outgoing() {
                self.queue(CONTROL, out.to as usize, out.bytes);
            }
            return;
        }
        let number = node - 1;
        while self.subscribers[number].next_changed_scope().is_some() {}
        if let Some(bytes) = self.subscribers[number].state_to_save() {
            let disk = &mut self.disks[number];
            disk.1 = std::mem::replace(&mut disk.0, bytes);
        }
        while let Some(out) = self.subscribers[number].outgoing() {
            self.queue(node, CONTROL, out.bytes);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if to == CONTROL {
            self.control.receive(self.now, from as Id, bytes);
            // Answers to a message are due at once.
            self.control.turn(self.now);
        } else {
            self.subscribers[to - 1].receive(self.now, from as Id, bytes);
        }
        self.flush(to);
    }

    fn pass_time(&mut self) {
        self.now += TIME_STEP_MS;
        for proof in std::mem::take(&mut self.answers) {
            self.control.receive_freshness_proof(self.now, proof);
        }
        self.control.turn(self.now);
        self.flush(CONTROL);
        for node in SUBSCRIBERS {
            if self.subscribers[node - 1].due() <= self.now {
                self.subscribers[node - 1].turn(self.now);
            }
            self.flush(node);
        }
    }

    fn restart(&mut self, node: usize, from_older_disk: bool) {
        self.restarts += 1;
        if node == CONTROL {
            self.control = control(self.restarts, self.now);
            self.followed = if from_older_disk { 1 } else { self.followed };
            self.control.restore(self.followed, self.council.state(self.followed).clone());
            self.answers.clear();
            return;
        }
        let number = node - 1;
        let disk = &mut self.disks[number];
        if from_older_disk {
            disk.0 = disk.1.clone();
        }
        let mut restarted = subscriber(node, self.council.bootstrap_members(), self.restarts, self.now);
        restarted.restore(&disk.0);
        (self.subscribers[number], self.in_force[number]) = (restarted, 0);
        self.flush(node);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Time];
        if self.decided < SCRIPT.len() {
            steps.push(Step::Decide);
        }
        if self.followed < self.council.index() || self.control.status().index == 0 {
            steps.push(Step::Follow);
        }
        for (&(from, to), waiting) in self.links.iter().filter(|(_, waiting)| !waiting.is_empty()) {
            steps.extend([Step::Deliver(from, to), Step::Lose(from, to), Step::Duplicate(from, to)]);
            if waiting.len() > 1 {
                steps.push(Step::Reorder(from, to));
            }
        }
        for node in 0..=SUBSCRIBERS.len() {
            steps.extend([Step::Restart(node), Step::RestartFromOlderDisk(node)]);
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Decide => {
                let (key, set) = SCRIPT[self.decided];
                self.decided += 1;
                let value = [self.decided as u8; VALUE_BYTES];
                self.council.decide(self.now, &[(SCOPE, &long_key(key), set.then_some(&value[..]))]);
            }
            Step::Follow => self.follow(),
            Step::Deliver(from, to) | Step::Reorder(from, to) | Step::Duplicate(from, to) => {
                let link = self.links.get_mut(&(from, to)).expect("a datagram is waiting");
                let position = usize::from(matches!(step, Step::Reorder(..)));
                let bytes = link.remove(position).expect("a datagram is waiting");
                if matches!(step, Step::Duplicate(..)) {
                    link.push_back(bytes.clone());
                }
                self.deliver(from, to, &bytes);
            }
            Step::Lose(from, to) => {
                drop(self.links.get_mut(&(from, to)).expect("a datagram is waiting").pop_front())
            }
            Step::Time => self.pass_time(),
            Step::Restart(node) => self.restart(node, false),
            Step::RestartFromOlderDisk(node) => self.restart(node, true),
        }
    }

    /// A violated invariant, if any.
    fn violation(&mut self) -> Option<String> {
        for (number, subscriber) in self.subscribers.iter().enumerate() {
            let (index, before) = (subscriber.index(SCOPE), self.in_force[number]);
            if index < before {
                return Some(format!("subscriber {number} went back from {before} to {index}"));
            }
            self.in_force[number] = index;
            let digest = subscriber.content(SCOPE).map(|content| content.digest());
            if index > 0 && digest != Some(self.council.state(index).summary(SCOPE).digest) {
                return Some(format!("subscriber {number} does not have what was decided at {index}"));
            }
            let covered = self.council.decided_by(self.now - subscriber.age(SCOPE, self.now));
            if covered > index {
                return Some(format!("subscriber {number} at {index} claims to cover {covered}"));
            }
            let counts = subscriber.status(self.now).counts;
            if counts.mismatched + counts.malformed + counts.unverified > 0 {
                return Some(format!(
                    "subscriber {number} rejected messages of an honest control machine: {counts:?}"
                ));
            }
        }
        None
    }

    fn is_converged(&self) -> bool {
        let newest = self.council.scope_version(SCOPE);
        self.subscribers.iter().all(|subscriber| subscriber.index(SCOPE) >= newest)
    }

    /// From now on everything is delivered, until both have the newest version.
    fn converge(&mut self) -> Result<usize, String> {
        self.follow();
        for steps in 0..MAX_CONVERGE_STEPS {
            self.deliver_all()?;
            if self.is_converged() {
                return Ok(steps);
            }
            self.pass_time();
        }
        Err(format!("not all reach {} once links work", self.council.scope_version(SCOPE)))
    }

    /// A 128-bit hash of the whole state.
    fn state_hash(&self) -> [u8; 16] {
        let mut writer = HashWriter(blake3::Hasher::new());
        write!(writer, "{:?} {:?} {:?}", self.control, self.subscribers, self.answers)
            .expect("writing to a hash never fails");
        write!(writer, "{} {} {}", self.now, self.followed, self.decided)
            .expect("writing to a hash never fails");
        let disks = self.disks.iter().flat_map(|(newest, before)| [newest, before]);
        let waiting = self.links.values().flatten();
        for bytes in disks.chain(waiting) {
            write!(writer, "|{}|", bytes.len()).expect("writing to a hash never fails");
            writer.0.update(bytes);
        }
        let waiting: Vec<_> = self.links.iter().map(|(link, waiting)| (link, waiting.len())).collect();
        write!(writer, "{waiting:?}").expect("writing to a hash never fails");
        writer.0.finalize().as_bytes()[..16].try_into().expect("16 bytes")
    }
}

/// Hashes formatted text without storing it.
struct HashWriter(blake3::Hasher);

impl fmt::Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

struct SearchResult {
    states: usize,
    converged_states: usize,
    /// Steps of time that the slowest state took to converge.
    slowest: usize,
    violation: Option<String>,
}

/// Searches all orders of `depth` steps. One state in `one_in` is also checked for convergence once links
/// work.
fn search(start: SmallCluster, depth: usize, one_in: usize) -> SearchResult {
    let mut visited = HashSet::from([start.state_hash()]);
    let mut result = SearchResult { states: 1, converged_states: 0, slowest: 0, violation: None };
    let mut level = vec![(start, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (cluster, path) in level {
            for step in cluster.steps() {
                let mut after = cluster.clone();
                after.apply(step);
                let path: Vec<Step> = path.iter().copied().chain([step]).collect();
                if let Some(violation) = after.violation() {
                    result.violation = Some(format!("{violation}: {path:?}"));
                    return result;
                }
                if !visited.insert(after.state_hash()) {
                    continue;
                }
                result.states += 1;
                if result.states.is_multiple_of(one_in) {
                    result.converged_states += 1;
                    match after.clone().converge() {
                        Ok(steps) => result.slowest = result.slowest.max(steps),
                        Err(violation) => {
                            result.violation = Some(format!("{violation}: {path:?}"));
                            return result;
                        }
                    }
                }
                next.push((after, path));
            }
        }
        level = next;
    }
    result
}

/// Number of steps of the search; the environment variable DISTRIBUTION_DEPTH overrides it.
fn depth(default_depth: usize) -> usize {
    std::env::var("DISTRIBUTION_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(default_depth)
}

#[rstest]
#[case::with_empty_disks(SmallCluster::new(), 4)]
#[case::with_all_in_force(SmallCluster::converged(), 4)]
#[case::with_changes_in_transit(SmallCluster::in_transit(), 3)]
#[case::with_delayed_copies_of_an_earlier_change(SmallCluster::delayed(), 4)]
#[case::with_one_far_behind(SmallCluster::behind(), 4)]
fn no_order_of_steps_reverts_or_skips_a_version_or_blocks_convergence(
    #[case] start: SmallCluster,
    #[case] default_depth: usize,
) {
    let depth = depth(default_depth);
    let began = std::time::Instant::now();
    let result = search(start, depth, 10);
    let (states, converged_states, slowest) = (result.states, result.converged_states, result.slowest);
    println!(
        "{depth} steps: {states} states; {converged_states} checked for convergence, {slowest} steps of time at most; {:?}",
        began.elapsed()
    );
    assert_eq!(result.violation, None);
}

#[rstest]
#[case::staged_content_is_not_verified(
    Fault::SkipDigestCheck,
    SmallCluster::converged(),
    "does not have what was decided"
)]
#[case::an_older_certificate_is_accepted(Fault::AcceptOlderCertificate, SmallCluster::delayed(), "went back")]
#[case::a_snapshot_goes_on_without_deltas(
    Fault::OmitDeltas,
    SmallCluster::behind(),
    "rejected messages of an honest"
)]
fn an_injected_fault_is_found(#[case] fault: Fault, #[case] start: SmallCluster, #[case] expected: &str) {
    inject_fault(Some(fault));
    let result = search(start, 4, 1);
    println!("{fault:?}: {} states, {:?}", result.states, result.violation);
    let violation = result.violation.expect("the fault violates an invariant");
    assert!(violation.contains(expected), "{violation}");
}
