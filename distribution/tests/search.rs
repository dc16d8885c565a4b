//! All orders of a few steps of one control machine and two subscribers of one scope with two keys: something
//! is decided, followed, delivered, overtaken, lost, delivered twice; time passes; any of them starts again,
//! from its disk or an older copy of it. Whatever the order, no subscriber goes back a version or skips one,
//! none claims to know more than it does, and once links are whole all reach the newest.

#[path = "world/council.rs"]
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
const HEARTBEAT: f64 = 1000.0;
/// What one step of time lets pass: polls are repeated as often.
const TIME: f64 = HEARTBEAT / 4.0;
/// Steps of time within which all reach the newest once links are whole.
const SETTLED: usize = 24;
const CONTROL: usize = 0;
const SUBSCRIBERS: [usize; 2] = [1, 2];
/// Datagrams that wait on a link; older ones are lost.
const WAITING: usize = 3;
/// A value that fills most of a datagram, so that a transfer takes several.
const LONG: usize = 390;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The next of [`SCRIPT`] is decided and signed.
    Decide,
    /// The control machine hears of all that is decided.
    Follow,
    Deliver(usize, usize),
    /// The second on a link comes before the first.
    Overtake(usize, usize),
    Lose(usize, usize),
    Double(usize, usize),
    /// A quarter of a heartbeat passes, and everybody does what is due.
    Time,
    Restart(usize),
    /// From a copy of the disk that is one write older; the control machine from the first state.
    RestartOld(usize),
}

/// What is decided one after the other: a key, and whether it gets a value or is removed.
const SCRIPT: [(&str, bool); 5] = [("b", true), ("a", true), ("b", false), ("a", false), ("b", true)];

#[derive(Clone)]
struct Small {
    now: f64,
    council: Council,
    control: Control,
    /// How far the control machine has followed.
    followed: Version,
    subscribers: Vec<Subscriber<Keys>>,
    /// What each subscriber's disk holds, and held before the last write.
    disks: Vec<(Vec<u8>, Vec<u8>)>,
    in_force: Vec<Version>,
    links: BTreeMap<(usize, usize), VecDeque<Vec<u8>>>,
    answers: Vec<FreshnessProof>,
    decided: usize,
    restarts: u64,
}

fn control(restarts: u64, now: f64) -> Control {
    let terms = ControlTerms {
        heartbeat: HEARTBEAT,
        max_subscribers: 10,
        bytes_per_second: 1e6,
        subscriber_bytes_per_second: 6000.0,
        snapshots_at_once: 10,
    };
    Control::new(terms, 1000 + restarts, now)
}

fn subscriber(place: usize, founders: Vec<Id>, restarts: u64, now: f64) -> Subscriber<Keys> {
    let terms = SubscriberTerms {
        id: place as Id,
        region: 1,
        controls: vec![ControlMachine { id: CONTROL as Id, region: 1 }],
        bootstrap_members: founders,
        heartbeat: HEARTBEAT,
        lease: 10.0 * HEARTBEAT,
        max_scope_bytes: 1 << 16,
    };
    let mut subscriber = Subscriber::new(terms, Keys(place as Id), place as u64 + 10 * restarts, now);
    subscriber.subscribe(SCOPE, now);
    subscriber
}

fn long_key(key: &str) -> String {
    key.repeat(distribution::entry::MAX_KEY_BYTES)
}

impl Small {
    /// One entry is decided; nobody has heard of it.
    fn new() -> Self {
        let council = Council::new(3);
        let founders = council.founders();
        let mut small = Self {
            now: 0.0,
            control: control(0, 0.0),
            followed: 0,
            subscribers: SUBSCRIBERS.map(|place| subscriber(place, founders.clone(), 0, 0.0)).into(),
            disks: vec![Default::default(); SUBSCRIBERS.len()],
            in_force: vec![0; SUBSCRIBERS.len()],
            links: BTreeMap::new(),
            answers: Vec::new(),
            decided: 0,
            restarts: 0,
            council,
        };
        small.council.decide(0.0, &[(SCOPE, &long_key("a"), Some(&[0; LONG]))]);
        small.control.restore(1, small.council.state(1).clone());
        small.followed = 1;
        small.follow();
        small
    }

