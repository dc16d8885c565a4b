//! Stories of a border proxy on the wire: a caller, two servers, and what goes wrong between them.

mod fixture;

use border::differences::Differences;
use border::hints::Hints;
use border::limits::{FleetLimits, LimitTerms};
use border::pool::{PoolList, PoolListError, PoolUpdates, Readiness};
use border::watch::ProposedTerms;
use border::{Decisions, Side, Watched};
use bytes::Bytes;
use fixture::{Story, address, entry};
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
fn a_conversation_stands_and_is_cleared() {
    let mut story = Story::new();
    let leg = story.call("1555", 3000);
    assert_eq!(story.latest().0, 0, "the first choice of its route");
    let (server, shot) = story.answer();
    assert!(story.answered(leg));
    story.caller.end(story.now, leg, &Elements::new().with_cause(16));
    story.pass(10.0);
    assert!(
        story.at_servers.iter().any(|(s, l, h)| *s == server && *l == shot && matches!(h, Event::Ended(_)))
    );
    assert_eq!(story.proxy.conversations(), 0);
}

#[test]
fn a_tenants_share_holds_in_every_window_and_is_not_told_before_it_is_known() {
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
    assert_eq!(limits.within_share(1000.0, 0), None, "an earlier life may have used it");
    let within: Vec<_> = (0..6).map(|_| limits.within_share(4000.0, 0) == Some(true)).collect();
    assert_eq!(within, [true, true, true, true, false, false]);
    assert_eq!(limits.within_share(5999.0, 0), Some(false));
    assert_eq!(limits.within_share(6000.0, 0), Some(true));
    assert_eq!(limits.within_share(6000.0, 1), None);
}

#[test]
fn what_the_caller_says_of_itself_is_carried_on() {
    let mut story = Story::new();
    story.call("2555", 3000);
    let (server, _, elements) = story.offered.last().expect("a set-up");
    assert_eq!(*server, 1);
    assert_eq!(elements.text(element::CALLED_NUMBER), Some("2555"));
    assert_eq!(elements.text(element::CALLING_NUMBER), Some("77"));
}

#[test]
fn media_passes_both_ways_while_it_stands() {
    let mut story = Story::new();
    let leg = story.call("1555", 3000);
    let (server, shot) = story.answer();
    let media = |text: &'static str| Media {
        timestamp: 40,
        full: Some((kind::TEXT, 0)),
        body: Bytes::from_static(text.as_bytes()),
    };
    story.caller.media(story.now, leg, &media("seats?"));
    story.servers[server].media(story.now, shot, &media("two"));
    story.pass(10.0);
    let body = |h: &Event| matches!(h, Event::Media(m) if m.body == "seats?" || m.body == "two");
    assert!(story.at_servers.iter().any(|(_, l, h)| *l == shot && body(h)));
    assert!(story.told.iter().any(|(l, h)| *l == leg && body(h)));
}

#[test]
fn a_nacked_shot_is_sent_again_and_answered_once() {
    let mut story = Story::new();
    let leg = story.call("1555", 3000);
    let (server, shot) = story.latest();
    story.end_at_server(server, shot, cause::CONGESTION);
    assert_eq!(story.offered.len(), 2, "sent again at once");
    story.answer();
    assert!(story.answered(leg));
    assert_eq!(story.ended(leg), None);
}

#[test]
fn a_server_silent_mid_set_up_is_given_up_in_time_and_the_release_awaited() {
    let mut story = Story::new();
    let leg = story.call("1555", 3000);
    let (server, shot) = story.latest();
    story.servers[server].accept(story.now, shot, &Elements::new());
    story.pass(5.0);
    story.silent[server] = true;
    while story.offered.len() < 2 && story.now < 3000.0 {
        story.pass(1.0);
    }
    assert_eq!(story.offered.len(), 2, "tried elsewhere");
    assert_eq!(story.proxy.status().counters.timed_out, 1);
    story.answer();
    assert!(story.answered(leg));
    assert!(story.now < 2000.0 + 40.0, "{}", story.now);
}

#[test]
fn an_answer_after_the_time_out_is_not_passed_on() {
    let mut story = Story::new();
    let leg = story.call("1555", 3000);
    let (server, shot) = story.latest();
    story.pass(1600.0);
    assert!(story.offered.len() >= 2, "the first shot was given up");
    story.servers[server].accept(story.now, shot, &Elements::new());
    story.servers[server].answer(story.now, shot, &Elements::new());
    story.pass(20.0);
    assert!(!story.answered(leg));
    let ends = story
        .at_servers
        .iter()
        .filter(|(s, l, h)| *s == server && *l == shot && matches!(h, Event::Ended(_)));
    assert_eq!(ends.count(), 1, "the late one is told that it is over");
}

#[test]
fn with_all_servers_silent_the_caller_is_told_before_it_gives_up() {
    let mut story = Story::new();
    story.silent = vec![true, true];
    let leg = story.call("1555", 2000);
    while story.ended(leg).is_none() && story.now < 3000.0 {
        story.pass(1.0);
    }
    assert!(story.now <= 2000.0, "{}", story.now);
    assert_eq!(story.proxy.conversations(), 0);
}

