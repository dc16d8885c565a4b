//! Scenarios of a border proxy on the wire: a caller, two servers, and faults between them.

mod fixture;

use border::differences::Differences;
use border::hints::Hints;
use border::limits::{FleetLimits, LimitTerms};
use border::pool::{PoolList, PoolListError, PoolUpdates, Readiness};
use border::watch::ProposedTerms;
use border::{Decisions, Side, Watched};
use bytes::Bytes;
use fixture::{Scenario, address, entry};
use fleet::{FleetTerms, LoanTerms};
use frostthread::Proxy;
use frostthread::host::{Call, Ending, Handle, Host, Report, Server, ServerEntry, State, Terms};
use gossip::keys::{Roster, Secrets};
use gossip::{GossipTerms, Node};
use iax2::element::{self, Elements};
use iax2::frame::kind;
use iax2::{EndReason, Endpoint, Event, Limits, Media, cause};
use rstest::rstest;

#[test]
fn an_answered_call_is_established_and_cleared_by_the_caller() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("1555", 3000);
    assert_eq!(scenario.latest_offer().0, 0, "the first choice of its route");
    let (server, attempt) = scenario.answer();
    assert!(scenario.answered(leg));
    scenario.caller.end(scenario.now, leg, &Elements::new().with_cause(16));
    scenario.run_for(10.0);
    assert!(
        scenario
            .server_events
            .iter()
            .any(|(s, l, h)| *s == server && *l == attempt && matches!(h, Event::Ended(_)))
    );
    assert_eq!(scenario.proxy.conversations(), 0);
}

#[test]
fn a_tenants_share_limits_every_window_and_is_unknown_after_a_start() {
    let secrets = Secrets::new([7; 32], vec![[9; 32]]).expect("a key");
    let roster = Roster::new([("p", secrets.public_key())]).expect("one member");
    let gossip = GossipTerms {
        address: address(1),
        seeds: Vec::new(),
        max_bytes_per_second: 16_000.0,
        probe_interval: 200.0,
        max_faulty: 0,
        resend_interval: 500.0,
    };
    let node = Node::new(gossip, secrets, roster, 1, 0.0, 1.0);
    let loans = LoanTerms { lease: 2000.0, drift: 0.0, spread: 0.0, floor: 1.0 };
    let fleet = FleetTerms { loans, tick_interval: 100.0 };
    let terms = LimitTerms { fleet, window: 1000.0, max_rate: None, share_window: Some(2000.0) };
    let shares = [("gold".to_owned(), 2.0), ("under one in a window".to_owned(), 0.1)];
    let mut limits = FleetLimits::new(&node, terms, shares, 1, 0.0);
    assert_eq!(limits.within_share(1000.0, 0), None, "an earlier process may have used it");
    let within: Vec<_> = (0..6).map(|_| limits.within_share(4000.0, 0) == Some(true)).collect();
    assert_eq!(within, [true, true, true, true, false, false]);
    assert_eq!(limits.within_share(5999.0, 0), Some(false));
    assert_eq!(limits.within_share(6000.0, 0), Some(true));
    assert_eq!(limits.within_share(6000.0, 1), None);
}

#[test]
fn called_and_calling_numbers_are_forwarded_to_the_server() {
    let mut scenario = Scenario::new();
    scenario.call("2555", 3000);
    let (server, _, elements) = scenario.offered.last().expect("a set-up");
    assert_eq!(*server, 1);
    assert_eq!(elements.text(element::CALLED_NUMBER), Some("2555"));
    assert_eq!(elements.text(element::CALLING_NUMBER), Some("77"));
}

#[test]
fn media_passes_both_ways_in_an_established_call() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("1555", 3000);
    let (server, attempt) = scenario.answer();
    let media = |text: &'static str| Media {
        timestamp: 40,
        full: Some((kind::TEXT, 0)),
        body: Bytes::from_static(text.as_bytes()),
    };
    scenario.caller.media(scenario.now, leg, &media("seats?"));
    scenario.servers[server].media(scenario.now, attempt, &media("two"));
    scenario.run_for(10.0);
    let body = |h: &Event| matches!(h, Event::Media(m) if m.body == "seats?" || m.body == "two");
    assert!(scenario.server_events.iter().any(|(_, l, h)| *l == attempt && body(h)));
    assert!(scenario.caller_events.iter().any(|(l, h)| *l == leg && body(h)));
}

#[test]
fn a_rejected_attempt_is_retried_and_answered_once() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("1555", 3000);
    let (server, attempt) = scenario.latest_offer();
    scenario.end_at_server(server, attempt, cause::CONGESTION);
    assert_eq!(scenario.offered.len(), 2, "a new attempt is sent at once");
    scenario.answer();
    assert!(scenario.answered(leg));
    assert_eq!(scenario.ended(leg), None);
}

