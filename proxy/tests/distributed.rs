//! Tests of both ends of the distribution's channel as the border proxy drives them: foreign datagrams change
//! nothing, and are counted or left to gossip.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use agree::certificate::FleetKeys;
use border::distributed::{ControlAddress, Service, ServiceTerms, Subscription, SubscriptionTerms};
use distribution::Scope;
use distribution::placement::ControlMachine;
use gossip::channel::Channel;
use gossip::keys::{Roster, Secrets};
use gossip::wire::Subsystem;

const HEARTBEAT: f64 = 1_000.0;
const CONTROL: u8 = 1;
const SUBSCRIBER: u8 = 2;
const STRANGER: u8 = 3;

fn secrets(member: u8) -> Secrets {
    Secrets::new([member; 32], vec![[9; 32]]).expect("a fleet key")
}

fn roster(members: &[u8]) -> Roster {
    let names: Vec<String> = members.iter().map(|member| format!("p{member}")).collect();
    let keys = members.iter().map(|&member| secrets(member).public_key());
    Roster::new(names.iter().map(|name| &name[..]).zip(keys)).expect("sound")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn subscription() -> Subscription {
    let id = secrets(CONTROL).id();
    let terms = SubscriptionTerms {
        region: 0,
        controls: vec![ControlAddress { machine: ControlMachine { id, region: 0 }, address: address(7) }],
        bootstrap_members: vec![id],
        scopes: BTreeSet::from([Scope::All, Scope::Service(3)]),
        heartbeat: HEARTBEAT,
    };
    let keys = FleetKeys { secrets: secrets(SUBSCRIBER), roster: roster(&[CONTROL, SUBSCRIBER]) };
    Subscription::new(terms, keys, 5, 0.0, 1e12)
}

fn service() -> Service {
    let terms = ServiceTerms {
        heartbeat: HEARTBEAT,
        max_subscribers: 10,
        bytes_per_second: 1e6,
        subscriber_bytes_per_second: 3e3,
        snapshots_at_once: 2,
    };
    Service::new(terms, secrets(CONTROL), roster(&[SUBSCRIBER]), 5, 0.0, 1e12)
}

fn channel(member: u8) -> Channel {
    Channel::new(secrets(member), roster(&[CONTROL, SUBSCRIBER]), 1e12)
}

fn packet(from: u8, part: Subsystem, bytes: &[u8]) -> Vec<u8> {
    channel(from).authenticate(part, bytes.to_vec()).expect("fits")
}

#[test]
fn an_invalid_or_foreign_datagram_changes_nothing_at_a_subscriber() {
    let mut subscription = subscription();
    subscription.receive(1.0, &[3; 200]);
    subscription.receive(2.0, &packet(STRANGER, Subsystem::State, &[1, 2, 3]));
    let mut control = channel(CONTROL);
    let other_part = control.authenticate(Subsystem::Agreement, vec![1, 2, 3]).expect("fits");
    let malformed = control.authenticate(Subsystem::State, vec![1, 255, 255]).expect("fits");
    subscription.receive(3.0, &other_part);
    subscription.receive(4.0, &malformed);
    subscription.receive(5.0, &malformed);
    let status = subscription.status(6.0);
    let channel = status.channel;
    assert_eq!((channel.untagged, channel.forged, channel.received), (1, 1, 2), "{channel:?}");
    assert_eq!((channel.replayed, status.counts["malformed"]), (1, 1), "{status:?}");
    assert!(!subscription.take_changed() && subscription.drained().is_empty());
    assert!(status.scopes.iter().all(|scope| scope.version == 0 && scope.age_ms.is_none()));
    assert_eq!((status.scopes.len(), subscription.controls()), (2, vec!["p1".to_owned()]));
}

#[test]
fn a_poll_goes_to_the_configured_address_and_its_answer_to_the_sender() {
    let (mut subscription, mut service) = (subscription(), service());
    let now = subscription.due();
    subscription.turn(now);
    let poll = subscription.outgoing().expect("a poll");
    assert_eq!(poll.peer, address(7));
    assert!(service.receive(now, address(40), &poll.bytes), "it is the distribution's");
    let answer = service.outgoing().expect("that it is there");
    assert_eq!(answer.peer, address(40));
    subscription.receive(now, &answer.bytes);
    assert_eq!(subscription.status(now).channel.received, 1);
}

#[test]
fn a_datagram_from_no_subscriber_is_left_to_gossip() {
    let mut service = service();
    assert!(!service.receive(1.0, address(40), &[3; 200]));
    assert!(!service.receive(2.0, address(40), &[]));
    assert!(!service.receive(3.0, address(40), &packet(STRANGER, Subsystem::State, &[1])));
    // Sent under a subscriber's name without its key: the datagram belongs to the distribution and is
    // dropped.
    let mut forged = packet(SUBSCRIBER, Subsystem::State, &[1]);
    *forged.last_mut().expect("bytes") ^= 1;
    assert!(service.receive(4.0, address(40), &forged));
    assert!(service.outgoing().is_none());
}
