//! Answers are held until their entries are stored. These tests guard against answers that leave before a sync has
//! succeeded, and against a slow or failing disk that delays anything else.

mod fixture;

use std::cell::RefCell;
use std::rc::Rc;

use border::Side;
use bytes::Bytes;
use fixture::{Recorder, Scenario, address};
use iax2::element::Elements;
use iax2::frame::kind;
use iax2::{Endpoint, Event, Leg, Limits, Media, cause};
use records::entry::{Entry, NumberedEntry, Outcome, Stored};
use rstest::rstest;

/// Stores nothing until the test says so.
#[derive(Default)]
struct ManualRecorder {
    entries: Vec<Entry>,
    stored: Stored,
}

impl ManualRecorder {
    fn store_all(&mut self) {
        self.stored.through = self.entries.len() as u64;
    }

    fn outcomes(&self) -> Vec<Outcome> {
        let outcome = |entry: &Entry| match entry {
            Entry::Closed { outcome, .. } => Some(*outcome),
            _ => None,
        };
        self.entries.iter().filter_map(outcome).collect()
    }
}

#[derive(Clone, Default)]
struct SharedRecorder(Rc<RefCell<ManualRecorder>>);

impl Recorder for SharedRecorder {
    fn turn(&mut self, _now: f64, entries: Vec<NumberedEntry>) -> Stored {
        let mut recorder = self.0.borrow_mut();
        for NumberedEntry { number, entry } in entries {
            recorder.entries.push(entry);
            assert_eq!(number, recorder.entries.len() as u64, "entries are numbered in order");
        }
        recorder.stored
    }

    fn due(&self) -> f64 {
        f64::INFINITY
    }
}

/// A scenario with a call that a server has answered, and whose answer is held.
fn with_held_answer(caller_timeout: u32) -> (Scenario, SharedRecorder, Leg) {
    let recorder = SharedRecorder::default();
    let mut scenario = Scenario::recorded(recorder.clone());
    let leg = scenario.call("1555", caller_timeout);
    scenario.answer();
    (scenario, recorder, leg)
}

fn answers(scenario: &Scenario, leg: Leg) -> usize {
    let is_answer =
        |(event_leg, event): &&(Leg, Event)| *event_leg == leg && matches!(event, Event::Answered(_));
    scenario.caller_events.iter().filter(is_answer).count()
}

fn ended_at_server(scenario: &Scenario, attempt: Leg) -> bool {
    let is_end = |(_, leg, event): &(usize, Leg, Event)| *leg == attempt && matches!(event, Event::Ended(_));
    scenario.server_events.iter().any(is_end)
}

#[test]
fn an_answer_waits_until_its_entry_is_stored() {
    let (mut scenario, recorder, leg) = with_held_answer(3000);
    scenario.run_for(500.0);
    assert_eq!(answers(&scenario, leg), 0);
    // Everything but the entry of the answer itself.
    let entries = recorder.0.borrow().entries.len() as u64;
    recorder.0.borrow_mut().stored.through = entries - 1;
    scenario.run_for(500.0);
    assert_eq!(answers(&scenario, leg), 0);
    assert_eq!(scenario.proxy.status().counters.established, 0);
    recorder.0.borrow_mut().store_all();
    scenario.run_for(5000.0);
    assert_eq!(answers(&scenario, leg), 1);
    assert_eq!((scenario.ended(leg), scenario.proxy.conversations()), (None, 1));
    assert_eq!(scenario.proxy.status().counters.established, 1);
}

