//! Information elements (RFC 5456, 8.6): a type, a length, and so many bytes.
//!
//! [`Elements::read`] takes the body of a full frame apart, bounded by its datagram; unknown elements are
//! kept and may be passed over. [`Elements::write`] puts them together again in the same order.

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

/// The version that every NEW states first (RFC 5456, 8.6.10).
pub const PROTOCOL_VERSION: u16 = 2;

/// What is wrong with the body of a frame.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("element {0:#04x}: its length byte is missing")]
    NoLength(u8),
    #[error("element {kind:#04x}: {wanted} bytes announced, {there} there")]
    Short { kind: u8, wanted: usize, there: usize },
}

/// The information elements of one frame, in their order.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Elements(Vec<(u8, Bytes)>);

impl fmt::Debug for Elements {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_map().entries(self.0.iter().map(|(kind, data)| (kind, data))).finish()
    }
}

impl Elements {
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a body apart; each element is a view of it, not a copy.
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

    pub fn write(&self, out: &mut BytesMut) {
        for (kind, data) in &self.0 {
            out.put_u8(*kind);
            out.put_u8(data.len() as u8);
            out.put_slice(data);
        }
    }

    /// Adds an element; data past 255 bytes is cut, as no element can be longer.
    pub fn with(mut self, kind: u8, data: impl AsRef<[u8]>) -> Self {
        let data = data.as_ref();
        self.0.push((kind, Bytes::copy_from_slice(&data[..data.len().min(255)])));
        self
    }

    pub fn with_u16(self, kind: u8, value: u16) -> Self {
        self.with(kind, value.to_be_bytes())
    }

    pub fn with_u32(self, kind: u8, value: u32) -> Self {
        self.with(kind, value.to_be_bytes())
    }

    pub fn with_cause(self, code: u8) -> Self {
        self.with(CAUSE_CODE, [code])
    }

    /// The first element of the kind.
    pub fn get(&self, kind: u8) -> Option<&Bytes> {
        self.0.iter().find(|(k, _)| *k == kind).map(|(_, data)| data)
    }

    /// The first element of the kind as text; `None` where it is no UTF-8 (RFC 5456, 8.6 asks for it).
    pub fn text(&self, kind: u8) -> Option<&str> {
        str::from_utf8(self.get(kind)?).ok()
    }

    pub fn u16(&self, kind: u8) -> Option<u16> {
        Some(u16::from_be_bytes(self.get(kind)?.as_ref().try_into().ok()?))
    }

    pub fn u32(&self, kind: u8) -> Option<u32> {
        Some(u32::from_be_bytes(self.get(kind)?.as_ref().try_into().ok()?))
    }

    /// The hangup cause, if one is told.
    pub fn cause(&self) -> Option<u8> {
        self.get(CAUSE_CODE)?.first().copied()
    }

    /// Those of the given kinds, in the order they stand here.
    pub fn only(&self, kinds: &[u8]) -> Self {
        Self(self.0.iter().filter(|(kind, _)| kinds.contains(kind)).cloned().collect())
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
