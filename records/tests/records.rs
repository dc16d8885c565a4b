//! Tests of records: crashes at every byte, damage, redials through two proxies, changes of plans, and the commit of writes.

use proptest::prelude::*;
use records::commit::{Admission, DiskHealth, Durability, GroupCommit, Job};
use records::entry::{Author, Entry, Outcome, Try, TryId};
use records::join::{Conversation, join};
use records::journal::{self, MAX_TEXT_BYTES};
use records::ledger::Ledger;
use records::rating::{InvalidPlan, Plan, Plans};
use rstest::rstest;

fn author(generation: u64) -> Author {
    Author { proxy: "p1".to_owned(), generation }
}

fn opened(serial: u64, at: u64) -> Entry {
    let text = str::to_owned;
    Entry::Opened {
        serial,
        unix_ms: at,
        calling: text("9"),
        called: text("155"),
        grade: text("slot"),
        tenant: text("north"),
    }
}

fn closed(serial: u64, at: u64, outcome: Outcome) -> Entry {
    Entry::Closed { serial, unix_ms: at, outcome, over_share: false }
}

/// The entries of two generations. The first ends with one call established and one waiting.
fn entries_of_two_generations() -> Vec<Entry> {
    let attempt = |serial, at| Entry::Attempt { serial, unix_ms: at, server: "a".to_owned() };
    vec![
        Entry::GenerationStarted(author(1)),
        opened(1, 100),
        attempt(1, 101),
        Entry::Answered { serial: 1, unix_ms: 150 },
        opened(2, 160),
        closed(1, 70_000, Outcome::Completed),
        opened(3, 70_100),
        attempt(3, 70_110),
        Entry::Answered { serial: 3, unix_ms: 70_150 },
        Entry::GenerationStarted(author(2)),
        opened(1, 80_000),
        closed(1, 80_010, Outcome::Refused),
    ]
}

fn framed(entries: &[Entry]) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = Vec::new();
    let ends = entries.iter().map(|entry| {
        journal::write(&mut bytes, entry);
        bytes.len()
    });
    let ends = ends.collect();
    (bytes, ends)
}

fn tries(entries: impl IntoIterator<Item = Entry>) -> Vec<Try> {
    let mut ledger = Ledger::default();
    entries.into_iter().for_each(|entry| ledger.apply(entry));
    ledger.tries().0
}

#[test]
fn tries_left_open_by_a_crash_are_recorded_as_lost() {
    let all = tries(entries_of_two_generations());
    let summary: Vec<(u64, u64, Outcome, u64)> =
        all.iter().map(|t| (t.id.author.generation, t.id.serial, t.outcome, t.closed)).collect();
    let lost = |serial| (1, serial, Outcome::Lost, 70_150);
    assert_eq!(
        summary,
        [(1, 1, Outcome::Completed, 70_000), lost(2), lost(3), (2, 1, Outcome::Refused, 80_010)]
    );
}

#[test]
fn a_journal_truncated_at_any_byte_gives_exactly_its_complete_entries() {
    let entries = entries_of_two_generations();
    let (bytes, ends) = framed(&entries);
    for cut in 0..=bytes.len() {
        let found = journal::read(&bytes[..cut]);
        let whole = ends.iter().filter(|&&end| end <= cut).count();
        assert_eq!(found.entries, entries[..whole], "cut at {cut}");
        assert_eq!(found.valid_bytes, whole.checked_sub(1).map_or(0, |last| ends[last]));
        let truncated = cut > found.valid_bytes;
        assert_eq!(
            found.damage.iter().map(|d| (d.offset, d.torn)).collect::<Vec<_>>(),
            Vec::from_iter(truncated.then_some((found.valid_bytes, true)))
        );
        // A crash during recovery: reading the recovered part again gives the same entries.
        assert_eq!(journal::read(&bytes[..found.valid_bytes]).entries, found.entries);
    }
}

#[test]
fn a_flipped_bit_loses_only_the_entry_that_contains_it() {
    let entries = entries_of_two_generations();
    let (bytes, ends) = framed(&entries);
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            let found = journal::read(&damaged);
            let damaged_entry = ends.iter().position(|&end| at < end).expect("inside");
            let remaining: Vec<Entry> = entries
                .iter()
                .enumerate()
                .filter(|(i, _)| *i != damaged_entry)
                .map(|(_, e)| e.clone())
                .collect();
            assert_eq!(found.entries, remaining, "byte {at} bit {bit}");
            assert_eq!(found.damage.len(), 1);
            // Without the entry of the generation there may be orphans, but they are not billed.
            let billed = tries(found.entries).iter().filter(|t| t.outcome == Outcome::Completed).count();
            assert!(billed <= 1);
        }
    }
}

