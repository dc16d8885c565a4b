//! From messages to bytes.

use std::fmt::Write;

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub uri: &'a str,
    pub call_id: &'a str,
    pub number: u32,
    /// Further header fields. A value with a line break would end its field, so none may hold one.
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn write(&self) -> Vec<u8> {
        let mut head = format!("{} {} SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n", self.method, self.uri);
        finish(&mut head, self.call_id, self.number, self.method, self.headers, self.body)
    }
}

/// An answer to a request, with that request's CSeq.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    pub code: u16,
    pub phrase: &'a str,
    pub call_id: &'a str,
    pub number: u32,
    pub method: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Response<'_> {
    pub fn write(&self) -> Vec<u8> {
        let mut head = format!("SIP/2.0 {} {}\r\nVia: SIP/2.0/TCP peer\r\n", self.code, self.phrase);
        finish(&mut head, self.call_id, self.number, self.method, self.headers, self.body)
    }
}

fn finish(
    head: &mut String,
    call_id: &str,
    number: u32,
    method: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let _ = write!(head, "Call-ID: {call_id}\r\nCSeq: {number} {method}\r\n");
    for (name, value) in headers {
        debug_assert!(!value.contains(['\r', '\n']), "header field {name} holds a line break");
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = std::mem::take(head).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
