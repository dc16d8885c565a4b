//! How many bytes wait for callers who do not read.

use daemon::outbox::{Outbox, SharedLimit};

const LIMIT: usize = 4 << 20;
const CALLERS: usize = 900;
const ANSWER: &[u8] = &[b'x'; 100];

/// Guards against callers who read nothing filling the memory together, each within its own limit.
#[test]
fn callers_who_read_nothing_keep_within_the_shared_limit() {
    let limit = SharedLimit::new(LIMIT);
    let mut outboxes: Vec<Outbox> = (0..CALLERS).map(|_| Outbox::new(Some(limit.clone()))).collect();
    for _ in 0..10_000 {
        // A connection that exceeds the limit is closed, and its caller connects again.
        for outbox in &mut outboxes {
            if !outbox.add(ANSWER) {
                *outbox = Outbox::new(Some(limit.clone()));
            }
        }
        let unread: usize = outboxes.iter().map(|outbox| outbox.bytes().len()).sum();
        assert!(unread <= LIMIT, "{unread} bytes");
    }
    assert!(Outbox::new(Some(limit)).add(ANSWER), "a caller that reads still gets its answer");
}

#[test]
fn written_bytes_and_closed_connections_free_the_limit() {
    let limit = SharedLimit::new(2 * ANSWER.len());
    let mut first = Outbox::new(Some(limit.clone()));
    let mut second = Outbox::new(Some(limit.clone()));
    assert!(first.add(ANSWER) && second.add(ANSWER));
    assert!(!first.add(ANSWER), "nothing is free");
    first.written(ANSWER.len());
    assert!(first.is_empty() && first.add(ANSWER), "what was written is free again");
    drop(second);
    assert!(Outbox::new(Some(limit)).add(ANSWER), "what was closed is free again");
}

#[test]
fn a_connection_to_a_server_is_not_limited_by_callers() {
    let limit = SharedLimit::new(ANSWER.len());
    let mut caller = Outbox::new(Some(limit));
    assert!(caller.add(ANSWER));
    assert!(Outbox::new(None).add(ANSWER));
}
