//! Tests of decoding complete, split, corrupt and too long streams.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use sip::{DecodeError, MAX_MESSAGE_BYTES, Message, Reader, Request, Response, StartLine};

fn read_all(reader: &mut Reader) -> Result<Vec<Message>, DecodeError> {
    std::iter::from_fn(|| reader.message().transpose()).collect()
}

fn invite_with(body: &[u8]) -> Vec<u8> {
    let headers = &[("X-Tier", "voice"), ("X-Deadline", "1500")];
    let (method, uri, call_id) = ("INVITE", "sip:7f3a9c21e0b4d655@net", "9b1f03aa5c7e2d41");
    Request { method, uri, call_id, number: 1, headers, body }.write()
}

fn response_with(body: &[u8]) -> Vec<u8> {
    let headers = &[("X-Gauges", "x0:12;x1:40")];
    let call_id = "9b1f03aa5c7e2d41";
    Response { code: 200, phrase: "OK", call_id, number: 1, method: "INVITE", headers, body }.write()
}

#[test]
fn written_messages_are_read_back() {
    let mut reader = Reader::default();
    reader.feed(&invite_with(b"v=0\r\n\r\n\xff"));
    reader.feed(&response_with(b""));
    let messages = read_all(&mut reader).unwrap();
    let [invite, ok] = &messages[..] else { panic!("{messages:?}") };
    let uri = "sip:7f3a9c21e0b4d655@net".to_owned();
    assert_eq!(invite.start, StartLine::Request { method: "INVITE".to_owned(), uri });
    assert_eq!((invite.header("x-deadline"), &invite.body[..]), (Some("1500"), &b"v=0\r\n\r\n\xff"[..]));
    assert_eq!((&ok.start, ok.number, ok.method.as_str()), (&StartLine::Response { code: 200 }, 1, "INVITE"));
    assert_eq!(ok.body, Bytes::new());
}

#[test]
fn a_notify_without_cseq_is_read() {
    let mut reader = Reader::default();
    reader.feed(b"NOTIFY sip:a@net SIP/2.0\r\ni: 0000000000000001\r\nX-Gauges: x0:3\r\nl: 0\r\n\r\n");
    assert_eq!(read_all(&mut reader).unwrap()[0].header("X-Gauges"), Some("x0:3"));
}

#[rstest]
#[case::cleared("Q.850;cause=16", Some(16))]
#[case::with_a_text("Q.850 ; cause=41 ; text=\"cut\"", Some(41))]
#[case::another_protocol("SIP;cause=200", None)]
#[case::no_number("Q.850;cause=x", None)]
fn the_q850_cause_of_a_release_is_read(#[case] reason: &str, #[case] cause: Option<u8>) {
    let headers = &[("Reason", reason)];
    let (method, uri, call_id) = ("BYE", "sip:a@net", "9b1f03aa5c7e2d41");
    let mut reader = Reader::default();
    reader.feed(&Request { method, uri, call_id, number: 1, headers, body: b"" }.write());
    assert_eq!(reader.message().unwrap().unwrap().q850_cause(), cause);
}

#[rstest]
#[case::noise(b"\x00\xfe\x1b garbage\r\n".to_vec(), DecodeError::StartLine)]
#[case::invalid_status_code(b"SIP/2.0 9999 OK\r\n\r\n".to_vec(), DecodeError::StartLine)]
#[case::no_length(b"SIP/2.0 200 OK\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(), DecodeError::Missing("Content-Length"))]
#[case::two_lengths(
    b"SIP/2.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::Duplicate("Content-Length")
)]
#[case::negative_length(
    b"SIP/2.0 200 OK\r\nContent-Length: -5\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::InvalidValue("Content-Length")
)]
#[case::three_gigabytes(
    b"SIP/2.0 200 OK\r\nContent-Length: 3000000000\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::TooLong
)]
#[case::length_that_fits_no_number(
    b"SIP/2.0 200 OK\r\nContent-Length: 99999999999999999999999\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::TooLong
)]
#[case::no_call_id(b"SIP/2.0 200 OK\r\nContent-Length: 0\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(), DecodeError::Missing("Call-ID"))]
#[case::response_without_cseq(b"SIP/2.0 200 OK\r\nContent-Length: 0\r\nCall-ID: a\r\n\r\n".to_vec(), DecodeError::Missing("CSeq"))]
#[case::too_long_line(vec![b'a'; MAX_MESSAGE_BYTES + 1], DecodeError::TooLong)]
fn invalid_data_ends_the_stream(#[case] bytes: Vec<u8>, #[case] expected: DecodeError) {
    let mut reader = Reader::default();
    reader.feed(&bytes);
    assert_eq!(reader.message(), Err(expected.clone()));
    reader.feed(&response_with(b""));
    assert_eq!(reader.message(), Err(expected), "the error is permanent");
    assert!(!reader.has_partial_message(), "no data is kept");
}

#[test]
fn a_response_before_invalid_data_is_returned() {
    let mut reader = Reader::default();
    reader.feed(&[response_with(b"v=0\r\n"), b"noise noise\r\n".to_vec()].concat());
    assert_eq!(reader.message().unwrap().unwrap().body, Bytes::from_static(b"v=0\r\n"));
    assert_eq!(reader.message(), Err(DecodeError::StartLine));
}

proptest! {
    #[test]
    fn splitting_a_stream_does_not_change_its_messages(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..6),
        cuts in prop::collection::vec(1usize..120, 1..40),
    ) {
        let stream: Vec<u8> = bodies.iter().flat_map(|body| response_with(body)).collect();
        let mut whole = Reader::default();
        whole.feed(&stream);
        let expected = read_all(&mut whole).unwrap();
        prop_assert_eq!(expected.len(), bodies.len());
        let (mut reader, mut messages, mut remaining) = (Reader::default(), Vec::new(), &stream[..]);
        for cut in cuts.iter().cycle() {
            let (bytes, after) = remaining.split_at((*cut).min(remaining.len()));
            remaining = after;
            reader.feed(bytes);
            messages.extend(read_all(&mut reader).unwrap());
            if remaining.is_empty() {
                break;
            }
        }
        prop_assert_eq!(messages, expected);
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..600), 0..8)) {
        let mut reader = Reader::default();
        for chunk in chunks {
            reader.feed(&chunk);
            while let Ok(Some(_)) = reader.message() {}
        }
    }
}

#[rstest]
#[case(
    StartLine::Request { method: "INVITE".to_owned(), uri: "sip:7f3a9c21e0b4d655@net".to_owned() },
    r#"Request { method: "INVITE", uri: "sip:7f3a9c21e0b4d655@net" }"#
)]
#[case(StartLine::Response { code: 503 }, "Answer { code: 503 }")]
fn start_lines_keep_their_names_in_the_log(#[case] start: StartLine, #[case] logged: &str) {
    assert_eq!(format!("{start:?}"), logged);
}
