//! Frames (RFC 5456, 8.1): full, mini and meta frames of a datagram.
//!
//! [`read`] decodes a datagram and borrows from it; every length in it is checked against the datagram.
//! [`Full::write`], [`Mini::write`] and [`write_trunk`] encode frames.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Call numbers have 15 bits; 0 means that none is known yet.
pub const MAX_CALL_NUMBER: u16 = 0x7fff;
/// The length of a full frame's header, in bytes.
pub const FULL_HEADER_BYTES: usize = 12;
/// The length of a mini frame's header, in bytes.
pub const MINI_HEADER_BYTES: usize = 4;

/// Frame types (RFC 5456, 8.2).
pub mod kind {
    pub const DTMF: u8 = 1;
    pub const VOICE: u8 = 2;
    pub const VIDEO: u8 = 3;
    pub const CONTROL: u8 = 4;
    pub const NULL: u8 = 5;
    pub const IAX: u8 = 6;
    pub const TEXT: u8 = 7;
    pub const IMAGE: u8 = 8;
    pub const HTML: u8 = 9;
    pub const COMFORT_NOISE: u8 = 10;
}

/// Subclasses of control frames (RFC 5456, 8.3).
pub mod control {
    pub const HANGUP: u32 = 0x01;
    pub const RINGING: u32 = 0x03;
    pub const ANSWER: u32 = 0x04;
    pub const BUSY: u32 = 0x05;
    pub const CONGESTION: u32 = 0x08;
    pub const PROGRESS: u32 = 0x0e;
    pub const PROCEEDING: u32 = 0x0f;
}

/// Subclasses of IAX frames (RFC 5456, 8.4).
pub mod iax {
    pub const NEW: u32 = 0x01;
    pub const PING: u32 = 0x02;
    pub const PONG: u32 = 0x03;
    pub const ACK: u32 = 0x04;
    pub const HANGUP: u32 = 0x05;
    pub const REJECT: u32 = 0x06;
    pub const ACCEPT: u32 = 0x07;
    pub const INVAL: u32 = 0x0a;
    pub const LAGRQ: u32 = 0x0b;
    pub const LAGRP: u32 = 0x0c;
    pub const VNAK: u32 = 0x12;
    pub const TXCNT: u32 = 0x17;
    pub const TXACC: u32 = 0x18;
    pub const POKE: u32 = 0x1e;
    pub const UNSUPPORT: u32 = 0x21;
}

/// An error in a datagram.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// Shorter than any frame.
    #[error("datagram: {0} bytes, too short for any frame")]
    Short(usize),
    /// Shorter than the header of a full frame.
    #[error("full frame: {0} bytes, shorter than its header of 12 bytes")]
    ShortFull(usize),
    /// The source call number is 0.
    #[error("full frame: source call number is 0, 1 to 32767 wanted")]
    NoSource,
    /// The encoded subclass exceeds 32 bits.
    #[error("full frame: subclass {0:#04x} is not a power of two that fits in 32 bits")]
    Subclass(u8),
    /// An unknown meta command.
    #[error("meta frame: unknown command {0}")]
    Command(u8),
    /// An entry of a trunk frame is longer than the rest of the datagram.
    #[error("meta frame: entry of {wanted} bytes, {there} present")]
    ShortEntry { wanted: usize, there: usize },
}

/// A full frame (RFC 5456, 8.1.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Full {
    /// The sender's call number.
    pub source: u16,
    /// The receiver's call number; 0 if unknown.
    pub dest: u16,
    /// Set on every retransmission (the R bit).
    pub retransmitted: bool,
    /// Milliseconds since the sender's first frame of the call.
    pub timestamp: u32,
    /// The frame's number in its sender's sequence.
    pub oseq: u8,
    /// The next number expected from the other side.
    pub iseq: u8,
    /// The frame type, as in [`kind`].
    pub kind: u8,
    pub subclass: u32,
    /// Information elements, or media.
    pub body: Bytes,
}

/// A mini frame (RFC 5456, 8.1.2): media with the low 16 bits of its timestamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mini {
    pub source: u16,
    pub timestamp: u16,
    pub body: Bytes,
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    Full(Full),
    Mini(Mini),
    /// Media of many calls in one datagram (RFC 5456, 8.1.3.2).
    Trunk(Vec<Mini>),
    /// A meta video frame (RFC 5456, 8.1.3.1).
    Video(Mini),
}

impl Full {
    /// Whether the frame has this type and subclass.
    pub fn is(&self, kind: u8, subclass: u32) -> bool {
        self.kind == kind && self.subclass == subclass
    }

    /// Whether the frame has a number in its sender's sequence (RFC 5456, 7), as all frames but five types
    /// do.
    pub fn is_sequenced(&self) -> bool {
        let unsequenced = [iax::ACK, iax::INVAL, iax::VNAK, iax::TXCNT, iax::TXACC];
        self.kind != kind::IAX || !unsequenced.contains(&self.subclass)
    }

