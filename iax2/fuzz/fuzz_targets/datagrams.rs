//! Feeds an endpoint with fuzzed datagrams, answers calls and advances the clock. A panic, or more legs than
//! the limit, is a failure. Run with `cargo fuzz run datagrams` in `iax2/`.

#![no_main]

use bytes::Bytes;
use iax2::{Elements, Endpoint, Event, Limits};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: &[u8]| {
    let limits = Limits { max_legs: 20, ..Limits::default() };
    let mut end = Endpoint::new(limits, 1);
    let peer = "127.0.0.1:4569".parse().expect("an address");
    let mut now = 0.0;
    end.call(now, peer, &Elements::new());
    // A length byte, a time byte, and up to that many bytes of a datagram.
    let mut rest = data;
    while let [length, step, after @ ..] = rest {
        let (datagram, more) = after.split_at(usize::from(*length).min(after.len()));
        rest = more;
        now += f64::from(*step) * 20.0;
        end.receive(now, peer, &Bytes::copy_from_slice(datagram));
        end.turn(now);
        while let Some((leg, event)) = end.next_event() {
            if matches!(event, Event::Offered { .. }) {
                end.accept(now, leg, &Elements::new());
                end.answer(now, leg, &Elements::new());
            }
        }
        while end.next_datagram().is_some() {}
        assert!(end.legs() <= 20);
    }
});
