//! The virtual clock: one course for any number of threads, delays, deaths and disks as the script has them.
//!
//! The nodes here are simple ones, so that the engine alone is seen: control machine 0 counts up and tells
//! all, a proxy remembers the highest count.

use std::net::SocketAddr;
use std::time::Duration;

use lab::scale::engine::{self, Plan, Played, Proposal};
use lab::scale::layout::{Layout, LayoutTerms, NodeId, Scope};
use lab::scale::node::{Fleet, NewValue, Node, NotNow, Version};
use lab::scale::script::Script;
use rstest::rstest;

const EVERY: f64 = 100.0;
const PROXIES: usize = 48;

struct Counters(usize);

struct Counter {
    node: NodeId,
    nodes: usize,
    count: Version,
    due: f64,
    out: Vec<(SocketAddr, Vec<u8>)>,
    decided: Vec<(usize, Version)>,
}

impl Fleet for Counters {
    type Node = Counter;

    fn start(&self, node: NodeId, _: u32, disk: &[u8], now: f64) -> Counter {
        let count = disk.try_into().map_or(0, Version::from_le_bytes);
        Counter { node, nodes: self.0, count, due: now + EVERY, out: Vec::new(), decided: Vec::new() }
    }
}

impl Counter {
    fn tell(&mut self) {
        let datagram = self.count.to_le_bytes().to_vec();
        self.out = (1..self.nodes).map(|to| (Layout::address(to), datagram.clone())).collect();
    }
}

impl Node for Counter {
    fn receive(&mut self, _: f64, _: SocketAddr, datagram: &[u8]) {
        let count = Version::from_le_bytes(datagram.try_into().expect("eight bytes"));
        self.count = self.count.max(count);
    }

    fn turn(&mut self, now: f64) {
        if now >= self.due {
            self.due = now + EVERY;
            if self.node == 0 {
                self.tell();
            }
        }
    }

    fn due(&self) -> f64 {
        self.due
    }

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop()
    }

    fn in_force(&self, _: Scope) -> Version {
        self.count
    }

    fn propose(&mut self, _: f64, number: usize, _: &NewValue) -> Result<(), NotNow> {
        self.count += 1;
        self.decided.push((number, self.count));
        Ok(())
    }

    fn decided(&mut self) -> Option<(usize, Version)> {
        self.decided.pop()
    }

    fn disk(&self) -> Vec<u8> {
        self.count.to_le_bytes().to_vec()
    }

    fn state_bytes(&self) -> usize {
        8
    }
}

fn play(faults: &str, seed: u64, threads: usize) -> (Layout, Played) {
    let head =
        "name = \"x\"\nwarm_up = 1.0\nseconds = 9.0\nloss = 0.1\n[changes]\nevery = 1.0\nuntil = 8.0\n";
    let script = Script::read(&format!("{head}{faults}")).expect("sound");
    let layout =
        Layout::new(LayoutTerms { proxies: PROXIES, ..LayoutTerms::default() }, seed).expect("sound");
    let change = NewValue { scope: Scope::All, key: String::new(), value: Vec::new() };
    let proposal = |second| Proposal { at: script.at(f64::from(second)), by: 0, change: change.clone() };
    let proposals: Vec<Proposal> = (0..8).map(proposal).collect();
    let most = Duration::from_secs(60);
    let plan = Plan { layout: &layout, script: &script, proposals: &proposals, seed, threads, most };
    let played = engine::play(&Counters(layout.nodes()), &plan, &|_| {});
    (layout, played)
}

const FAULTS: &str = "[[fault]]\nat = 1.0\nfor = 2.0\nkind = \"kill_zone\"\nzone = 9\n\
    [[fault]]\nat = 3.0\nfor = 2.0\nkind = \"slow_proxies\"\npart = 0.3\nevery = 0.5\n\
    [[fault]]\nat = 4.0\nfor = 2.0\nkind = \"cut_region\"\nregion = 2\nways = \"in\"\n";

#[test]
fn one_seed_gives_the_same_bytes_for_any_number_of_threads() {
    let (_, first) = play(FAULTS, 5, 1);
    assert!(first.arrived > 1_000, "{} arrived", first.arrived);
    for threads in [2, 3, 16] {
        let (_, again) = play(FAULTS, 5, threads);
        assert_eq!((&first.digest, first.arrived), (&again.digest, again.arrived), "{threads} threads");
        assert_eq!(first.decided, again.decided);
    }
    assert_ne!(first.digest, play(FAULTS, 6, 1).1.digest);
}

#[test]
fn a_change_arrives_no_sooner_than_its_way_takes_and_all_have_it_at_the_end() {
    let (layout, played) = play("", 5, 2);
    assert_eq!(played.decided.len(), 8);
    for node in layout.controls..layout.nodes() {
        let came = &played.nodes[node].came;
        assert_eq!(came.iter().filter(|of| of.slot == 0).map(|of| of.version).max(), Some(8));
        for came in came {
            let decided = played.decided[came.version as usize - 1].at;
            assert!(came.at >= decided + layout.delay(0, node), "{came:?}, decided at {decided}");
        }
    }
}

#[test]
fn only_the_measured_time_is_counted() {
    let (layout, played) = play("", 5, 2);
    let proxy = &played.nodes[layout.controls].cost;
    // Ten messages of eight bytes a second for nine seconds, one in ten lost.
    assert!((600..=720).contains(&proxy.bytes), "{proxy:?}");
    assert!((64..=88).contains(&proxy.worst_second_bytes), "{proxy:?}");
    assert_eq!(played.nodes[0].cost.received_bytes, 0);
}

#[rstest]
#[case::killed("kind = \"kill_zone\"\nzone = 15")]
#[case::paused("kind = \"pause_proxies\"\npart = 1.0")]
#[case::cut("kind = \"cut_zone\"\nzone = 15\nways = \"both\"")]
fn a_node_that_is_away_hears_nothing_meanwhile(#[case] kind: &str) {
    let (layout, played) = play(&format!("[[fault]]\nat = 2.5\nfor = 3.0\n{kind}\n"), 5, 2);
    let away = layout.in_zone(15).into_iter().filter(|&node| !layout.is_control(node));
    for came in away.flat_map(|node| played.nodes[node].came.clone()) {
        // What was on its way to it still comes before a cut.
        assert!(!(3_700.0..6_500.0).contains(&came.at), "{came:?}");
    }
}

#[test]
fn an_old_disk_takes_a_node_back() {
    let fault = "[[fault]]\nat = 4.5\nfor = 0.2\nkind = \"old_disk\"\ncontrol = 0\nolder = 2.0\n";
    let (layout, played) = play(fault, 5, 2);
    // Changes 0 to 4 were made before; two seconds earlier three of them.
    let newest = played.decided.iter().map(|of| of.version).max();
    assert_eq!(newest, Some(6), "{:?}", played.decided);
    assert_eq!(played.nodes[layout.controls].went_back, 0);
}

#[test]
fn a_run_that_takes_too_long_is_broken_off() {
    let layout = Layout::new(LayoutTerms { proxies: 20, ..LayoutTerms::default() }, 1).expect("sound");
    let script = Script::named("calm").expect("built in");
    let most = Duration::ZERO;
    let plan = Plan { layout: &layout, script: &script, proposals: &[], seed: 1, threads: 2, most };
    let played = engine::play(&Counters(layout.nodes()), &plan, &|_| {});
    assert!(played.reached < script.end_ms());
}
