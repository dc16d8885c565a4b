//! What a journal claims of its entries, in virtual time: nothing counts as stored that a power cut would lose,
//! whatever fails, and after each failure entries are stored again.

mod simulated_disk;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use records::commit::{Admission, DiskHealth, Durability};
use records::entry::{Author, Entry, NumberedEntry, Outcome, Try};
use records::store::{DiskJob, EntryStore, MAX_KEPT_BYTES, StoreTerms};
use rstest::rstest;
use simulated_disk::{Behaviour, RecordedDisk};

const SYNC_DELAY: f64 = 4.0;
const SYNC_TIMEOUT: f64 = 300.0;

fn store(durability: Durability, max_segment_bytes: u64) -> EntryStore {
    let author = Author { proxy: "p1".to_owned(), generation: 1 };
    let terms =
        StoreTerms { durability, max_sync_delay: SYNC_DELAY, max_sync_time: SYNC_TIMEOUT, max_segment_bytes };
    EntryStore::new(author, terms)
}

/// The entries of one try after the other.
#[derive(Default)]
struct Tries {
    serial: u64,
    last_entry: u64,
}

/// The numbers of a try's first entry and of its answer's.
type Answer = (u64, u64);

impl Tries {
    fn number(&mut self, entry: Entry) -> NumberedEntry {
        self.last_entry += 1;
        NumberedEntry { number: self.last_entry, entry }
    }

    fn opened(&mut self, unix_ms: u64, called: &str) -> NumberedEntry {
        self.serial += 1;
        let (calling, called) = ("9".to_owned(), called.to_owned());
        let (grade, tenant) = ("slot".to_owned(), "north".to_owned());
        self.number(Entry::Opened { serial: self.serial, unix_ms, calling, called, grade, tenant })
    }

    /// A try up to its server's answer.
    fn answered(&mut self, unix_ms: u64) -> (Vec<NumberedEntry>, Answer) {
        let opened = self.opened(unix_ms, "155");
        let serial = self.serial;
        let attempt = self.number(Entry::Attempt { serial, unix_ms, server: "a".to_owned() });
        let answered = self.number(Entry::Answered { serial, unix_ms });
        let answer = (opened.number, answered.number);
        (vec![opened, attempt, answered], answer)
    }

    fn closed(&mut self, serial: u64, unix_ms: u64) -> NumberedEntry {
        self.number(Entry::Closed { serial, unix_ms, outcome: Outcome::Completed, over_share: false })
    }
}

fn is_answered(tries: &[Try], serial: u64) -> bool {
    tries.iter().any(|record| record.id.serial == serial && record.answered.is_some())
}

/// A disk that is well, and one try that has just been answered and is not synced.
fn with_unsynced_answer(durability: Durability) -> (RecordedDisk, Tries, Answer) {
    let mut disk = RecordedDisk::new(store(durability, 1 << 20));
    let mut tries = Tries::default();
    let (entries, answer) = tries.answered(10);
    disk.turn(10.0, &entries);
    (disk, tries, answer)
}

fn is_stored(disk: &RecordedDisk, (first, last): Answer) -> bool {
    disk.store.stored().covers(first, last)
}

#[rstest]
#[case(Durability::Synced, false)]
#[case(Durability::Written, true)]
#[case(Durability::Unconfirmed, true)]
fn an_entry_is_stored_after_the_step_that_its_durability_names(
    #[case] durability: Durability,
    #[case] after_the_write: bool,
) {
    let (mut disk, _, answer) = with_unsynced_answer(durability);
    assert_eq!(is_stored(&disk, answer), after_the_write);
    disk.run_until(10.0 + SYNC_DELAY + 1.0);
    assert_eq!(is_stored(&disk, answer), after_the_write, "its sync is in progress");
    disk.run_until(10.0 + SYNC_DELAY + 2.0);
    assert!(is_stored(&disk, answer) && is_answered(&disk.after_power_cut(), 1));
}

