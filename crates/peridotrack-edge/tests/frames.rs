//! Frames of an earlier release can be read: routers are upgraded one after the other. Frames that
//! are sent for each stream are small.

use peridotrack_budget::message::{Message, Reach};
use peridotrack_edge::peer::frame::{self, Frame};
use peridotrack_origin::{key, message, origins, record};
use peridotrack_types::{id, stream};

fn token_request(available_tokens: u64) -> Frame {
    Frame::Budget {
        to: id::Incarnation(1),
        message: Message::TokenRequest {
            budget: "t-1".into(),
            need_tokens: 1_000,
            desired_tokens: 2_000,
            reach: Reach::Fleet,
            member_version: 3,
            received_tokens: 4_000,
            available_tokens,
        },
    }
}

#[test]
fn a_token_request_that_ends_before_its_last_field_is_read() {
    let encoded = frame::encode(&token_request(0)).unwrap();
    let body = &encoded[frame::LENGTH_BYTES..];
    let decoded = |body: &[u8]| match frame::decode(body).unwrap() {
        Frame::Budget { message, .. } => message,
        other => panic!("{other:?}"),
    };
    assert_eq!(decoded(&body[..body.len() - 1]), decoded(body));
}

/// Bytes per second that a router sends for control, at the size to design for.
const CONTROL_BYTES_PER_S: f64 = 4_096.0;
/// Requests per second of one router at that size.
const REQUESTS_PER_S: f64 = 8.5;
/// Part of these bytes for telling the homes of streams where they began.
const ORIGINS_PART: f64 = 0.25;

#[test]
fn telling_the_homes_of_all_streams_stays_within_its_part_of_the_control_bytes() {
    let record = record::Record {
        service: "lm-desk".into(),
        origin: stream::Origin {
            backend_server: "i-6e8a12ac8e".into(),
            software_version: Some("v1.2.10".into()),
        },
    };
    let key = key::of_stream(b"secret", "lowu850", "7fb48ce8ed7488ac");
    let frame = frame::Frame::Origin(message::Message::Began { key, record });
    let bytes = frame::encode(&frame).unwrap().len() as f64;
    let homes = origins::Options::default().homes as f64;
    let bytes_per_s = bytes * homes * REQUESTS_PER_S;
    println!("{bytes} bytes a message, {bytes_per_s} a second");
    assert!(bytes_per_s < ORIGINS_PART * CONTROL_BYTES_PER_S);
}

/// Postcard encodes variants by position, and an earlier release reads the frames that it knows.
#[test]
fn a_request_for_a_tunnel_is_encoded_after_all_earlier_frames() {
    let frame = Frame::Tunnel {
        to: id::Incarnation(1),
        backend_server: "i-0".into(),
    };
    let encoded = frame::encode(&frame).unwrap();
    assert_eq!(
        encoded[frame::LENGTH_BYTES..],
        *b"\x0f\x100000000000000001\x03i-0"
    );
    assert_eq!(frame.recipient(), Some(id::Incarnation(1)));
}
