//! Races on the sockets of a running proxy: closes, signals, answers and events that arrive between two of
//! its steps. Each race is forced, by peers that read or answer only when the test says so, or by stopping
//! the process meanwhile.

mod network;

use std::io::Write;
use std::net::Shutdown;

use network::{
    Caller, ChangeLog, DESCRIPTION, RELEASE_WAIT, RESPONSE_HEAD, Server, TestProxy, call_id, event, response,
    response_with_description, response_with_note, wait_for,
};
use rstest::rstest;
use serde_json::json;

/// How a caller leaves.
#[derive(Clone, Copy)]
enum CallerExit {
    Closes,
    ShutsDownWriting,
    Cancels,
}

/// Makes a caller leave; returns it if its connection stays open.
fn exit_caller(mut caller: Caller, how: CallerExit, call: &str) -> Option<Caller> {
    match how {
        CallerExit::Closes => return None,
        CallerExit::ShutsDownWriting => caller.stream.shutdown(Shutdown::Write).expect("shut"),
        CallerExit::Cancels => caller.end(call),
    }
    Some(caller)
}

/// Starts a proxy with one server, and a call whose first attempt is unanswered.
fn start_with_one_attempt() -> (Server, TestProxy, Caller, network::ServerConnection, sip::Message) {
    let server = Server::new("s-0");
    let proxy = TestProxy::new(&[&server]);
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    let mut peer = server.accept();
    let set_up = peer.next_set_up();
    assert_eq!(set_up.call_id, call_id(1));
    (server, proxy, caller, peer, set_up)
}

/// Asserts that the next set-up is of this call: no other call's came before.
fn assert_next_set_up(peer: &mut network::ServerConnection, call: &str) {
    assert_eq!(peer.next_set_up().call_id, call);
}

#[rstest]
fn a_caller_who_left_before_the_connection_was_up_gets_no_attempt(
    #[values(CallerExit::Closes, CallerExit::ShutsDownWriting, CallerExit::Cancels)] how: CallerExit,
) {
    let server = Server::with_small_buffer("s-0");
    let fillers = server.fill_accept_queue();
    let proxy = TestProxy::new(&[&server]);
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    wait_for("the dial", || proxy.log_text().contains("trunk.dialled").then_some(()));
    let open_caller = exit_caller(caller, how, &call_id(1));
    let mut other = Caller::new(proxy.address);
    assert!(other.passes_test());
    for _ in fillers {
        server.accept();
    }
    // The pending connection is established only now; the first set-up on it must be the other caller's.
    other.offer(&call_id(2));
    let mut peer = server.accept();
    assert_next_set_up(&mut peer, &call_id(2));
    drop(open_caller);
}

#[rstest]
fn a_caller_whose_end_is_still_unread_gets_no_second_attempt(
    #[values(CallerExit::Closes, CallerExit::ShutsDownWriting, CallerExit::Cancels)] how: CallerExit,
) {
    let (_server, proxy, caller, mut peer, set_up) = start_with_one_attempt();
    let mut many_callers: Vec<Caller> = (0..200).map(|_| Caller::new(proxy.address)).collect();
    assert!(many_callers.iter_mut().all(Caller::passes_test), "all are accepted");
    proxy.pause();
    // Between the answer and the close come more events than one turn handles.
    peer.respond(&set_up, 503);
    many_callers
        .iter_mut()
        .for_each(|one| one.send(&json!({"op": "ended", "call": call_id(9), "with": {}, "why": 0})));
    let open_caller = exit_caller(caller, how, &call_id(1));
    proxy.resume();
    many_callers[0].offer(&call_id(2));
    assert_next_set_up(&mut peer, &call_id(2));
    drop(open_caller);
}