#[test]
fn a_caller_that_hangs_up_and_redials_at_once_leaves_nothing_behind() {
    let mut story = Story::new();
    let first = story.call("1555", 3000);
    let (server, shot) = story.latest();
    story.caller.end(story.now, first, &Elements::new());
    let second = story.call("1555", 3000);
    let over =
        |(s, l, h): &(usize, iax2::Leg, Event)| *s == server && *l == shot && matches!(h, Event::Ended(_));
    assert!(story.at_servers.iter().any(over), "the first shot is called off");
    assert_eq!(story.proxy.conversations(), 1);
    story.answer();
    assert!(story.answered(second));
}

#[test]
fn hangup_crossing_the_servers_answer_ends_it_everywhere() {
    let mut story = Story::new();
    let leg = story.call("1555", 3000);
    let (server, shot) = story.latest();
    story.servers[server].accept(story.now, shot, &Elements::new());
    story.servers[server].answer(story.now, shot, &Elements::new());
    story.caller.end(story.now, leg, &Elements::new());
    story.pass(50.0);
    assert!(!story.answered(leg));
    assert_eq!(story.proxy.conversations(), 0);
    assert!(story.at_servers.iter().any(|(_, l, h)| *l == shot && matches!(h, Event::Ended(_))));
}

#[test]
fn a_server_that_restarted_under_our_legs_resets_them() {
    let mut story = Story::new();
    let leg = story.call("1555", 3000);
    story.answer();
    story.servers[0] = Endpoint::new(Limits::default(), 99);
    let text = Media { timestamp: 9, full: Some((kind::TEXT, 0)), body: Bytes::new() };
    story.caller.media(story.now, leg, &text);
    story.pass(20.0);
    assert_eq!(story.ended(leg), Some((Some(cause::TEMPORARY_FAILURE), None)), "told that it was cut");
    assert_eq!(story.proxy.status().counters.cut, 1);
}

#[test]
fn a_refusal_by_the_network_sends_it_elsewhere_at_once() {
    let mut story = Story::new();
    story.silent[0] = true;
    let leg = story.call("1555", 3000);
    assert_eq!(story.offered.len(), 0);
    story.proxy.connection_refused(story.now, Side::Servers, address(100));
    story.pass(5.0);
    assert_eq!(story.latest().0, 1);
    story.answer();
    assert!(story.answered(leg));
}

#[test]
fn nothing_new_goes_to_a_server_that_drains() {
    let mut story = Story::new();
    story.list(2, vec![entry(0, Readiness::Draining, None)]);
    for _ in 0..5 {
        story.call("1555", 3000);
    }
    assert!(story.offered.iter().all(|(server, ..)| *server == 1));
}

#[test]
fn with_no_server_left_it_is_refused_with_advice() {
    let mut story = Story::new();
    story.list(2, vec![entry(0, Readiness::Gone, None), entry(1, Readiness::Gone, None)]);
    let leg = story.call("1555", 1500);
    story.pass(1500.0);
    let (code, advice) = story.ended(leg).expect("an answer");
    assert_eq!(code, Some(cause::CONGESTION));
    assert!(advice.is_some_and(|ms| (1000..=2000).contains(&ms)), "{advice:?}");
}

#[test]
fn a_number_without_a_route_is_told_so() {
    let mut story = Story::new();
    let leg = story.call("9", 3000);
    assert_eq!(story.ended(leg), Some((Some(cause::NO_ROUTE), None)));
}

#[test]
fn a_proxy_that_stops_takes_nothing_new_and_keeps_what_stands() {
    let mut story = Story::new();
    let standing = story.call("1555", 3000);
    story.answer();
    story.proxy.stop_accepting();
    let late = story.call("1555", 3000);
    assert_eq!(story.ended(late), Some((Some(38), None)));
    assert_eq!((story.ended(standing), story.proxy.conversations()), (None, 1));
    story.proxy.close_all(story.now);
    story.pass(10.0);
    assert_eq!(story.ended(standing), Some((Some(cause::TEMPORARY_FAILURE), None)));
}

#[test]
fn a_wake_that_another_event_overtakes_is_not_lost() {
    let mut story = Story::new();
    story.list(2, vec![entry(0, Readiness::Gone, None), entry(1, Readiness::Gone, None)]);
    let leg = story.call("1555", 700);
    // Something comes at every millisecond, whatever the proxy asked to be woken for.
    for _ in 0..700 {
        story.pass(1.0);
        let now = story.now;
        story.proxy.receive(now, now, Side::Servers, address(100), &Bytes::from_static(&[0; 3]));
        story.proxy.run_pending();
    }
    assert!(story.ended(leg).is_some());
}