#[test]
fn a_hung_sync_stores_nothing_however_long_it_takes() {
    let (mut disk, _, answer) = with_unsynced_answer(Durability::Synced);
    disk.behaviour.sync_ms = f64::INFINITY;
    disk.run_until(60_000.0);
    assert!(!is_stored(&disk, answer));
    assert_eq!(disk.store.health(60_000.0), DiskHealth::Slow);
    assert_eq!(disk.store.admit(60_000.0), Admission::Refuse { retry_after: SYNC_TIMEOUT });
    disk.behaviour.sync_ms = 2.0;
    disk.end_hang(60_000.0);
    disk.run_until(60_100.0);
    assert!(is_stored(&disk, answer) && is_answered(&disk.after_power_cut(), 1));
    assert_eq!(disk.store.admit(60_100.0), Admission::Accept);
}

/// Guards against a later sync of another segment that is credited with the bytes of a failed one.
#[test]
fn entries_under_a_failed_sync_are_stored_only_by_writing_them_again() {
    let (mut disk, mut tries, answer) = with_unsynced_answer(Durability::Synced);
    disk.behaviour.syncs_fail = true;
    disk.run_until(16.0);
    assert_eq!(disk.jobs.1, 1, "its sync has failed");
    let (entries, later) = tries.answered(17);
    disk.turn(17.0, &entries);
    disk.run_until(5_000.0);
    assert!(!is_stored(&disk, answer) && !is_stored(&disk, later));
    assert!(!is_answered(&disk.after_power_cut(), 1));
    disk.behaviour = Behaviour::WELL;
    disk.run_until(5_000.0 + SYNC_TIMEOUT + 10.0);
    assert!(is_stored(&disk, answer) && is_stored(&disk, later));
    let recovered = disk.after_power_cut();
    assert!(is_answered(&recovered, 1) && is_answered(&recovered, 2));
}

/// Guards against the result of a sync of the former segment that is taken for one of the next.
#[test]
fn a_late_result_counts_for_what_its_sync_covered_and_no_more() {
    let (mut disk, mut tries, first) = with_unsynced_answer(Durability::Synced);
    disk.behaviour.sync_ms = 100.0;
    disk.run_until(20.0);
    // The sync of the first answer is in progress when a write fails.
    let (entries, second) = tries.answered(20);
    disk.behaviour.writes_fail = true;
    disk.turn(20.0, &entries);
    disk.behaviour = Behaviour { sync_ms: 100.0, ..Behaviour::WELL };
    let (entries, third) = tries.answered(30);
    disk.turn(30.0, &entries);
    disk.run_until(115.0);
    assert!(is_stored(&disk, first), "the sync has succeeded for what it covered");
    assert!(!is_stored(&disk, second) && !is_stored(&disk, third));
    disk.run_until(225.0);
    assert!(is_stored(&disk, second) && is_stored(&disk, third), "written again as a whole");
    assert!((1..=3).all(|serial| is_answered(&disk.after_power_cut(), serial)));
}

#[rstest]
#[case(Durability::Synced)]
#[case(Durability::Written)]
fn an_entry_in_memory_is_not_stored(#[case] durability: Durability) {
    let mut disk = RecordedDisk::new(store(durability, 1 << 20));
    let mut tries = Tries::default();
    disk.behaviour = Behaviour { writes_fail: true, no_new_segments: true, ..Behaviour::WELL };
    let (entries, answer) = tries.answered(20);
    disk.turn(20.0, &entries);
    disk.run_until(2_000.0);
    assert!(!is_stored(&disk, answer));
    assert_eq!(disk.store.health(2_000.0), DiskHealth::WriteFailing);
    disk.behaviour = Behaviour::WELL;
    disk.run_until(2_000.0 + SYNC_TIMEOUT + 10.0);
    assert!(is_stored(&disk, answer) && is_answered(&disk.after_power_cut(), 1));
    assert_eq!(disk.store.lost(), 0);
}