#[test]
fn a_server_silent_during_set_up_is_timed_out_and_retried_after_the_release_time() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("1555", 3000);
    let (server, attempt) = scenario.latest_offer();
    scenario.servers[server].accept(scenario.now, attempt, &Elements::new());
    scenario.run_for(5.0);
    scenario.silent[server] = true;
    while scenario.offered.len() < 2 && scenario.now < 3000.0 {
        scenario.run_for(1.0);
    }
    assert_eq!(scenario.offered.len(), 2, "a second attempt is sent");
    assert_eq!(scenario.proxy.status().counters.timed_out, 1);
    scenario.answer();
    assert!(scenario.answered(leg));
    assert!(scenario.now < 2000.0 + 40.0, "{}", scenario.now);
}

#[test]
fn an_answer_after_the_timeout_does_not_reach_the_caller() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("1555", 3000);
    let (server, attempt) = scenario.latest_offer();
    scenario.run_for(1600.0);
    assert!(scenario.offered.len() >= 2, "the first attempt timed out");
    scenario.servers[server].accept(scenario.now, attempt, &Elements::new());
    scenario.servers[server].answer(scenario.now, attempt, &Elements::new());
    scenario.run_for(20.0);
    assert!(!scenario.answered(leg));
    let ends = scenario
        .server_events
        .iter()
        .filter(|(s, l, h)| *s == server && *l == attempt && matches!(h, Event::Ended(_)));
    assert_eq!(ends.count(), 1, "the late server is told once that the attempt is over");
}

#[test]
fn with_all_servers_silent_the_caller_gets_an_answer_before_its_timeout() {
    let mut scenario = Scenario::new();
    scenario.silent = vec![true, true];
    let leg = scenario.call("1555", 2000);
    while scenario.ended(leg).is_none() && scenario.now < 3000.0 {
        scenario.run_for(1.0);
    }
    assert!(scenario.now <= 2000.0, "{}", scenario.now);
    assert_eq!(scenario.proxy.conversations(), 0);
}

#[test]
fn a_caller_that_hangs_up_and_redials_leaves_no_old_attempt() {
    let mut scenario = Scenario::new();
    let first = scenario.call("1555", 3000);
    let (server, attempt) = scenario.latest_offer();
    scenario.caller.end(scenario.now, first, &Elements::new());
    let second = scenario.call("1555", 3000);
    let over =
        |(s, l, h): &(usize, iax2::Leg, Event)| *s == server && *l == attempt && matches!(h, Event::Ended(_));
    assert!(scenario.server_events.iter().any(over), "the first attempt is hung up");
    assert_eq!(scenario.proxy.conversations(), 1);
    scenario.answer();
    assert!(scenario.answered(second));
}

#[test]
fn a_hangup_crossing_the_servers_answer_ends_the_call_on_both_sides() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("1555", 3000);
    let (server, attempt) = scenario.latest_offer();
    scenario.servers[server].accept(scenario.now, attempt, &Elements::new());
    scenario.servers[server].answer(scenario.now, attempt, &Elements::new());
    scenario.caller.end(scenario.now, leg, &Elements::new());
    scenario.run_for(50.0);
    assert!(!scenario.answered(leg));
    assert_eq!(scenario.proxy.conversations(), 0);
    assert!(scenario.server_events.iter().any(|(_, l, h)| *l == attempt && matches!(h, Event::Ended(_))));
}

#[test]
fn a_restarted_server_resets_established_legs() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("1555", 3000);
    scenario.answer();
    scenario.servers[0] = Endpoint::new(Limits::default(), 99);
    let text = Media { timestamp: 9, full: Some((kind::TEXT, 0)), body: Bytes::new() };
    scenario.caller.media(scenario.now, leg, &text);
    scenario.run_for(20.0);
    assert_eq!(
        scenario.ended(leg),
        Some((Some(cause::TEMPORARY_FAILURE), None)),
        "the caller is told that the call was cut"
    );
    assert_eq!(scenario.proxy.status().counters.cut, 1);
}

#[test]
fn a_refused_connection_is_retried_at_another_server_at_once() {
    let mut scenario = Scenario::new();
    scenario.silent[0] = true;
    let leg = scenario.call("1555", 3000);
    assert_eq!(scenario.offered.len(), 0);
    scenario.proxy.connection_refused(scenario.now, Side::Servers, address(100));
    scenario.run_for(5.0);
    assert_eq!(scenario.latest_offer().0, 1);
    scenario.answer();
    assert!(scenario.answered(leg));
}

#[test]
fn a_draining_server_gets_no_new_attempts() {
    let mut scenario = Scenario::new();
    scenario.update_list(2, vec![entry(0, Readiness::Draining, None)]);
    for _ in 0..5 {
        scenario.call("1555", 3000);
    }
    assert!(scenario.offered.iter().all(|(server, ..)| *server == 1));
}

