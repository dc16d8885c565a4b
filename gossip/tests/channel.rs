//! Payloads between two processes that do not gossip: what is accepted, what is dropped and counted, and that
//! no datagram causes a panic.

mod fleet;

use fleet::{roster, secret, secrets};
use gossip::channel::{Channel, ChannelCounts, MAX_PAYLOAD_BYTES, Received};
use gossip::keys::Secrets;
use gossip::wire::{self, MAX_DATAGRAM_BYTES, Message, Packet, Subsystem};
use proptest::prelude::*;
use rstest::rstest;

const MEMBERS: usize = 3;

fn channel(member: usize, wall_clock_ms: f64) -> Channel {
    Channel::new(secrets(member), roster(MEMBERS), wall_clock_ms)
}

fn datagram(from: &mut Channel, bytes: &[u8]) -> Vec<u8> {
    from.authenticate(Subsystem::State, bytes.to_vec()).expect("fits")
}

#[test]
fn payloads_arrive_once_with_their_sender_in_any_order() {
    let (mut a, mut b) = (channel(0, 1e12), channel(1, 1e12));
    let [first, second] = [datagram(&mut a, b"one"), datagram(&mut a, b"two")];
    let received =
        |bytes: &[u8]| Some(Received { from: a.id(), subsystem: Subsystem::State, bytes: bytes.to_vec() });
    assert_eq!(Channel::sender(&first), Some(a.id()));
    assert_eq!(b.verify(&second), received(b"two"));
    assert_eq!(b.verify(&first), received(b"one"));
    assert_eq!(b.verify(&first), None, "a second time");
    let counts = b.counts();
    assert_eq!((counts.received, counts.replayed), (2, 1));
    assert_eq!(counts.received_bytes as usize, second.len() + 2 * first.len());
}

#[test]
fn the_longest_payload_fits_a_datagram_and_a_longer_one_is_refused() {
    let (mut a, mut b) = (channel(0, 1e12), channel(1, 1e12));
    let longest = datagram(&mut a, &[9; MAX_PAYLOAD_BYTES]);
    assert!(longest.len() <= MAX_DATAGRAM_BYTES, "{} bytes", longest.len());
    assert_eq!(b.verify(&longest).map(|received| received.bytes.len()), Some(MAX_PAYLOAD_BYTES));
    assert_eq!(a.authenticate(Subsystem::State, vec![9; MAX_PAYLOAD_BYTES + 1]), None);
}

#[test]
fn packets_of_an_earlier_incarnation_are_dropped() {
    let mut b = channel(1, 1e12);
    let early = datagram(&mut channel(0, 1e12), b"early");
    let late = datagram(&mut channel(0, 2e12), b"late");
    assert!(b.verify(&late).is_some());
    assert_eq!(b.verify(&early), None);
    assert_eq!(b.counts().replayed, 1);
}

/// Each case is a datagram that must be dropped, and the counter that it must raise.
#[rstest]
#[case::empty(Vec::new(), |counts: ChannelCounts| counts.malformed)]
#[case::too_long(vec![3; MAX_DATAGRAM_BYTES + 1], |counts: ChannelCounts| counts.malformed)]
#[case::noise(vec![3; 300], |counts: ChannelCounts| counts.untagged)]
#[case::unknown_version(packet(0, 9, Message::PiggybackOnly), |counts: ChannelCounts| counts.version)]
#[case::gossip_message(packet(0, wire::VERSION, Message::Ping { nonce: 1 }), |counts: ChannelCounts| counts.unexpected)]
#[case::payload_too_long(
    packet(0, wire::VERSION, Message::Payload { subsystem: Subsystem::State, bytes: vec![1; MAX_PAYLOAD_BYTES + 1] }),
    |counts: ChannelCounts| counts.unexpected
)]
#[case::own_packet(
    packet(1, wire::VERSION, Message::Payload { subsystem: Subsystem::State, bytes: vec![1] }),
    |counts: ChannelCounts| counts.unexpected
)]
#[case::unknown_sender(
    packet(7, wire::VERSION, Message::Payload { subsystem: Subsystem::State, bytes: vec![1] }),
    |counts: ChannelCounts| counts.forged
)]
#[case::other_fleet(other_fleet(), |counts: ChannelCounts| counts.untagged)]
#[case::forged_sender(forged(), |counts: ChannelCounts| counts.forged)]
fn a_datagram_without_a_new_authentic_payload_is_dropped_and_counted(
    #[case] datagram: Vec<u8>,
    #[case] count: fn(ChannelCounts) -> u64,
) {
    let mut b = channel(1, 1e12);
    assert_eq!(b.verify(&datagram), None);
    assert_eq!((count(b.counts()), b.counts().received), (1, 0), "{:?}", b.counts());
}

fn unsigned_packet(from: u64, version: u8, message: Message) -> Packet {
    let (rumours, statements) = (Vec::new(), Vec::new());
    Packet { version, from, incarnation: 1_000, counter: 1, message, rumours, statements }
}

fn packet(member: usize, version: u8, message: Message) -> Vec<u8> {
    unsigned_packet(secrets(member).id(), version, message).authenticate(&secrets(member))
}

fn other_fleet() -> Vec<u8> {
    let secrets = Secrets::new(secret(0), vec![[8; 32]]).expect("a key");
    unsigned_packet(secrets.id(), wire::VERSION, Message::PiggybackOnly).authenticate(&secrets)
}

fn forged() -> Vec<u8> {
    let payload = Message::Payload { subsystem: Subsystem::State, bytes: vec![1] };
    unsigned_packet(secrets(0).id(), wire::VERSION, payload).authenticate(&secrets(2))
}

#[test]
fn after_a_rekey_a_member_off_the_roster_is_dropped() {
    let (mut a, mut b) = (channel(0, 1e12), channel(2, 1e12));
    let former = datagram(&mut b, b"still there");
    assert!(a.verify(&former).is_some());
    a.rekey(secrets(0), roster(2));
    let later = datagram(&mut b, b"gone");
    assert_eq!(a.verify(&later), None);
    assert_eq!(a.counts().forged, 1);
    a.rekey(secrets(1), roster(MEMBERS));
    assert_eq!(a.id(), secrets(0).id(), "its own key stays");
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(datagram in prop::collection::vec(any::<u8>(), 0..1300), with_valid_tag: bool) {
        let mut b = channel(1, 1e12);
        let mut datagram = datagram;
        if with_valid_tag {
            // A faulty member could send this: it gets past the tag and the signature to the decoder.
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
