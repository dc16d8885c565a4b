//! Many subscribers at once: admission, budgets, and a control machine that is full.

mod world;

use distribution::Scope;
use rstest::rstest;
use world::{HEARTBEAT, IN_FORCE, World};

/// A zone's services, of 25 subscribers each.
fn service(number: usize) -> Scope {
    Scope::Service((number / 25) as u32)
}

/// One control machine with a zone's subscribers, none of which has started; each service has some entries.
fn zone(subscribers: usize) -> World {
    let mut world = World::new(1, 1);
    let services: Vec<Scope> = (0..subscribers).step_by(25).map(service).collect();
    for entry in 0..10 {
        let key = format!("drain/server{entry}");
        let changes: Vec<_> = services.iter().map(|&scope| (scope, &key[..], Some(&[7u8; 60][..]))).collect();
        world.decide(&changes);
    }
    world.set(Scope::All, "limit", &[1; 20]);
    world.start_machine(0);
    for number in 0..subscribers {
        world.add_proxy(&[Scope::All, Scope::Region(1), Scope::Zone(3), service(number)]);
        world.kill_proxy(number);
    }
    world
}

fn assert_bounds(world: &World) {
    let machine = &world.machines[0];
    let most = world.proxies.iter().map(|proxy| proxy.most_in_a_second).max().unwrap_or(0);
    println!(
        "at a subscriber {most} bytes in a second at the most, at the control machine {}, {} snapshots",
        machine.most_in_a_second, machine.most_snapshots
    );
    assert!(most <= 8_000, "{most}");
    assert!(machine.most_in_a_second as f64 <= world.terms.bytes_per_second, "{}", machine.most_in_a_second);
    assert!(machine.most_snapshots <= world.terms.snapshots_at_once, "{}", machine.most_snapshots);
}

#[rstest]
#[case::with_empty_disks(false, 30.0)]
#[case::with_their_disks(true, 4.0)]
fn a_zone_of_2100_subscribers_is_back_at_once_and_a_control_machine_keeps_to_its_bounds(
    #[case] disks: bool,
    #[case] heartbeats: f64,
) {
    let mut world = zone(2100);
    if disks {
        (0..2100).for_each(|number| world.start_proxy(number));
        world.run_until_all_are_new(60.0 * HEARTBEAT);
        (0..2100).for_each(|number| world.kill_proxy(number));
        world.set(Scope::All, "limit", &[2; 20]);
        world.run(12.0 * HEARTBEAT);
        assert_eq!(world.control(0).status().subscribers, 0, "those that are gone are forgotten");
    }
    let before = world.control(0).status().counts;
    (0..2100).for_each(|number| world.start_proxy(number));
    let took = world.run_until_all_are_new(heartbeats * HEARTBEAT);
    let standing = world.control(0).status();
    let sent = standing.counts.sent_bytes - before.sent_bytes;
    let deferred = standing.counts.deferred - before.deferred;
    println!("{took} ms, {sent} bytes sent, {deferred} told to come later");
    assert_bounds(&world);
    assert_eq!(standing.subscribers, 2100);
    assert_eq!(deferred > 0, !disks, "snapshots are admitted, what is on disks needs none");
}

#[test]
fn a_change_for_all_2750_subscribers_of_a_control_machine_is_in_force_within_4_s() {
    let mut world = zone(2750);
    (0..2750).for_each(|number| world.start_proxy(number));
    world.run_until_all_are_new(60.0 * HEARTBEAT);
    world.links.loss = 0.3;
    world.run(2.0 * HEARTBEAT);
    world.set(Scope::All, "limit", &[2; 20]);
    let took = world.run_until_all_are_new(IN_FORCE);
    println!("{took} ms, 30 in 100 lost");
    assert_bounds(&world);
}

#[test]
fn a_full_control_machine_tells_the_rest_to_come_later_and_they_find_another() {
    let mut world = World::new(2, 1);
    world.set(Scope::All, "limit", &[1; 20]);
    world.terms.max_subscribers = 15;
    (0..2).for_each(|number| world.start_machine(number));
    for _ in 0..28 {
        world.add_proxy(&[Scope::All]);
    }
    world.run_until_all_are_new(60.0 * HEARTBEAT);
    let statuses = [world.control(0).status(), world.control(1).status()];
    assert!(statuses.iter().all(|standing| standing.subscribers <= 15));
}

#[test]
fn a_slow_reader_of_much_does_not_slow_the_others() {
    let mut world = World::new(1, 1);
    world.set(Scope::All, "limit", &[1; 20]);
    for number in 0..400 {
        world.set(Scope::Service(1), &format!("e{number}"), &[1; 100]);
    }
    for _ in 0..10 {
        world.add_proxy(&[Scope::All]);
    }
    world.run_until_all_are_new(IN_FORCE);
    for _ in 0..10 {
        world.add_proxy(&[Scope::All, Scope::Service(1)]);
    }
    world.run(2.0 * HEARTBEAT);
    for round in 0..5 {
        world.set(Scope::All, "limit", &[round; 20]);
        world.run(HEARTBEAT);
        let newest = world.council.version_of(Scope::All);
        let slow = (0..20).filter(|&number| world.subscriber(number).index(Scope::All) < newest).count();
        assert_eq!(slow, 0, "round {round}");
        assert_eq!(world.subscriber(15).index(Scope::Service(1)), 0, "still reading");
    }
    world.run_until_all_are_new(30.0 * HEARTBEAT);
    assert_bounds(&world);
}
