//! Five processes of the program hold one limit together while links between them fail and they are killed,
//! stopped and started again. What counts is what came to the central server's socket.

mod world;

use std::sync::atomic::Ordering;
use std::time::Duration;

use world::{PROXIES, Story};

/// The limit: whole set-ups over all proxies in any window, in milliseconds.
const PERMITS: usize = 10;
const WINDOW: f64 = 500.0;
const LEASE: Duration = Duration::from_millis(800);
/// How much later one datagram may be looked at than another, on a machine that does much else.
const SPREAD: f64 = 400.0;

fn story() -> Story {
    let table = format!(
        "[fleet]\nwindow = \"{WINDOW} ms\"\nbeat = \"40 ms\"\nlease = \"{} ms\"\nspread = \"{SPREAD} ms\"\n\
         floor = 0.0\nmost = {}\n",
        LEASE.as_millis(),
        PERMITS as f64 * 1000.0 / WINDOW,
    );
    let story = Story::new(1, &table);
    // What earlier processes of these names might have lent is waited out, and everybody knows everybody.
    story.pass(LEASE.as_secs_f64() * 1000.0 + WINDOW + SPREAD + 500.0);
    story
}

/// No window of the central server's had more set-ups than the limit.
fn holds(story: &Story) {
    let came = story.came.lock().expect("whole");
    assert!(came.len() > 2 * PERMITS, "too few set-ups to tell: {}", came.len());
    assert!(story.switch.bytes.load(Ordering::Relaxed) > 0, "all went through the switch");
    for (i, (at, ..)) in came.iter().enumerate() {
        let within: Vec<_> = came[..=i].iter().filter(|(then, ..)| *then > at - WINDOW).collect();
        assert!(
            within.len() <= PERMITS,
            "{} set-ups in the window that ends at {at}: {within:?}",
            within.len()
        );
    }
}

fn limits_of(story: &Story, proxy: usize) -> serde_json::Value {
    story.told(proxy, &["limits"])
}

#[test]
fn all_demand_at_one_proxy_gets_what_the_others_leave_and_then_at_another() {
    let story = story();
    story.demand([60.0, 0.0, 0.0, 0.0, 0.0]);
    story.pass(2500.0);
    let then = story.now();
    story.pass(2000.0);
    let limits = limits_of(&story, 0);
    let (own, borrowed) = (&limits["limits"][0]["part"], &limits["limits"][0]["borrowed"]);
    assert_eq!(own.as_u64(), Some((PERMITS / PROXIES) as u64), "{limits}");
    assert!(borrowed.as_u64() > Some(2), "{limits}");
    // Its own part alone would be four in two seconds of rests.
    assert!(story.came_since(then) >= 9, "{} in two seconds: {limits}", story.came_since(then));
    eprintln!("{} in two seconds: {limits}", story.came_since(then));
    story.demand([0.0, 0.0, 0.0, 60.0, 0.0]);
    story.pass(3000.0);
    let then = story.now();
    story.pass(2000.0);
    let all: Vec<_> = (0..PROXIES).map(|proxy| limits_of(&story, proxy)).collect();
    assert!(story.came_since(then) >= 9, "{} in two seconds elsewhere: {all:?}", story.came_since(then));
    holds(&story);
}

#[test]
fn halves_that_do_not_hear_each_other_keep_within_the_limit_and_heal() {
    let story = story();
    story.demand([60.0, 0.0, 60.0, 0.0, 10.0]);
    story.pass(1500.0);
    story.cut(&[0, 1], &[2, 3, 4], true);
    story.cut(&[2, 3, 4], &[0, 1], true);
    story.pass(2500.0);
    story.cut(&[0, 1], &[2, 3, 4], false);
    // One way only, with losses.
    story.switch.loses.store(30, Ordering::Relaxed);
    story.pass(1500.0);
    story.cut(&[2, 3, 4], &[0, 1], false);
    story.pass(1500.0);
    holds(&story);
}

#[test]
fn lenders_and_takers_that_are_killed_and_start_at_once_do_not_pass_the_limit() {
    let mut story = story();
    story.demand([60.0, 0.0, 0.0, 0.0, 0.0]);
    story.pass(1500.0);
    // They forget what they lent, and want it themselves.
    for lender in [1, 2] {
        story.kill(lender);
        story.start(lender);
    }
    story.demand([60.0, 60.0, 60.0, 0.0, 0.0]);
    story.pass(1500.0);
    story.kill(0);
    story.start(0);
    story.pass(2500.0);
    holds(&story);
}

#[test]
fn a_proxy_that_was_stopped_wakes_with_a_lapsed_lease_and_does_not_use_it() {
    let story = story();
    story.demand([60.0, 0.0, 0.0, 0.0, 0.0]);
    story.pass(1500.0);
    story.signal(0, "-STOP");
    story.demand([60.0, 60.0, 60.0, 0.0, 0.0]);
    story.pass(2500.0);
    story.signal(0, "-CONT");
    story.pass(2000.0);
    holds(&story);
}
