//! SIP (RFC 3261) over TCP, as far as setting calls up takes it, without I/O.
//!
//! [`Reader::feed`] takes a connection's bytes as they come, [`Reader::message`] gives whole messages or says why
//! there will be no more. [`Request`] and [`Response`] write messages. Which call a message is of, and what that
//! means, is for the caller to say.

#![forbid(unsafe_code)]

mod read;
mod write;

pub use read::{DecodeError, MAX_MESSAGE_BYTES, Message, Reader, StartLine};
pub use write::{Request, Response};