    /// Both have what there is.
    fn settled() -> Self {
        let mut small = Self::new();
        small.settle().expect("settles");
        small.acknowledge();
        small
    }

    /// Two changes are on their way to both.
    fn under_way() -> Self {
        let mut small = Self::settled();
        for step in [Step::Decide, Step::Follow, Step::Decide, Step::Time, Step::Follow, Step::Time] {
            small.take(step);
        }
        small
    }

    /// Both have what there is, and copies of what carried an earlier change are still on their way.
    fn late() -> Self {
        let mut small = Self::settled();
        for step in [Step::Decide, Step::Follow] {
            small.take(step);
        }
        let late = small.links.clone();
        small.settle().expect("settles");
        small.acknowledge();
        small.take(Step::Decide);
        small.settle().expect("settles");
        small.acknowledge();
        small.links = late;
        small
    }

    /// The second has missed more removals than are remembered, and starts from its disk.
    fn behind() -> Self {
        let mut small = Self::settled();
        small.links.clear();
        for removal in 0..=MIN_REMEMBERED_REMOVALS {
            let key = format!("r{removal}");
            small.council.decide(small.now, &[(SCOPE, &key, None)]);
        }
        small.council.decide(small.now, &[(SCOPE, &long_key("b"), Some(&[9; LONG]))]);
        small.follow();
        small.restart(2, false);
        small
    }

    /// All that waits comes, for a heartbeat and a half, so that the control machine knows who has what.
    fn acknowledge(&mut self) {
        for _ in 0..6 {
            self.deliver_all().expect("sound");
            self.time();
        }
        self.links.values_mut().for_each(VecDeque::clear);
    }

    fn deliver_all(&mut self) -> Result<(), String> {
        while let Some((&(from, to), _)) = self.links.iter().find(|(_, waiting)| !waiting.is_empty()) {
            self.take(Step::Deliver(from, to));
            self.broken().map_or(Ok(()), Err)?;
        }
        Ok(())
    }

    fn follow(&mut self) {
        while self.followed < self.council.index() {
            self.followed += 1;
            self.control.add_decided_changes(self.followed, self.council.changes(self.followed).to_vec());
        }
        if let Some(seal) = self.council.seal(self.followed) {
            self.control.update_certificate(seal, self.council.links());
        }
        self.control.turn(self.now);
        self.carry_on(CONTROL);
    }

    fn queue(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let link = self.links.entry((from, to)).or_default();
        link.push_back(bytes);
        if link.len() > WAITING {
            link.pop_front();
        }
    }

