//! What crosses on the sockets of a running proxy: closes, signals, answers and events between two steps of
//! it. Each crossing is forced, by peers that read or answer only when the story says so, or while the
//! process has no turn.

mod town;

use std::io::Write;
use std::net::Shutdown;

use rstest::rstest;
use serde_json::json;
use town::{Caller, DESC, Log, RELEASED, Server, Town, answer, answer_long, answer_noted, event, id, until};

/// How a caller goes.
#[derive(Clone, Copy)]
enum Goes {
    Closes,
    Halfway,
    Cancels,
}

fn goes(mut caller: Caller, how: Goes, call: &str) -> Option<Caller> {
    match how {
        Goes::Closes => return None,
        Goes::Halfway => caller.stream.shutdown(Shutdown::Write).expect("shut"),
        Goes::Cancels => caller.end(call),
    }
    Some(caller)
}

/// A call whose first attempt is out.
fn one_out() -> (Server, Town, Caller, town::Peer, sip::Message) {
    let server = Server::new("s-0");
    let town = Town::new(&[&server]);
    let mut caller = Caller::new(town.proxy);
    caller.offer(&id(1));
    let mut peer = server.accept();
    let set_up = peer.set_up();
    assert_eq!(set_up.call_id, id(1));
    (server, town, caller, peer, set_up)
}

/// The next set-up is of this call: none came of another before.
fn is_next(peer: &mut town::Peer, call: &str) {
    assert_eq!(peer.set_up().call_id, call);
}

#[rstest]
fn nothing_is_sent_for_a_caller_who_went_before_the_connection_came_up(
    #[values(Goes::Closes, Goes::Halfway, Goes::Cancels)] how: Goes,
) {
    let server = Server::narrow("s-0");
    let fillers = server.fill();
    let town = Town::new(&[&server]);
    let mut caller = Caller::new(town.proxy);
    caller.offer(&id(1));
    until("the dial", || town.said().contains("trunk.dialled").then_some(()));
    let kept = goes(caller, how, &id(1));
    let mut other = Caller::new(town.proxy);
    assert!(other.test());
    for _ in fillers {
        server.accept();
    }
    // The connection that was under way comes up only now; what is sent on it first is another's.
    other.offer(&id(2));
    let mut peer = server.accept();
    is_next(&mut peer, &id(2));
    drop(kept);
}

#[rstest]
fn no_repeat_is_sent_in_the_turn_in_which_the_callers_end_is_yet_to_be_read(
    #[values(Goes::Closes, Goes::Halfway, Goes::Cancels)] how: Goes,
) {
    let (_server, town, caller, mut peer, set_up) = one_out();
    let mut crowd: Vec<Caller> = (0..200).map(|_| Caller::new(town.proxy)).collect();
    assert!(crowd.iter_mut().all(Caller::test), "all are taken on");
    town.pause();
    // More than is looked at in one turn lies between the answer and the close.
    peer.answer(&set_up, 503);
    crowd.iter_mut().for_each(|one| one.say(&json!({"op": "ended", "call": id(9), "with": {}, "why": 0})));
    let kept = goes(caller, how, &id(1));
    town.go_on();
    crowd[0].offer(&id(2));
    is_next(&mut peer, &id(2));
    drop(kept);
}

#[test]
fn what_a_connection_never_took_is_taken_back_when_its_caller_goes() {
    const OFFERED: usize = 12;
    let server = Server::narrow("s-0");
    let town = Town::new(&[&server]);
    let mut caller = Caller::new(town.proxy);
    caller.offer_much(&id(1));
    let mut peer = server.accept();
    let _fillers = server.fill();
    for call in 2..=OFFERED as u64 {
        caller.offer_much(&id(call));
    }
    let mut other = Caller::new(town.proxy);
    assert!(other.test());
    until("all attempts", || (town.said().matches("attempt.chosen").count() >= OFFERED).then_some(()));
    drop(caller);
    until("the close", || town.said().contains("caller.gone").then_some(()));
    // What is written after that comes last, unless the connection is given up with half a set-up on it.
    other.offer(&id(99));
    let sent = std::iter::from_fn(|| peer.next()).take_while(|message| message.call_id != id(99));
    let sent = sent.filter(|message| message.method == "INVITE").count();
    assert!(sent < OFFERED, "{sent} of {OFFERED} left");
}

