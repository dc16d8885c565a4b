//! The state of one call leg.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};

/// A frame that was sent and is not yet acknowledged.
pub(super) struct Unacknowledged {
    pub(super) oseq: u8,
    pub(super) bytes: BytesMut,
    pub(super) due: f64,
    pub(super) wait: f64,
    pub(super) resends: u32,
}

/// How far a leg has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Our NEW is out.
    Calling,
    /// Their NEW awaits our word.
    Offered,
    /// Accepted, by either side.
    Linked,
    Up,
    /// Ended: kept so that late copies are acknowledged and the number rests.
    Ended,
}

/// What is known of a leg.
pub(super) struct State {
    pub(super) peer: SocketAddr,
    pub(super) local_number: u16,
    /// 0 until the peer has named it.
    pub(super) remote_number: u16,
    pub(super) phase: Phase,
    pub(super) started_at: f64,
    pub(super) last_timestamp: u32,
    /// The latest time of the peer's clock of the call.
    pub(super) last_remote_timestamp: u32,
    /// What media times are moved by, from the peer's clock to this leg's.
    pub(super) media_base: Option<u32>,
    pub(super) oseq: u8,
    pub(super) iseq: u8,
    pub(super) unacknowledged: VecDeque<Unacknowledged>,
    /// A peer's NEW by its time and body, to know its copies by.
    pub(super) offer: Option<(u32, Bytes)>,
    pub(super) heard: bool,
    pub(super) ping_at: f64,
    pub(super) remove_at: f64,
    /// The earliest time at which the leg stands in the queue of wake_queue.
    pub(super) queued_wake: f64,
}

impl State {
    /// When something of the leg is to be done.
    pub(super) fn due(&self) -> f64 {
        let resend = self.unacknowledged.front().map_or(f64::INFINITY, |sent| sent.due);
        resend.min(self.ping_at).min(self.remove_at)
    }
}
