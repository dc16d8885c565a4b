//! The backlog of datagrams while socket buffers are full.

use std::cell::RefCell;
use std::net::SocketAddr;

use border::{Outbound, Side};
use daemon::backlog::Backlog;
use rstest::rstest;

fn datagram_to(server: u16, byte: u8) -> Outbound {
    let peer = SocketAddr::from(([127, 0, 0, 1], server));
    Outbound { side: Side::Servers, peer, bytes: vec![byte].into() }
}

#[rstest]
fn a_full_socket_keeps_its_order_and_does_not_delay_others() {
    let mut backlog = Backlog::new(10);
    let sent = RefCell::new(Vec::new());
    let send = |full: Option<u16>| {
        let sent = &sent;
        move |datagram: &Outbound| {
            let has_room = full != Some(datagram.peer.port());
            if has_room {
                sent.borrow_mut().push((datagram.peer.port(), datagram.bytes[0]));
            }
            has_room
        }
    };
    backlog.send(datagram_to(1, 1), send(Some(1)));
    backlog.send(datagram_to(2, 2), send(Some(1)));
    // The socket has space again, but its first datagram is still queued.
    backlog.send(datagram_to(1, 3), send(None));
    assert_eq!(*sent.borrow(), [(2, 2)]);
    backlog.flush(send(None));
    backlog.send(datagram_to(1, 4), send(None));
    assert_eq!(*sent.borrow(), [(2, 2), (1, 1), (1, 3), (1, 4)]);
    assert_eq!((backlog.first(), backlog.dropped()), (None, 0));
}

#[rstest]
fn a_full_backlog_drops_and_counts_further_datagrams() {
    let mut backlog = Backlog::new(3);
    (0..5).for_each(|byte| backlog.send(datagram_to(1, byte), |_| false));
    assert_eq!(backlog.dropped(), 2);
    let mut sent = Vec::new();
    backlog.flush(|datagram| {
        sent.push(datagram.bytes[0]);
        sent.len() <= 2
    });
    backlog.flush(|_| true);
    assert_eq!((sent, backlog.first()), (vec![0, 1, 2], None));
}