#[test]
fn unwritten_set_ups_are_withdrawn_when_their_caller_leaves() {
    const OFFERED: usize = 12;
    let server = Server::with_small_buffer("s-0");
    let proxy = TestProxy::new(&[&server]);
    let mut caller = Caller::new(proxy.address);
    caller.offer_large(&call_id(1));
    let mut peer = server.accept();
    let _fillers = server.fill_accept_queue();
    for call in 2..=OFFERED as u64 {
        caller.offer_large(&call_id(call));
    }
    let mut other = Caller::new(proxy.address);
    assert!(other.passes_test());
    wait_for("all attempts", || {
        (proxy.log_text().matches("attempt.chosen").count() >= OFFERED).then_some(())
    });
    drop(caller);
    wait_for("the close", || proxy.log_text().contains("caller.gone").then_some(()));
    // A set-up written after the close comes last, unless the connection is closed with half a set-up on it.
    other.offer(&call_id(99));
    let sent = std::iter::from_fn(|| peer.next()).take_while(|message| message.call_id != call_id(99));
    let sent = sent.filter(|message| message.method == "INVITE").count();
    assert!(sent < OFFERED, "{sent} of {OFFERED} were sent");
}

#[rstest]
fn a_set_up_that_arrived_by_the_end_of_the_stop_is_answered(#[values(false, true)] new_connection: bool) {
    let server = Server::new("s-0");
    let mut proxy = TestProxy::new(&[&server]);
    let mut caller = Caller::new(proxy.address);
    assert!(caller.passes_test());
    proxy.signal("-TERM");
    wait_for("the stop", || (!caller.passes_test()).then_some(()));
    proxy.pause();
    if new_connection {
        caller = Caller::new(proxy.address);
    }
    caller.offer(&call_id(1));
    // The process resumes after the stop's grace time; the set-up came before its end and is still unread.
    std::thread::sleep(std::time::Duration::from_millis(800));
    proxy.resume();
    let mut peer = server.accept();
    let set_up = peer.next_set_up();
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply(), ("accept".to_owned(), call_id(1)));
    proxy.wait_for_exit();
}

#[test]
fn repeated_signals_at_once_stop_the_process_once_and_in_order() {
    let (_server, mut proxy, mut caller, mut peer, set_up) = start_with_one_attempt();
    proxy.pause();
    for name in ["-HUP", "-TERM", "-HUP", "-TERM"] {
        proxy.signal(name);
    }
    proxy.resume();
    wait_for("the stop", || (!Caller::new(proxy.address).passes_test()).then_some(()));
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply().0, "accept", "an accepted call is answered");
    proxy.wait_for_exit();
}

/// Guards against requests of a caller who had closed its connection with much still unread: they were sent on until the
/// close was read behind them. A connection that has carried much gets a large receive buffer first.
#[test]
fn nothing_is_sent_for_a_caller_who_has_left_with_much_unread() {
    const WARM_UP_TESTS: usize = 50_000;
    const UNREAD_SET_UPS: u64 = 450;
    let server = Server::new("s-0");
    let proxy = TestProxy::new(&[&server]);
    let mut leaving = Caller::new(proxy.address);
    leaving.send_tests(WARM_UP_TESTS);
    proxy.pause();
    leaving.offer_all((0..UNREAD_SET_UPS).map(|n| call_id(1000 + n)));
    leaving.wait_until_delivered();
    let gone = || proxy.log_text().matches("caller.gone").count();
    let gone_before = gone();
    drop(leaving);
    proxy.resume();
    wait_for("the close", || (gone() > gone_before).then_some(()));
    assert!(!proxy.log_text().contains("attempt.chosen"), "none of its set-ups was taken on");
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    assert_next_set_up(&mut server.accept(), &call_id(1));
}

#[test]
fn a_half_written_configuration_is_read_again() {
    let server = Server::new("s-0");
    let mut proxy = TestProxy::new(&[&server]);
    let (_open, _) = proxy.changelog.accept_request();
    let next = ChangeLog::default();
    proxy.set("/changelog", json!(next.address().to_string()));
    proxy.write(0.6);
    proxy.signal("-HUP");
    wait_for("a failed read", || proxy.log_text().contains("configuration.kept").then_some(()));
    proxy.write(1.0);
    assert_eq!(next.accept_request().1, 1, "read again without a further signal");
}

