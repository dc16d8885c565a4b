//! The virtual clock: the same run for any number of threads; delays, kills and disks as the script says.
//!
//! The nodes are simple, so that only the engine is tested: control machine 0 counts up and broadcasts its
//! count, a proxy keeps the highest count.

use std::net::SocketAddr;
use std::time::Duration;

use lab::scale::engine::{self, Plan, Proposal, RunResult};
use lab::scale::layout::{Layout, LayoutTerms, NodeId, Scope};
use lab::scale::node::{ConfigChange, Fleet, Node, NotReady, Version};
use lab::scale::script::Script;
use rstest::rstest;

const TURN_INTERVAL_MS: f64 = 100.0;
const PROXIES: usize = 48;

struct Counters(usize);

struct Counter {
    node: NodeId,
    nodes: usize,
    count: Version,
    due: f64,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    decided: Vec<(usize, Version)>,
}

impl Fleet for Counters {
    type Node = Counter;

    fn start(&self, node: NodeId, _: u32, disk: &[u8], now: f64) -> Counter {
        let count = disk.try_into().map_or(0, Version::from_le_bytes);
        Counter {
            node,
            nodes: self.0,
            count,
            due: now + TURN_INTERVAL_MS,
            outgoing: Vec::new(),
            decided: Vec::new(),
        }
    }
}

impl Counter {
    fn broadcast(&mut self) {
        let datagram = self.count.to_le_bytes().to_vec();
        self.outgoing = (1..self.nodes).map(|to| (Layout::address(to), datagram.clone())).collect();
    }
}

impl Node for Counter {
    fn receive(&mut self, _: f64, _: SocketAddr, datagram: &[u8]) {
        let count = Version::from_le_bytes(datagram.try_into().expect("a count of eight bytes"));
        self.count = self.count.max(count);
    }

    fn turn(&mut self, now: f64) {
        if now >= self.due {
            self.due = now + TURN_INTERVAL_MS;
            if self.node == 0 {
                self.broadcast();
            }
        }
    }

    fn due(&self) -> f64 {
        self.due
    }

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outgoing.pop()
    }

    fn in_force(&self, _: Scope) -> Version {
        self.count
    }

    fn propose(&mut self, _: f64, number: usize, _: &ConfigChange) -> Result<(), NotReady> {
        self.count += 1;
        self.decided.push((number, self.count));
        Ok(())
    }

    fn next_decided(&mut self) -> Option<(usize, Version)> {
        self.decided.pop()
    }

    fn disk(&self) -> Vec<u8> {
        self.count.to_le_bytes().to_vec()
    }

    fn state_bytes(&self) -> usize {
        8
    }
}

fn run(faults: &str, seed: u64, threads: usize) -> (Layout, RunResult) {
    let head =
        "name = \"x\"\nwarm_up = 1.0\nseconds = 9.0\nloss = 0.1\n[changes]\nevery = 1.0\nuntil = 8.0\n";
    let script = Script::parse(&format!("{head}{faults}")).expect("valid");
    let layout =
        Layout::new(LayoutTerms { proxies: PROXIES, ..LayoutTerms::default() }, seed).expect("valid");
    let change = ConfigChange { scope: Scope::All, key: String::new(), value: Vec::new() };
    let proposal = |second| Proposal {
        proposed_at: script.to_ms(f64::from(second)),
        proposer: 0,
        change: change.clone(),
    };
    let proposals: Vec<Proposal> = (0..8).map(proposal).collect();
    let max_wall_time = Duration::from_secs(60);
    let plan = Plan { layout: &layout, script: &script, proposals: &proposals, seed, threads, max_wall_time };
    let result = engine::run(&Counters(layout.node_count()), &plan, &|_| {});
    (layout, result)
}

const FAULTS: &str = "[[fault]]\nat = 1.0\nfor = 2.0\nkind = \"kill_zone\"\nzone = 9\n\
    [[fault]]\nat = 3.0\nfor = 2.0\nkind = \"slow_proxies\"\npart = 0.3\nevery = 0.5\n\
    [[fault]]\nat = 4.0\nfor = 2.0\nkind = \"cut_region\"\nregion = 2\nways = \"in\"\n";

