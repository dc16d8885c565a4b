//! Five processes of the program decide in one order, three of them by their votes, while they are killed,
//! stopped and cut off, and a disk is lost. What is drained is judged at the central servers' sockets.

mod world;

use std::cell::Cell;
use std::fs;

use serde_json::Value;
use world::{PROXIES, Story};

const COUNCIL: &str = "[council]\nmembers = [\"p0\", \"p1\", \"p2\"]\nbeat = \"50 ms\"\nlease = \"2 s\"\n\n[outs]\npool_part = 0.5\n";

fn story() -> Story {
    let story = Story::new(4, COUNCIL);
    story.until("a leader that all have heard from", |story| {
        (0..PROXIES).all(|proxy| state(story, proxy)["age_ms"].is_number())
    });
    story
}

fn state(story: &Story, proxy: usize) -> Value {
    story.told(proxy, &["council", "state"])
}

fn leader(story: &Story, among: &[usize]) -> Option<usize> {
    among.iter().copied().find(|&proxy| state(story, proxy)["role"] == "leads")
}

/// The leader, once there is one: a process that is held up for longer than its beats makes way for another.
fn elected(story: &Story, among: &[usize]) -> usize {
    let found = Cell::new(None);
    story.until("a leader", |story| {
        found.set(leader(story, among));
        found.get().is_some()
    });
    found.get().expect("waited for")
}

fn drained(story: &Story, proxy: usize) -> Vec<String> {
    let outs = story.told(proxy, &["outs"]);
    let drains = outs["drains"].as_array().expect("drains");
    drains.iter().map(|drain| drain["server"].as_str().expect("a name").to_owned()).collect()
}

/// All of them have carried out the same, and the last of it comes to the same.
fn at_one(story: &Story, among: &[usize]) {
    story.until("all at one", |story| {
        let all: Vec<_> = among.iter().map(|&proxy| state(story, proxy)).collect();
        let same = |a: &Value, b: &Value| a["applied"] == b["applied"] && a["hash"] == b["hash"];
        all.windows(2).all(|pair| same(&pair[0], &pair[1])) && all[0]["applied"].as_u64() > Some(0)
    });
}

fn came_to(story: &Story, server: usize, since: f64) -> usize {
    story.came.lock().expect("whole").iter().filter(|(at, _, to)| *to == server && *at >= since).count()
}

#[test]
fn a_drain_asked_for_at_any_proxy_holds_at_all_and_is_taken_back() {
    let story = story();
    story.demand([30.0; PROXIES]);
    story.until("calls at the first server", |story| came_to(story, 0, 0.0) > 20);
    let dry = story.ask(4, &["drain", "s-0", "--dry-run"]);
    assert!(dry.status.success() && drained(&story, 4).is_empty(), "{dry:?}");
    let asked = story.ask(4, &["drain", "s-0", "--why", "disk"]);
    assert!(asked.status.success(), "{asked:?}");
    story.until("known to all", |story| (0..PROXIES).all(|proxy| drained(story, proxy) == ["s-0"]));
    // What was under way may still come.
    story.pass(300.0);
    let since = story.now();
    story.pass(1500.0);
    assert_eq!(came_to(&story, 0, since), 0, "set-ups at a drained server");
    assert!(came_to(&story, 1, since) > 20, "another has them");
    let row = &story.told(0, &["outs"])["drains"][0];
    assert_eq!((&row["by"], &row["why"]), (&"p4".into(), &"disk".into()), "{row}");

    assert!(story.ask(0, &["drain", "s-2"]).status.success());
    let third = story.ask(1, &["drain", "s-3"]);
    assert_eq!(third.status.code(), Some(3), "half of a pool of four may be out: {third:?}");
    assert!(String::from_utf8_lossy(&third.stdout).contains("2 may be"), "{third:?}");
    assert!(story.ask(2, &["undrain", "s-0"]).status.success());
    let since = story.now();
    story.until("used again", |story| came_to(story, 0, since) > 20);
    at_one(&story, &[0, 1, 2, 3, 4]);
}

