//! Feeds a member arbitrary packets: the fuzzer's bytes as they are, and, to get past the tag, the same bytes
//! signed and tagged by another member that misbehaves. A panic fails, and so does a byte above the cap. Run
//! with `cargo fuzz run packets` in `gossip/`.

#![no_main]

use gossip::keys::{Roster, Secrets};
use gossip::wire::{self, Packet};
use gossip::{GossipTerms, Node};
use libfuzzer_sys::fuzz_target;

const CAP: f64 = 20_000.0;

fn secrets(member: u8) -> Secrets {
    Secrets::new([member + 1; 32], vec![[9; 32]]).expect("a fleet key")
}

fuzz_target!(|data: &[u8]| {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let roster = Roster::new([("a", secrets(0).public_key()), ("b", secrets(1).public_key())]).expect("sound");
    let terms = GossipTerms {
        address: address(1),
        seeds: vec![address(2)],
        max_bytes_per_second: CAP,
        probe_interval: 200.0,
        max_faulty: 1,
        resend_interval: 500.0,
    };
    let mut node = Node::new(terms, secrets(0), roster, 1, 0.0, 1e12);
    let mut sent = 0;
    node.receive(0.0, address(2), data);
    if let Some((packet, _)) = wire::unauthenticated(data) {
        let faulty = secrets(1);
        let packet = Packet { version: wire::VERSION, from: faulty.id(), ..packet };
        for now in [1.0, 300.0, 999.0] {
            node.receive(now, address(2), &packet.authenticate(&faulty));
            node.turn(now);
            while let Some(out) = node.outgoing() {
                sent += out.bytes.len();
            }
            node.accused(now);
        }
    }
    assert!(sent as f64 <= CAP);
});
