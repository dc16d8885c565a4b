//! Calls recorded on a simulated disk that slows down, hangs and fails, from the caller's NEW to the bytes on disk: no
//! ANSWER that a power cut could unsay, one final answer in time, and no standing call that ends because of the disk.

mod fixture;
#[path = "../../records/tests/simulated_disk/mod.rs"]
mod simulated_disk;

use std::cell::RefCell;
use std::rc::Rc;

use fixture::{Recorder, Scenario};
use iax2::{Event, Leg, cause};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use records::commit::{Admission, Durability};
use records::entry::{Author, NumberedEntry, Outcome, Stored};
use records::store::{EntryStore, StoreTerms};
use rstest::rstest;
use simulated_disk::{Behaviour, RecordedDisk};

const CALLER_TIMEOUT: u32 = 3000;

#[derive(Clone)]
struct SharedDisk(Rc<RefCell<RecordedDisk>>);

impl SharedDisk {
    fn new(durability: Durability, max_segment_bytes: u64) -> Self {
        let author = Author { proxy: "p1".to_owned(), generation: 1 };
        let terms = StoreTerms { durability, max_sync_delay: 4.0, max_sync_time: 300.0, max_segment_bytes };
        Self(Rc::new(RefCell::new(RecordedDisk::new(EntryStore::new(author, terms)))))
    }

    fn set(&self, behaviour: Behaviour) {
        self.0.borrow_mut().behaviour = behaviour;
    }

    /// Whether the answer of the n-th recorded call would survive a power cut now.
    fn has_answer(&self, serial: u64) -> bool {
        let recovered = self.0.borrow().after_power_cut();
        recovered.iter().any(|record| record.id.serial == serial && record.answered.is_some())
    }

    fn outcomes(&self) -> Vec<Outcome> {
        self.0.borrow().after_kill().iter().map(|record| record.outcome).collect()
    }
}

impl Recorder for SharedDisk {
    fn turn(&mut self, now: f64, entries: Vec<NumberedEntry>) -> Stored {
        self.0.borrow_mut().turn(now, &entries)
    }

    fn due(&self) -> f64 {
        self.0.borrow().due()
    }
}

/// A recorded proxy whose new calls are refused while the disk can't record them, as in the daemon.
struct Recorded {
    scenario: Scenario,
    disk: SharedDisk,
}

/// A call of the test.
#[derive(Clone, Copy)]
struct Placed {
    leg: Leg,
    at: f64,
    /// Its serial number in the journal, if it was taken.
    serial: Option<u64>,
}

impl Recorded {
    fn new(durability: Durability, max_segment_bytes: u64) -> Self {
        let disk = SharedDisk::new(durability, max_segment_bytes);
        let mut scenario = Scenario::recorded(disk.clone());
        scenario.run_for(20.0);
        Self { scenario, disk }
    }

    /// Places a call, whose server answers at once.
    fn call(&mut self) -> Placed {
        let admission = self.disk.0.borrow().store.admit(self.scenario.now);
        self.scenario.proxy.set_recording_unavailable(match admission {
            Admission::Accept => None,
            Admission::Refuse { retry_after } => Some(retry_after),
        });
        let (at, offered) = (self.scenario.now, self.scenario.offered.len());
        let leg = self.scenario.call("1555", CALLER_TIMEOUT);
        if self.scenario.offered.len() > offered {
            self.scenario.answer();
        }
        let serial = self.scenario.proxy.status().counters.accepted;
        Placed { leg, at, serial: (admission == Admission::Accept).then_some(serial) }
    }

    fn answers(&self, leg: Leg) -> usize {
        let is_answer =
            |(event_leg, event): &&(Leg, Event)| *event_leg == leg && matches!(event, Event::Answered(_));
        self.scenario.caller_events.iter().filter(is_answer).count()
    }
}

#[rstest]
#[case::well(Durability::Synced, Behaviour::WELL, true)]
#[case::slow(Durability::Synced, Behaviour { sync_ms: 900.0, ..Behaviour::WELL }, true)]
#[case::hung(Durability::Synced, Behaviour { sync_ms: f64::INFINITY, ..Behaviour::WELL }, false)]
#[case::syncs_fail(Durability::Synced, Behaviour { syncs_fail: true, ..Behaviour::WELL }, false)]
#[case::full(Durability::Synced, Behaviour { writes_fail: true, no_new_segments: true, ..Behaviour::WELL }, false)]
#[case::hung_and_written(Durability::Written, Behaviour { sync_ms: f64::INFINITY, ..Behaviour::WELL }, true)]
#[case::full_and_written(
    Durability::Written,
    Behaviour { writes_fail: true, no_new_segments: true, ..Behaviour::WELL },
    false
)]
#[case::full_and_loose(
    Durability::Unconfirmed,
    Behaviour { writes_fail: true, no_new_segments: true, ..Behaviour::WELL },
    true
)]
fn a_call_is_answered_or_refused_in_time_and_standing_calls_go_on(
    #[case] durability: Durability,
    #[case] behaviour: Behaviour,
    #[case] is_answered: bool,
) {
    let mut recorded = Recorded::new(durability, 1 << 20);
    let standing = recorded.call();
    recorded.scenario.run_for(50.0);
    assert_eq!(recorded.answers(standing.leg), 1);
    recorded.disk.set(behaviour);
    let placed = recorded.call();
    recorded.scenario.run_for(f64::from(CALLER_TIMEOUT) - (recorded.scenario.now - placed.at));
    assert_eq!(recorded.answers(placed.leg), usize::from(is_answered));
    if !is_answered {
        let (code, retry_after) = recorded.scenario.ended(placed.leg).expect("an answer in time");
        assert_eq!(code, Some(cause::CONGESTION));
        assert!(retry_after.is_some());
    }
    recorded.scenario.run_for(120_000.0);
    assert_eq!(recorded.scenario.ended(standing.leg), None, "the standing call goes on");
    assert_eq!(recorded.scenario.proxy.conversations(), 1 + usize::from(is_answered));
    if durability == Durability::Synced && is_answered {
        assert!(recorded.disk.has_answer(placed.serial.expect("taken")));
    }
}

