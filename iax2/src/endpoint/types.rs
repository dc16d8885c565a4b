//! The configuration and the output types of an endpoint.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::element::Elements;

/// The limits and intervals of an endpoint; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of legs, including ended ones that are still kept. Beyond it, a NEW is rejected
    /// without a leg.
    pub max_legs: usize,
    /// The first wait for an acknowledgement; each further wait is twice as long.
    pub resend_delay: f64,
    /// How often a frame is retransmitted before its leg is given up.
    pub max_resends: u32,
    /// The interval of pings on an established leg.
    pub ping_interval: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_legs: 20_000, resend_delay: 500.0, max_resends: 4, ping_interval: 20_000.0 }
    }
}

impl Limits {
    /// The time from the first transmission of a frame until its leg is given up.
    pub(super) fn total_resend_time(&self) -> f64 {
        self.resend_delay * f64::from((1u32 << (self.max_resends + 1).min(31)) - 1)
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub peer: SocketAddr,
    pub bytes: Bytes,
}

/// Media of a leg.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Media {
    /// The timestamp on the sending peer's clock of the call, in milliseconds.
    pub timestamp: u32,
    /// Type and subclass of a full frame, which is forwarded in order; `None` for a mini frame.
    pub full: Option<(u8, u32)>,
    pub body: Bytes,
}

/// The reason for a leg's end.
#[derive(Clone, Debug, PartialEq)]
pub enum EndReason {
    /// The peer sent HANGUP or REJECT.
    Peer { rejected: bool, elements: Elements },
    /// The peer does not know the leg (INVAL), or has restarted and reused its number.
    Unknown,
    /// No acknowledgement arrived despite retransmissions; `heard` if the peer had sent anything before.
    Silent { heard: bool },
    /// Nothing listens at the peer's address.
    Refused,
}

/// A peer's probe, to be answered with [`Endpoint::pong`](super::Endpoint::pong).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poke {
    pub peer: SocketAddr,
    pub(super) source: u16,
    pub(super) timestamp: u32,
}

/// An event of a leg.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer's NEW: answer it with [`Endpoint::accept`](super::Endpoint::accept) or
    /// [`Endpoint::end`](super::Endpoint::end). `retransmitted` if an earlier copy of it was lost.
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
    /// A peer's probe; its leg is unused.
    Poked(Poke),
    /// A PONG to [`Endpoint::poke`](super::Endpoint::poke); its leg is unused.
    Pong {
        peer: SocketAddr,
        elements: Elements,
    },
}

/// Counts of invalid datagrams and retransmissions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub malformed: u64,
    /// Frames that belong to no leg.
    pub unmatched: u64,
    pub duplicates: u64,
    pub out_of_order: u64,
    pub resent: u64,
    /// NEWs rejected for lack of legs.
    pub turned_away: u64,
}
