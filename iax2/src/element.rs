//! Information elements (RFC 5456, 8.6): a type, a length, and that many bytes.
//!
//! [`Elements::read`] splits the body of a full frame, bounded by its datagram; unknown elements are kept and
//! may be ignored. [`Elements::write`] writes them in the same order.

use std::fmt;
use std::str;

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

pub const CALLED_NUMBER: u8 = 0x01;
pub const CALLING_NUMBER: u8 = 0x02;
pub const CALLING_NAME: u8 = 0x04;
pub const CALLED_CONTEXT: u8 = 0x05;
pub const USERNAME: u8 = 0x06;
pub const CAPABILITY: u8 = 0x08;
pub const FORMAT: u8 = 0x09;
pub const VERSION: u8 = 0x0b;
pub const CAUSE: u8 = 0x16;
pub const UNKNOWN: u8 = 0x17;
pub const CAUSE_CODE: u8 = 0x2a;

/// The protocol version, the first element of every NEW (RFC 5456, 8.6.10).
pub const PROTOCOL_VERSION: u16 = 2;

/// An error in the body of a frame.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// An element ends after its type.
    #[error("element {0:#04x}: its length byte is missing")]
    NoLength(u8),
    /// An element announces more bytes than follow.
    #[error("element {kind:#04x}: {wanted} bytes announced, {there} present")]
    Short { kind: u8, wanted: usize, there: usize },
}

/// The information elements of one frame, in order.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Elements(Vec<(u8, Bytes)>);

impl fmt::Debug for Elements {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_map().entries(self.0.iter().map(|(kind, data)| (kind, data))).finish()
    }
}

impl Elements {
    /// No elements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Splits a body; each element is a view of it, not a copy.
    pub fn read(mut body: Bytes) -> Result<Self, DecodeError> {
        let mut all = Vec::new();
        while !body.is_empty() {
            let kind = body[0];
            let wanted = usize::from(*body.get(1).ok_or(DecodeError::NoLength(kind))?);
            let there = body.len() - 2;
            if there < wanted {
                return Err(DecodeError::Short { kind, wanted, there });
            }
            let _ = body.split_to(2);
            all.push((kind, body.split_to(wanted)));
        }
        Ok(Self(all))
    }

    /// Appends the encoded elements to `out`.
    pub fn write(&self, out: &mut BytesMut) {
        for (kind, data) in &self.0 {
            out.put_u8(*kind);
            out.put_u8(data.len() as u8);
            out.put_slice(data);
        }
    }

    /// Adds an element; data beyond 255 bytes is cut off, as an element cannot be longer.
    pub fn with(mut self, kind: u8, data: impl AsRef<[u8]>) -> Self {
        let data = data.as_ref();
        self.0.push((kind, Bytes::copy_from_slice(&data[..data.len().min(255)])));
        self
    }

    /// Adds an element with a big-endian number of 16 bits.
    pub fn with_u16(self, kind: u8, value: u16) -> Self {
        self.with(kind, value.to_be_bytes())
    }

    /// Adds an element with a big-endian number of 32 bits.
    pub fn with_u32(self, kind: u8, value: u32) -> Self {
        self.with(kind, value.to_be_bytes())
    }

    /// Adds a hangup cause.
    pub fn with_cause(self, code: u8) -> Self {
        self.with(CAUSE_CODE, [code])
    }

    /// The first element of the type.
    pub fn get(&self, kind: u8) -> Option<&Bytes> {
        self.0.iter().find(|(k, _)| *k == kind).map(|(_, data)| data)
    }

    /// The first element of the type as text; `None` if it is not UTF-8, which RFC 5456, 8.6 requires.
    pub fn text(&self, kind: u8) -> Option<&str> {
        str::from_utf8(self.get(kind)?).ok()
    }

    /// The first element of the type as a number, if it has 16 bits.
    pub fn u16(&self, kind: u8) -> Option<u16> {
        Some(u16::from_be_bytes(self.get(kind)?.as_ref().try_into().ok()?))
    }

    /// The first element of the type as a number, if it has 32 bits.
    pub fn u32(&self, kind: u8) -> Option<u32> {
        Some(u32::from_be_bytes(self.get(kind)?.as_ref().try_into().ok()?))
    }

    /// The hangup cause, if there is one.
    pub fn cause(&self) -> Option<u8> {
        self.get(CAUSE_CODE)?.first().copied()
    }

    /// The elements of the given types, in their order.
    pub fn only(&self, kinds: &[u8]) -> Self {
        Self(self.0.iter().filter(|(kind, _)| kinds.contains(kind)).cloned().collect())
    }

    /// Whether there are no elements.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
