//! Three control machines, which decide, and two subscribers, which hold what they use: processes of the
//! program, while control machines are killed and get an older disk, links lose and a region is cut off. What
//! is drained is judged at the central servers' sockets.

mod world;

use std::fs;

use serde_json::Value;
use world::{Files, PROXIES, Story};

/// The first of the proxies are control machines: the first in one region, the others in another.
const CONTROLS: usize = 3;
const SUBSCRIBERS: [usize; 2] = [3, 4];
const REGION: [u16; PROXIES] = [0, 1, 1, 0, 1];
const HEARTBEAT: &str = "heartbeat = \"500 ms\"\n";
/// What was on its way when a drain came in force may still come.
const UNDER_WAY: f64 = 300.0;

fn tables(files: &Files, proxy: usize) -> String {
    let controls: Vec<usize> = (0..CONTROLS).collect();
    if proxy < CONTROLS {
        let subscribers = files.roster("subscribers.toml", &SUBSCRIBERS);
        return format!(
            "{}\n[council]\nmembers = [\"p0\", \"p1\", \"p2\"]\nbeat = \"50 ms\"\nlease = \"2 s\"\n\n\
             [outs]\npool_part = 0.5\n\n\
             [distribution]\nrole = \"control\"\n{HEARTBEAT}subscribers = \"{subscribers}\"\n\n",
            files.gossip(proxy, CONTROLS),
        );
    }
    let roster = files.roster(&format!("heard{proxy}.toml"), &[&controls[..], &[proxy]].concat());
    let control = |control: &usize| {
        let (address, region) = (files.front(*control), REGION[*control]);
        format!(
            "[[distribution.control]]\nname = \"p{control}\"\naddress = \"{address}\"\nregion = {region}\n"
        )
    };
    format!(
        "[distribution]\nrole = \"subscriber\"\n{HEARTBEAT}listen = \"127.0.0.1:0\"\n{}region = {}\n\
         founders = [\"p0\", \"p1\", \"p2\"]\nscopes = [\"all\", \"service 0\"]\n{}\n",
        files.keys(proxy, &roster),
        REGION[proxy],
        controls.iter().map(control).collect::<String>(),
    )
}

/// All run, and the subscribers know how old what they hold is.
fn story() -> Story {
    let story = Story::with(4, tables);
    story.until("subscribers with an age", |story| SUBSCRIBERS.iter().all(|&proxy| is_fresh(story, proxy)));
    story
}

fn distribution(story: &Story, proxy: usize) -> Value {
    story.told(proxy, &["distribution"])
}

fn is_fresh(story: &Story, proxy: usize) -> bool {
    let scopes = distribution(story, proxy)["scopes"].as_array().cloned().expect("scopes");
    scopes.iter().all(|scope| scope["age_ms"].as_f64().is_some_and(|age| age < 5_000.0))
}

fn version(story: &Story, proxy: usize) -> u64 {
    let scopes = distribution(story, proxy)["scopes"].as_array().cloned().expect("scopes");
    let service = scopes.iter().find(|scope| scope["scope"] == "service 0").expect("subscribed");
    service["version"].as_u64().expect("a number")
}

/// Which control machine a subscriber uses.
fn control(story: &Story, proxy: usize) -> usize {
    let name = distribution(story, proxy)["control"].as_str().expect("a name").to_owned();
    name[1..].parse().expect("a number")
}

/// The servers that a subscriber drains by what it holds.
fn drained(story: &Story, proxy: usize) -> Vec<String> {
    let drains = distribution(story, proxy)["drains"].as_array().cloned().expect("drains");
    drains.iter().map(|drain| drain["server"].as_str().expect("a name").to_owned()).collect()
}

fn decides(story: &Story, words: &[&str]) {
    let control = (0..CONTROLS).find(|&proxy| story.proxies[proxy].is_some()).expect("runs");
    story.until(&words.join(" "), |story| story.ask(control, words).status.success());
}

fn obeyed(story: &Story, among: &[usize], drains: &[&str]) {
    let since = story.now();
    story.until(&format!("{drains:?} at {among:?}"), |story| {
        among.iter().all(|&proxy| drained(story, proxy) == drains)
    });
    eprintln!("{drains:?} in force at {among:?} after {:.0} ms", story.now() - since);
}

fn came_to(story: &Story, server: usize, since: f64) -> usize {
    story.came.lock().expect("whole").iter().filter(|(at, _, to)| *to == server && *at >= since).count()
}