#[test]
fn events_read_but_not_applied_before_the_change_log_moves_are_requested_again() {
    const LAST: u64 = 8000;
    const WRITTEN_BEFORE: usize = 2000;
    const TOLD_LATER: usize = 100;
    let server = Server::new("s-0");
    let mut proxy = TestProxy::new(&[&server]);
    let (mut open, _) = proxy.changelog.accept_request();
    let next = ChangeLog::default();
    let events: Vec<String> = (2..=LAST).map(|seq| event(seq, &[server.entry("in_service")])).collect();
    proxy.set("/changelog", json!(next.address().to_string()));
    proxy.write(1.0);
    open.write_all(events[..WRITTEN_BEFORE].concat().as_bytes()).expect("written");
    wait_for("some events", || (proxy.applied_events().len() > 200).then_some(()));
    // The signal and more events wait for the process together. The last events are told by the next log alone.
    proxy.pause();
    let crossing = events[WRITTEN_BEFORE..events.len() - TOLD_LATER].concat();
    let writer = std::thread::spawn(move || open.write_all(crossing.as_bytes()));
    proxy.signal("-HUP");
    proxy.resume();
    let (mut stream, last) = next.accept_request();
    assert!(
        proxy.applied_events().contains(&last),
        "it requested events after {last}, which it has not applied"
    );
    stream.write_all(events[last as usize - 1..].concat().as_bytes()).expect("written");
    wait_for("the last event", || proxy.applied_events().contains(&LAST).then_some(()));
    let applied_events = proxy.applied_events();
    let lost: Vec<u64> = (2..=LAST).filter(|seq| !applied_events.contains(seq)).collect();
    assert!(lost.is_empty(), "lost although it requested events after {last}: {lost:?}");
    let _ = writer.join();
}

#[rstest]
#[case::in_the_middle_of_an_event(true)]
#[case::with_its_connection_up(false)]
fn a_change_log_that_breaks_off_is_asked_again_for_the_incomplete_event(#[case] closes: bool) {
    let (server, new_server) = (Server::new("s-0"), Server::new("s-1"));
    let proxy = TestProxy::new(&[&server]);
    let (mut open, last) = proxy.changelog.accept_request();
    assert_eq!(last, 1);
    let next = event(2, &[new_server.entry("in_service"), server.entry("terminating")]);
    open.write_all(&next.as_bytes()[..next.len() / 2]).expect("written");
    let open_caller = (!closes).then(|| open.try_clone().expect("one more"));
    drop(open);
    let (mut stream, last) = proxy.changelog.accept_request();
    assert_eq!(last, 1);
    // One byte at a time, and every event twice.
    for byte in format!("{next}{next}").as_bytes() {
        stream.write_all(&[*byte]).expect("written");
    }
    wait_for("the list update", || proxy.log_text().contains("central server 0 is Draining").then_some(()));
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    assert_next_set_up(&mut new_server.accept(), &call_id(1));
    drop(open_caller);
}

/// Guards against a request being given up while a crowded change log has not come to it: made anew, it waited at
/// the end of the queue, and no answer was ever read.
#[rstest]
#[case::before_the_head(false)]
#[case::after_the_head(true)]
fn a_request_that_waits_for_its_turn_stays_open_while_another_one_is_made(#[case] has_head: bool) {
    let (server, new_server) = (Server::new("s-0"), Server::new("s-1"));
    let mut proxy = TestProxy::new(&[&server]);
    let (_open, _) = proxy.changelog.accept_request();
    let crowded = ChangeLog::default();
    proxy.set("/changelog", json!(crowded.address().to_string()));
    proxy.write(1.0);
    proxy.signal("-HUP");
    let (mut first, last) = crowded.accept_unanswered();
    assert_eq!(last, 1);
    if has_head {
        first.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    }
    let (_second, _) = crowded.accept_unanswered();
    if !has_head {
        first.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    }
    let update = event(2, &[new_server.entry("in_service"), server.entry("terminating")]);
    first.write_all(update.as_bytes()).expect("written");
    wait_for("the list update", || proxy.log_text().contains("central server 0 is Draining").then_some(()));
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    assert_next_set_up(&mut new_server.accept(), &call_id(1));
}

#[rstest]
#[case::drained("terminating")]
#[case::gone("terminated")]
fn a_connection_established_after_the_drain_gets_no_set_up(#[case] status: &str) {
    let (server, other) = (Server::with_small_buffer("s-0"), Server::new("s-1"));
    let fillers = server.fill_accept_queue();
    let proxy = TestProxy::new(&[&server]);
    let (mut log, _) = proxy.changelog.accept_request();
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    wait_for("the dial", || proxy.log_text().contains("trunk.dialled").then_some(()));
    log.write_all(event(2, &[server.entry(status), other.entry("in_service")]).as_bytes()).expect("written");
    let expected = if status == "terminating" { "0 is Draining" } else { "0 is Gone" };
    wait_for("the list update", || proxy.log_text().contains(expected).then_some(()));
    for _ in fillers {
        server.accept();
    }
    let mut peer = other.accept();
    let set_up = peer.next_set_up();
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply(), ("accept".to_owned(), call_id(1)));
    assert!(!proxy.log_text().contains("server.lost"));
}

