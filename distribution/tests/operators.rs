//! What operators are shown of changes: what subscribers report, and nothing more.

mod cluster;

use cluster::{Cluster, HEARTBEAT_MS, IN_FORCE_WITHIN_MS, SUBSCRIBERS, subscriber_id};
use distribution::control::Control;
use distribution::wire::{self, Message, Poll, Position};
use distribution::{Scope, Version};

const SERVICE: Scope = Scope::Service(7);

fn poll(in_force: Version) -> Vec<u8> {
    let position = Position { in_force, transfer: None };
    let poll = Poll { nonce: 5, council_since: 0, scopes: vec![(SERVICE, position)] };
    wire::encode(&[Message::Poll(poll)]).remove(0)
}

fn converged(proxies: usize) -> Cluster {
    let mut cluster = Cluster::new(1, 1);
    cluster.set(SERVICE, "a", b"1");
    for _ in 0..proxies {
        cluster.add_proxy(&[SERVICE]);
    }
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster
}

#[test]
fn an_operator_sees_who_is_missing_a_change_and_for_how_long() {
    let mut cluster = converged(10);
    cluster.run(HEARTBEAT_MS);
    cluster.links.cut(&[cluster::SUBSCRIBERS + 4], &[1], true);
    cluster.links.cut(&[1], &[SUBSCRIBERS + 4], true);
    let version = cluster.set(SERVICE, "b", b"2");
    cluster.decide(&[(SERVICE, "a", None)]);
    cluster.run(3.0 * HEARTBEAT_MS);
    let changes = cluster.control(0).changes(cluster.now);
    let shown = changes.iter().find(|change| change.version == version).expect("shown");
    assert_eq!((shown.scope, shown.key.as_str(), shown.removed), (SERVICE, "b", false));
    assert_eq!((shown.acknowledged, shown.missing), (9, 1));
    assert_eq!(shown.longest_missing[0].id, subscriber_id(4));
    let expected = 2.5 * HEARTBEAT_MS..3.5 * HEARTBEAT_MS;
    assert!(
        expected.contains(&shown.longest_missing[0].since_ms) && expected.contains(&shown.since_ms),
        "{shown:?}"
    );
    assert!(shown.longest_missing[0].silent_ms > 2.0 * HEARTBEAT_MS, "it is shown as silent: {shown:?}");
    assert!(changes[0].removed, "the newest first");
    cluster.links.heal();
    cluster.run(IN_FORCE_WITHIN_MS);
    assert!(cluster.control(0).changes(cluster.now).iter().all(|change| change.missing == 0));
}

#[test]
fn a_subscriber_that_only_claims_a_change_is_shown_as_acknowledging_it() {
    let mut cluster = converged(5);
    let faulty_subscriber = subscriber_id(70);
    let send_poll = |cluster: &mut Cluster, in_force| {
        let now = cluster.now;
        let control: &mut Control = cluster.machines[0].control.as_mut().expect("running");
        control.receive(now, faulty_subscriber, &poll(in_force));
    };
    // It claims to have everything that will ever be decided.
    send_poll(&mut cluster, Version::MAX);
    let version = cluster.set(SERVICE, "b", b"2");
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster.run(HEARTBEAT_MS);
    let shown = cluster.control(0).changes(cluster.now).remove(0);
    assert_eq!(shown.version, version);
    assert_eq!(
        (shown.acknowledged, shown.missing),
        (5, 1),
        "a position that is not certified yet acknowledges nothing"
    );
    assert_eq!(shown.longest_missing[0].id, faulty_subscriber);
    assert!(cluster.control(0).status().counts.ahead > 0);
    send_poll(&mut cluster, version);
    let shown = cluster.control(0).changes(cluster.now).remove(0);
    assert_eq!((shown.acknowledged, shown.missing), (6, 0), "its report is shown, and nothing more");
}