#[test]
fn a_call_without_any_server_is_refused_with_a_retry_time() {
    let mut scenario = Scenario::new();
    scenario.update_list(2, vec![entry(0, Readiness::Gone, None), entry(1, Readiness::Gone, None)]);
    let leg = scenario.call("1555", 1500);
    scenario.run_for(1500.0);
    let (code, advice) = scenario.ended(leg).expect("an answer");
    assert_eq!(code, Some(cause::CONGESTION));
    assert!(advice.is_some_and(|ms| (1000..=2000).contains(&ms)), "{advice:?}");
}

#[test]
fn a_number_without_a_route_is_rejected_as_unroutable() {
    let mut scenario = Scenario::new();
    let leg = scenario.call("9", 3000);
    assert_eq!(scenario.ended(leg), Some((Some(cause::NO_ROUTE), None)));
}

#[test]
fn a_stopping_proxy_rejects_new_calls_and_keeps_established_ones() {
    let mut scenario = Scenario::new();
    let standing = scenario.call("1555", 3000);
    scenario.answer();
    scenario.proxy.stop_accepting();
    let late = scenario.call("1555", 3000);
    assert_eq!(scenario.ended(late), Some((Some(38), None)));
    assert_eq!((scenario.ended(standing), scenario.proxy.conversations()), (None, 1));
    scenario.proxy.close_all(scenario.now);
    scenario.run_for(10.0);
    assert_eq!(scenario.ended(standing), Some((Some(cause::TEMPORARY_FAILURE), None)));
}

#[test]
fn a_wake_preceded_by_another_event_is_not_lost() {
    let mut scenario = Scenario::new();
    scenario.update_list(2, vec![entry(0, Readiness::Gone, None), entry(1, Readiness::Gone, None)]);
    let leg = scenario.call("1555", 700);
    // A datagram arrives every millisecond, so events always come before the wake that the proxy asked for.
    for _ in 0..700 {
        scenario.run_for(1.0);
        let now = scenario.now;
        scenario.proxy.receive(now, now, Side::Servers, address(100), &Bytes::from_static(&[0; 3]));
        scenario.proxy.run_pending();
    }
    assert!(scenario.ended(leg).is_some());
}

#[test]
fn a_wall_clock_step_does_not_make_a_server_look_restarted() {
    let mut list = PoolList::default();
    let updates = |version| PoolUpdates {
        version,
        whole: true,
        servers: vec![entry(0, Readiness::Running, Some(5_000.0))],
    };
    let first = list.apply(&updates(1), 100.0, 60_000.0).expect("fits")[0].started_at;
    let again = list.apply(&updates(2), 200.0, 3_660_000.0).expect("fits")[0].started_at;
    assert_eq!(first, again);
}

#[rstest]
#[case::changes_before_a_full_list(&[(2, false)], "version 2 came without a complete list")]
#[case::a_skipped_version(&[(1, true), (3, false)], "version 3 came after 1")]
fn updates_out_of_sequence_are_rejected(#[case] all: &[(u64, bool)], #[case] wanted: &str) {
    let mut list = PoolList::default();
    let mut last = Ok(Vec::new());
    for &(version, whole) in all {
        last = list.apply(&PoolUpdates { version, whole, servers: Vec::new() }, 0.0, 0.0);
    }
    assert!(last.expect_err("unfit").to_string().contains(wanted));
}

#[rstest]
#[case::invalid_json("{", "pool list")]
#[case::unknown_key(r#"{"version":1,"servers":[],"more":1}"#, "more")]
#[case::empty_name(
    r#"{"version":1,"servers":[{"name":"","address":"127.0.0.1:1","state":"running","pool":0}]}"#,
    "servers[0].name"
)]
#[case::port_zero(
    r#"{"version":1,"servers":[{"name":"a","address":"127.0.0.1:0","state":"running","pool":0}]}"#,
    "servers[0].address"
)]
fn an_invalid_line_names_the_wrong_field(#[case] line: &str, #[case] wanted: &str) {
    let error = PoolUpdates::read(line).expect_err("unfit").to_string();
    assert!(error.contains(wanted), "{error}");
}

#[test]
fn a_cached_list_is_read_back_unless_it_is_damaged() {
    let mut list = PoolList::default();
    let servers = vec![entry(0, Readiness::Running, Some(9.0)), entry(1, Readiness::Gone, None)];
    list.apply(&PoolUpdates { version: 4, whole: true, servers }, 0.0, 10.0).expect("fits");
    let text = list.to_cache();
    let back = PoolList::from_cache(&text).expect("sound");
    assert_eq!((back.version, back.servers.len()), (4, 1));
    let damaged = text.replace("central-0", "central-7");
    assert!(matches!(PoolList::from_cache(&damaged), Err(PoolListError::Cache(_))));
    assert!(matches!(PoolList::from_cache(&text[..text.len() - 9]), Err(PoolListError::Cache(_))));
}