/// The connection ends before the answer, in its head or in its body. A truncated answer must not count, and
/// the next attempt must wait for the release.
#[rstest]
#[case::nothing(0.0)]
#[case::in_the_head(0.3)]
#[case::in_the_body(0.98)]
fn a_truncated_answer_does_not_count_and_the_release_is_awaited(#[case] part: f64) {
    let (server, _town, mut caller, mut peer, set_up) = start_with_one_attempt();
    let whole = response(&set_up, 200);
    peer.send(&whole[..(whole.len() as f64 * part) as usize]);
    let ended = std::time::Instant::now();
    drop(peer);
    let mut peer = server.accept();
    let again = peer.next_set_up();
    assert!(ended.elapsed() >= RELEASE_WAIT, "{:?}", ended.elapsed());
    assert_eq!((again.call_id.as_str(), again.number), (set_up.call_id.as_str(), 2));
    peer.respond(&again, 200);
    assert_eq!(caller.next_reply(), ("accept".to_owned(), call_id(1)), "only the second answer counts");
}

#[test]
fn a_set_up_at_the_moment_an_idle_connection_closes_is_answered() {
    let (server, proxy, mut caller, mut peer, set_up) = start_with_one_attempt();
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply(), ("accept".to_owned(), call_id(1)));
    proxy.pause();
    // The set-up arrives first, so that it is decided before the close is read.
    caller.offer(&call_id(2));
    drop(peer);
    proxy.resume();
    let mut peer = server.accept();
    let set_up = peer.next_set_up();
    assert_eq!(set_up.call_id, call_id(2));
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply(), ("accept".to_owned(), call_id(2)));
    peer.release(&call_id(1), 16);
    assert_eq!(caller.next_reply(), ("end".to_owned(), call_id(1)), "the first call is still established");
}

#[test]
fn a_caller_that_retries_at_once_after_each_refusal_gets_one_answer_each_time() {
    let server = Server::new("s-0");
    let proxy = TestProxy::new(&[&server]);
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    let mut peer = server.accept();
    for call in 1..20 {
        let set_up = peer.next_set_up();
        assert_eq!(set_up.call_id, call_id(call));
        peer.send(&response_with_note(&set_up, 486, "engaged"));
        assert_eq!(caller.next_reply(), ("end".to_owned(), call_id(call)));
        caller.offer_to(&call_id(call + 1), call + 1);
    }
    assert_next_set_up(&mut peer, &call_id(20));
}

#[test]
fn a_repeated_answer_is_acknowledged_but_not_forwarded_to_the_caller() {
    let (_server, _town, mut caller, mut peer, set_up) = start_with_one_attempt();
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply(), ("accept".to_owned(), call_id(1)));
    peer.respond(&set_up, 200);
    assert_eq!((peer.next_with_method("ACK").number, peer.next_with_method("ACK").number), (1, 1));
    peer.release(&call_id(1), 16);
    assert_eq!(caller.next_reply(), ("end".to_owned(), call_id(1)), "the call was established");
}

#[rstest]
fn an_answer_for_a_caller_who_left_is_hung_up(
    #[values(CallerExit::Closes, CallerExit::Cancels)] how: CallerExit,
) {
    let (_server, proxy, caller, mut peer, set_up) = start_with_one_attempt();
    // The answer is held back until the proxy has noticed that the caller left.
    let open_caller = exit_caller(caller, how, &call_id(1));
    peer.next_with_method("CANCEL");
    peer.respond(&set_up, 200);
    peer.next_with_method("BYE");
    let mut other = Caller::new(proxy.address);
    other.offer(&call_id(2));
    assert_next_set_up(&mut peer, &call_id(2));
    drop(open_caller);
}

