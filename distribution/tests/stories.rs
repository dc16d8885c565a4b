//! Stories of control machines and subscribers: the ordinary way, losses, deaths, cuts, and the hard cases.

mod world;

use distribution::Scope;
use rstest::rstest;
use world::{HEARTBEAT, IN_FORCE, World};

const SERVICE: Scope = Scope::Service(7);
const OTHER: Scope = Scope::Service(8);

/// Subscribers of a service and of everything, with some entries in force.
fn settled(machines: usize, proxies: usize, seed: u64) -> World {
    let mut world = World::new(machines, seed);
    world.set(SERVICE, "a", b"1");
    world.set(Scope::All, "b", b"2");
    for _ in 0..proxies {
        world.add_proxy(&[SERVICE, Scope::All]);
    }
    world.run_until_all_are_new(IN_FORCE);
    world
}

#[test]
fn a_change_is_in_force_everywhere_within_a_heartbeat_on_whole_links() {
    let mut world = settled(3, 30, 1);
    world.run(5.0 * HEARTBEAT);
    world.set(SERVICE, "a", b"3");
    let took = world.run_until_all_are_new(HEARTBEAT);
    println!("{took} ms");
    world.run(5.0 * HEARTBEAT);
    let ages: Vec<f64> = (0..30).map(|n| world.subscriber(n).age(SERVICE, world.now)).collect();
    assert!(ages.iter().all(|&age| age <= 2.0 * HEARTBEAT), "{ages:?}");
}

#[rstest]
fn a_change_is_in_force_everywhere_within_4_s_though_30_in_100_are_lost(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut world = settled(3, 100, seed);
    world.links.loss = 0.3;
    world.run(5.0 * HEARTBEAT);
    world.set(SERVICE, "a", b"3");
    let took = world.run_until_all_are_new(IN_FORCE);
    println!("{took} ms");
}

/// A change a key, in the time given.
fn burst(world: &mut World, changes: std::ops::Range<usize>, time: f64) {
    let pause = time / changes.len() as f64;
    for change in changes {
        world.set(SERVICE, &format!("k{}", change % 10), &[change as u8]);
        world.run(pause);
    }
}

fn ages(world: &World, scope: Scope) -> Vec<f64> {
    (0..world.proxies.len()).map(|n| world.subscriber(n).age(scope, world.now)).collect()
}

#[rstest]
fn a_leader_and_a_control_machine_die_in_the_middle_of_a_burst(
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = settled(3, 60, seed);
    world.links.loss = loss;
    burst(&mut world, 0..25, 500.0);
    world.kill_machine(0);
    world.leaderless = true;
    world.run(1500.0);
    world.leaderless = false;
    burst(&mut world, 25..50, 500.0);
    let took = world.run_until_all_are_new(IN_FORCE);
    println!("{took} ms after the last change, {loss} lost");
    let most = world.proxies.iter().map(|proxy| proxy.most_in_a_second).max();
    println!("{most:?} bytes in a second at the most");
    assert!(most <= Some(8_000), "{most:?}");
}

#[rstest]
fn a_subscriber_falls_back_to_a_snapshot_while_that_changes(
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = settled(1, 2, seed);
    for number in 0..300 {
        world.set(SERVICE, &format!("e{number}"), &[1; 60]);
    }
    world.run_until_all_are_new(10.0 * IN_FORCE);
    world.kill_proxy(0);
    // More removals than are remembered.
    for number in 0..400 {
        world.set(SERVICE, &format!("r{number}"), &[2; 20]);
        world.run(20.0);
    }
    for number in 0..400 {
        world.decide(&[(SERVICE, &format!("r{number}"), None)]);
        world.run(20.0);
    }
    world.run(HEARTBEAT);
    world.links.loss = loss;
    world.start_proxy(0);
    assert!(world.subscriber(0).index(SERVICE) > 0, "it goes on by what its disk holds");
    let mut snapshots = 0;
    for round in 0..60 {
        world.run(100.0);
        world.decide(&[(SERVICE, &format!("e{}", round * 5), None)]);
        world.set(SERVICE, &format!("n{round}"), &[3; 20]);
        snapshots = snapshots.max(world.control(0).status().snapshots);
    }
    assert_eq!(snapshots, 1, "one reads from the beginning, the other goes on");
    world.run_until_all_are_new(5.0 * IN_FORCE);
    assert_eq!(world.subscriber(0).content(SERVICE), world.subscriber(1).content(SERVICE));
}

