//! What a stream of bytes is read as, whole, split, spoilt or endless.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use sip::{DecodeError, MAX_MESSAGE_BYTES, Message, Reader, Request, Response, StartLine};

fn all(reader: &mut Reader) -> Result<Vec<Message>, DecodeError> {
    std::iter::from_fn(|| reader.message().transpose()).collect()
}

fn setup(body: &[u8]) -> Vec<u8> {
    let headers = &[("X-Tier", "voice"), ("X-Deadline", "1500")];
    let (method, uri, call_id) = ("INVITE", "sip:7f3a9c21e0b4d655@net", "9b1f03aa5c7e2d41");
    Request { method, uri, call_id, number: 1, headers, body }.write()
}

fn answer(body: &[u8]) -> Vec<u8> {
    let headers = &[("X-Gauges", "x0:12;x1:40")];
    let call_id = "9b1f03aa5c7e2d41";
    Response { code: 200, phrase: "OK", call_id, number: 1, method: "INVITE", headers, body }.write()
}

#[test]
fn what_is_written_is_read_again() {
    let mut reader = Reader::default();
    reader.feed(&setup(b"v=0\r\n\r\n\xff"));
    reader.feed(&answer(b""));
    let found = all(&mut reader).unwrap();
    let [invite, ok] = &found[..] else { panic!("{found:?}") };
    let uri = "sip:7f3a9c21e0b4d655@net".to_owned();
    assert_eq!(invite.start, StartLine::Request { method: "INVITE".to_owned(), uri });
    assert_eq!((invite.header("x-deadline"), &invite.body[..]), (Some("1500"), &b"v=0\r\n\r\n\xff"[..]));
    assert_eq!((&ok.start, ok.number, ok.method.as_str()), (&StartLine::Response { code: 200 }, 1, "INVITE"));
    assert_eq!(ok.body, Bytes::new());
}

#[test]
fn a_notice_without_a_sequence_is_read() {
    let mut reader = Reader::default();
    reader.feed(b"NOTIFY sip:a@net SIP/2.0\r\ni: 0000000000000001\r\nX-Gauges: x0:3\r\nl: 0\r\n\r\n");
    assert_eq!(all(&mut reader).unwrap()[0].header("X-Gauges"), Some("x0:3"));
}

#[rstest]
#[case::cleared("Q.850;cause=16", Some(16))]
#[case::with_a_text("Q.850 ; cause=41 ; text=\"cut\"", Some(41))]
#[case::another_protocol("SIP;cause=200", None)]
#[case::no_number("Q.850;cause=x", None)]
fn a_release_names_its_cause(#[case] reason: &str, #[case] cause: Option<u8>) {
    let headers = &[("Reason", reason)];
    let (method, uri, call_id) = ("BYE", "sip:a@net", "9b1f03aa5c7e2d41");
    let mut reader = Reader::default();
    reader.feed(&Request { method, uri, call_id, number: 1, headers, body: b"" }.write());
    assert_eq!(reader.message().unwrap().unwrap().q850_cause(), cause);
}

#[rstest]
#[case::noise(b"\x00\xfe\x1b garbage\r\n".to_vec(), DecodeError::StartLine)]
#[case::a_strange_code(b"SIP/2.0 9999 OK\r\n\r\n".to_vec(), DecodeError::StartLine)]
#[case::no_length(b"SIP/2.0 200 OK\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(), DecodeError::Missing("Content-Length"))]
#[case::two_lengths(
    b"SIP/2.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::Twice("Content-Length")
)]
#[case::a_negative_length(
    b"SIP/2.0 200 OK\r\nContent-Length: -5\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::Value("Content-Length")
)]
#[case::three_gigabytes(
    b"SIP/2.0 200 OK\r\nContent-Length: 3000000000\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::TooLong
)]
#[case::a_length_past_any_number(
    b"SIP/2.0 200 OK\r\nContent-Length: 99999999999999999999999\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(),
    DecodeError::TooLong
)]
#[case::no_call(b"SIP/2.0 200 OK\r\nContent-Length: 0\r\nCSeq: 1 INVITE\r\n\r\n".to_vec(), DecodeError::Missing("Call-ID"))]
#[case::an_answer_to_nothing(b"SIP/2.0 200 OK\r\nContent-Length: 0\r\nCall-ID: a\r\n\r\n".to_vec(), DecodeError::Missing("CSeq"))]
#[case::an_endless_line(vec![b'a'; MAX_MESSAGE_BYTES + 1], DecodeError::TooLong)]
fn what_is_spoilt_ends_the_stream(#[case] bytes: Vec<u8>, #[case] why: DecodeError) {
    let mut reader = Reader::default();
    reader.feed(&bytes);
    assert_eq!(reader.message(), Err(why.clone()));
    reader.feed(&answer(b""));
    assert_eq!(reader.message(), Err(why), "after that no more is read");
    assert!(!reader.is_midway(), "and nothing is kept");
}

#[test]
fn an_answer_is_passed_on_before_the_noise_behind_it() {
    let mut reader = Reader::default();
    reader.feed(&[answer(b"v=0\r\n"), b"noise noise\r\n".to_vec()].concat());
    assert_eq!(reader.message().unwrap().unwrap().body, Bytes::from_static(b"v=0\r\n"));
    assert_eq!(reader.message(), Err(DecodeError::StartLine));
}

proptest! {
    #[test]
    fn however_a_stream_is_split_its_messages_are_the_same(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..6),
        cuts in prop::collection::vec(1usize..120, 1..40),
    ) {
        let stream: Vec<u8> = bodies.iter().flat_map(|body| answer(body)).collect();
        let mut whole = Reader::default();
        whole.feed(&stream);
        let wanted = all(&mut whole).unwrap();
        prop_assert_eq!(wanted.len(), bodies.len());
        let (mut reader, mut found, mut rest) = (Reader::default(), Vec::new(), &stream[..]);
        for cut in cuts.iter().cycle() {
            let (bytes, behind) = rest.split_at((*cut).min(rest.len()));
            rest = behind;
            reader.feed(bytes);
            found.extend(all(&mut reader).unwrap());
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(found, wanted);
    }

    #[test]
    fn no_bytes_do_harm(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..600), 0..8)) {
        let mut reader = Reader::default();
        for chunk in chunks {
            reader.feed(&chunk);
            while let Ok(Some(_)) = reader.message() {}
        }
    }
}
