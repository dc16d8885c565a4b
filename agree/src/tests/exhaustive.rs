//! All orders of a few steps of three members: a message is delivered, delivered to one that dies before its
//! disk has it, lost or delivered twice; a member's time passes, it is asked for something, it starts again.
//! Whatever the order, no two decide differently and no two lead in one term.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash as _, Hasher};

use rstest::rstest;

use super::Fault;
use super::parts::{Book, Disk, Keys};
use super::world::{BEAT, LEASE, Proxy};
use crate::agreement::{Agreement, AgreementTerms};
use crate::wire::Stage;
use crate::{Hash, Id, Index, Role, Term, disk};

const MEMBERS: usize = 3;
/// Messages that wait on a link; older ones are lost.
const WAITING: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize, usize),
    DeliverAndDie(usize, usize),
    Lose(usize, usize),
    Double(usize, usize),
    Time(usize),
    Ask(usize),
    Restart(usize),
}

#[derive(Clone)]
struct Three {
    proxies: Vec<Proxy>,
    disks: Vec<Disk>,
    clocks: Vec<f64>,
    links: BTreeMap<(usize, usize), VecDeque<Vec<u8>>>,
    hashes: BTreeMap<Index, Hash>,
    leaders: BTreeMap<Term, usize>,
    restarts: u64,
    fault: Option<Fault>,
}

impl Three {
    fn new(fault: Option<Fault>) -> Self {
        let disks = vec![Disk::default(); MEMBERS];
        let mut three = Self {
            proxies: (0..MEMBERS).map(|place| proxy(place, &disks[place], 0.0, 0)).collect(),
            disks,
            clocks: vec![0.0; MEMBERS],
            links: BTreeMap::new(),
            hashes: BTreeMap::new(),
            leaders: BTreeMap::new(),
            restarts: 0,
            fault,
        };
        for place in 0..MEMBERS {
            three.proxies[place].fault = fault;
            three.proxies[place].kept.stage = Stage::Founder;
            three.proxies[place].founding.checked = true;
            three.carry_on(place, true);
        }
        three
    }

    fn carry_on(&mut self, place: usize, lives: bool) {
        let (now, disk, proxy) = (self.clocks[place], &mut self.disks[place], &mut self.proxies[place]);
        while let Some(write) = proxy.next_write(now) {
            disk.writing = Some((write, now));
            if lives {
                disk.sync();
            } else if self.fault != Some(Fault::Unsynced) {
                break;
            }
            proxy.write_succeeded(now);
        }
        while let Some(out) = proxy.outgoing() {
            let link = self.links.entry((place, out.to as usize)).or_default();
            link.push_back(out.bytes);
            if link.len() > WAITING {
                link.pop_front();
            }
        }
        if !lives {
            self.restart(place);
        }
    }

    fn restart(&mut self, place: usize) {
        self.disks[place].crash(0.0);
        self.restarts += 1;
        self.proxies[place] = proxy(place, &self.disks[place], self.clocks[place], self.restarts);
        self.proxies[place].fault = self.fault;
        // What others would say of its disk: it is not an older copy.
        self.proxies[place].founding.checked = true;
        self.carry_on(place, true);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (&(from, to), _) in self.links.iter().filter(|(_, waiting)| !waiting.is_empty()) {
            steps.extend([Step::Deliver(from, to), Step::DeliverAndDie(from, to)]);
            steps.extend([Step::Lose(from, to), Step::Double(from, to)]);
        }
        for place in 0..MEMBERS {
            steps.extend([Step::Time(place), Step::Restart(place)]);
            if self.proxies[place].role() == Role::Leads {
                steps.push(Step::Ask(place));
            }
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Deliver(from, to) | Step::DeliverAndDie(from, to) | Step::Double(from, to) => {
                let link = self.links.get_mut(&(from, to)).expect("waits");
                let bytes = link.pop_front().expect("waits");
                if matches!(step, Step::Double(..)) {
                    link.push_back(bytes.clone());
                }
                self.proxies[to].receive(self.clocks[to], from as Id, &bytes);
                self.carry_on(to, !matches!(step, Step::DeliverAndDie(..)));
            }
            Step::Lose(from, to) => drop(self.links.get_mut(&(from, to)).expect("waits").pop_front()),
            Step::Time(place) => {
                // A leader speaks; whoever hears none asks for votes.
                let leads = self.proxies[place].role() == Role::Leads;
                self.clocks[place] += if leads { 1.2 * BEAT } else { 21.0 * BEAT };
                self.proxies[place].turn(self.clocks[place]);
                self.carry_on(place, true);
            }
            Step::Ask(place) => {
                let line = (self.restarts * 10 + place as u64).to_le_bytes().to_vec();
                let _ = self.proxies[place].propose(self.clocks[place], 0, line);
                self.carry_on(place, true);
            }
            Step::Restart(place) => self.restart(place),
        }
    }