#[test]
fn acknowledgements_pongs_and_media_do_not_wait_for_a_held_answer() {
    let (mut scenario, _recorder, leg) = with_held_answer(3000);
    let (server, attempt) = scenario.latest_offer();
    let accepted =
        |(event_leg, event): &(Leg, Event)| *event_leg == leg && matches!(event, Event::Accepted(_));
    assert!(scenario.caller_events.iter().any(accepted), "ACCEPT is sent at once");
    let media = |full| Media { timestamp: 40, full, body: Bytes::from_static(b"voice") };
    scenario.caller.poke(scenario.now, address(50));
    for full in [Some((kind::TEXT, 0)), None] {
        scenario.caller.media(scenario.now, leg, &media(full));
        scenario.servers[server].media(scenario.now, attempt, &media(full));
    }
    scenario.run_for(1000.0);
    let voices = |event: &Event| matches!(event, Event::Media(media) if media.body == "voice");
    let heard_by_server = scenario.server_events.iter().filter(|(_, _, event)| voices(event)).count();
    let heard_by_caller = scenario.caller_events.iter().filter(|(_, event)| voices(event)).count();
    assert_eq!((heard_by_server, heard_by_caller), (2, 2));
    assert!(scenario.caller_events.iter().any(|(_, event)| matches!(event, Event::Pong { .. })));
    assert_eq!(scenario.caller.counts().resent, 0, "each of the caller's frames is acknowledged");
    assert_eq!(scenario.caller.counts().out_of_order, 0, "a held answer has no sequence number yet");
    assert_eq!(answers(&scenario, leg), 0);
}

#[test]
fn a_standing_call_goes_on_for_minutes_while_nothing_is_stored() {
    let (mut scenario, recorder, standing) = with_held_answer(3000);
    recorder.0.borrow_mut().store_all();
    scenario.run_for(10.0);
    assert_eq!(answers(&scenario, standing), 1);
    let late = scenario.call("1555", 3000);
    scenario.answer();
    scenario.run_for(180_000.0);
    assert_eq!(scenario.ended(standing), None);
    assert_eq!(scenario.caller.counts().resent, 0, "pings are answered");
    assert!(scenario.ended(late).is_some() && answers(&scenario, late) == 0);
    assert_eq!(scenario.proxy.conversations(), 1);
    // Its end does not wait either.
    scenario.caller.end(scenario.now, standing, &Elements::new().with_cause(16));
    scenario.run_for(10.0);
    assert_eq!(scenario.proxy.conversations(), 0);
}

#[rstest]
#[case::short(1000)]
#[case::usual(3000)]
#[case::long(8000)]
fn an_answer_that_is_not_stored_in_time_is_refused_with_retry_after_and_released(#[case] timeout: u32) {
    let (mut scenario, recorder, leg) = with_held_answer(timeout);
    let (_, attempt) = scenario.latest_offer();
    let called_at = scenario.now;
    while scenario.ended(leg).is_none() && scenario.now < called_at + 10_000.0 {
        scenario.run_for(1.0);
    }
    assert!(scenario.now < f64::from(timeout), "the caller has given up: {}", scenario.now);
    let (code, retry_after) = scenario.ended(leg).expect("an answer");
    assert_eq!(code, Some(cause::CONGESTION));
    assert!(retry_after.is_some_and(|ms| (300..=2000).contains(&ms)), "{retry_after:?}");
    scenario.run_for(5.0);
    assert!(ended_at_server(&scenario, attempt), "the server is told");
    assert_eq!(scenario.proxy.conversations(), 0);
    // The entry is stored after all.
    recorder.0.borrow_mut().store_all();
    scenario.run_for(5000.0);
    assert_eq!((answers(&scenario, leg), scenario.offered.len()), (0, 1));
    assert_eq!(recorder.0.borrow().outcomes(), [Outcome::Refused]);
}

#[test]
fn a_caller_that_hangs_up_on_a_held_answer_is_released_at_its_server() {
    let (mut scenario, recorder, leg) = with_held_answer(3000);
    let (_, attempt) = scenario.latest_offer();
    scenario.caller.end(scenario.now, leg, &Elements::new());
    scenario.run_for(10.0);
    assert!(ended_at_server(&scenario, attempt));
    recorder.0.borrow_mut().store_all();
    scenario.run_for(5000.0);
    assert_eq!((answers(&scenario, leg), scenario.proxy.conversations()), (0, 0));
    assert_eq!(recorder.0.borrow().outcomes(), [Outcome::CallerGone]);
}

#[test]
fn a_call_that_its_server_ends_before_the_answer_is_stored_fails_and_is_not_repeated() {
    let (mut scenario, recorder, leg) = with_held_answer(3000);
    let (server, attempt) = scenario.latest_offer();
    scenario.end_at_server(server, attempt, cause::NORMAL_CLEARING);
    recorder.0.borrow_mut().store_all();
    scenario.run_for(5000.0);
    assert_eq!(scenario.ended(leg), Some((Some(cause::TEMPORARY_FAILURE), None)));
    assert_eq!((answers(&scenario, leg), scenario.offered.len()), (0, 1));
    assert_eq!(recorder.0.borrow().outcomes(), [Outcome::Failed]);
}