#[rstest]
fn what_came_by_the_end_of_the_stop_is_answered(#[values(false, true)] new_connection: bool) {
    let server = Server::new("s-0");
    let mut town = Town::new(&[&server]);
    let mut caller = Caller::new(town.proxy);
    assert!(caller.test());
    town.signal("-TERM");
    until("the stop", || (!caller.test()).then_some(()));
    town.pause();
    if new_connection {
        caller = Caller::new(town.proxy);
    }
    caller.offer(&id(1));
    // It wakes when its time is over, and what came before that is still unread.
    std::thread::sleep(std::time::Duration::from_millis(800));
    town.go_on();
    let mut peer = server.accept();
    let set_up = peer.set_up();
    peer.answer(&set_up, 200);
    assert_eq!(caller.told(), ("accept".to_owned(), id(1)));
    town.ended();
}

#[test]
fn signals_that_come_twice_and_together_end_it_once_and_in_order() {
    let (_server, mut town, mut caller, mut peer, set_up) = one_out();
    town.pause();
    for name in ["-HUP", "-TERM", "-HUP", "-TERM"] {
        town.signal(name);
    }
    town.go_on();
    until("the stop", || (!Caller::new(town.proxy).test()).then_some(()));
    peer.answer(&set_up, 200);
    assert_eq!(caller.told().0, "accept", "what was taken is answered");
    town.ended();
}

#[test]
fn a_configuration_that_is_read_half_written_is_read_again() {
    let server = Server::new("s-0");
    let mut town = Town::new(&[&server]);
    let (_open, _) = town.log.asked();
    let next = Log::default();
    town.set("/changelog", json!(next.address().to_string()));
    town.write(0.6);
    town.signal("-HUP");
    until("a look", || town.said().contains("configuration.kept").then_some(()));
    town.write(1.0);
    assert_eq!(next.asked().1, 1, "without a further signal");
}

#[test]
fn events_read_from_a_log_that_moves_before_they_are_taken_in_are_told_again() {
    const LAST: u64 = 8000;
    let server = Server::new("s-0");
    let mut town = Town::new(&[&server]);
    let (mut open, _) = town.log.asked();
    let next = Log::default();
    let events: Vec<String> = (2..=LAST).map(|seq| event(seq, &[server.entry("in_service")])).collect();
    town.set("/changelog", json!(next.address().to_string()));
    town.write(1.0);
    let all = events.concat();
    let told = std::thread::spawn(move || open.write_all(all.as_bytes()));
    // More has been read by now than is taken in.
    until("some events", || (town.taken_in().len() > 200).then_some(()));
    town.signal("-HUP");
    let (mut stream, last) = next.asked();
    assert!(last < LAST, "it moved in the midst of them");
    stream.write_all(events[last as usize - 1..].concat().as_bytes()).expect("written");
    until("the last event", || town.taken_in().contains(&LAST).then_some(()));
    let taken_in = town.taken_in();
    let lost: Vec<u64> = (2..=LAST).filter(|seq| !taken_in.contains(seq)).collect();
    assert!(lost.is_empty(), "of {last} that it says it had: {lost:?}");
    let _ = told.join();
}

#[rstest]
#[case::in_the_middle_of_an_event(true)]
#[case::with_its_connection_up(false)]
fn a_log_that_stops_is_asked_again_for_what_was_not_whole(#[case] closes: bool) {
    let (server, late) = (Server::new("s-0"), Server::new("s-1"));
    let town = Town::new(&[&server]);
    let (mut open, last) = town.log.asked();
    assert_eq!(last, 1);
    let next = event(2, &[late.entry("in_service"), server.entry("terminating")]);
    open.write_all(&next.as_bytes()[..next.len() / 2]).expect("written");
    let kept = (!closes).then(|| open.try_clone().expect("one more"));
    drop(open);
    let (mut stream, last) = town.log.asked();
    assert_eq!(last, 1);
    // Bytes one at a time, and every event twice.
    for byte in format!("{next}{next}").as_bytes() {
        stream.write_all(&[*byte]).expect("written");
    }
    until("the list", || town.said().contains("central server 0 is Draining").then_some(()));
    let mut caller = Caller::new(town.proxy);
    caller.offer(&id(1));
    is_next(&mut late.accept(), &id(1));
    drop(kept);
}

