//! The part of SIP (RFC 3261) over TCP that call set-up needs, without I/O.
//!
//! [`Reader::feed`] takes the bytes received on a connection, and [`Reader::message`] returns whole messages or the
//! error that ends the stream. [`Request`] and [`Response`] write messages. Matching messages to calls is left to the
//! user of this crate.

#![forbid(unsafe_code)]

mod read;
mod write;

pub use read::{DecodeError, MAX_MESSAGE_BYTES, Message, Reader, StartLine};
pub use write::{Request, Response};
