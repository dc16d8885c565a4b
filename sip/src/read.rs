//! Decodes messages. Never buffers a message longer than [`MAX_MESSAGE_BYTES`], whatever length a peer announces.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Maximum length of a message, head and body together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
const EMPTY_LINE: &[u8] = b"\r\n";
/// Maximum number of header fields of a message.
const MAX_HEADERS: usize = 64;

/// Why the data of a connection cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("a message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The start line is invalid.
    #[error("the first line is not a SIP/2.0 request or response")]
    StartLine,
    /// The header fields are malformed, too many, or not UTF-8.
    #[error("the header fields are malformed, more than {MAX_HEADERS}, or not UTF-8")]
    Headers,
    /// A required header field is missing.
    #[error("header field {0} is missing")]
    Missing(&'static str),
    /// A header field that may appear once is repeated.
    #[error("header field {0} appears twice, wanted once")]
    Duplicate(&'static str),
    /// A header field has an invalid value.
    #[error("header field {0} has an invalid value")]
    InvalidValue(&'static str),
}

/// The first line of a message.
#[derive(Clone, PartialEq, Eq)]
pub enum StartLine {
    /// Of a request.
    Request { method: String, uri: String },
    /// Of a response, with its status code.
    Response { code: u16 },
}

/// The log shows these names under the label `start`; they stay when a variant or a field is renamed.
impl fmt::Debug for StartLine {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Request { method, uri } => {
                f.debug_struct("Request").field("method", method).field("uri", uri).finish()
            }
            Self::Response { code } => f.debug_struct("Answer").field("code", code).finish(),
        }
    }
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The start line.
    pub start: StartLine,
    /// The value of Call-ID.
    pub call_id: String,
    /// The number in CSeq, or 0 for a request without one.
    pub number: u32,
    /// The method in CSeq, or that of a request without one.
    pub method: String,
    headers: Vec<(String, String)>,
    /// The body, of Content-Length bytes.
    pub body: Bytes,
}

impl Message {
    /// The value of the first header field with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The cause in `Reason: Q.850;cause=N` (RFC 3326).
    pub fn q850_cause(&self) -> Option<u8> {
        let mut parts = self.header("Reason")?.split(';').map(str::trim);
        if !parts.next()?.eq_ignore_ascii_case("Q.850") {
            return None;
        }
        parts.find_map(|part| part.strip_prefix("cause=")).and_then(|cause| cause.trim().parse().ok())
    }
}

/// Decodes the messages of one connection.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    /// Bytes of the buffer in which no head ends.
    scanned: usize,
    error: Option<DecodeError>,
}

impl Reader {
    /// Adds bytes received on the connection. Drain [`Reader::message`] after each call.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Whether an incomplete message is waiting for the rest.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an empty line follows the last message. It is skipped as one that keeps a connection alive, but it
    /// may also be the end of a body whose length was wrong.
    pub fn is_at_empty_line(&self) -> bool {
        self.scanned == 0 && self.buffer.starts_with(EMPTY_LINE)
    }

    /// The next complete message, if any.
    ///
    /// # Errors
    ///
    /// Fails on invalid data, and from then on with the same error, as message boundaries are lost.
    pub fn message(&mut self) -> Result<Option<Message>, DecodeError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let parsed = self.parse_next();
        if let Err(error) = &parsed {
            self.error = Some(error.clone());
            self.buffer = BytesMut::new();
        }
        parsed
    }

    fn parse_next(&mut self) -> Result<Option<Message>, DecodeError> {
        // Skip empty lines between messages, which keep a connection alive (RFC 5626, 4.4.1).
        while self.is_at_empty_line() {
            self.buffer.advance(EMPTY_LINE.len());
        }
        let Some(end) = self.buffer[self.scanned..].windows(4).position(|w| w == b"\r\n\r\n") else {
            // Check the start line now rather than wait for the rest of an invalid head.
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(DecodeError::TooLong);
            }
            if let Some(line) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                parse_start_line(&self.buffer[..line])?;
            }
            self.scanned = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        let head_bytes = self.scanned + end + 4;
        // Remember the head's end, so that it is not searched again while the body arrives.
        self.scanned = head_bytes - 4;
        if head_bytes > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        let (mut message, length) = parse_head(&self.buffer[..head_bytes])?;
        if length > MAX_MESSAGE_BYTES - head_bytes {
            return Err(DecodeError::TooLong);
        }
        if self.buffer.len() < head_bytes + length {
            return Ok(None);
        }
        self.buffer.advance(head_bytes);
        message.body = Bytes::copy_from_slice(&self.buffer.split_to(length));
        self.scanned = 0;
        if self.buffer.is_empty() {
            // Free the memory of an idle connection.
            self.buffer = BytesMut::new();
        }
        Ok(Some(message))
    }
}

