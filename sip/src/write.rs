//! Encodes messages.

use std::fmt::Write;

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method, also written to CSeq.
    pub method: &'a str,
    /// The request URI.
    pub uri: &'a str,
    /// The value of Call-ID.
    pub call_id: &'a str,
    /// The number in CSeq.
    pub number: u32,
    /// Further header fields. Values must not contain line breaks, which would end the field.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// The bytes of the message.
    pub fn write(&self) -> Vec<u8> {
        let mut head = format!("{} {} SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n", self.method, self.uri);
        write_headers_and_body(&mut head, self.call_id, self.number, self.method, self.headers, self.body)
    }
}

/// A response to a request, with that request's CSeq.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// The status code.
    pub code: u16,
    /// The reason phrase.
    pub phrase: &'a str,
    /// The value of Call-ID.
    pub call_id: &'a str,
    /// The number in CSeq.
    pub number: u32,
    /// The method in CSeq.
    pub method: &'a str,
    /// Further header fields. Values must not contain line breaks.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

impl Response<'_> {
    /// The bytes of the message.
    pub fn write(&self) -> Vec<u8> {
        let mut head = format!("SIP/2.0 {} {}\r\nVia: SIP/2.0/TCP peer\r\n", self.code, self.phrase);
        write_headers_and_body(&mut head, self.call_id, self.number, self.method, self.headers, self.body)
    }
}

/// Completes a message that so far has its start line and Via.
fn write_headers_and_body(
    head: &mut String,
    call_id: &str,
    number: u32,
    method: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let _ = write!(head, "Call-ID: {call_id}\r\nCSeq: {number} {method}\r\n");
    for (name, value) in headers {
        debug_assert!(!value.contains(['\r', '\n']), "header field {name} contains a line break");
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = std::mem::take(head).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
