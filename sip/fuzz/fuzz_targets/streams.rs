//! Feeds a reader whatever the fuzzer makes of a stream, in pieces; a panic fails, and so does a message longer than
//! any may be. Run with `cargo fuzz run streams` in `sip/`.

#![no_main]

use libfuzzer_sys::fuzz_target;
use sip::{MAX_MESSAGE_BYTES, Reader};

fuzz_target!(|data: &[u8]| {
    let mut reader = Reader::default();
    // A length byte, and so many bytes of the stream.
    let mut rest = data;
    while let [length, after @ ..] = rest {
        let (piece, more) = after.split_at(usize::from(*length).min(after.len()));
        rest = more;
        reader.feed(piece);
        while let Ok(Some(message)) = reader.message() {
            assert!(message.body.len() <= MAX_MESSAGE_BYTES);
        }
    }
});