    /// What comes of a step at one of them.
    fn carry_on(&mut self, place: usize) {
        if place == CONTROL {
            while let Some(nonce) = self.control.next_freshness_request() {
                self.answers.push(self.council.fresh(nonce));
            }
            while let Some(out) = self.control.outgoing() {
                self.queue(CONTROL, out.to as usize, out.bytes);
            }
            return;
        }
        let number = place - 1;
        while self.subscribers[number].next_changed_scope().is_some() {}
        if let Some(bytes) = self.subscribers[number].state_to_save() {
            let disk = &mut self.disks[number];
            disk.1 = std::mem::replace(&mut disk.0, bytes);
        }
        while let Some(out) = self.subscribers[number].outgoing() {
            self.queue(place, CONTROL, out.bytes);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if to == CONTROL {
            self.control.receive(self.now, from as Id, bytes);
            // What is to be answered is due at once.
            self.control.turn(self.now);
        } else {
            self.subscribers[to - 1].receive(self.now, from as Id, bytes);
        }
        self.carry_on(to);
    }

    fn time(&mut self) {
        self.now += TIME;
        for proof in std::mem::take(&mut self.answers) {
            self.control.receive_freshness_proof(self.now, proof);
        }
        self.control.turn(self.now);
        self.carry_on(CONTROL);
        for place in SUBSCRIBERS {
            if self.subscribers[place - 1].due() <= self.now {
                self.subscribers[place - 1].turn(self.now);
            }
            self.carry_on(place);
        }
    }

    fn restart(&mut self, place: usize, old: bool) {
        self.restarts += 1;
        if place == CONTROL {
            self.control = control(self.restarts, self.now);
            self.followed = if old { 1 } else { self.followed };
            self.control.restore(self.followed, self.council.state(self.followed).clone());
            self.answers.clear();
            return;
        }
        let number = place - 1;
        let disk = &mut self.disks[number];
        if old {
            disk.0 = disk.1.clone();
        }
        let mut fresh = subscriber(place, self.council.founders(), self.restarts, self.now);
        fresh.restore(&disk.0);
        (self.subscribers[number], self.in_force[number]) = (fresh, 0);
        self.carry_on(place);
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
            steps.extend([Step::Deliver(from, to), Step::Lose(from, to), Step::Double(from, to)]);
            if waiting.len() > 1 {
                steps.push(Step::Overtake(from, to));
            }
        }
        for place in 0..=SUBSCRIBERS.len() {
            steps.extend([Step::Restart(place), Step::RestartOld(place)]);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Decide => {
                let (key, set) = SCRIPT[self.decided];
                self.decided += 1;
                let value = [self.decided as u8; LONG];
                self.council.decide(self.now, &[(SCOPE, &long_key(key), set.then_some(&value[..]))]);
            }
            Step::Follow => self.follow(),
            Step::Deliver(from, to) | Step::Overtake(from, to) | Step::Double(from, to) => {
                let link = self.links.get_mut(&(from, to)).expect("waits");
                let place = usize::from(matches!(step, Step::Overtake(..)));
                let bytes = link.remove(place).expect("waits");
                if matches!(step, Step::Double(..)) {
                    link.push_back(bytes.clone());
                }
                self.deliver(from, to, &bytes);
            }
            Step::Lose(from, to) => drop(self.links.get_mut(&(from, to)).expect("waits").pop_front()),
            Step::Time => self.time(),
            Step::Restart(place) => self.restart(place, false),
            Step::RestartOld(place) => self.restart(place, true),
        }
    }

    /// What must never be.
    fn broken(&mut self) -> Option<String> {
        for (number, subscriber) in self.subscribers.iter().enumerate() {
            let (index, before) = (subscriber.index(SCOPE), self.in_force[number]);
            if index < before {
                return Some(format!("subscriber {number} went back from {before} to {index}"));
            }
            self.in_force[number] = index;
            let digest = subscriber.content(SCOPE).map(|content| content.digest());
            if index > 0 && digest != Some(self.council.state(index).summary(SCOPE).digest) {
                return Some(format!("subscriber {number} has not what was decided at {index}"));
            }
            let covered = self.council.decided_by(self.now - subscriber.age(SCOPE, self.now));
            if covered > index {
                return Some(format!("subscriber {number} at {index} claims to know {covered}"));
            }
            let counts = subscriber.status(self.now).counts;
            if counts.mismatched + counts.malformed + counts.unverified > 0 {
                return Some(format!("subscriber {number} found fault with an honest machine: {counts:?}"));
            }
        }
        None
    }

    fn is_new(&self) -> bool {
        let newest = self.council.version_of(SCOPE);
        self.subscribers.iter().all(|subscriber| subscriber.index(SCOPE) >= newest)
    }

    /// Links are whole from now on: all that waits comes, and so does all that follows.
    fn settle(&mut self) -> Result<usize, String> {
        self.follow();
        for steps in 0..SETTLED {
            self.deliver_all()?;
            if self.is_new() {
                return Ok(steps);
            }
            self.time();
        }
        Err(format!("not all reach {} once links are whole", self.council.version_of(SCOPE)))
    }