#[rstest]
#[case::drained("terminating")]
#[case::gone("terminated")]
fn a_connection_that_comes_up_after_the_drain_gets_no_set_up(#[case] status: &str) {
    let (server, other) = (Server::narrow("s-0"), Server::new("s-1"));
    let fillers = server.fill();
    let town = Town::new(&[&server]);
    let (mut log, _) = town.log.asked();
    let mut caller = Caller::new(town.proxy);
    caller.offer(&id(1));
    until("the dial", || town.said().contains("trunk.dialled").then_some(()));
    log.write_all(event(2, &[server.entry(status), other.entry("in_service")]).as_bytes()).expect("written");
    let told = if status == "terminating" { "0 is Draining" } else { "0 is Gone" };
    until("the list", || town.said().contains(told).then_some(()));
    for _ in fillers {
        server.accept();
    }
    let mut peer = other.accept();
    let set_up = peer.set_up();
    peer.answer(&set_up, 200);
    assert_eq!(caller.told(), ("accept".to_owned(), id(1)));
    assert!(!town.said().contains("server.lost"));
}

/// What came instead of a whole answer, and the connection's end after it.
#[rstest]
#[case::nothing(0.0)]
#[case::in_the_head(0.3)]
#[case::in_the_body(0.98)]
fn an_answer_that_is_cut_off_is_none_and_the_release_is_awaited(#[case] part: f64) {
    let (server, _town, mut caller, mut peer, set_up) = one_out();
    let whole = answer(&set_up, 200);
    peer.say(&whole[..(whole.len() as f64 * part) as usize]);
    let ended = std::time::Instant::now();
    drop(peer);
    let mut peer = server.accept();
    let again = peer.set_up();
    assert!(ended.elapsed() >= RELEASED, "{:?}", ended.elapsed());
    assert_eq!((again.call_id.as_str(), again.number), (set_up.call_id.as_str(), 2));
    peer.answer(&again, 200);
    assert_eq!(caller.told(), ("accept".to_owned(), id(1)), "and only this one");
}

#[test]
fn a_set_up_that_crosses_the_close_of_an_idle_connection_is_answered() {
    let (server, town, mut caller, mut peer, set_up) = one_out();
    peer.answer(&set_up, 200);
    assert_eq!(caller.told(), ("accept".to_owned(), id(1)));
    town.pause();
    // The set-up comes first, so that it is decided on before the close is read.
    caller.offer(&id(2));
    drop(peer);
    town.go_on();
    let mut peer = server.accept();
    let set_up = peer.set_up();
    assert_eq!(set_up.call_id, id(2));
    peer.answer(&set_up, 200);
    assert_eq!(caller.told(), ("accept".to_owned(), id(2)));
    peer.release(&id(1), 16);
    assert_eq!(caller.told(), ("end".to_owned(), id(1)), "what stood still stands");
}

#[test]
fn who_comes_again_the_moment_it_is_refused_is_answered_each_time_and_once() {
    let server = Server::new("s-0");
    let town = Town::new(&[&server]);
    let mut caller = Caller::new(town.proxy);
    caller.offer(&id(1));
    let mut peer = server.accept();
    for call in 1..20 {
        let set_up = peer.set_up();
        assert_eq!(set_up.call_id, id(call));
        peer.say(&answer_noted(&set_up, 486, "engaged"));
        assert_eq!(caller.told(), ("end".to_owned(), id(call)));
        caller.offer_to(&id(call + 1), call + 1);
    }
    is_next(&mut peer, &id(20));
}

#[test]
fn a_second_answer_some_milliseconds_later_is_no_second_answer_to_the_caller() {
    let (_server, _town, mut caller, mut peer, set_up) = one_out();
    peer.answer(&set_up, 200);
    assert_eq!(caller.told(), ("accept".to_owned(), id(1)));
    peer.answer(&set_up, 200);
    assert_eq!((peer.next_of("ACK").number, peer.next_of("ACK").number), (1, 1));
    peer.release(&id(1), 16);
    assert_eq!(caller.told(), ("end".to_owned(), id(1)), "the call stood");
}

