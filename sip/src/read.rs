//! From bytes to messages. Nothing beyond [`MAX_MESSAGE_BYTES`] is kept, whatever a peer says of its length.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Bytes of the longest message that is read, head and body together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Header fields in the largest head that is read.
const MOST_HEADERS: usize = 64;

/// Why a connection's bytes can't be read on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    #[error("a message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    #[error("the first line is no SIP/2.0 request or answer")]
    StartLine,
    #[error("the header fields can't be read")]
    Headers,
    #[error("header field {0} is missing")]
    Missing(&'static str),
    #[error("header field {0} stands twice")]
    Twice(&'static str),
    #[error("header field {0} has no use for its value")]
    Value(&'static str),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    Request { method: String, uri: String },
    Response { code: u16 },
}

/// One whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub start: StartLine,
    pub call_id: String,
    /// The number and the method in CSeq.
    pub number: u32,
    pub method: String,
    headers: Vec<(String, String)>,
    pub body: Bytes,
}

impl Message {
    /// The first header field of that name.
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

/// The bytes of one connection that are not yet a message.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    /// No end of a head before this.
    seen: usize,
    broken: Option<DecodeError>,
}

impl Reader {
    /// More bytes of the connection; drain [`Reader::message`] after each call.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.broken.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Whether part of a message is waiting for the rest.
    pub fn is_midway(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next message that is whole. After an error there are no more: the stream has lost its frames.
    pub fn message(&mut self) -> Result<Option<Message>, DecodeError> {
        if let Some(unfit) = &self.broken {
            return Err(unfit.clone());
        }
        let read = self.read();
        if let Err(unfit) = &read {
            self.broken = Some(unfit.clone());
            self.buffer = BytesMut::new();
        }
        read
    }

    fn read(&mut self) -> Result<Option<Message>, DecodeError> {
        // Empty lines between messages keep a connection alive (RFC 5626, 4.4.1).
        while self.seen == 0 && self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        let Some(end) = self.buffer[self.seen..].windows(4).position(|w| w == b"\r\n\r\n") else {
            // A head that does not begin as one is not waited for.
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(DecodeError::TooLong);
            }
            if let Some(line) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                start_line(&self.buffer[..line])?;
            }
            self.seen = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        let head = self.seen + end + 4;
        // Kept, so that the head is not looked for again while its body comes in.
        self.seen = head - 4;
        if head > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        let (mut message, length) = read_head(&self.buffer[..head])?;
        if length > MAX_MESSAGE_BYTES - head {
            return Err(DecodeError::TooLong);
        }
        if self.buffer.len() < head + length {
            return Ok(None);
        }
        self.buffer.advance(head);
        message.body = Bytes::copy_from_slice(&self.buffer.split_to(length));
        self.seen = 0;
        if self.buffer.is_empty() {
            // An idle connection holds no memory.
            self.buffer = BytesMut::new();
        }
        Ok(Some(message))
    }
}

fn start_line(line: &[u8]) -> Result<StartLine, DecodeError> {
    let line = std::str::from_utf8(line).map_err(|_| DecodeError::StartLine)?;
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let code = rest.split(' ').next().and_then(|code| code.parse().ok());
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

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&b))
}

/// The head of a message, and how long its body is.
fn read_head(head: &[u8]) -> Result<(Message, usize), DecodeError> {
    let line = head.windows(2).position(|w| w == b"\r\n").ok_or(DecodeError::StartLine)?;
    let start = start_line(&head[..line])?;
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let parsed = httparse::parse_headers(&head[line + 2..], &mut fields);
    let Ok(httparse::Status::Complete((_, fields))) = parsed else { return Err(DecodeError::Headers) };
    let text = |field: &httparse::Header| {
        let value = std::str::from_utf8(field.value).map_err(|_| DecodeError::Headers)?;
        Ok((field.name.to_owned(), value.trim().to_owned()))
    };
    let headers: Vec<(String, String)> = fields.iter().map(text).collect::<Result<_, _>>()?;
    // RFC 3261, 7.3.3: some names have a short form.
    let only = |name: &'static str, short: &str| {
        let of_name =
            |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name) || n.eq_ignore_ascii_case(short);
        let mut found = headers.iter().filter(of_name);
        let (_, value) = found.next().ok_or(DecodeError::Missing(name))?;
        if found.next().is_some() { Err(DecodeError::Twice(name)) } else { Ok(value.as_str()) }
    };
    let length = only("Content-Length", "l")?;
    if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(DecodeError::Value("Content-Length"));
    }
    // More digits than fit are too long, not senseless.
    let length = length.parse::<usize>().map_err(|_| DecodeError::TooLong)?;
    let call_id = only("Call-ID", "i")?.to_owned();
    let (number, method) = match (&start, only("CSeq", "CSeq")) {
        // What wants no answer may leave it out.
        (StartLine::Request { method, .. }, Err(DecodeError::Missing(_))) => (0, method.clone()),
        (_, sequence) => {
            let (number, method) = sequence?.split_once(' ').ok_or(DecodeError::Value("CSeq"))?;
            (number.parse().map_err(|_| DecodeError::Value("CSeq"))?, method.trim().to_owned())
        }
    };
    Ok((Message { start, call_id, number, method, headers, body: Bytes::new() }, length))
}