/// What is seen at the sockets from now on: nothing comes to the drained server, and the others have it.
fn nothing_comes_to(story: &Story, server: usize) {
    story.pass(UNDER_WAY);
    let since = story.now();
    story.until("calls at another server", |story| {
        (0..4).filter(|&other| other != server).map(|other| came_to(story, other, since)).sum::<usize>() > 20
    });
    assert_eq!(came_to(story, server, since), 0, "set-ups at a drained server");
}

/// Calls at all proxies that run, or at subscribers alone.
const AT_ALL: [f64; PROXIES] = [30.0; PROXIES];
const AT_SUBSCRIBERS: [f64; PROXIES] = [0.0, 0.0, 0.0, 40.0, 40.0];

#[test]
fn a_drain_that_is_decided_is_obeyed_by_all_and_taken_back() {
    let story = story();
    story.demand(AT_ALL);
    story.until("calls at the first server", |story| came_to(story, 0, 0.0) > 20);
    decides(&story, &["drain", "s-0", "--why", "disk"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0"]);
    nothing_comes_to(&story, 0);
    let row = &distribution(&story, 3)["drains"][0];
    assert_eq!((&row["by"], &row["why"]), (&"p0".into(), &"disk".into()), "{row}");
    // The control machines that serve them say who has it.
    story.until("acknowledged", |story| {
        let have = |proxy: usize| -> u64 {
            let changes = story.told(proxy, &["changes"]);
            let newest = changes.as_array().expect("rows").iter().find(|row| row["key"] == "drain/s-0");
            newest.map_or(0, |row| row["have"].as_u64().expect("a number"))
        };
        (0..CONTROLS).map(have).sum::<u64>() >= 2
    });
    // A subscriber decides nothing, and says who does.
    let refused = story.ask(4, &["drain", "s-1"]);
    assert!(!refused.status.success(), "{refused:?}");
    let told = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(["p0", "p1", "p2"].iter().all(|name| told.contains(name)), "{told}");
    decides(&story, &["undrain", "s-0"]);
    let since = story.now();
    obeyed(&story, &SUBSCRIBERS, &[]);
    story.until("used again", |story| came_to(story, 0, since) > 20);
}

#[test]
fn subscribers_of_a_control_machine_that_is_killed_go_on_and_obey_the_next_drain() {
    let mut story = story();
    story.demand(AT_SUBSCRIBERS);
    decides(&story, &["drain", "s-0"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0"]);
    let killed = control(&story, 3);
    story.kill(killed);
    nothing_comes_to(&story, 0);
    decides(&story, &["drain", "s-1"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0", "s-1"]);
    nothing_comes_to(&story, 0);
    nothing_comes_to(&story, 1);
    assert!(SUBSCRIBERS.iter().all(|&proxy| control(&story, proxy) != killed));
    assert!(distribution(&story, 3)["counts"]["switched"].as_u64() >= Some(1));
}

#[test]
fn a_subscriber_started_again_without_any_control_machine_still_keeps_the_drain() {
    let mut story = story();
    decides(&story, &["drain", "s-0"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0"]);
    // Its file is written once in a second.
    story.pass(1_500.0);
    (0..CONTROLS).for_each(|proxy| story.kill(proxy));
    let before = story.now();
    SUBSCRIBERS.iter().for_each(|&proxy| story.kill(proxy));
    SUBSCRIBERS.iter().for_each(|&proxy| story.start(proxy));
    story.demand(AT_SUBSCRIBERS);
    nothing_comes_to(&story, 0);
    assert_eq!(came_to(&story, 0, before), 0, "not one from the start on");
    assert_eq!(drained(&story, 3), ["s-0"]);
    assert!(distribution(&story, 3)["scopes"][0]["age_ms"].is_null(), "how old it is nobody has said");
    (0..CONTROLS).for_each(|proxy| story.start(proxy));
    decides(&story, &["undrain", "s-0"]);
    obeyed(&story, &SUBSCRIBERS, &[]);
}

#[test]
fn a_region_that_is_cut_off_goes_on_and_is_up_to_date_after_the_cut() {
    let story = story();
    story.demand(AT_SUBSCRIBERS);
    decides(&story, &["drain", "s-0"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0"]);
    let (here, there) = ([0, 3], [1, 2, 4]);
    story.cut(&here, &there, true);
    story.cut(&there, &here, true);
    // Beyond the cut is a majority.
    story.until("decided beyond the cut", |story| story.ask(1, &["drain", "s-1"]).status.success());
    obeyed(&story, &[4], &["s-0", "s-1"]);
    story.until("it knows how old it is", |story| {
        let scopes = distribution(story, 3)["scopes"].as_array().cloned().expect("scopes");
        scopes.iter().all(|scope| scope["age_ms"].as_f64() > Some(3_000.0))
    });
    assert_eq!(drained(&story, 3), ["s-0"], "what was decided before holds");
    nothing_comes_to(&story, 0);
    story.cut(&here, &there, false);
    story.cut(&there, &here, false);
    obeyed(&story, &SUBSCRIBERS, &["s-0", "s-1"]);
    nothing_comes_to(&story, 1);
    story.until("fresh again", |story| SUBSCRIBERS.iter().all(|&proxy| is_fresh(story, proxy)));
}

#[test]
fn with_three_in_ten_packets_lost_a_drain_is_obeyed_all_the_same() {
    let story = story();
    story.demand(AT_SUBSCRIBERS);
    story.switch.loses.store(30, std::sync::atomic::Ordering::Relaxed);
    decides(&story, &["drain", "s-0"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0"]);
    nothing_comes_to(&story, 0);
    decides(&story, &["drain", "s-1"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0", "s-1"]);
    nothing_comes_to(&story, 1);
    decides(&story, &["undrain", "s-0"]);
    obeyed(&story, &SUBSCRIBERS, &["s-1"]);
}

#[test]
fn a_control_machine_with_an_older_copy_of_its_state_takes_nobody_back() {
    let mut story = story();
    let older = control(&story, 3);
    let file = story.path(&format!("p{older}")).join("council");
    story.kill(older);
    let copy = fs::read(&file).expect("its file");
    story.start(older);
    decides(&story, &["drain", "s-0"]);
    obeyed(&story, &SUBSCRIBERS, &["s-0"]);
    story.demand(AT_SUBSCRIBERS);
    nothing_comes_to(&story, 0);
    let before = SUBSCRIBERS.map(|proxy| version(&story, proxy));
    let since = story.now();
    story.kill(older);
    fs::write(&file, copy).expect("written");
    story.start(older);
    // Cut off from the others, it serves what it has.
    let others: Vec<usize> = (0..CONTROLS).filter(|&proxy| proxy != older).collect();
    story.cut(&[older], &others, true);
    story.cut(&others, &[older], true);
    for _ in 0..10 {
        story.pass(200.0);
        for (&proxy, before) in SUBSCRIBERS.iter().zip(before) {
            assert_eq!(drained(&story, proxy), ["s-0"]);
            assert!(version(&story, proxy) >= before, "back a version");
        }
    }
    assert_eq!(came_to(&story, 0, since), 0, "set-ups at a drained server");
    story.cut(&[older], &others, false);
    story.cut(&others, &[older], false);
    let decider = others[0];
    story.until("decided", |story| story.ask(decider, &["drain", "s-1"]).status.success());
    obeyed(&story, &SUBSCRIBERS, &["s-0", "s-1"]);
}

#[test]
fn a_leader_that_dies_in_the_middle_of_a_burst_leaves_all_at_the_newest() {
    let mut story = story();
    story.demand(AT_SUBSCRIBERS);
    let leads = |story: &Story| {
        (0..CONTROLS).find(|&proxy| story.told(proxy, &["council", "state"])["role"] == "leads")
    };
    let leader = leads(&story).expect("leads");
    let other = (leader + 1) % CONTROLS;
    for turn in 0..8 {
        if turn == 4 {
            story.kill(leader);
        }
        for words in [["drain", "s-0"], ["drain", "s-1"], ["undrain", "s-0"], ["undrain", "s-1"]] {
            if turn == 4 {
                // Nobody leads at first.
                story.until(&words.join(" "), |story| story.ask(other, &words).status.success());
            } else {
                story.ask(other, &words);
            }
        }
    }
    story.until("the last", |story| story.ask(other, &["drain", "s-0"]).status.success());
    obeyed(&story, &SUBSCRIBERS, &["s-0"]);
    nothing_comes_to(&story, 0);
    let newest = story.told(other, &["council", "state"])["applied"].as_u64().expect("a number");
    story.until("acknowledged up to the newest", |story| {
        SUBSCRIBERS.iter().all(|&proxy| version(story, proxy) >= newest)
    });
    story.start(leader);
    story.until("the former leader has it", |story| {
        story.told(leader, &["council", "state"])["applied"].as_u64() >= Some(newest)
    });
}