#[rstest]
fn no_proxy_goes_back_a_version_between_two_control_machines_of_different_age(#[values(1, 2, 3)] seed: u64) {
    let mut world = settled(2, 40, seed);
    world.run(3.0 * HEARTBEAT);
    world.machines[1].stops_at = world.council.index();
    burst(&mut world, 0..10, 1000.0);
    world.run(HEARTBEAT);
    // Those of the older one have not heard, the others have.
    let before: Vec<u64> = (0..40).map(|n| world.subscriber(n).index(SERVICE)).collect();
    assert!(before.iter().any(|&index| index == world.council.index()), "{before:?}");
    assert!(before.iter().any(|&index| index < world.council.index()), "{before:?}");
    world.kill_machine(0);
    // World::check sees every version at every step.
    world.run(10.0 * HEARTBEAT);
    let after: Vec<u64> = (0..40).map(|n| world.subscriber(n).index(SERVICE)).collect();
    assert_eq!(after, before, "the older one has nothing for them");
    let aged = ages(&world, SERVICE).into_iter().zip(&after);
    let mut behind = aged.filter(|(_, index)| **index < world.council.index());
    assert!(behind.all(|(age, _)| age >= 10.0 * HEARTBEAT), "what is withheld shows as age");
    world.machines[1].stops_at = u64::MAX;
    world.run_until_all_are_new(IN_FORCE);
}

#[rstest]
fn a_scope_is_added_and_dropped_while_deltas_are_under_way(
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = settled(2, 10, seed);
    for number in 0..100 {
        world.set(OTHER, &format!("o{number}"), &[1; 60]);
    }
    world.links.loss = loss;
    world.links.duplication = 0.2;
    for round in 0..40 {
        world.set(SERVICE, &format!("k{round}"), &[round as u8; 100]);
        world.set(OTHER, &format!("o{round}"), &[round as u8; 60]);
        for number in 0..5 {
            if (round + number) % 3 == 0 {
                world.subscribe(number, OTHER);
            } else if (round + number) % 3 == 2 {
                world.unsubscribe(number, OTHER);
            }
        }
        world.run(130.0);
    }
    for number in 0..10 {
        world.subscribe(number, OTHER);
    }
    world.run_until_all_are_new(5.0 * IN_FORCE);
    world.unsubscribe(3, OTHER);
    world.links.heal();
    world.run(12.0 * HEARTBEAT);
    assert_eq!(world.subscriber(3).content(OTHER), None, "nothing of it is kept");
    let sessions = (0..2).map(|n| world.control(n).status().subscribers).sum::<usize>();
    assert_eq!(sessions, 10);
}

#[rstest]
fn a_control_machine_with_an_old_disk_gives_nothing_old(#[values(1, 2, 3)] seed: u64) {
    let mut world = settled(1, 20, seed);
    let old = world.council.index();
    burst(&mut world, 0..10, 1000.0);
    world.run_until_all_are_new(IN_FORCE);
    world.kill_machine(0);
    world.run(HEARTBEAT);
    world.start_machine_from(0, old);
    world.machines[0].stops_at = old + 3;
    world.run(5.0 * HEARTBEAT);
    let newest = world.council.index();
    assert!((0..20).all(|n| world.subscriber(n).index(SERVICE) == newest));
    assert!(world.control(0).status().counts.ahead > 0, "it sees that others know more");
    world.machines[0].stops_at = u64::MAX;
    world.set(SERVICE, "new", b"1");
    world.run_until_all_are_new(IN_FORCE);
}

#[rstest]
fn a_region_is_cut_off_while_a_change_commits_on_the_other_side(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(3, seed);
    (0..3).for_each(|_| world.add_machine(2));
    world.set(SERVICE, "a", b"1");
    for _ in 0..40 {
        world.add_proxy(&[SERVICE]);
    }
    for number in 20..40 {
        world.proxies[number].region = 2;
        world.start_proxy(number);
    }
    world.run_until_all_are_new(IN_FORCE);
    let cut: Vec<usize> = [4, 5, 6].into_iter().chain((20..40).map(|n| world::SUBSCRIBERS + n)).collect();
    let rest: Vec<usize> = (0..=3).chain((0..20).map(|n| world::SUBSCRIBERS + n)).collect();
    world.links.partition(&cut, &rest);
    let cut_at = world.now;
    world.run(2.0 * HEARTBEAT);
    for round in 0..50 {
        world.set(SERVICE, &format!("k{}", round % 20), &[round; 30]);
        world.run(20.0);
    }
    // The hour, shortened: some leases.
    world.run(60.0 * HEARTBEAT);
    let newest = world.council.index();
    assert!((0..20).all(|n| world.subscriber(n).index(SERVICE) == newest));
    assert!((20..40).all(|n| world.subscriber(n).index(SERVICE) == 1), "it goes on by its last state");
    let aged = &ages(&world, SERVICE)[20..];
    assert!(aged.iter().all(|&age| age >= world.now - cut_at - HEARTBEAT), "{aged:?}");
    // Restarts from the disk, without any control machine that knows more.
    world.kill_proxy(25);
    world.start_proxy(25);
    assert_eq!(world.subscriber(25).index(SERVICE), 1);
    assert_eq!(world.subscriber(25).age(SERVICE, world.now), f64::INFINITY);
    world.links.heal();
    let took = world.run_until_all_are_new(IN_FORCE);
    let most = world.proxies.iter().map(|proxy| proxy.most_in_a_second).max();
    println!("back together after {took} ms, {most:?} bytes in a second at the most");
    assert!(most <= Some(8_000), "{most:?}");
}

