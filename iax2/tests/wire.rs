//! Tests of frames and elements: encodings worked out by hand from the RFC's figures, round trips, arbitrary
//! bytes.

use bytes::{Bytes, BytesMut};
use iax2::element::{self, Elements};
use iax2::frame::{self, DecodeError, Frame, Full, Mini, iax, kind};
use proptest::prelude::*;
use rstest::rstest;

#[test]
fn a_new_is_encoded_as_in_figure_two_of_the_rfc() {
    let mut body = BytesMut::new();
    Elements::new().with_u16(element::VERSION, 2).with(element::CALLED_NUMBER, "1234").write(&mut body);
    let new = Full {
        source: 0x0102,
        dest: 0,
        retransmitted: false,
        timestamp: 3,
        oseq: 0,
        iseq: 0,
        kind: kind::IAX,
        subclass: iax::NEW,
        body: body.freeze(),
    };
    let by_hand = [
        0x81, 0x02, 0x00, 0x00, 0, 0, 0, 3, 0, 0, 6, 1, // header
        0x0b, 2, 0, 2, // version
        0x01, 4, b'1', b'2', b'3', b'4', // called number
    ];
    assert_eq!(new.write()[..], by_hand);
    assert_eq!(frame::read(&Bytes::copy_from_slice(&by_hand)), Ok(Frame::Full(new)));
}

#[test]
fn a_large_subclass_is_encoded_as_a_power_of_two() {
    let bytes = [0x80, 1, 0x80, 2, 0, 0, 0, 9, 5, 6, 2, 0x8f];
    let Ok(Frame::Full(voice)) = frame::read(&Bytes::copy_from_slice(&bytes)) else { panic!("a full frame") };
    assert_eq!((voice.subclass, voice.retransmitted, voice.dest), (1 << 15, true, 2));
    assert_eq!(voice.write()[..], bytes);
}

#[rstest]
#[case::three_bytes(&[1, 2, 3], DecodeError::Short(3))]
#[case::full_cut_off(&[0x80, 1, 0, 0, 0, 0], DecodeError::ShortFull(6))]
#[case::no_source(&[0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 6, 1], DecodeError::NoSource)]
#[case::subclass_too_large(&[0x80, 1, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0xa0], DecodeError::Subclass(0xa0))]
#[case::meta_command(&[0, 0, 9, 0, 0, 0, 0, 0], DecodeError::Command(9))]
#[case::trunk_entry(&[0, 0, 1, 1, 0, 0, 0, 0, 0, 9, 0, 1, 0, 0], DecodeError::ShortEntry { wanted: 15, there: 6 })]
fn a_malformed_datagram_gives_the_matching_error(#[case] bytes: &[u8], #[case] wanted: DecodeError) {
    assert_eq!(frame::read(&Bytes::copy_from_slice(bytes)), Err(wanted));
}

fn minis() -> impl Strategy<Value = Vec<Mini>> {
    let mini = (1u16..=0x7fff, any::<u16>(), proptest::collection::vec(any::<u8>(), 0..40));
    let mini = mini.prop_map(|(source, timestamp, body)| Mini { source, timestamp, body: body.into() });
    proptest::collection::vec(mini, 0..5)
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..80)) {
        let bytes = Bytes::from(bytes);
        match frame::read(&bytes) {
            Ok(Frame::Full(full)) => {
                let rewritten = full.write();
                // 0x80 to 0x86 encode values that fit without the bit; only these are written differently.
                if !(0x80..=0x86).contains(&bytes[11]) {
                    prop_assert_eq!(&rewritten[..], &bytes[..]);
                }
                let _ = Elements::read(full.body);
            }
            Ok(Frame::Mini(mini)) => prop_assert_eq!(&mini.write()[..], &bytes[..]),
            _ => {}
        }
    }

    #[test]
    fn elements_are_read_back_as_written(all in proptest::collection::vec((any::<u8>(), proptest::collection::vec(any::<u8>(), 0..256)), 0..6)) {
        let elements = all.iter().fold(Elements::new(), |e, (kind, data)| e.with(*kind, data));
        let mut body = BytesMut::new();
        elements.write(&mut body);
        prop_assert_eq!(Elements::read(body.freeze()), Ok(elements));
    }

    #[test]
    fn trunk_frames_are_read_back_as_written(entries in minis(), timestamp in any::<u32>()) {
        let bytes = frame::write_trunk(timestamp, &entries).freeze();
        prop_assert_eq!(frame::read(&bytes), Ok(Frame::Trunk(entries)));
    }
}

#[test]
fn an_element_longer_than_its_body_is_rejected() {
    let body = Bytes::from_static(&[1, 5, b'1']);
    assert_eq!(Elements::read(body), Err(element::DecodeError::Short { kind: 1, wanted: 5, there: 1 }));
    assert_eq!(Elements::read(Bytes::from_static(&[1])), Err(element::DecodeError::NoLength(1)));
}