#[test]
fn a_call_cut_at_its_server_before_the_answer_is_stored_is_tried_again_after_the_release() {
    let (mut scenario, recorder, leg) = with_held_answer(3000);
    let (server, _) = scenario.latest_offer();
    scenario.servers[server] = Endpoint::new(Limits::default(), 99);
    scenario.caller.media(
        scenario.now,
        leg,
        &Media { timestamp: 9, full: Some((kind::TEXT, 0)), body: Bytes::new() },
    );
    scenario.run_for(10.0);
    let cut_at = scenario.now;
    while scenario.offered.len() < 2 && scenario.now < 3000.0 {
        scenario.run_for(1.0);
    }
    assert!(scenario.now - cut_at > 280.0, "the release is awaited: {}", scenario.now - cut_at);
    assert_eq!(scenario.offered.len(), 2);
    // The first answer's entry confirms nothing of the second attempt.
    recorder.0.borrow_mut().store_all();
    scenario.run_for(5.0);
    assert_eq!(answers(&scenario, leg), 0);
    scenario.answer();
    assert_eq!(answers(&scenario, leg), 0);
    recorder.0.borrow_mut().store_all();
    scenario.run_for(5.0);
    assert_eq!(answers(&scenario, leg), 1);
}

#[test]
fn a_stored_entry_confirms_no_later_call_with_the_same_handle() {
    let (mut scenario, recorder, first) = with_held_answer(3000);
    let first_entry = recorder.0.borrow().entries.len() as u64;
    scenario.caller.end(scenario.now, first, &Elements::new());
    scenario.run_for(10.0);
    let second = scenario.call("1555", 3000);
    scenario.answer();
    recorder.0.borrow_mut().stored.through = first_entry;
    scenario.run_for(100.0);
    assert_eq!((answers(&scenario, first), answers(&scenario, second)), (0, 0));
    recorder.0.borrow_mut().store_all();
    scenario.run_for(100.0);
    assert_eq!((answers(&scenario, first), answers(&scenario, second)), (0, 1));
}

#[test]
fn a_try_that_lost_an_entry_is_not_confirmed_and_the_next_one_is() {
    let (mut scenario, recorder, leg) = with_held_answer(1000);
    recorder.0.borrow_mut().stored.lost_through = 1;
    recorder.0.borrow_mut().store_all();
    scenario.run_for(1000.0);
    assert_eq!(answers(&scenario, leg), 0);
    assert_eq!(scenario.ended(leg).map(|(code, _)| code), Some(Some(cause::CONGESTION)));
    let next = scenario.call("1555", 1000);
    scenario.answer();
    recorder.0.borrow_mut().store_all();
    scenario.run_for(5.0);
    assert_eq!(answers(&scenario, next), 1);
}

#[test]
fn a_stop_fails_a_call_whose_answer_is_held() {
    let (mut scenario, recorder, leg) = with_held_answer(3000);
    let (_, attempt) = scenario.latest_offer();
    scenario.proxy.stop_accepting();
    scenario.proxy.close_all(scenario.now);
    recorder.0.borrow_mut().store_all();
    scenario.run_for(10.0);
    assert_eq!(scenario.ended(leg), Some((Some(cause::TEMPORARY_FAILURE), None)));
    assert!(ended_at_server(&scenario, attempt));
    assert_eq!(answers(&scenario, leg), 0);
    assert_eq!(recorder.0.borrow().outcomes(), [Outcome::Failed]);
}

#[test]
fn with_nothing_to_wait_for_the_answer_is_sent_at_once() {
    let recorder = SharedRecorder::default();
    recorder.0.borrow_mut().stored.through = u64::MAX;
    let mut scenario = Scenario::recorded(recorder);
    let leg = scenario.call("1555", 3000);
    scenario.answer();
    assert_eq!(answers(&scenario, leg), 1);
    // A datagram that the proxy can't read changes nothing.
    let now = scenario.now;
    scenario.proxy.receive(now, now, Side::Callers, address(1), &Bytes::from_static(&[0; 3]));
    scenario.run_for(10.0);
    assert_eq!(scenario.ended(leg), None);
}