fn parse_start_line(line: &[u8]) -> Result<StartLine, DecodeError> {
    let line = std::str::from_utf8(line).map_err(|_| DecodeError::StartLine)?;
    if let Some(remaining) = line.strip_prefix("SIP/2.0 ") {
        let code = remaining.split(' ').next().and_then(|code| code.parse().ok());
        let code = code.filter(|code| (100..700).contains(code));
        return Ok(StartLine::Response { code: code.ok_or(DecodeError::StartLine)? });
    }
    let parts: Vec<&str> = line.split(' ').collect();
    match parts[..] {
        [method, uri, "SIP/2.0"] if !uri.is_empty() && is_token(method) => {
            Ok(StartLine::Request { method: method.to_owned(), uri: uri.to_owned() })
        }
        _ => Err(DecodeError::StartLine),
    }
}

/// Whether the text is a token (RFC 3261, 25.1).
fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&b))
}

/// Parses the head of a message. Returns the message without its body, and the length of the body.
fn parse_head(head: &[u8]) -> Result<(Message, usize), DecodeError> {
    let line = head.windows(2).position(|w| w == b"\r\n").ok_or(DecodeError::StartLine)?;
    let start = parse_start_line(&head[..line])?;
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = httparse::parse_headers(&head[line + 2..], &mut fields);
    let Ok(httparse::Status::Complete((_, fields))) = parsed else { return Err(DecodeError::Headers) };
    let text = |field: &httparse::Header| {
        let value = std::str::from_utf8(field.value).map_err(|_| DecodeError::Headers)?;
        Ok((field.name.to_owned(), value.trim().to_owned()))
    };
    let headers: Vec<(String, String)> = fields.iter().map(text).collect::<Result<_, _>>()?;
    // Some names have a short form (RFC 3261, 7.3.3).
    let single_header = |name: &'static str, short: &str| {
        let has_name =
            |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name) || n.eq_ignore_ascii_case(short);
        let mut found = headers.iter().filter(has_name);
        let (_, value) = found.next().ok_or(DecodeError::Missing(name))?;
        if found.next().is_some() { Err(DecodeError::Duplicate(name)) } else { Ok(value.as_str()) }
    };
    let length = single_header("Content-Length", "l")?;
    if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(DecodeError::InvalidValue("Content-Length"));
    }
    // A length that does not fit into a number is too long, not malformed.
    let length = length.parse::<usize>().map_err(|_| DecodeError::TooLong)?;
    let call_id = single_header("Call-ID", "i")?.to_owned();
    let (number, method) = match (&start, single_header("CSeq", "CSeq")) {
        // Requests that need no response may omit it.
        (StartLine::Request { method, .. }, Err(DecodeError::Missing(_))) => (0, method.clone()),
        (_, sequence) => {
            let (number, method) = sequence?.split_once(' ').ok_or(DecodeError::InvalidValue("CSeq"))?;
            (number.parse().map_err(|_| DecodeError::InvalidValue("CSeq"))?, method.trim().to_owned())
        }
    };
    Ok((Message { start, call_id, number, method, headers, body: Bytes::new() }, length))
}