#[test]
fn a_call_id_reused_before_its_release_makes_no_second_attempt() {
    let server = Server::new("s-0");
    let proxy = TestProxy::new(&[&server]);
    let (mut caller, mut other) = (Caller::new(proxy.address), Caller::new(proxy.address));
    caller.offer(&call_id(1));
    let mut peer = server.accept();
    peer.next_set_up();
    other.offer(&call_id(1));
    assert_eq!(other.next_reply(), ("end".to_owned(), call_id(1)), "open on another connection");
    caller.end(&call_id(1));
    caller.offer(&call_id(1));
    assert_eq!(caller.next_reply(), ("end".to_owned(), call_id(1)), "cancelled just now");
    caller.offer(&call_id(2));
    assert_next_set_up(&mut peer, &call_id(2));
}

#[test]
fn idle_callers_do_not_use_up_the_file_descriptors() {
    let (server, new_server) = (Server::new("s-0"), Server::new("s-1"));
    let mut proxy = TestProxy::not_started(&[&server]);
    proxy.set("/limits/sockets", json!(128));
    proxy.start();
    let (log, _) = proxy.changelog.accept_request();
    // A caller that has sent a valid message sends a set-up before the many others connect.
    let mut known = Caller::new(proxy.address);
    assert!(known.passes_test());
    drop(log);
    proxy.pause();
    let many_callers: Vec<Caller> = (0..300).map(|_| Caller::new(proxy.address)).collect();
    known.offer(&call_id(1));
    proxy.resume();
    let mut peer = server.accept();
    assert_next_set_up(&mut peer, &call_id(1));
    assert!(proxy.open_descriptors() < 128, "{}", proxy.open_descriptors());
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(2));
    assert_next_set_up(&mut peer, &call_id(2));
    let (mut log, last) = proxy.changelog.accept_request();
    log.write_all(event(last + 1, &[server.entry("terminating"), new_server.entry("in_service")]).as_bytes())
        .expect("written");
    wait_for("the list update", || proxy.log_text().contains("central server 0 is Draining").then_some(()));
    caller.offer(&call_id(3));
    assert_next_set_up(&mut new_server.accept(), &call_id(3));
    assert!(!proxy.log_text().contains("accept.failed"), "{}", proxy.log_text());
    drop(many_callers);
}

#[test]
fn a_set_up_from_a_caller_about_to_be_closed_as_idle_is_answered() {
    let server = Server::new("s-0");
    let mut proxy = TestProxy::not_started(&[&server]);
    proxy.set("/limits/sockets", json!(100));
    proxy.start();
    let mut silent = Caller::new(proxy.address);
    wait_for("the caller's connection", || proxy.log_text().contains("caller.taken_on").then_some(()));
    proxy.pause();
    // The silent caller is the first to be evicted. The others connect before its set-up, which is unread
    // when it would be evicted.
    let many_callers: Vec<Caller> = (0..300).map(|_| Caller::new(proxy.address)).collect();
    silent.offer(&call_id(1));
    proxy.resume();
    let mut peer = server.accept();
    let set_up = peer.next_set_up();
    assert_eq!(set_up.call_id, call_id(1));
    peer.respond(&set_up, 200);
    assert_eq!(silent.next_reply().0, "accept");
    drop(many_callers);
}

#[test]
fn without_free_descriptors_accepting_pauses_and_later_continues() {
    let server = Server::new("s-0");
    let mut proxy = TestProxy::not_started(&[&server]);
    // Fewer descriptors than the configuration states.
    proxy.descriptors_allowed = Some(40);
    proxy.start();
    let mut caller = Caller::new(proxy.address);
    caller.offer(&call_id(1));
    let mut peer = server.accept();
    let set_up = peer.next_set_up();
    let many_callers: Vec<Caller> = (0..100).map(|_| Caller::new(proxy.address)).collect();
    wait_for("a failed accept", || proxy.log_text().contains("accept.failed").then_some(()));
    let started = std::time::Instant::now();
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply().0, "accept", "everything else continues");
    let accept_failures = || proxy.log_text().matches("accept.failed").count();
    wait_for("further failed accepts", || (accept_failures() >= 5).then_some(()));
    assert!(
        started.elapsed().as_millis() >= 150,
        "{} failed accepts in {:?}",
        accept_failures(),
        started.elapsed()
    );
    drop(many_callers);
    assert!(Caller::new(proxy.address).passes_test());
}