    fn broken(&mut self) -> Option<String> {
        for (place, proxy) in self.proxies.iter().enumerate() {
            for index in 1..=proxy.applied {
                let Some(hash) = proxy.hash_at(index) else { continue };
                if *self.hashes.entry(index).or_insert(hash) != hash {
                    return Some(format!("p{place} decided otherwise at {index}"));
                }
            }
            if proxy.role() == Role::Leads && *self.leaders.entry(proxy.kept.term).or_insert(place) != place {
                return Some(format!("p{place} leads term {} too", proxy.kept.term));
            }
        }
        None
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (proxy, disk) in self.proxies.iter().zip(&self.disks) {
            let (kept, last) = (&proxy.kept, proxy.kept.log.last());
            (kept.term, kept.voted, last, proxy.decided, proxy.applied).hash(&mut hasher);
            (format!("{:?}", proxy.post), &disk.holds).hash(&mut hasher);
        }
        (&self.links, &self.hashes).hash(&mut hasher);
        hasher.finish()
    }
}

fn proxy(place: usize, disk: &Disk, now: f64, restarts: u64) -> Proxy {
    let terms =
        AgreementTerms { bootstrap_members: (0..MEMBERS as Id).collect(), heartbeat: BEAT, lease: LEASE };
    let (id, seed) = (place as Id, place as u64 + 10 * restarts);
    let file = disk::recover(&disk.holds);
    Agreement::new(id, terms, Keys(id), Book::default(), file, seed, now).expect("no snapshot")
}

/// Goes through all orders of so many steps; gives how many states there are, and the first break with its
/// way there.
fn search(start: Three, depth: usize) -> (usize, Option<String>) {
    let mut known = HashSet::new();
    let mut level = vec![(start, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (three, way) in level {
            for step in three.steps() {
                let mut after = three.clone();
                after.take(step);
                let way: Vec<Step> = way.iter().copied().chain([step]).collect();
                if let Some(broken) = after.broken() {
                    return (known.len(), Some(format!("{broken}: {way:?}")));
                }
                if known.insert(after.key()) {
                    next.push((after, way));
                }
            }
        }
        level = next;
    }
    (known.len(), None)
}

/// Somebody asks for votes, and gets as far as the steps say.
fn begun(fault: Option<Fault>, steps: &[Step]) -> Three {
    let mut three = Three::new(fault);
    steps.iter().for_each(|&step| three.take(step));
    three
}

/// 0 has asked for a trial and has one more's word: the votes themselves are on their way.
const VOTING: [Step; 3] = [Step::Time(0), Step::Deliver(0, 1), Step::Deliver(1, 0)];

/// 0 leads, and is asked for an entry.
const LEADING: [Step; 6] =
    [VOTING[0], VOTING[1], VOTING[2], Step::Deliver(0, 1), Step::Deliver(1, 0), Step::Ask(0)];

/// 0 and 2 both ask 1 for its vote in the first term.
const CONTEST: [Step; 6] =
    [VOTING[0], VOTING[1], VOTING[2], Step::Time(2), Step::Deliver(2, 1), Step::Deliver(1, 2)];

#[rstest]
#[case::from_the_founding(&[], 5)]
#[case::with_votes_on_their_way(&CONTEST, 4)]
#[case::with_a_leader_and_an_entry(&LEADING, 4)]
fn no_order_of_steps_gives_two_orders_of_decisions(#[case] steps: &[Step], #[case] depth: usize) {
    let (states, broken) = search(begun(None, steps), depth);
    assert_eq!(broken, None);
    eprintln!("{states} states");
    assert!(states > 10_000, "{states}");
}

#[test]
fn a_vote_that_is_not_on_the_disk_when_it_leaves_is_found() {
    let (_, broken) = search(begun(Some(Fault::Unsynced), &CONTEST), 4);
    let broken = broken.expect("found");
    assert!(broken.contains("leads term"), "{broken}");
}