#[test]
fn decisions_outlive_their_leader_and_all_processes_at_once() {
    let mut story = story();
    assert!(story.ask(3, &["drain", "s-0"]).status.success());
    let first = elected(&story, &[0, 1, 2]);
    story.kill(first);
    let rest: Vec<usize> = (0..3).filter(|&proxy| proxy != first).collect();
    story.until("another leader", |story| leader(story, &rest).is_some());
    assert!(story.ask(4, &["drain", "s-2"]).status.success());
    story.start(first);
    at_one(&story, &[0, 1, 2, 3, 4]);
    (0..PROXIES).for_each(|proxy| story.kill(proxy));
    (0..PROXIES).for_each(|proxy| story.start(proxy));
    story.until("known again", |story| (0..PROXIES).all(|proxy| drained(story, proxy) == ["s-0", "s-2"]));
    at_one(&story, &[0, 1, 2, 3, 4]);
}

#[test]
fn without_a_majority_nothing_begins_and_what_was_decided_holds() {
    let story = story();
    story.demand([20.0; PROXIES]);
    assert!(story.ask(0, &["drain", "s-3"]).status.success());
    story.until("known to all", |story| (0..PROXIES).all(|proxy| drained(story, proxy) == ["s-3"]));
    // 0 with 3 on one side; 1, 2 and 4, a majority, on the other.
    story.cut(&[0, 3], &[1, 2, 4], true);
    story.cut(&[1, 2, 4], &[0, 3], true);
    story.until("a leader beyond the cut", |story| leader(story, &[1, 2]).is_some());
    let (here, there) = std::thread::scope(|scope| {
        let here = scope.spawn(|| story.ask(3, &["undrain", "s-3"]));
        let there = scope.spawn(|| story.ask(4, &["drain", "s-0"]));
        (here.join().expect("ran"), there.join().expect("ran"))
    });
    assert!(there.status.success(), "{there:?}");
    assert_eq!(here.status.code(), Some(1), "{here:?}");
    assert!(String::from_utf8_lossy(&here.stderr).contains("no majority"), "{here:?}");
    assert_eq!(drained(&story, 0), ["s-3"], "what was decided holds");
    assert!(state(&story, 3)["age_ms"].as_f64() > Some(2_000.0), "it knows that it knows nothing new");
    let since = story.now();
    story.pass(500.0);
    assert!(came_to(&story, 0, since) + came_to(&story, 1, since) > 0, "calls go on");
    assert_eq!(came_to(&story, 3, since), 0);
    story.cut(&[0, 3], &[1, 2, 4], false);
    story.cut(&[1, 2, 4], &[0, 3], false);
    at_one(&story, &[0, 1, 2, 3, 4]);
}

#[test]
fn a_member_whose_disk_is_lost_is_let_in_anew_and_a_stopped_leader_wakes_deposed() {
    let mut story = story();
    assert!(story.ask(1, &["drain", "s-1"]).status.success());
    let lost = (0..3).find(|&proxy| Some(proxy) != leader(&story, &[0, 1, 2])).expect("follows");
    story.kill(lost);
    for file in ["council", "council.lock"] {
        fs::remove_file(story.path(&format!("p{lost}")).join(file)).expect("was there");
    }
    story.start(lost);
    story.until("barred", |story| state(story, lost)["role"] == "barred");
    let name = format!("p{lost}");
    let led = elected(&story, &[0, 1, 2]);
    story.until("its number heard", |story| {
        state(story, led)["voteless"]
            .as_array()
            .is_some_and(|all| all.iter().any(|of| of["name"] == name[..]))
    });
    story.until("out", |story| story.ask(led, &["council", "remove", &name]).status.success());
    story.until("in anew", |story| story.ask(led, &["council", "add", &name]).status.success());
    story.until("it votes", |story| state(story, lost)["role"] == "follows");

    let led = elected(&story, &[0, 1, 2]);
    story.signal(led, "-STOP");
    let rest: Vec<usize> = (0..3).filter(|&proxy| proxy != led).collect();
    story.until("another leader", |story| leader(story, &rest).is_some());
    assert!(story.ask(4, &["undrain", "s-1"]).status.success(), "the one let in anew votes");
    story.signal(led, "-CONT");
    story.until("it knows", |story| drained(story, led).is_empty());
    at_one(&story, &[0, 1, 2, 3, 4]);
}
