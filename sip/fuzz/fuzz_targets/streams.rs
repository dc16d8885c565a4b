//! Feeds a reader arbitrary streams in chunks. Fails on a panic and on a message longer than the maximum. Run with
//! `cargo fuzz run streams` in `sip/`.

#![no_main]

use libfuzzer_sys::fuzz_target;
use sip::{MAX_MESSAGE_BYTES, Reader};

fuzz_target!(|data: &[u8]| {
    let mut reader = Reader::default();
    // Each chunk is a length byte followed by that many bytes of the stream.
    let mut remaining = data;
    while let [length, after @ ..] = remaining {
        let (chunk, after_chunk) = after.split_at(usize::from(*length).min(after.len()));
        remaining = after_chunk;
        reader.feed(chunk);
        while let Ok(Some(message)) = reader.message() {
            assert!(message.body.len() <= MAX_MESSAGE_BYTES);
        }
    }
});