#[test]
fn a_signal_before_the_configuration_is_read_does_not_end_the_process() {
    let server = Server::new("s-0");
    let mut proxy = TestProxy::not_started(&[&server]);
    let mut pipe = proxy.start_reading_a_pipe();
    proxy.signal("-HUP");
    pipe.write_all(proxy.text().as_bytes()).expect("written");
    drop(pipe);
    assert!(Caller::new(proxy.address).passes_test(), "ready");
}

#[test]
fn an_established_call_is_released_once_by_the_next_process() {
    let (server, mut proxy, mut caller, mut peer, set_up) = start_with_one_attempt();
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply().0, "accept");
    proxy.signal("-TERM");
    proxy.wait_for_exit();
    proxy.start();
    let mut caller = Caller::new(proxy.address);
    caller.declare_established(&call_id(1), "s-0");
    // The set-up's connection ended with the previous process; the release comes on a new one.
    let mut peer = server.accept();
    peer.release(&call_id(1), 16);
    assert_eq!(caller.next_reply(), ("end".to_owned(), call_id(1)));
    peer.release(&call_id(1), 16);
    caller.offer(&call_id(2));
    let set_up = peer.next_set_up();
    peer.respond(&set_up, 200);
    assert_eq!(caller.next_reply(), ("accept".to_owned(), call_id(2)), "the second release has no effect");
}

#[test]
fn the_next_process_waits_until_the_previous_one_has_freed_the_address() {
    let server = Server::new("s-0");
    let mut proxy = TestProxy::new(&[&server]);
    let mut next = proxy.start_second();
    wait_for("the second process waiting", || next.log_text().contains("address.in_use").then_some(()));
    proxy.signal("-TERM");
    proxy.wait_for_exit();
    wait_for("the second process ready", || next.log_text().contains("proxy.ready").then_some(()));
    assert!(Caller::new(next.address).passes_test());
    next.signal("-TERM");
    next.wait_for_exit();
}

#[test]
fn a_stop_waits_for_answers_that_a_slow_caller_has_not_read() {
    const CALLS: u64 = 12;
    let server = Server::new("s-0");
    let mut proxy = TestProxy::new(&[&server]);
    let mut caller = Caller::with_small_buffer(proxy.address);
    for call in 1..=CALLS {
        caller.offer_to(&call_id(call), call);
    }
    let mut peers = vec![server.accept()];
    for _ in 0..CALLS {
        let (which, set_up) = network::next_set_up(&server, &mut peers);
        peers[which].send(&response_with_description(&set_up, &"x".repeat(15_000)));
    }
    wait_for("all answers", || {
        (proxy.log_text().matches("call.stands").count() as u64 == CALLS).then_some(())
    });
    proxy.signal("-TERM");
    proxy.pause();
    std::thread::sleep(std::time::Duration::from_millis(800));
    proxy.resume();
    let operations: Vec<_> = (0..CALLS).map(|_| caller.next_reply().0).collect();
    assert!(operations.iter().all(|op| op == "accept"), "{operations:?}");
    proxy.wait_for_exit();
}

#[test]
fn a_call_at_a_terminated_server_ends_as_soon_as_the_list_says_so() {
    let (server, new_server) = (Server::new("s-0"), Server::new("s-1"));
    let proxy = TestProxy::new(&[&server]);
    let (mut log, _) = proxy.changelog.accept_request();
    let mut caller = Caller::new(proxy.address);
    caller.declare_established(&call_id(1), "s-0");
    server.accept();
    log.write_all(event(2, &[server.entry("terminated"), new_server.entry("in_service")]).as_bytes())
        .expect("written");
    assert_eq!(caller.next_reply(), ("end".to_owned(), call_id(1)));
    caller.declare_established(&call_id(2), "s-0");
    assert_eq!(caller.next_reply(), ("end".to_owned(), call_id(2)), "no server has the call any more");
}

#[test]
fn a_proxy_is_ready_without_any_peer_server_or_change_log() {
    let server = Server::new("s-0");
    let mut proxy = TestProxy::not_started(&[&server]);
    let nowhere = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    proxy.set("/changelog", json!(nowhere.to_string()));
    proxy.start();
    assert!(!proxy.log_text().contains(DESCRIPTION));
}