#[test]
fn hints_are_read_back_and_unknown_entries_are_skipped() {
    let hints = Hints { retry_after: Some(700), rate: Some(41_500), redial: true, ..Hints::default() };
    let elements = hints.add_to(Elements::new());
    assert_eq!(Hints::read(&elements), hints);
    let other =
        Elements::new().with(border::hints::HINTS, [b'f', b't', 1, 99, 1, 5, 1, 4, 0, 0, 0, 9, 4, 200, 1]);
    assert_eq!(Hints::read(&other), Hints { retry_after: Some(9), ..Hints::default() });
    let strange = Elements::new().with(border::hints::HINTS, b"xx");
    assert_eq!(Hints::read(&strange), Hints::default());
}

#[test]
fn a_rate_reported_with_an_accept_reaches_the_status() {
    let mut scenario = Scenario::new();
    let pong = Elements::new();
    let pong = Hints { rate: Some(12_000), ..Hints::default() }.add_to(pong);
    let leg = scenario.call("1555", 3000);
    let (server, attempt) = scenario.latest_offer();
    scenario.servers[server].accept(scenario.now, attempt, &pong);
    scenario.run_for(5.0);
    assert_eq!(scenario.proxy.status().servers[server].reported_rate, Some(12.0));
    assert_eq!(scenario.ended(leg), None);
    assert!(!scenario.caller_events.iter().any(|(_, h)| matches!(h, Event::Ended(EndReason::Unknown))));
}

/// A host that only records the attempts.
#[derive(Default)]
struct AttemptLog(Vec<(Handle, Server)>);

impl Host for AttemptLog {
    fn send_attempt(&mut self, handle: Handle, server: Server, _: f64) {
        self.0.push((handle, server));
    }
    fn refuse(&mut self, _: Handle, _: Option<f64>) {}
    fn fail(&mut self, _: Handle) {}
    fn cancel(&mut self, _: Handle, _: u16) {}
    fn wake(&mut self, _: f64) {}
    fn probe(&mut self, _: Server) {}
    fn broadcast(&mut self, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
}

/// Two servers. The first rejects an attempt and names a retry time; then two more calls come whose first
/// choice it is.
fn run_watched(proposed: Option<ProposedTerms>) -> (AttemptLog, Option<Differences>) {
    let mut watched = Watched::new(Proxy::new(fixture::terms().terms, 7, 0.0), proposed);
    let mut attempts = AttemptLog::default();
    let line = |server| ServerEntry {
        server: Server(server),
        state: State::Running,
        pool: server as u16,
        started_at: None,
    };
    watched.update_server_list(&[line(0), line(1)], true, &mut attempts);
    let call =
        Call { grade: 0, tenant: None, preferred_pool: 0, number: None, remaining: 3000.0, redial: false };
    for now in [0.0, 10.0, 20.0] {
        watched.advance_clock(now);
        let handle = watched.accept(&call);
        watched.enqueue(handle);
        watched.run_pending(&mut attempts);
        if now == 0.0 {
            watched.reported(Server(0), Report { retry_after: Some(500.0), ..Report::default() });
            watched.attempt_ended(handle, Ending::Rejected, false, &mut attempts);
            watched.run_pending(&mut attempts);
        }
        watched.established(handle);
        watched.attempt_ended(handle, Ending::Ok, true, &mut attempts);
    }
    (attempts, watched.differences())
}

#[rstest]
#[case::same_terms(false, 1.0, 0..=0)]
#[case::rejections_name_a_wait(true, 1.0, 2..=3)]
#[case::a_third_of_the_turns(true, 0.3, 0..=2)]
#[case::no_turns(true, 0.0, 0..=0)]
fn differences_of_proposed_terms_are_counted_and_not_carried_out(
    #[case] other: bool,
    #[case] share: f64,
    #[case] differing: std::ops::RangeInclusive<u64>,
) {
    let now = fixture::terms().terms;
    let terms = Terms { respect_retry_after: other, ..now };
    let (attempts, watch) = run_watched(Some(ProposedTerms { terms, share }));
    let (unwatched, none) = run_watched(None);
    assert_eq!(attempts.0, unwatched.0, "the same attempts are sent with and without proposed terms");
    assert!(none.is_none());
    let watch = watch.expect("watched");
    assert!(differing.contains(&watch.differing), "{watch:?}");
    assert_eq!(watch.compared, (watch.turns as f64 * share) as u64, "{watch:?}");
}