#[test]
fn a_call_refused_for_its_record_is_recorded_as_refused_once_the_disk_is_well() {
    let mut recorded = Recorded::new(Durability::Synced, 1 << 20);
    recorded.disk.set(Behaviour { syncs_fail: true, ..Behaviour::WELL });
    let placed = recorded.call();
    recorded.scenario.run_for(f64::from(CALLER_TIMEOUT));
    assert_eq!(recorded.answers(placed.leg), 0);
    // While the disk fails, new calls are refused at once, with when to come back.
    let late = recorded.call();
    assert_eq!(late.serial, None);
    assert_eq!(recorded.scenario.ended(late.leg), Some((Some(cause::CONGESTION), Some(300))));
    recorded.disk.set(Behaviour::WELL);
    recorded.scenario.run_for(400.0);
    let again = recorded.call();
    recorded.scenario.run_for(50.0);
    assert_eq!(recorded.answers(again.leg), 1);
    assert_eq!(recorded.disk.outcomes(), [Outcome::Refused, Outcome::Lost]);
}

/// The seeds in `cargo test`; `FROSTTHREAD_SEEDS` names another number for a long run.
const SEEDS: u64 = 120;

#[test]
fn no_answer_reaches_a_caller_that_a_power_cut_could_unsay() {
    let seeds = std::env::var("FROSTTHREAD_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    (0..seeds.unwrap_or(SEEDS)).for_each(play);
}

/// Calls placed while the disk changes its behaviour at random.
fn play(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut recorded = Recorded::new(Durability::Synced, [300, 1 << 20][rng.random_range(0..2)]);
    let mut calls: Vec<Placed> = Vec::new();
    let mut seen = 0;
    for step in 0..50 {
        if rng.random_range(0..4) == 0 {
            let sync_ms = [0.0, 3.0, 40.0, 299.0, 1_500.0, f64::INFINITY][rng.random_range(0..6)];
            let [writes_fail, syncs_fail, no_new_segments] = [0; 3].map(|_| rng.random_range(0..5) == 0);
            let now = recorded.scenario.now;
            recorded.disk.0.borrow_mut().end_hang(now);
            let behaviour = Behaviour { sync_ms, writes_fail, syncs_fail, no_new_segments };
            recorded.disk.set(if step > 40 { Behaviour::WELL } else { behaviour });
        }
        if rng.random_range(0..2) == 0 {
            calls.push(recorded.call());
        }
        for _ in 0..[1, 5, 60, 400][rng.random_range(0..4)] {
            recorded.scenario.run_for(1.0);
            for (leg, event) in &recorded.scenario.caller_events[seen..] {
                let Some(call) = calls.iter().find(|call| call.leg == *leg) else { continue };
                let in_time = recorded.scenario.now <= call.at + f64::from(CALLER_TIMEOUT);
                assert!(in_time || !matches!(event, Event::Answered(_)), "seed {seed}: a late answer");
                if matches!(event, Event::Answered(_)) {
                    let serial = call.serial.expect("taken");
                    assert!(recorded.disk.has_answer(serial), "seed {seed}: call {serial} is not on disk");
                }
            }
            seen = recorded.scenario.caller_events.len();
        }
    }
    recorded.scenario.run_for(f64::from(CALLER_TIMEOUT));
    for call in &calls {
        let answered = recorded.answers(call.leg);
        let ended = recorded.scenario.ended(call.leg);
        assert!(answered <= 1 && (answered == 1) != ended.is_some(), "seed {seed}: {answered}, {ended:?}");
        assert!(ended.is_none_or(|(code, _)| code == Some(cause::CONGESTION)), "seed {seed}: {ended:?}");
    }
    let established = calls.iter().filter(|call| recorded.answers(call.leg) == 1).count();
    assert_eq!(recorded.scenario.proxy.conversations(), established, "seed {seed}");
}