#[rstest]
#[case::kept_in_memory(true)]
#[case::written_to_a_segment_that_fails(false)]
fn a_try_that_lost_an_entry_is_never_stored_and_later_ones_are(#[case] writes_fail: bool) {
    let mut disk = RecordedDisk::new(store(Durability::Written, 1 << 30));
    let mut tries = Tries::default();
    disk.behaviour =
        Behaviour { writes_fail, no_new_segments: true, sync_ms: f64::INFINITY, ..Behaviour::WELL };
    // More than is kept for another write, while nothing is synced.
    let filler = "5".repeat(250);
    for _ in 0..(MAX_KEPT_BYTES / 250 + 100) {
        let entry = tries.opened(20, &filler);
        disk.turn(20.0, &[entry]);
    }
    // Small entries fill what is left.
    let mut lost = (0, 0);
    for _ in 0..20 {
        let (entries, answer) = tries.answered(30);
        disk.turn(30.0, &entries);
        lost = answer;
    }
    disk.behaviour = Behaviour { syncs_fail: true, sync_ms: 2.0, ..disk.behaviour };
    disk.end_hang(40.0);
    disk.run_until(50.0);
    disk.behaviour = Behaviour::WELL;
    disk.run_until(1_000.0);
    assert!(disk.store.lost() > 0);
    assert!(!is_stored(&disk, lost));
    let (entries, later) = tries.answered(1_000);
    disk.turn(1_000.0, &entries);
    disk.run_until(1_100.0);
    assert!(is_stored(&disk, later) && is_answered(&disk.after_power_cut(), tries.serial));
}

#[test]
fn a_failing_disk_is_tried_again_once_in_a_sync_timeout() {
    let (mut disk, _, _) = with_unsynced_answer(Durability::Synced);
    disk.behaviour = Behaviour { syncs_fail: true, ..Behaviour::WELL };
    let before = disk.segments();
    disk.run_until(10.0 + 10.0 * SYNC_TIMEOUT);
    assert!((5..=11).contains(&(disk.segments() - before)), "{}", disk.segments() - before);
}

#[test]
fn a_full_segment_is_written_to_until_the_next_one_is_started() {
    let mut disk = RecordedDisk::new(store(Durability::Synced, 4096));
    let mut tries = Tries::default();
    let mut answers = Vec::new();
    for turn in 0..400 {
        let now = 20.0 + 3.0 * f64::from(turn);
        // New segments can't be created for a while.
        disk.behaviour.no_new_segments = (100..300).contains(&turn);
        disk.run_until(now);
        let (entries, answer) = tries.answered(now as u64);
        disk.turn(now, &entries);
        answers.push((tries.serial, answer));
        assert_eq!(disk.store.admit(now), Admission::Accept);
    }
    disk.run_until(5_000.0);
    let recovered = disk.after_power_cut();
    assert!(
        answers.iter().all(|&(serial, answer)| is_stored(&disk, answer) && is_answered(&recovered, serial))
    );
    assert!(disk.segments() > 4, "{}", disk.segments());
}

/// The seeds of the search in `cargo test`; `FROSTTHREAD_SEEDS` names another number for a long run.
const SEEDS: u64 = 1_000;

fn seeds() -> u64 {
    std::env::var("FROSTTHREAD_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

struct Draws(Pcg64Mcg);

impl Draws {
    fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..bound)
    }

    fn behaviour(&mut self) -> Behaviour {
        let sync_ms = [0.0, 2.0, 30.0, 299.0, 2_000.0, f64::INFINITY][self.below(6) as usize];
        let mut fails = || self.below(5) == 0;
        Behaviour { sync_ms, writes_fail: fails(), syncs_fail: fails(), no_new_segments: fails() }
    }
}