#[rstest]
fn an_answer_to_a_caller_who_went_is_let_go(#[values(Goes::Closes, Goes::Cancels)] how: Goes) {
    let (_server, town, caller, mut peer, set_up) = one_out();
    // The answer is held until it is seen that the caller went.
    let kept = goes(caller, how, &id(1));
    peer.next_of("CANCEL");
    peer.answer(&set_up, 200);
    peer.next_of("BYE");
    let mut other = Caller::new(town.proxy);
    other.offer(&id(2));
    is_next(&mut peer, &id(2));
    drop(kept);
}

#[test]
fn a_name_that_comes_again_before_its_release_makes_no_second_attempt() {
    let server = Server::new("s-0");
    let town = Town::new(&[&server]);
    let (mut caller, mut other) = (Caller::new(town.proxy), Caller::new(town.proxy));
    caller.offer(&id(1));
    let mut peer = server.accept();
    peer.set_up();
    other.offer(&id(1));
    assert_eq!(other.told(), ("end".to_owned(), id(1)), "open elsewhere");
    caller.end(&id(1));
    caller.offer(&id(1));
    assert_eq!(caller.told(), ("end".to_owned(), id(1)), "given up just now");
    caller.offer(&id(2));
    is_next(&mut peer, &id(2));
}

#[test]
fn idle_callers_leave_descriptors_for_the_log_the_servers_and_who_asks() {
    let (server, late) = (Server::new("s-0"), Server::new("s-1"));
    let mut town = Town::idle(&[&server]);
    town.set("/limits/sockets", json!(128));
    town.start();
    let (log, _) = town.log.asked();
    // One that has said something of use asks again while the crowd comes, before it is read.
    let mut known = Caller::new(town.proxy);
    assert!(known.test());
    drop(log);
    town.pause();
    let crowd: Vec<Caller> = (0..300).map(|_| Caller::new(town.proxy)).collect();
    known.offer(&id(1));
    town.go_on();
    let mut peer = server.accept();
    is_next(&mut peer, &id(1));
    assert!(town.descriptors() < 128, "{}", town.descriptors());
    let mut caller = Caller::new(town.proxy);
    caller.offer(&id(2));
    is_next(&mut peer, &id(2));
    let (mut log, last) = town.log.asked();
    log.write_all(event(last + 1, &[server.entry("terminating"), late.entry("in_service")]).as_bytes())
        .expect("written");
    until("the list", || town.said().contains("central server 0 is Draining").then_some(()));
    caller.offer(&id(3));
    is_next(&mut late.accept(), &id(3));
    assert!(!town.said().contains("accept.failed"), "{}", town.said());
    drop(crowd);
}

#[test]
fn who_asks_in_the_moment_of_being_closed_as_idle_is_served() {
    let server = Server::new("s-0");
    let mut town = Town::idle(&[&server]);
    town.set("/limits/sockets", json!(100));
    town.start();
    let mut silent = Caller::new(town.proxy);
    until("its place", || town.said().contains("caller.taken_on").then_some(()));
    town.pause();
    // It is the first to make room, and has asked by then; the crowd came before its word.
    let crowd: Vec<Caller> = (0..300).map(|_| Caller::new(town.proxy)).collect();
    silent.offer(&id(1));
    town.go_on();
    let mut peer = server.accept();
    let set_up = peer.set_up();
    assert_eq!(set_up.call_id, id(1));
    peer.answer(&set_up, 200);
    assert_eq!(silent.told().0, "accept");
    drop(crowd);
}

#[test]
fn a_lack_of_descriptors_is_survived_without_haste_and_without_deafness() {
    let server = Server::new("s-0");
    let mut town = Town::idle(&[&server]);
    // Fewer than the configuration says.
    town.descriptors_allowed = Some(40);
    town.start();
    let mut caller = Caller::new(town.proxy);
    caller.offer(&id(1));
    let mut peer = server.accept();
    let set_up = peer.set_up();
    let crowd: Vec<Caller> = (0..100).map(|_| Caller::new(town.proxy)).collect();
    until("the lack", || town.said().contains("accept.failed").then_some(()));
    let began = std::time::Instant::now();
    peer.answer(&set_up, 200);
    assert_eq!(caller.told().0, "accept", "meanwhile all else goes on");
    let until_now = || town.said().matches("accept.failed").count();
    until("a second look", || (until_now() >= 5).then_some(()));
    assert!(began.elapsed().as_millis() >= 150, "{} looks in {:?}", until_now(), began.elapsed());
    drop(crowd);
    assert!(Caller::new(town.proxy).test());
}