#[test]
fn a_step_of_the_wall_clock_makes_no_server_look_restarted() {
    let mut list = PoolList::default();
    let news = |version| PoolUpdates {
        version,
        whole: true,
        servers: vec![entry(0, Readiness::Running, Some(5_000.0))],
    };
    let first = list.apply(&news(1), 100.0, 60_000.0).expect("fits")[0].started_at;
    let again = list.apply(&news(2), 200.0, 3_660_000.0).expect("fits")[0].started_at;
    assert_eq!(first, again);
}

#[rstest]
#[case::changes_first(&[(2, false)], "without a whole list")]
#[case::a_version_left_out(&[(1, true), (3, false)], "version 3 came after 1")]
fn news_that_does_not_follow_is_told(#[case] all: &[(u64, bool)], #[case] wanted: &str) {
    let mut list = PoolList::default();
    let mut last = Ok(Vec::new());
    for &(version, whole) in all {
        last = list.apply(&PoolUpdates { version, whole, servers: Vec::new() }, 0.0, 0.0);
    }
    assert!(last.expect_err("unfit").to_string().contains(wanted));
}

#[rstest]
#[case::no_json("{", "pool list")]
#[case::unknown_key(r#"{"version":1,"servers":[],"more":1}"#, "more")]
#[case::no_name(
    r#"{"version":1,"servers":[{"name":"","address":"127.0.0.1:1","state":"running","pool":0}]}"#,
    "servers[0].name"
)]
#[case::port(
    r#"{"version":1,"servers":[{"name":"a","address":"127.0.0.1:0","state":"running","pool":0}]}"#,
    "servers[0].address"
)]
fn an_unfit_line_names_what_is_wrong(#[case] line: &str, #[case] wanted: &str) {
    let told = PoolUpdates::read(line).expect_err("unfit").to_string();
    assert!(told.contains(wanted), "{told}");
}

#[test]
fn a_cached_list_comes_back_unless_it_is_damaged() {
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
fn hints_come_back_and_pass_over_what_they_do_not_know() {
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
fn a_probe_brings_the_rate_that_the_server_tells() {
    let mut story = Story::new();
    let pong = Elements::new();
    let pong = Hints { rate: Some(12_000), ..Hints::default() }.add_to(pong);
    let leg = story.call("1555", 3000);
    let (server, shot) = story.latest();
    story.servers[server].accept(story.now, shot, &pong);
    story.pass(5.0);
    assert_eq!(story.proxy.status().servers[server].reported_rate, Some(12.0));
    assert_eq!(story.ended(leg), None);
    assert!(!story.told.iter().any(|(_, h)| matches!(h, Event::Ended(EndReason::Unknown))));
}

/// A host that carries nothing out but keeps the shots.
#[derive(Default)]
struct Shots(Vec<(Handle, Server)>);

impl Host for Shots {
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

/// Two servers; the first turns a shot back and names a wait, then two callers come who want it first.
fn play(to_come: Option<ProposedTerms>) -> (Shots, Option<Differences>) {
    let mut watched = Watched::new(Proxy::new(fixture::terms().terms, 7, 0.0), to_come);
    let mut shots = Shots::default();
    let line = |server| ServerEntry {
        server: Server(server),
        state: State::Running,
        pool: server as u16,
        started_at: None,
    };
    watched.update_server_list(&[line(0), line(1)], true, &mut shots);
    let call =
        Call { grade: 0, tenant: None, preferred_pool: 0, number: None, remaining: 3000.0, redial: false };
    for now in [0.0, 10.0, 20.0] {
        watched.advance_clock(now);
        let handle = watched.accept(&call);
        watched.place(handle);
        watched.run_pending(&mut shots);
        if now == 0.0 {
            watched.reported(Server(0), Report { retry_after: Some(500.0), ..Report::default() });
            watched.ended(handle, Ending::Rejected, false, &mut shots);
            watched.run_pending(&mut shots);
        }
        watched.established(handle);
        watched.ended(handle, Ending::Ok, true, &mut shots);
    }
    (shots, watched.differences())
}

#[rstest]
#[case::the_same_rules(false, 1.0, 0..=0)]
#[case::nacks_name_a_wait(true, 1.0, 2..=3)]
#[case::a_third_of_the_turns(true, 0.3, 0..=2)]
#[case::no_turns(true, 0.0, 0..=0)]
fn what_rules_to_come_would_change_is_counted_and_not_done(
    #[case] other: bool,
    #[case] share: f64,
    #[case] differing: std::ops::RangeInclusive<u64>,
) {
    let now = fixture::terms().terms;
    let terms = Terms { respect_retry_after: other, ..now };
    let (shots, watch) = play(Some(ProposedTerms { terms, share }));
    let (unwatched, none) = play(None);
    assert_eq!(shots.0, unwatched.0, "the same is done, watched or not");
    assert!(none.is_none());
    let watch = watch.expect("watched");
    assert!(differing.contains(&watch.differing), "{watch:?}");
    assert_eq!(watch.compared, (watch.turns as f64 * share) as u64, "{watch:?}");
}