    /// Encodes the frame.
    pub fn write(&self) -> BytesMut {
        let mut out = BytesMut::with_capacity(FULL_HEADER_BYTES + self.body.len());
        out.put_u16(0x8000 | self.source);
        out.put_u16(if self.retransmitted { 0x8000 } else { 0 } | self.dest);
        out.put_u32(self.timestamp);
        out.put_u8(self.oseq);
        out.put_u8(self.iseq);
        out.put_u8(self.kind);
        out.put_u8(match self.subclass {
            small @ 0..=0x7f => small as u8,
            power => 0x80 | power.ilog2() as u8,
        });
        out.put_slice(&self.body);
        out
    }
}

impl Mini {
    /// Encodes the frame.
    pub fn write(&self) -> BytesMut {
        let mut out = BytesMut::with_capacity(MINI_HEADER_BYTES + self.body.len());
        out.put_u16(self.source);
        out.put_u16(self.timestamp);
        out.put_slice(&self.body);
        out
    }
}

/// Encodes a trunk frame with a timestamp for each entry (RFC 5456, 8.1.3.2, command data 1).
pub fn write_trunk(timestamp: u32, entries: &[Mini]) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u16(0);
    out.put_u8(1);
    out.put_u8(1);
    out.put_u32(timestamp);
    for entry in entries {
        out.put_u16(entry.body.len() as u16);
        out.put_u16(entry.source);
        out.put_u16(entry.timestamp);
        out.put_slice(&entry.body);
    }
    out
}

/// Decodes a datagram.
pub fn read(datagram: &Bytes) -> Result<Frame, DecodeError> {
    let (Some(first), Some(second)) = (u16_at(datagram, 0), u16_at(datagram, 2)) else {
        return Err(DecodeError::Short(datagram.len()));
    };
    if first & 0x8000 != 0 {
        return full(datagram, first, second);
    }
    if first != 0 {
        let body = datagram.slice(MINI_HEADER_BYTES..);
        return Ok(Frame::Mini(Mini { source: first, timestamp: second, body }));
    }
    if second & 0x8000 != 0 {
        let timestamp = u16_at(datagram, 4).ok_or(DecodeError::Short(datagram.len()))?;
        let body = datagram.slice(6..);
        return Ok(Frame::Video(Mini {
            source: second & MAX_CALL_NUMBER,
            timestamp: timestamp & 0x7fff,
            body,
        }));
    }
    match (second >> 8) as u8 {
        1 => trunk(datagram, second & 1 == 1),
        other => Err(DecodeError::Command(other)),
    }
}

fn full(datagram: &Bytes, first: u16, second: u16) -> Result<Frame, DecodeError> {
    if datagram.len() < FULL_HEADER_BYTES {
        return Err(DecodeError::ShortFull(datagram.len()));
    }
    let source = first & MAX_CALL_NUMBER;
    if source == 0 {
        return Err(DecodeError::NoSource);
    }
    let coded = datagram[11];
    let subclass = match coded {
        0..=0x7f => u32::from(coded),
        // 0xff means -1 in the RFC, which no frame read here uses.
        _ => 1u32.checked_shl(u32::from(coded & 0x7f)).ok_or(DecodeError::Subclass(coded))?,
    };
    Ok(Frame::Full(Full {
        source,
        dest: second & MAX_CALL_NUMBER,
        retransmitted: second & 0x8000 != 0,
        timestamp: u32::from_be_bytes([datagram[4], datagram[5], datagram[6], datagram[7]]),
        oseq: datagram[8],
        iseq: datagram[9],
        kind: datagram[10],
        subclass,
        body: datagram.slice(FULL_HEADER_BYTES..),
    }))
}

fn trunk(datagram: &Bytes, with_times: bool) -> Result<Frame, DecodeError> {
    let mut rest = datagram.slice(datagram.len().min(8)..);
    let trunk_timestamp = u16_at(datagram, 6).ok_or(DecodeError::Short(datagram.len()))?;
    let mut entries = Vec::new();
    while !rest.is_empty() {
        let header = if with_times { 6 } else { 4 };
        let short = |wanted| DecodeError::ShortEntry { wanted, there: rest.len() };
        let (a, b) = u16_at(&rest, 0).zip(u16_at(&rest, 2)).ok_or(short(header))?;
        // With timestamps the length comes first, without them the call number.
        let (length, source) = if with_times { (a, b) } else { (b, a) };
        let timestamp = if with_times { u16_at(&rest, 4).ok_or(short(header))? } else { trunk_timestamp };
        let wanted = header + usize::from(length);
        if rest.len() < wanted {
            return Err(short(wanted));
        }
        let entry = rest.split_to(wanted);
        entries.push(Mini { source: source & MAX_CALL_NUMBER, timestamp, body: entry.slice(header..) });
    }
    Ok(Frame::Trunk(entries))
}

fn u16_at(bytes: &[u8], offset: usize) -> Option<u16> {
    Some(u16::from_be_bytes(bytes.get(offset..offset + 2)?.try_into().ok()?))
}
