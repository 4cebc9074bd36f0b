//! Frames of an earlier release can be read: routers are upgraded one after the other.

use peridotrack_budget::message::{Message, Reach};
use peridotrack_edge::peer::frame::{self, Frame};
use peridotrack_types::id;

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