#[test]
fn the_digest_of_a_seed_does_not_depend_on_the_number_of_threads() {
    let (_, first) = run(FAULTS, 5, 1);
    assert!(first.messages_arrived > 1_000, "{} arrived", first.messages_arrived);
    for threads in [2, 3, 16] {
        let (_, again) = run(FAULTS, 5, threads);
        assert_eq!(
            (&first.digest, first.messages_arrived),
            (&again.digest, again.messages_arrived),
            "{threads} threads"
        );
        assert_eq!(first.decided, again.decided);
    }
    assert_ne!(first.digest, run(FAULTS, 6, 1).1.digest);
}

#[test]
fn a_change_takes_at_least_the_delay_and_reaches_all_by_the_end() {
    let (layout, result) = run("", 5, 2);
    assert_eq!(result.decided.len(), 8);
    for node in layout.controls..layout.node_count() {
        let events = &result.nodes[node].in_force_events;
        assert_eq!(events.iter().filter(|event| event.slot == 0).map(|event| event.version).max(), Some(8));
        for event in events {
            let decided = result.decided[event.version as usize - 1].decided_at;
            assert!(event.in_force_at >= decided + layout.delay(0, node), "{event:?}, decided at {decided}");
        }
    }
}

#[test]
fn costs_before_the_measured_time_are_not_counted() {
    let (layout, result) = run("", 5, 2);
    let proxy = &result.nodes[layout.controls].cost;
    // Ten messages of eight bytes a second for nine seconds, one in ten lost.
    assert!((600..=720).contains(&proxy.bytes), "{proxy:?}");
    assert!((64..=88).contains(&proxy.worst_second_bytes), "{proxy:?}");
    assert_eq!(result.nodes[0].cost.received_bytes, 0);
}

#[rstest]
#[case::killed("kind = \"kill_zone\"\nzone = 15")]
#[case::paused("kind = \"pause_proxies\"\npart = 1.0")]
#[case::cut("kind = \"cut_zone\"\nzone = 15\nways = \"both\"")]
fn a_killed_paused_or_cut_off_node_gets_no_changes_meanwhile(#[case] kind: &str) {
    let (layout, result) = run(&format!("[[fault]]\nat = 2.5\nfor = 3.0\n{kind}\n"), 5, 2);
    let absent = layout.nodes_in_zone(15).into_iter().filter(|&node| !layout.is_control(node));
    for event in absent.flat_map(|node| result.nodes[node].in_force_events.clone()) {
        // Messages sent before a cut still arrive.
        assert!(!(3_700.0..6_500.0).contains(&event.in_force_at), "{event:?}");
    }
}

#[test]
fn a_node_with_an_old_disk_restarts_with_its_old_state() {
    let fault = "[[fault]]\nat = 4.5\nfor = 0.2\nkind = \"old_disk\"\ncontrol = 0\nolder = 2.0\n";
    let (layout, result) = run(fault, 5, 2);
    // Changes 0 to 4 were made before the kill; the disk of two seconds earlier has three of them.
    let newest = result.decided.iter().map(|change| change.version).max();
    assert_eq!(newest, Some(6), "{:?}", result.decided);
    assert_eq!(result.nodes[layout.controls].went_back, 0);
}

#[test]
fn a_run_that_exceeds_its_wall_time_is_stopped() {
    let layout = Layout::new(LayoutTerms { proxies: 20, ..LayoutTerms::default() }, 1).expect("valid");
    let script = Script::named("calm").expect("built in");
    let max_wall_time = Duration::ZERO;
    let plan = Plan { layout: &layout, script: &script, proposals: &[], seed: 1, threads: 2, max_wall_time };
    let result = engine::run(&Counters(layout.node_count()), &plan, &|_| {});
    assert!(result.reached_ms < script.end_ms());
}
