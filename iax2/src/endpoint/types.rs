//! What an endpoint is set up with, and what it hands out.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::element::Elements;

/// Sizes and waits of an endpoint; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Legs at once, those at rest with them; past that a NEW is turned away with no leg made for it.
    pub max_legs: usize,
    /// The first wait for an acknowledgement; each further one is twice as long.
    pub resend_delay: f64,
    /// How often a frame is sent again before its leg is given up.
    pub max_resends: u32,
    /// A leg that stands is asked for a sign of life this often.
    pub ping_interval: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_legs: 20_000, resend_delay: 500.0, max_resends: 4, ping_interval: 20_000.0 }
    }
}

impl Limits {
    /// From the first sending of a frame until no copy of it is sent any more.
    pub(super) fn total_resend_time(&self) -> f64 {
        self.resend_delay * f64::from((1u32 << (self.max_resends + 1).min(31)) - 1)
    }
}

/// Bytes for a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub peer: SocketAddr,
    pub bytes: Bytes,
}

/// What a leg carries beside its signalling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Media {
    /// Milliseconds on the sending peer's clock of the call.
    pub timestamp: u32,
    /// Frame type and subclass of a full frame, passed on in order; `None` for a mini frame.
    pub full: Option<(u8, u32)>,
    pub body: Bytes,
}

/// How a leg came to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum EndReason {
    /// The peer sent HANGUP or REJECT.
    Peer { rejected: bool, elements: Elements },
    /// The peer knows nothing of the leg (INVAL), or has begun anew under its number.
    Unknown,
    /// No acknowledgement came, however often it was asked for; `heard` when the peer ever said anything.
    Silent { heard: bool },
    /// Nobody listens at the peer's address.
    Refused,
}

/// A peer's probe, to be answered with [`Endpoint::pong`](super::Endpoint::pong).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poke {
    pub peer: SocketAddr,
    pub(super) source: u16,
    pub(super) timestamp: u32,
}

/// What happened to a leg.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer's NEW: answer it with [`Endpoint::accept`](super::Endpoint::accept) or
    /// [`Endpoint::end`](super::Endpoint::end). `again` when an earlier copy of it was lost.
    Offered {
        peer: SocketAddr,
        elements: Elements,
        retransmitted: bool,
    },
    Accepted(Elements),
    Ringing,
    Proceeding,
    Answered(Elements),
    Media(Media),
    Ended(EndReason),
    /// A peer's probe; comes with a leg of no further use.
    Poked(Poke),
    /// A PONG to [`Endpoint::poke`](super::Endpoint::poke); comes with a leg of no further use.
    Pong {
        peer: SocketAddr,
        elements: Elements,
    },
}

/// Datagrams that were no good, and what was done again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub malformed: u64,
    pub unmatched: u64,
    pub duplicates: u64,
    pub out_of_order: u64,
    pub resent: u64,
    pub turned_away: u64,
}
