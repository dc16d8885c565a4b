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

/// The progress of a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The local NEW is sent.
    Calling,
    /// The peer's NEW awaits an answer.
    Offered,
    /// Accepted by either side.
    Accepted,
    /// Answered.
    Established,
    /// Ended. The leg is kept so that late retransmissions are acknowledged and the number stays unused.
    Ended,
}

/// The state of a leg.
pub(super) struct State {
    pub(super) peer: SocketAddr,
    pub(super) local_number: u16,
    /// 0 until the peer has sent it.
    pub(super) remote_number: u16,
    pub(super) phase: Phase,
    pub(super) started_at: f64,
    pub(super) last_timestamp: u32,
    /// The latest timestamp of the peer's frames.
    pub(super) last_remote_timestamp: u32,
    /// The offset of media timestamps from the peer's clock to the clock of this leg.
    pub(super) media_base: Option<u32>,
    pub(super) oseq: u8,
    pub(super) iseq: u8,
    pub(super) unacknowledged: VecDeque<Unacknowledged>,
    /// Timestamp and body of the peer's NEW, by which copies of it are recognised.
    pub(super) offer: Option<(u32, Bytes)>,
    pub(super) heard: bool,
    pub(super) ping_at: f64,
    pub(super) remove_at: f64,
    /// The earliest queued wake of the leg.
    pub(super) queued_wake: f64,
}

impl State {
    /// The time at which the leg next needs a turn.
    pub(super) fn due(&self) -> f64 {
        let resend = self.unacknowledged.front().map_or(f64::INFINITY, |sent| sent.due);
        resend.min(self.ping_at).min(self.remove_at)
    }
}