#[test]
fn an_entry_with_a_too_long_text_is_truncated() {
    let long_text = "é".repeat(10_000);
    let entry = Entry::Attempt { serial: 1, unix_ms: 1, server: long_text };
    let mut bytes = Vec::new();
    journal::write(&mut bytes, &entry);
    let Entry::Attempt { server, .. } = &journal::read(&bytes).entries[0] else { panic!() };
    assert_eq!(server.len(), MAX_TEXT_BYTES - 1);
}

#[test]
fn a_clock_set_back_ends_no_call_before_its_answer() {
    let all = tries([
        Entry::GenerationStarted(author(1)),
        opened(1, 7_200_000),
        Entry::Answered { serial: 1, unix_ms: 7_200_100 },
        closed(1, 3_605_000, Outcome::Completed),
    ]);
    assert_eq!((all[0].closed, all[0].outcome), (7_200_100, Outcome::Completed));
}

#[test]
fn an_end_without_its_opening_entry_is_counted_and_gives_no_record() {
    let mut ledger = Ledger::default();
    let entries = [
        Entry::GenerationStarted(author(1)),
        opened(1, 1),
        closed(1, 9, Outcome::Refused),
        Entry::GenerationStarted(author(2)),
    ];
    entries.into_iter().for_each(|entry| ledger.apply(entry));
    // The earlier generation had a try with that serial; the opening entry of this generation's is missing.
    ledger.apply(closed(1, 20, Outcome::Completed));
    let (tries, orphans) = ledger.tries();
    assert_eq!((tries.len(), orphans), (1, 1));
}

#[test]
fn a_completed_call_without_a_recorded_answer_is_not_billed() {
    let all = tries([Entry::GenerationStarted(author(1)), opened(1, 1), closed(1, 9, Outcome::Completed)]);
    assert_eq!(all[0].outcome, Outcome::Lost);
}

#[rstest]
#[case::caller_told(Outcome::Completed, Some(150))]
#[case::cut_later(Outcome::Cut, Some(150))]
#[case::not_stored_in_time(Outcome::Refused, None)]
#[case::ended_by_its_server_before(Outcome::Failed, None)]
#[case::caller_left_before(Outcome::CallerGone, None)]
fn an_answer_that_was_never_passed_on_is_not_in_the_record(
    #[case] outcome: Outcome,
    #[case] answered: Option<u64>,
) {
    let all = tries([
        Entry::GenerationStarted(author(1)),
        opened(1, 100),
        Entry::Attempt { serial: 1, unix_ms: 101, server: "a".to_owned() },
        Entry::Answered { serial: 1, unix_ms: 150 },
        closed(1, 3_000, outcome),
    ]);
    assert_eq!((all[0].answered, all[0].outcome), (answered, outcome));
}

#[test]
fn the_answer_to_the_last_attempt_counts() {
    let attempt = |at| Entry::Attempt { serial: 1, unix_ms: at, server: "a".to_owned() };
    let all = tries([
        Entry::GenerationStarted(author(1)),
        opened(1, 100),
        attempt(101),
        Entry::Answered { serial: 1, unix_ms: 150 },
        attempt(500),
        Entry::Answered { serial: 1, unix_ms: 550 },
        closed(1, 3_000, Outcome::Completed),
    ]);
    assert_eq!((all[0].answered, all[0].attempts), (Some(550), 2));
}

proptest! {
    /// Guards against attempts that were counted twice, and entries taken for orphans, where a journal holds entries
    /// twice after a failed write.
    #[test]
    fn entries_written_again_after_a_failure_change_no_record(
        outcomes in prop::collection::vec((0..4u64, 0..5usize), 1..12),
        cuts in prop::collection::vec(0..200usize, 1..4),
    ) {
        let mut entries = Vec::new();
        for (serial, &(attempts, outcome)) in outcomes.iter().enumerate() {
            let (serial, at) = (serial as u64 + 1, serial as u64 * 100);
            entries.push(opened(serial, at));
            for attempt in 0..attempts {
                let server = format!("s{}", attempt % 2);
                entries.push(Entry::Attempt { serial, unix_ms: at + 10 * attempt, server });
                entries.push(Entry::Answered { serial, unix_ms: at + 10 * attempt + 5 });
            }
            if let Some(&outcome) = [Outcome::Completed, Outcome::Cut, Outcome::Refused, Outcome::Failed].get(outcome) {
                entries.push(closed(serial, at + 90, outcome));
            }
        }
        let generation = Entry::GenerationStarted(author(1));
        let once = std::iter::once(generation.clone()).chain(entries.iter().cloned());
        // Each failure has everything from some entry on written again to a new segment.
        let mut journal: Vec<Entry> = once.clone().collect();
        for cut in cuts {
            journal.push(generation.clone());
            journal.extend(entries[cut % entries.len()..].iter().cloned());
        }
        let build = |entries: Vec<Entry>| {
            let mut ledger = Ledger::default();
            entries.into_iter().for_each(|entry| ledger.apply(entry));
            ledger.tries()
        };
        prop_assert_eq!(build(journal), build(once.collect()));
    }
}