#[test]
fn a_scope_whose_service_is_removed_is_empty_everywhere_and_proved_so() {
    let mut world = settled(2, 10, 1);
    world.set(SERVICE, "c", b"3");
    world.run_until_all_are_new(IN_FORCE);
    world.kill_proxy(3);
    world.decide(&[(SERVICE, "a", None), (SERVICE, "c", None)]);
    world.run_until_all_are_new(IN_FORCE);
    world.start_proxy(3);
    let late = world.add_proxy(&[SERVICE]);
    let never = world.add_proxy(&[OTHER]);
    world.run_until_all_are_new(IN_FORCE);
    world.run(2.0 * HEARTBEAT);
    for number in [0, 3, late] {
        assert_eq!(world.subscriber(number).content(SERVICE).map(|content| content.len()), Some(0));
    }
    assert_eq!(world.subscriber(never).content(OTHER).map(|content| content.len()), Some(0));
    let age = world.subscriber(never).age(OTHER, world.now);
    assert!(age <= 2.0 * HEARTBEAT, "that there is nothing is known to be new: {age}");
    world.set(SERVICE, "back", b"4");
    world.run_until_all_are_new(IN_FORCE);
}

#[rstest]
fn councils_that_were_elected_meanwhile_are_followed_from_the_founders_on(#[values(0.0, 0.3)] loss: f64) {
    let mut world = settled(2, 10, 1);
    world.kill_proxy(0);
    world.links.loss = loss;
    for round in 0..4 {
        world.council.elect(world.now);
        world.set(SERVICE, "a", &[round]);
        world.run(2.0 * HEARTBEAT);
    }
    world.run_until_all_are_new(IN_FORCE);
    world.start_proxy(0);
    let fresh = world.add_proxy(&[SERVICE]);
    world.run_until_all_are_new(3.0 * IN_FORCE);
    world.run(2.0 * HEARTBEAT);
    let version = world.subscriber(1).status(world.now).council_since;
    assert!(version > 0);
    for number in [0, fresh] {
        assert_eq!(world.subscriber(number).status(world.now).council_since, version);
        world.kill_proxy(number);
        world.start_proxy(number);
        let standing = world.subscriber(number).status(world.now);
        assert_eq!((standing.council_since, standing.scopes[&SERVICE].0), (version, world.council.index()));
    }
}

#[test]
fn a_damaged_or_older_disk_only_starts_older() {
    let mut world = settled(1, 1, 1);
    let older = world.proxies[0].disk.clone();
    world.set(SERVICE, "a", b"9");
    world.run_until_all_are_new(IN_FORCE);
    let newest = world.proxies[0].disk.clone();
    world.kill_machine(0);
    world.kill_proxy(0);
    world.proxies[0].disk = older;
    world.start_proxy(0);
    assert!((1..world.council.index()).contains(&world.subscriber(0).index(SERVICE)));
    for at in 0..newest.len() {
        world.proxies[0].disk = newest.clone();
        world.proxies[0].disk[at] ^= 0x10;
        world.start_proxy(0);
        for scope in [SERVICE, Scope::All] {
            let (subscriber, council) = (world.subscriber(0), &world.council);
            let index = subscriber.index(scope);
            let content = subscriber.content(scope).map(|content| content.digest());
            assert!(index == 0 || content == Some(council.state(index).summary(scope).digest), "byte {at}");
        }
        world.proxies[0].disk = newest[..at].to_vec();
        world.start_proxy(0);
        assert_eq!(world.subscriber(0).index(SERVICE), 0, "cut at {at}");
    }
}

#[test]
fn a_control_machine_that_is_back_gets_its_subscribers_back_at_a_pace() {
    let mut world = settled(3, 150, 1);
    let served = |world: &World, n: usize| {
        let control = world::control_id(n);
        let at = |&p: &usize| world.subscriber(p).status(world.now).control.0 == control;
        (0..150).filter(at).count()
    };
    let before: Vec<usize> = (0..3).map(|n| served(&world, n)).collect();
    assert!(before.iter().all(|&n| n >= 30), "spread over all: {before:?}");
    world.kill_machine(0);
    world.run(4.0 * HEARTBEAT);
    let shared: Vec<usize> = (0..3).map(|n| served(&world, n)).collect();
    assert!(shared[0] == 0 && shared[1] > before[1] && shared[2] > before[2], "{before:?} {shared:?}");
    world.start_machine(0);
    let mut most = 0;
    for _ in 0..60 {
        let then = served(&world, 0);
        world.run(HEARTBEAT);
        most = most.max(served(&world, 0) - then);
    }
    assert_eq!((0..3).map(|n| served(&world, n)).collect::<Vec<_>>(), before, "rendezvous hashing");
    println!("{most} of {} in a heartbeat at the most", before[0]);
    assert!(most * 5 <= before[0], "{most}");
}