    /// All that there is, in 128 bits.
    fn key(&self) -> [u8; 16] {
        let mut hashed = Hashed(blake3::Hasher::new());
        write!(hashed, "{:?} {:?} {:?}", self.control, self.subscribers, self.answers).expect("hashes all");
        write!(hashed, "{} {} {}", self.now, self.followed, self.decided).expect("hashes all");
        let disks = self.disks.iter().flat_map(|(newest, before)| [newest, before]);
        let waiting = self.links.values().flatten();
        for bytes in disks.chain(waiting) {
            write!(hashed, "|{}|", bytes.len()).expect("hashes all");
            hashed.0.update(bytes);
        }
        let waiting: Vec<_> = self.links.iter().map(|(link, waiting)| (link, waiting.len())).collect();
        write!(hashed, "{waiting:?}").expect("hashes all");
        hashed.0.finalize().as_bytes()[..16].try_into().expect("as many bytes")
    }
}

/// Takes text in without keeping it.
struct Hashed(blake3::Hasher);

impl fmt::Write for Hashed {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

struct Found {
    states: usize,
    settled: usize,
    /// Steps of time that the slowest took to settle.
    slowest: usize,
    broken: Option<String>,
}

/// Goes through all orders of so many steps; from one state in so many it is tried whether all reach the
/// newest once links are whole.
fn search(start: Small, depth: usize, one_in: usize) -> Found {
    let mut known = HashSet::from([start.key()]);
    let mut found = Found { states: 1, settled: 0, slowest: 0, broken: None };
    let mut level = vec![(start, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (small, way) in level {
            for step in small.steps() {
                let mut after = small.clone();
                after.take(step);
                let way: Vec<Step> = way.iter().copied().chain([step]).collect();
                if let Some(broken) = after.broken() {
                    found.broken = Some(format!("{broken}: {way:?}"));
                    return found;
                }
                if !known.insert(after.key()) {
                    continue;
                }
                found.states += 1;
                if found.states.is_multiple_of(one_in) {
                    found.settled += 1;
                    match after.clone().settle() {
                        Ok(steps) => found.slowest = found.slowest.max(steps),
                        Err(broken) => {
                            found.broken = Some(format!("{broken}: {way:?}"));
                            return found;
                        }
                    }
                }
                next.push((after, way));
            }
        }
        level = next;
    }
    found
}

/// Steps of the search; more with DISTRIBUTION_DEPTH.
fn depth(usual: usize) -> usize {
    std::env::var("DISTRIBUTION_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(usual)
}

#[rstest]
#[case::with_empty_disks(Small::new(), 4)]
#[case::with_all_in_force(Small::settled(), 4)]
#[case::with_changes_under_way(Small::under_way(), 3)]
#[case::with_late_copies_of_an_earlier_change(Small::late(), 4)]
#[case::with_one_far_behind(Small::behind(), 4)]
fn no_order_of_steps_takes_a_version_back_or_skips_one_and_all_reach_the_newest(
    #[case] start: Small,
    #[case] usual: usize,
) {
    let depth = depth(usual);
    let began = std::time::Instant::now();
    let found = search(start, depth, 10);
    let (states, settled, slowest) = (found.states, found.settled, found.slowest);
    println!(
        "{depth} steps: {states} states; {settled} on whole links, {slowest} steps of time at most; {:?}",
        began.elapsed()
    );
    assert_eq!(found.broken, None);
}

#[rstest]
#[case::staged_content_is_not_compared(Fault::SkipDigestCheck, Small::settled(), "has not what was decided")]
#[case::an_older_seal_is_taken(Fault::AcceptOlderCertificate, Small::late(), "went back")]
#[case::a_snapshot_goes_on_without_deltas(Fault::OmitDeltas, Small::behind(), "found fault")]
fn a_fault_put_in_on_purpose_is_found(#[case] fault: Fault, #[case] start: Small, #[case] how: &str) {
    inject_fault(Some(fault));
    let found = search(start, 4, 1);
    println!("{fault:?}: {} states, {:?}", found.states, found.broken);
    let broken = found.broken.expect("found");
    assert!(broken.contains(how), "{broken}");
}