fn record(proxy: &str, opened: u64, answered: Option<u64>, closed: u64, outcome: Outcome) -> Try {
    Try {
        id: TryId { author: Author { proxy: proxy.to_owned(), generation: 1 }, serial: opened },
        calling: "9".to_owned(),
        called: "155".to_owned(),
        grade: "slot".to_owned(),
        tenant: "north".to_owned(),
        opened,
        attempts: 1,
        server: None,
        answered,
        closed,
        outcome,
        over_share: false,
    }
}

#[rstest]
#[case::redial_through_another_proxy("p2", 1_500, Outcome::Refused, 1)]
#[case::after_the_redial_gap("p2", 99_000, Outcome::Refused, 2)]
#[case::two_callers_at_once("p2", 900, Outcome::Refused, 2)]
#[case::the_first_proxy_ended_while_it_was_open("p2", 900, Outcome::Lost, 1)]
fn a_redial_within_the_gap_joins_the_conversation(
    #[case] proxy: &str,
    #[case] second_opened: u64,
    #[case] first_outcome: Outcome,
    #[case] conversations: usize,
) {
    let tries = [
        record("p1", 0, None, 1_000, first_outcome),
        record(proxy, second_opened, Some(second_opened + 50), second_opened + 60_000, Outcome::Completed),
    ];
    let joined = join(tries, 10_000);
    assert_eq!(joined.len(), conversations);
    assert_eq!(joined.iter().filter(|c| c.outcome() == Outcome::Completed).count(), 1);
}

#[test]
fn a_redial_after_an_established_call_is_a_new_conversation() {
    let completed = record("p1", 0, Some(50), 1_000, Outcome::Completed);
    let lost = record("p1", 5_000, Some(5_050), 6_000, Outcome::Lost);
    let next = record("p2", 6_100, Some(6_150), 7_000, Outcome::Completed);
    assert_eq!(join([completed, lost, next], 10_000).len(), 3);
}

proptest! {
    #[test]
    fn joining_does_not_depend_on_order_or_duplicates(
        drawn in prop::collection::vec((0..3u8, 0..40u64, 0..20u64, 0..4u8), 1..12),
        seed in prop::collection::vec(0..1000usize, 24),
    ) {
        let tries: Vec<Try> = drawn.iter().enumerate().map(|(i, &(proxy, at, duration, outcome))| {
            let outcome = [Outcome::Refused, Outcome::Lost, Outcome::Completed, Outcome::CallerGone][usize::from(outcome)];
            let answered = (outcome == Outcome::Completed).then_some(at * 100);
            let mut record = record(&format!("p{proxy}"), at * 100, answered, (at + duration) * 100, outcome);
            record.id.serial = i as u64;
            record
        }).collect();
        let joined = join(tries.clone(), 1_000);
        let mut shuffled: Vec<Try> = seed.iter().map(|&at| tries[at % tries.len()].clone()).collect();
        shuffled.extend(tries.iter().rev().cloned());
        prop_assert_eq!(&join(shuffled, 1_000), &joined);
        let again: Vec<Try> = joined.iter().flat_map(|conversation| conversation.tries.clone()).collect();
        prop_assert_eq!(again.len(), tries.len());
        prop_assert_eq!(&join(again, 1_000), &joined);
    }

    #[test]
    fn arbitrary_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let found = journal::read(&bytes);
        prop_assert!(found.valid_bytes <= bytes.len());
    }
}

const PLAN: &str = r#"
version = 1
effective = "1970-01-01T00:00:00Z"
over_share_part = 200

[grade.slot]
stands = 2000
minute = 30
quoted = 2000
late_part = 250

[tenant]
south = 900
"#;

fn conversation(record: Try) -> Conversation {
    Conversation { tries: vec![record] }
}

#[rstest]
#[case::in_time(1_000, 61_000, false, "north", 2_030)]
#[case::a_second_minute_started(1_000, 61_001, false, "north", 2_060)]
#[case::late(3_000, 4_000, false, "north", 530)]
#[case::over_share(1_000, 2_000, true, "north", 406)]
#[case::cheaper_tenant_rounded_down_once(3_000, 4_000, true, "south", 95)]
fn a_conversation_is_priced_by_its_plan(
    #[case] answered: u64,
    #[case] closed: u64,
    #[case] over_share: bool,
    #[case] tenant: &str,
    #[case] amount: u64,
) {
    let completed = record("p1", 0, Some(answered), closed, Outcome::Completed);
    let rated = Plan::read(PLAN).expect("valid").rate(&conversation(Try {
        over_share,
        tenant: tenant.to_owned(),
        ..completed
    }));
    assert_eq!(rated.amount, amount);
}

