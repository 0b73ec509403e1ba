//! Frames: authentication, length limits, and decoding of arbitrary bytes.

use hornbeam_model::{OrderIndex, Revision, ServerId, ZoneOrders};
use hornbeam_protocol::discovery::{ControllerMessage, ControllerStatement, FeedDown};
use hornbeam_protocol::features::Features;
use hornbeam_protocol::{
    ConfigState, Digest, DigestEntry, Envelope, FrameError, FrameKey, MAX_DATAGRAM_BYTES,
    MAX_STREAM_BYTES, Message, ViewChange, ViewChanges, ViewKey,
};
use proptest::prelude::*;

fn open(frame: &[u8], max: usize) -> Result<Envelope, FrameError> {
    key().open(frame, max)
}

fn key() -> FrameKey {
    FrameKey::new(b"a key that the tests share")
}

fn envelope(message: Message) -> Envelope {
    let (from, to) = ("a".parse().unwrap(), "b".parse().unwrap());
    Envelope { from, to, session: 3, seq: 9, message }
}

fn sample() -> Message {
    let entry = |n: u64| DigestEntry { view: ViewKey(n as u32), version: n * 7, age_ms: n as u32 };
    let config = ConfigState { revision: Revision(4), ..ConfigState::default() };
    Message::Digest(Digest { views: (0..20).map(entry).collect(), config })
}

#[test]
fn round_trip() {
    let frame = key().seal(&envelope(sample()), MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(open(&frame, MAX_DATAGRAM_BYTES).unwrap(), envelope(sample()));
}

#[test]
fn flipped_bits() {
    let frame = key().seal(&envelope(sample()), MAX_DATAGRAM_BYTES).unwrap();
    for at in 0..frame.len() {
        for bit in 0..8 {
            let mut damaged = frame.clone();
            damaged[at] ^= 1 << bit;
            assert!(open(&damaged, MAX_DATAGRAM_BYTES).is_err(), "byte {at} bit {bit}");
        }
    }
}

#[test]
fn wrong_length() {
    let frame = key().seal(&envelope(sample()), MAX_DATAGRAM_BYTES).unwrap();
    for length in 0..frame.len() {
        assert!(open(&frame[..length], MAX_DATAGRAM_BYTES).is_err(), "{length} bytes");
    }
    let mut longer = frame;
    longer.push(0);
    assert_eq!(open(&longer, MAX_DATAGRAM_BYTES), Err(FrameError::Tag));
}

#[test]
fn oversized() {
    let server = |n: usize| ViewChange::Gone(format!("server-{n}").parse::<ServerId>().unwrap());
    let changes = (0..100_000).map(server).collect();
    let message = Message::Changes(ViewChanges {
        registrar: "r".parse().unwrap(),
        incarnation: hornbeam_model::Incarnation(1),
        from: 0,
        to: 1,
        age_ms: None,
        changes,
    });
    let sealed = key().seal(&envelope(message.clone()), MAX_DATAGRAM_BYTES);
    assert!(matches!(sealed, Err(FrameError::TooLong { .. })));
    let frame = key().seal(&envelope(message), MAX_STREAM_BYTES).unwrap();
    let opened = open(&frame, MAX_DATAGRAM_BYTES);
    assert!(matches!(opened, Err(FrameError::Length { .. })));
}

#[test]
fn different_key() {
    let frame = key().seal(&envelope(sample()), MAX_DATAGRAM_BYTES).unwrap();
    let other = FrameKey::new(b"another key of the tests");
    assert_eq!(other.open::<Envelope>(&frame, MAX_DATAGRAM_BYTES), Err(FrameError::Tag));
    assert!(!format!("{other:?}").contains("another"), "the key must not be printed");
}

proptest! {
    #[test]
    fn arbitrary_frame(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(open(&bytes, MAX_STREAM_BYTES).is_err());
    }

    /// With a valid tag, an arbitrary body reaches the decoder, which must return an error or an
    /// envelope that can be encoded again.
    #[test]
    fn arbitrary_body(body in prop::collection::vec(any::<u8>(), 1..2_000)) {
        let mut frame = vec![1];
        frame.extend_from_slice(&key().tag(&body));
        frame.extend_from_slice(&body);
        if let Ok(envelope) = open(&frame, MAX_STREAM_BYTES) {
            prop_assert!(key().seal(&envelope, MAX_STREAM_BYTES).is_ok());
        }
    }
}

/// A controller's heartbeat as the build before the orders about zones sealed it.
const OLD_HEARTBEAT: &[u8] = &[
    0x01, 0x69, 0x0b, 0xa6, 0x2e, 0x6b, 0x21, 0xf6, 0x46, 0x76, 0xf5, 0x21, 0x39, 0x6b, 0xd3, 0xa2,
    0xca, 0x08, 0x31, 0x30, 0x2e, 0x30, 0x2e, 0x30, 0x2e, 0x31, 0x08, 0x31, 0x30, 0x2e, 0x30, 0x2e,
    0x30, 0x2e, 0x32, 0x09, 0x04, 0x09, 0x00, 0x01, 0x08, 0x31, 0x30, 0x2e, 0x30, 0x2e, 0x30, 0x2e,
    0x31, 0x01,
];
/// A fleet status on a feed, as the same build encoded it.
const OLD_FLEET_STATUS: &[u8] = b"\x02\x01\x0810.0.0.1\x03\x07\x00";

/// Builds run side by side while instances are replaced, so each must read the other's messages.
#[test]
fn formats_of_the_build_before() {
    let key = FrameKey::new(b"a shared secret for tests");
    let (old, statement): (Envelope, Option<ControllerStatement>) =
        key.open_with(OLD_HEARTBEAT, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(statement, None);
    let name = "10.0.0.1".parse().unwrap();
    let heartbeat = ControllerMessage::Heartbeat { known: vec![name], leads: true };
    assert_eq!(old.message, Message::Controller(heartbeat));

    let zones = vec!["tabor".parse().unwrap()];
    let stated = ControllerStatement { features: Features::ZONE_ORDERS, zones };
    let frame = key.seal_with(&old, &stated, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(frame[frame.len() - 8..], *b"\x04\x01\x05tabor");
    // The build before opens the frame without an addition.
    assert_eq!(key.open::<Envelope>(&frame, MAX_DATAGRAM_BYTES).unwrap(), old);
    assert_eq!(key.open_with(&frame, MAX_DATAGRAM_BYTES).unwrap(), (old, Some(stated)));

    let status: FeedDown = postcard::from_bytes(OLD_FLEET_STATUS).unwrap();
    assert!(matches!(&status, FeedDown::FleetStatus(s) if s.entries == 3 && s.table.0 == 7));
    let evacuated = ["tabor".parse().unwrap()].into();
    let orders = ZoneOrders { index: OrderIndex(9), evacuated };
    assert_eq!(postcard::to_allocvec(&orders).unwrap(), b"\x09\x01\x05tabor");
}
