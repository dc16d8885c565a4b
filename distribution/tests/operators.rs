//! What operators are shown of changes: what subscribers say, and no more.

mod world;

use distribution::control::Control;
use distribution::wire::{self, Message, Poll, Position};
use distribution::{Scope, Version};
use world::{HEARTBEAT, IN_FORCE, SUBSCRIBERS, World, subscriber_id};

const SERVICE: Scope = Scope::Service(7);

fn poll(in_force: Version) -> Vec<u8> {
    let position = Position { in_force, transfer: None };
    let poll = Poll { nonce: 5, council_since: 0, scopes: vec![(SERVICE, position)] };
    wire::encode(&[Message::Poll(poll)]).remove(0)
}

fn settled(proxies: usize) -> World {
    let mut world = World::new(1, 1);
    world.set(SERVICE, "a", b"1");
    for _ in 0..proxies {
        world.add_proxy(&[SERVICE]);
    }
    world.run_until_all_are_new(IN_FORCE);
    world
}

#[test]
fn an_operator_sees_who_lacks_a_change_and_since_when() {
    let mut world = settled(10);
    world.run(HEARTBEAT);
    world.links.cut(&[world::SUBSCRIBERS + 4], &[1], true);
    world.links.cut(&[1], &[SUBSCRIBERS + 4], true);
    let version = world.set(SERVICE, "b", b"2");
    world.decide(&[(SERVICE, "a", None)]);
    world.run(3.0 * HEARTBEAT);
    let changes = world.control(0).changes(world.now);
    let shown = changes.iter().find(|change| change.version == version).expect("shown");
    assert_eq!((shown.scope, shown.key.as_str(), shown.removed), (SERVICE, "b", false));
    assert_eq!((shown.acknowledged, shown.missing), (9, 1));
    assert_eq!(shown.longest_missing[0].id, subscriber_id(4));
    let expected = 2.5 * HEARTBEAT..3.5 * HEARTBEAT;
    assert!(
        expected.contains(&shown.longest_missing[0].since_ms) && expected.contains(&shown.since_ms),
        "{shown:?}"
    );
    assert!(shown.longest_missing[0].silent_ms > 2.0 * HEARTBEAT, "and that it is gone: {shown:?}");
    assert!(changes[0].removed, "the newest first");
    world.links.heal();
    world.run(IN_FORCE);
    assert!(world.control(0).changes(world.now).iter().all(|change| change.missing == 0));
}

#[test]
fn a_subscriber_that_acknowledges_and_does_not_apply_is_shown_as_acknowledging_and_no_more() {
    let mut world = settled(5);
    let liar = subscriber_id(70);
    let say = |world: &mut World, in_force| {
        let now = world.now;
        let control: &mut Control = world.machines[0].control.as_mut().expect("runs");
        control.receive(now, liar, &poll(in_force));
    };
    // It says that it has all there will ever be.
    say(&mut world, Version::MAX);
    let version = world.set(SERVICE, "b", b"2");
    world.run_until_all_are_new(IN_FORCE);
    world.run(HEARTBEAT);
    let shown = world.control(0).changes(world.now).remove(0);
    assert_eq!(shown.version, version);
    assert_eq!((shown.acknowledged, shown.missing), (5, 1), "nobody acknowledges what was not sealed yet");
    assert_eq!(shown.longest_missing[0].id, liar);
    assert!(world.control(0).status().counts.ahead > 0);
    say(&mut world, version);
    let shown = world.control(0).changes(world.now).remove(0);
    assert_eq!((shown.acknowledged, shown.missing), (6, 0), "it is believed to say so, and no more is shown");
}