#[test]
fn signals_that_come_before_it_has_read_its_configuration_end_nothing() {
    let server = Server::new("s-0");
    let mut town = Town::idle(&[&server]);
    let mut pipe = town.start_reading_a_pipe();
    town.signal("-HUP");
    pipe.write_all(town.text().as_bytes()).expect("written");
    drop(pipe);
    assert!(Caller::new(town.proxy).test(), "ready");
}

#[test]
fn a_call_that_stands_is_released_once_by_the_next_process() {
    let (server, mut town, mut caller, mut peer, set_up) = one_out();
    peer.answer(&set_up, 200);
    assert_eq!(caller.told().0, "accept");
    town.signal("-TERM");
    town.ended();
    town.start();
    let mut caller = Caller::new(town.proxy);
    caller.stands_at(&id(1), "s-0");
    // Its set-up's connection ended with the former process; the release comes on the next one.
    let mut peer = server.accept();
    peer.release(&id(1), 16);
    assert_eq!(caller.told(), ("end".to_owned(), id(1)));
    peer.release(&id(1), 16);
    caller.offer(&id(2));
    let set_up = peer.set_up();
    peer.answer(&set_up, 200);
    assert_eq!(caller.told(), ("accept".to_owned(), id(2)), "and no second release");
}

#[test]
fn the_next_process_waits_until_the_former_has_let_go_of_the_address() {
    let server = Server::new("s-0");
    let mut town = Town::new(&[&server]);
    let mut next = town.beside();
    until("its wait", || next.said().contains("address.in_use").then_some(()));
    town.signal("-TERM");
    town.ended();
    until("its turn", || next.said().contains("proxy.ready").then_some(()));
    assert!(Caller::new(next.proxy).test());
    next.signal("-TERM");
    next.ended();
}

#[test]
fn answers_that_a_slow_reader_has_not_taken_by_the_end_of_the_stop_are_waited_for() {
    const CALLS: u64 = 12;
    let server = Server::new("s-0");
    let mut town = Town::new(&[&server]);
    let mut caller = Caller::narrow(town.proxy);
    for call in 1..=CALLS {
        caller.offer_to(&id(call), call);
    }
    let mut peers = vec![server.accept()];
    for _ in 0..CALLS {
        let (which, set_up) = town::next_set_up(&server, &mut peers);
        peers[which].say(&answer_long(&set_up, &"x".repeat(15_000)));
    }
    until("all answers", || (town.said().matches("call.stands").count() as u64 == CALLS).then_some(()));
    town.signal("-TERM");
    town.pause();
    std::thread::sleep(std::time::Duration::from_millis(800));
    town.go_on();
    let told: Vec<_> = (0..CALLS).map(|_| caller.told().0).collect();
    assert!(told.iter().all(|op| op == "accept"), "{told:?}");
    town.ended();
}

#[test]
fn a_call_named_while_its_server_is_replaced_is_over_as_soon_as_the_list_says_so() {
    let (server, late) = (Server::new("s-0"), Server::new("s-1"));
    let town = Town::new(&[&server]);
    let (mut log, _) = town.log.asked();
    let mut caller = Caller::new(town.proxy);
    caller.stands_at(&id(1), "s-0");
    server.accept();
    log.write_all(event(2, &[server.entry("terminated"), late.entry("in_service")]).as_bytes())
        .expect("written");
    assert_eq!(caller.told(), ("end".to_owned(), id(1)));
    caller.stands_at(&id(2), "s-0");
    assert_eq!(caller.told(), ("end".to_owned(), id(2)), "nobody has it any more");
}

#[test]
fn it_is_ready_while_nobody_else_is_there() {
    let server = Server::new("s-0");
    let mut town = Town::idle(&[&server]);
    let nowhere = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    town.set("/changelog", json!(nowhere.to_string()));
    town.start();
    assert!(!town.said().contains(DESC));
}