#[test]
fn only_completed_calls_are_billed_and_an_unknown_grade_is_reported() {
    let plan = Plan::read(PLAN).expect("valid");
    for outcome in [Outcome::Refused, Outcome::Failed, Outcome::CallerGone, Outcome::Lost] {
        assert_eq!(plan.rate(&conversation(record("p1", 0, Some(5), 9, outcome))).amount, 0);
    }
    let other = Try { grade: "open".to_owned(), ..record("p1", 0, Some(5), 9, Outcome::Completed) };
    assert!(!plan.rate(&conversation(other)).known);
}

#[test]
fn the_plan_in_force_at_the_first_try_applies_even_if_another_follows() {
    let mut plans = Plans::default();
    plans.add(Plan::read(PLAN).expect("valid")).expect("the first");
    let changed_price = PLAN.replace("version = 1", "version = 2").replace("stands = 2000", "stands = 9000");
    let second =
        Plan::read(&changed_price.replace("1970-01-01T00:00:00Z", "1970-01-01T00:01:00Z")).expect("valid");
    plans.add(second.clone()).expect("later");
    let before = plans.rate(&conversation(record("p1", 59_999, Some(60_500), 90_000, Outcome::Completed)));
    let after = plans.rate(&conversation(record("p1", 60_000, Some(60_500), 90_000, Outcome::Completed)));
    assert_eq!((before.plan, before.amount, after.plan, after.amount), (1, 2_030, 2, 9_030));
    assert_eq!(plans.add(second), Err(InvalidPlan::DuplicateVersion(2)));
}

#[rstest]
#[case(
    "late_part = 250",
    "late_part = 1250",
    "plan 1: grade.slot.late_part: found 1250, wanted at most 1000"
)]
#[case("1970-01-01T00:00:00Z", "soon", "plan 1: effective: found \"soon\"")]
#[case("minute = 30", "minutes = 30", "unknown field `minutes`")]
fn an_invalid_plan_is_rejected_with_the_name_of_the_field(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] expected: &str,
) {
    let error = Plan::read(&PLAN.replace(valid, invalid)).expect_err("invalid").to_string();
    assert!(error.contains(expected), "{error}");
}

/// A journal whose first segment was started.
fn group_commit(durability: Durability) -> GroupCommit {
    let mut commit = GroupCommit::new(durability, 5.0, 200.0);
    assert_eq!(commit.next_job(0.0, 0), Some(Job::Rewrite));
    commit.job_finished(0.0, true);
    commit
}

#[test]
fn one_sync_covers_everything_written_before_it_started() {
    let mut commit = group_commit(Durability::Synced);
    commit.record_write(0.0, 1);
    commit.record_write(3.0, 2);
    assert_eq!(commit.due(), 5.0);
    assert_eq!((commit.next_job(4.9, 2), commit.next_job(5.0, 2)), (None, Some(Job::Sync)));
    commit.record_write(6.0, 3);
    assert_eq!((commit.stored().through, commit.due()), (0, f64::INFINITY));
    commit.job_finished(7.0, true);
    assert_eq!(commit.stored().through, 2);
    assert_eq!(commit.due(), 11.0);
}

const REFUSE: Admission = Admission::Refuse { retry_after: 200.0 };

#[rstest]
#[case(Durability::Synced, REFUSE, REFUSE, [0, 0])]
#[case(Durability::Written, Admission::Accept, REFUSE, [1, 0])]
#[case(Durability::Unconfirmed, Admission::Accept, Admission::Accept, [u64::MAX, u64::MAX])]
fn a_call_that_cannot_be_recorded_as_required_is_refused(
    #[case] durability: Durability,
    #[case] slow: Admission,
    #[case] full: Admission,
    #[case] stored: [u64; 2],
) {
    let mut commit = group_commit(durability);
    assert_eq!(commit.admit(0.0), Admission::Accept);
    commit.record_write(0.0, 1);
    assert_eq!(commit.next_job(5.0, 1), Some(Job::Sync));
    assert_eq!((commit.health(300.0), commit.admit(300.0)), (DiskHealth::Slow, slow));
    // Neither an overdue nor a failed sync confirms what it was to cover.
    assert_eq!(commit.stored().through, stored[0]);
    commit.job_finished(301.0, false);
    assert_eq!((commit.health(301.0), commit.admit(301.0)), (DiskHealth::WriteFailing, full));
    assert_eq!(commit.stored().through, stored[1]);
    // The disk works again.
    assert_eq!(commit.next_job(400.0, 2), Some(Job::Rewrite));
    assert_eq!(commit.admit(400.0), full);
    commit.job_finished(401.0, true);
    assert_eq!(commit.admit(401.0), Admission::Accept);
    assert_eq!(commit.stored().through, 2.max(stored[1]));
}
