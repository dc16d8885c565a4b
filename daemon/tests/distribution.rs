//! Distribution: three control machines, which decide, and two subscribers, which hold the scopes that they
//! use, while control machines are killed or given an old state file, links lose packets and a region is
//! cut off. Whether drains hold is checked at the central servers.

mod cluster;

use std::fs;

use cluster::{Cluster, KeyFiles, PROXIES};
use serde_json::Value;

/// The first proxies are control machines: the first in one region, the others in another.
const CONTROLS: usize = 3;
const SUBSCRIBERS: [usize; 2] = [3, 4];
const REGION: [u16; PROXIES] = [0, 1, 1, 0, 1];
const HEARTBEAT: &str = "heartbeat = \"500 ms\"\n";
/// How long set-ups sent before a drain took effect may still arrive, in milliseconds.
const IN_FLIGHT_MS: f64 = 300.0;

fn tables(files: &KeyFiles, proxy: usize) -> String {
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
        let (address, region) = (files.switch_address(*control), REGION[*control]);
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

/// Starts a cluster and waits until the subscribers know the age of their scopes.
fn start_cluster() -> Cluster {
    let cluster = Cluster::with_tables(4, tables);
    cluster.wait_until("subscribers with an age", |cluster| {
        SUBSCRIBERS.iter().all(|&proxy| is_fresh(cluster, proxy))
    });
    cluster
}

fn distribution(cluster: &Cluster, proxy: usize) -> Value {
    cluster.query(proxy, &["distribution"])
}

fn is_fresh(cluster: &Cluster, proxy: usize) -> bool {
    let scopes = distribution(cluster, proxy)["scopes"].as_array().cloned().expect("scopes");
    scopes.iter().all(|scope| scope["age_ms"].as_f64().is_some_and(|age| age < 5_000.0))
}

fn version(cluster: &Cluster, proxy: usize) -> u64 {
    let scopes = distribution(cluster, proxy)["scopes"].as_array().cloned().expect("scopes");
    let service = scopes.iter().find(|scope| scope["scope"] == "service 0").expect("subscribed");
    service["version"].as_u64().expect("a number")
}

/// Which control machine a subscriber uses.
fn control(cluster: &Cluster, proxy: usize) -> usize {
    let name = distribution(cluster, proxy)["control"].as_str().expect("a name").to_owned();
    name[1..].parse().expect("a number")
}

/// The servers that a subscriber drains by what it holds.
fn drained(cluster: &Cluster, proxy: usize) -> Vec<String> {
    let drains = distribution(cluster, proxy)["drains"].as_array().cloned().expect("drains");
    drains.iter().map(|drain| drain["server"].as_str().expect("a name").to_owned()).collect()
}

/// Runs a command at a control machine until it succeeds.
fn wait_for_decision(cluster: &Cluster, arguments: &[&str]) {
    let control = (0..CONTROLS).find(|&proxy| cluster.proxies[proxy].is_some()).expect("runs");
    cluster.wait_until(&arguments.join(" "), |cluster| cluster.command(control, arguments).status.success());
}

/// Waits until exactly these servers are drained at some proxies.
fn wait_for_drains(cluster: &Cluster, among: &[usize], drains: &[&str]) {
    let since = cluster.now();
    cluster.wait_until(&format!("{drains:?} at {among:?}"), |cluster| {
        among.iter().all(|&proxy| drained(cluster, proxy) == drains)
    });
    eprintln!("{drains:?} in force at {among:?} after {:.0} ms", cluster.now() - since);
}

fn set_ups_at(cluster: &Cluster, server: usize, since: f64) -> usize {
    cluster.set_ups.lock().expect("whole").iter().filter(|(at, _, to)| *to == server && *at >= since).count()
}

/// Asserts that from now on the drained server gets no set-up while the others do.
fn assert_no_set_ups_at(cluster: &Cluster, server: usize) {
    cluster.sleep(IN_FLIGHT_MS);
    let since = cluster.now();
    cluster.wait_until("calls at another server", |cluster| {
        (0..4).filter(|&other| other != server).map(|other| set_ups_at(cluster, other, since)).sum::<usize>()
            > 20
    });
    assert_eq!(set_ups_at(cluster, server, since), 0, "set-ups at a drained server");
}

/// Calls per second at all proxies, or at subscribers only.
const AT_ALL: [f64; PROXIES] = [30.0; PROXIES];
const AT_SUBSCRIBERS: [f64; PROXIES] = [0.0, 0.0, 0.0, 40.0, 40.0];

#[test]
fn a_decided_drain_holds_at_all_subscribers_until_undrained() {
    let cluster = start_cluster();
    cluster.set_demand(AT_ALL);
    cluster.wait_until("calls at the first server", |cluster| set_ups_at(cluster, 0, 0.0) > 20);
    wait_for_decision(&cluster, &["drain", "s-0", "--why", "disk"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0"]);
    assert_no_set_ups_at(&cluster, 0);
    let row = &distribution(&cluster, 3)["drains"][0];
    assert_eq!((&row["by"], &row["why"]), (&"p0".into(), &"disk".into()), "{row}");
    // The control machines that serve the subscribers report who has the change.
    cluster.wait_until("acknowledged", |cluster| {
        let have = |proxy: usize| -> u64 {
            let changes = cluster.query(proxy, &["changes"]);
            let newest = changes.as_array().expect("rows").iter().find(|row| row["key"] == "drain/s-0");
            newest.map_or(0, |row| row["have"].as_u64().expect("a number"))
        };
        (0..CONTROLS).map(have).sum::<u64>() >= 2
    });
    // A subscriber refuses commands and names the control machines.
    let refused = cluster.command(4, &["drain", "s-1"]);
    assert!(!refused.status.success(), "{refused:?}");
    let error = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(["p0", "p1", "p2"].iter().all(|name| error.contains(name)), "{error}");
    wait_for_decision(&cluster, &["undrain", "s-0"]);
    let since = cluster.now();
    wait_for_drains(&cluster, &SUBSCRIBERS, &[]);
    cluster.wait_until("used again", |cluster| set_ups_at(cluster, 0, since) > 20);
}

#[test]
fn subscribers_of_a_killed_control_machine_switch_and_apply_the_next_drain() {
    let mut cluster = start_cluster();
    cluster.set_demand(AT_SUBSCRIBERS);
    wait_for_decision(&cluster, &["drain", "s-0"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0"]);
    let killed = control(&cluster, 3);
    cluster.kill(killed);
    assert_no_set_ups_at(&cluster, 0);
    wait_for_decision(&cluster, &["drain", "s-1"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0", "s-1"]);
    assert_no_set_ups_at(&cluster, 0);
    assert_no_set_ups_at(&cluster, 1);
    assert!(SUBSCRIBERS.iter().all(|&proxy| control(&cluster, proxy) != killed));
    assert!(distribution(&cluster, 3)["counts"]["switched"].as_u64() >= Some(1));
}

#[test]
fn a_subscriber_restarted_without_control_machines_keeps_the_drain() {
    let mut cluster = start_cluster();
    wait_for_decision(&cluster, &["drain", "s-0"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0"]);
    // A subscriber's file is written at most once per second.
    cluster.sleep(1_500.0);
    (0..CONTROLS).for_each(|proxy| cluster.kill(proxy));
    let before = cluster.now();
    SUBSCRIBERS.iter().for_each(|&proxy| cluster.kill(proxy));
    SUBSCRIBERS.iter().for_each(|&proxy| cluster.start(proxy));
    cluster.set_demand(AT_SUBSCRIBERS);
    assert_no_set_ups_at(&cluster, 0);
    assert_eq!(set_ups_at(&cluster, 0, before), 0, "no set-up since the restart");
    assert_eq!(drained(&cluster, 3), ["s-0"]);
    assert!(distribution(&cluster, 3)["scopes"][0]["age_ms"].is_null(), "the age is unknown");
    (0..CONTROLS).for_each(|proxy| cluster.start(proxy));
    wait_for_decision(&cluster, &["undrain", "s-0"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &[]);
}

#[test]
fn a_cut_off_region_continues_and_catches_up_after_the_cut() {
    let cluster = start_cluster();
    cluster.set_demand(AT_SUBSCRIBERS);
    wait_for_decision(&cluster, &["drain", "s-0"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0"]);
    let (here, there) = ([0, 3], [1, 2, 4]);
    cluster.set_cut(&here, &there, true);
    cluster.set_cut(&there, &here, true);
    // The other side of the cut has a majority.
    cluster.wait_until("decided beyond the cut", |cluster| {
        cluster.command(1, &["drain", "s-1"]).status.success()
    });
    wait_for_drains(&cluster, &[4], &["s-0", "s-1"]);
    cluster.wait_until("the age of its scopes", |cluster| {
        let scopes = distribution(cluster, 3)["scopes"].as_array().cloned().expect("scopes");
        scopes.iter().all(|scope| scope["age_ms"].as_f64() > Some(3_000.0))
    });
    assert_eq!(drained(&cluster, 3), ["s-0"], "what was decided before holds");
    assert_no_set_ups_at(&cluster, 0);
    cluster.set_cut(&here, &there, false);
    cluster.set_cut(&there, &here, false);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0", "s-1"]);
    assert_no_set_ups_at(&cluster, 1);
    cluster.wait_until("fresh again", |cluster| SUBSCRIBERS.iter().all(|&proxy| is_fresh(cluster, proxy)));
}

#[test]
fn a_drain_takes_effect_with_three_in_ten_packets_lost() {
    let cluster = start_cluster();
    cluster.set_demand(AT_SUBSCRIBERS);
    cluster.switch.loss_percent.store(30, std::sync::atomic::Ordering::Relaxed);
    wait_for_decision(&cluster, &["drain", "s-0"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0"]);
    assert_no_set_ups_at(&cluster, 0);
    wait_for_decision(&cluster, &["drain", "s-1"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0", "s-1"]);
    assert_no_set_ups_at(&cluster, 1);
    wait_for_decision(&cluster, &["undrain", "s-0"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-1"]);
}

#[test]
fn a_control_machine_with_an_old_state_file_does_not_revert_subscribers() {
    let mut cluster = start_cluster();
    let older = control(&cluster, 3);
    let file = cluster.path(&format!("p{older}")).join("council");
    cluster.kill(older);
    let copy = fs::read(&file).expect("its file");
    cluster.start(older);
    wait_for_decision(&cluster, &["drain", "s-0"]);
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0"]);
    cluster.set_demand(AT_SUBSCRIBERS);
    assert_no_set_ups_at(&cluster, 0);
    let before = SUBSCRIBERS.map(|proxy| version(&cluster, proxy));
    let since = cluster.now();
    cluster.kill(older);
    fs::write(&file, copy).expect("written");
    cluster.start(older);
    // Cut off from the others, it serves its old state.
    let others: Vec<usize> = (0..CONTROLS).filter(|&proxy| proxy != older).collect();
    cluster.set_cut(&[older], &others, true);
    cluster.set_cut(&others, &[older], true);
    for _ in 0..10 {
        cluster.sleep(200.0);
        for (&proxy, before) in SUBSCRIBERS.iter().zip(before) {
            assert_eq!(drained(&cluster, proxy), ["s-0"]);
            assert!(version(&cluster, proxy) >= before, "the version went back");
        }
    }
    assert_eq!(set_ups_at(&cluster, 0, since), 0, "set-ups at a drained server");
    cluster.set_cut(&[older], &others, false);
    cluster.set_cut(&others, &[older], false);
    let decider = others[0];
    cluster.wait_until("decided", |cluster| cluster.command(decider, &["drain", "s-1"]).status.success());
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0", "s-1"]);
}

#[test]
fn a_leader_killed_during_a_burst_leaves_all_at_the_newest_version() {
    let mut cluster = start_cluster();
    cluster.set_demand(AT_SUBSCRIBERS);
    let find_leader = |cluster: &Cluster| {
        (0..CONTROLS).find(|&proxy| cluster.query(proxy, &["council", "state"])["role"] == "leads")
    };
    let leader = find_leader(&cluster).expect("leads");
    let other = (leader + 1) % CONTROLS;
    for turn in 0..8 {
        if turn == 4 {
            cluster.kill(leader);
        }
        for arguments in [["drain", "s-0"], ["drain", "s-1"], ["undrain", "s-0"], ["undrain", "s-1"]] {
            if turn == 4 {
                // At first there is no leader.
                cluster.wait_until(&arguments.join(" "), |cluster| {
                    cluster.command(other, &arguments).status.success()
                });
            } else {
                cluster.command(other, &arguments);
            }
        }
    }
    cluster.wait_until("the last", |cluster| cluster.command(other, &["drain", "s-0"]).status.success());
    wait_for_drains(&cluster, &SUBSCRIBERS, &["s-0"]);
    assert_no_set_ups_at(&cluster, 0);
    let newest = cluster.query(other, &["council", "state"])["applied"].as_u64().expect("a number");
    cluster.wait_until("acknowledged up to the newest", |cluster| {
        SUBSCRIBERS.iter().all(|&proxy| version(cluster, proxy) >= newest)
    });
    cluster.start(leader);
    cluster.wait_until("the former leader is up to date", |cluster| {
        cluster.query(leader, &["council", "state"])["applied"].as_u64() >= Some(newest)
    });
}