/// Plays a random history of entries and disk troubles. At every step, each answer that counts as stored must survive.
fn play(seed: u64, durability: Durability) {
    let mut draws = Draws::new(seed);
    let max_segment_bytes = [200, 2_000, 1 << 20][draws.below(3) as usize];
    let mut disk = RecordedDisk::new(store(durability, max_segment_bytes));
    let mut tries = Tries::default();
    let mut waiting: BTreeMap<u64, Answer> = BTreeMap::new();
    let mut confirmed = Vec::new();
    let mut now = 20.0;
    for step in 0..60 {
        if draws.below(4) == 0 {
            disk.end_hang(now);
            disk.behaviour = if step > 50 { Behaviour::WELL } else { draws.behaviour() };
        }
        let mut entries = Vec::new();
        for _ in 0..draws.below(3) {
            let (of_try, answer) = tries.answered(now as u64);
            waiting.insert(tries.serial, answer);
            entries.extend(of_try);
        }
        if !confirmed.is_empty() && draws.below(3) == 0 {
            let serial = confirmed[draws.below(confirmed.len() as u64) as usize];
            entries.push(tries.closed(serial, now as u64));
        }
        disk.turn(now, &entries);
        let next = now + [0.0, 1.0, 5.0, 40.0, 400.0][draws.below(5) as usize];
        while disk.due() <= next {
            now = disk.due().max(now);
            disk.turn(now, &[]);
            check(seed, now, &disk, durability, &mut waiting, &mut confirmed);
        }
        now = next;
        check(seed, now, &disk, durability, &mut waiting, &mut confirmed);
    }
    // With the disk well again everything is stored that was not lost.
    disk.end_hang(now);
    disk.behaviour = Behaviour::WELL;
    disk.run_until(now + 5_000.0);
    check(seed, now + 5_000.0, &disk, durability, &mut waiting, &mut confirmed);
    assert!(waiting.is_empty() && disk.store.is_synced(), "seed {seed}: {waiting:?}");
    assert_eq!(disk.store.lost(), 0, "seed {seed}");
    let recovered = disk.after_power_cut();
    assert!(confirmed.iter().all(|&serial| is_answered(&recovered, serial)), "seed {seed}");
}

fn check(
    seed: u64,
    now: f64,
    disk: &RecordedDisk,
    durability: Durability,
    waiting: &mut BTreeMap<u64, Answer>,
    confirmed: &mut Vec<u64>,
) {
    let stored = disk.store.stored();
    waiting.retain(|&serial, &mut (first, last)| {
        let is_stored = stored.covers(first, last);
        if is_stored {
            confirmed.push(serial);
        }
        !is_stored
    });
    let recovered = match durability {
        Durability::Synced => disk.after_power_cut(),
        _ => disk.after_kill(),
    };
    for &serial in confirmed.iter() {
        assert!(is_answered(&recovered, serial), "seed {seed}: try {serial} is lost at {now} ms");
    }
}

#[test]
fn no_confirmed_answer_is_lost_by_a_power_cut_in_random_histories() {
    (0..seeds()).for_each(|seed| play(seed, Durability::Synced));
}

#[test]
fn no_confirmed_answer_is_lost_by_a_kill_in_random_histories() {
    (0..seeds()).for_each(|seed| play(seed, Durability::Written));
}

/// Guards against a sync whose success would release entries from memory that were not written before it.
#[test]
fn no_job_starts_before_all_entries_are_written() {
    let mut store = store(Durability::Synced, 1 << 20);
    let mut tries = Tries::default();
    store.next_job(0.0).expect("the first segment");
    store.job_finished(1.0, true);
    store.push(&tries.opened(1, "155"));
    store.write_finished(1.0, true);
    store.push(&tries.opened(2, "155"));
    assert!(store.next_job(100.0).is_none());
    store.write_finished(100.0, true);
    assert_eq!(store.next_job(100.0), Some(DiskJob::Sync { segments: vec![1] }));
    store.push(&tries.opened(101, "155"));
    store.job_finished(102.0, true);
    assert_eq!(store.stored().through, 2);
    assert!(!store.is_synced());
}

#[test]
fn the_first_job_starts_a_segment_with_its_generation() {
    let mut store = store(Durability::Synced, 1 << 20);
    let Some(DiskJob::StartSegment { number: 1, contents }) = store.next_job(0.0) else { panic!() };
    let entries = records::journal::read(&contents).entries;
    assert!(matches!(&entries[..], [Entry::GenerationStarted(author)] if author.proxy == "p1"));
    assert!(store.next_job(0.0).is_none(), "one job at a time");
    assert_eq!(store.health(0.0), DiskHealth::WriteFailing, "nothing can be written yet");
}
