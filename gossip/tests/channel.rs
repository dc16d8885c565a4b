//! Payloads between two ends that do not gossip: what is taken, what is dropped, and that memory is bounded.

mod fleet;

use fleet::{roster, secret, secrets};
use gossip::channel::{Channel, ChannelCounts, MAX_PAYLOAD_BYTES, Received};
use gossip::keys::Secrets;
use gossip::wire::{self, MAX_DATAGRAM_BYTES, Message, Packet, Subsystem};
use proptest::prelude::*;
use rstest::rstest;

const MEMBERS: usize = 3;

fn channel(member: usize, unix: f64) -> Channel {
    Channel::new(secrets(member), roster(MEMBERS), unix)
}

fn words(from: &mut Channel, bytes: &[u8]) -> Vec<u8> {
    from.authenticate(Subsystem::State, bytes.to_vec()).expect("fits")
}

#[test]
fn words_come_with_who_said_them_once_in_whatever_order() {
    let (mut a, mut b) = (channel(0, 1e12), channel(1, 1e12));
    let [first, second] = [words(&mut a, b"one"), words(&mut a, b"two")];
    let said =
        |bytes: &[u8]| Some(Received { from: a.id(), subsystem: Subsystem::State, bytes: bytes.to_vec() });
    assert_eq!(Channel::sender(&first), Some(a.id()));
    assert_eq!(b.verify(&second), said(b"two"));
    assert_eq!(b.verify(&first), said(b"one"));
    assert_eq!(b.verify(&first), None, "a second time");
    let counts = b.counts();
    assert_eq!((counts.received, counts.replayed), (2, 1));
    assert_eq!(counts.received_bytes as usize, second.len() + 2 * first.len());
}

#[test]
fn the_longest_words_fit_a_datagram_and_longer_ones_are_refused() {
    let (mut a, mut b) = (channel(0, 1e12), channel(1, 1e12));
    let datagram = words(&mut a, &[9; MAX_PAYLOAD_BYTES]);
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
    assert_eq!(b.verify(&datagram).map(|received| received.bytes.len()), Some(MAX_PAYLOAD_BYTES));
    assert_eq!(a.authenticate(Subsystem::State, vec![9; MAX_PAYLOAD_BYTES + 1]), None);
}

#[test]
fn packets_of_an_earlier_incarnation_are_dropped() {
    let mut b = channel(1, 1e12);
    let early = words(&mut channel(0, 1e12), b"early");
    let late = words(&mut channel(0, 2e12), b"late");
    assert!(b.verify(&late).is_some());
    assert_eq!(b.verify(&early), None);
    assert_eq!(b.counts().replayed, 1);
}

/// A datagram that is not taken, and where that is counted.
#[rstest]
#[case::nothing(Vec::new(), |counts: ChannelCounts| counts.malformed)]
#[case::too_long(vec![3; MAX_DATAGRAM_BYTES + 1], |counts: ChannelCounts| counts.malformed)]
#[case::noise(vec![3; 300], |counts: ChannelCounts| counts.untagged)]
#[case::another_version(packet(0, 9, Message::Carry), |counts: ChannelCounts| counts.version)]
#[case::gossip(packet(0, wire::VERSION, Message::Ping { nonce: 1 }), |counts: ChannelCounts| counts.unexpected)]
#[case::words_too_long(
    packet(0, wire::VERSION, Message::Payload { subsystem: Subsystem::State, bytes: vec![1; MAX_PAYLOAD_BYTES + 1] }),
    |counts: ChannelCounts| counts.unexpected
)]
#[case::its_own(
    packet(1, wire::VERSION, Message::Payload { subsystem: Subsystem::State, bytes: vec![1] }),
    |counts: ChannelCounts| counts.unexpected
)]
#[case::a_stranger(
    packet(7, wire::VERSION, Message::Payload { subsystem: Subsystem::State, bytes: vec![1] }),
    |counts: ChannelCounts| counts.forged
)]
#[case::another_fleet(foreign(), |counts: ChannelCounts| counts.untagged)]
#[case::in_anothers_name(forged(), |counts: ChannelCounts| counts.forged)]
fn what_is_not_proved_new_words_is_dropped_and_counted(
    #[case] datagram: Vec<u8>,
    #[case] count: fn(ChannelCounts) -> u64,
) {
    let mut b = channel(1, 1e12);
    assert_eq!(b.verify(&datagram), None);
    assert_eq!((count(b.counts()), b.counts().received), (1, 0), "{:?}", b.counts());
}

fn plain(from: u64, version: u8, message: Message) -> Packet {
    let (rumours, statements) = (Vec::new(), Vec::new());
    Packet { version, from, incarnation: 1_000, counter: 1, message, rumours, statements }
}

fn packet(member: usize, version: u8, message: Message) -> Vec<u8> {
    plain(secrets(member).id(), version, message).authenticate(&secrets(member))
}

fn foreign() -> Vec<u8> {
    let secrets = Secrets::new(secret(0), vec![[8; 32]]).expect("a key");
    plain(secrets.id(), wire::VERSION, Message::Carry).authenticate(&secrets)
}

fn forged() -> Vec<u8> {
    let words = Message::Payload { subsystem: Subsystem::State, bytes: vec![1] };
    plain(secrets(0).id(), wire::VERSION, words).authenticate(&secrets(2))
}

#[test]
fn with_other_keys_it_goes_on_and_whoever_left_the_roster_is_dropped() {
    let (mut a, mut b) = (channel(0, 1e12), channel(2, 1e12));
    let former = words(&mut b, b"still there");
    assert!(a.verify(&former).is_some());
    a.rekey(secrets(0), roster(2));
    let later = words(&mut b, b"gone");
    assert_eq!(a.verify(&later), None);
    assert_eq!(a.counts().forged, 1);
    a.rekey(secrets(1), roster(MEMBERS));
    assert_eq!(a.id(), secrets(0).id(), "its own key stays");
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(datagram in prop::collection::vec(any::<u8>(), 0..1300), tagged: bool) {
        let mut b = channel(1, 1e12);
        let mut datagram = datagram;
        if tagged {
            // As a member that lies could send it: what stands inside is read.
            datagram.insert(0, wire::VERSION);
            let signature = secrets(0).sign(&datagram);
            datagram.extend(signature);
            let tag = secrets(0).tag(&datagram);
            datagram.extend(tag);
        }
        prop_assert!(b.verify(&datagram).is_none());
        Channel::sender(&datagram);
    }
}
