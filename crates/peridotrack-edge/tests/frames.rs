//! Frames of an earlier release can be read: routers are upgraded one after the other. Frames that
//! are sent for each stream are small.

use peridotrack_budget::message::{Message, Reach};
use peridotrack_edge::peer::frame::{self, Frame};
use peridotrack_follow::message as follow_message;
use peridotrack_origin::{key, message, origins, record};
use peridotrack_types::{id, stream};
use rstest::rstest;
use serde::{Deserialize, Serialize};

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

/// The messages of followers that earlier releases know.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierMessage {
    Subscribe,
    Update(follow_message::Update),
    Fetch { after: Option<u64> },
    Snapshot(follow_message::Snapshot),
}

fn update() -> follow_message::Update {
    follow_message::Update {
        from_revision: 1,
        revision: 300,
        changes: vec![follow_message::Change {
            name: "a".into(),
            content: vec![7],
            is_removed: false,
        }],
        since_loss_us: Some(5),
    }
}

fn snapshot() -> follow_message::Snapshot {
    follow_message::Snapshot {
        is_complete: true,
        revision: 300,
        objects: vec![("a".into(), vec![7])],
    }
}

/// Guards against routers that do not understand each other while they are upgraded one after the other.
#[rstest]
#[case::subscribe(follow_message::Message::Subscribe, EarlierMessage::Subscribe)]
#[case::update(
    follow_message::Message::Update(update()),
    EarlierMessage::Update(update())
)]
#[case::fetch(
    follow_message::Message::Fetch { after: Some(4) },
    EarlierMessage::Fetch { after: Some(4) }
)]
#[case::snapshot(
    follow_message::Message::Snapshot(snapshot()),
    EarlierMessage::Snapshot(snapshot())
)]
fn messages_of_followers_that_earlier_releases_know_are_read_both_ways(
    #[case] message: follow_message::Message,
    #[case] earlier: EarlierMessage,
) {
    let bytes = postcard::to_stdvec(&message).unwrap();
    assert_eq!(postcard::to_stdvec(&earlier).unwrap(), bytes);
    assert_eq!(
        postcard::from_bytes::<EarlierMessage>(&bytes).unwrap(),
        earlier
    );
    assert_eq!(
        postcard::from_bytes::<follow_message::Message>(&bytes).unwrap(),
        message
    );
}

/// Earlier releases drop what they do not know, rather than take it for another message.
#[rstest]
#[case::subscribe(follow_message::Message::DatedSubscribe { sent_us: 3_600_000_000 })]
#[case::update(follow_message::Message::DatedUpdate(follow_message::DatedUpdate {
    subscribed_us: 3_600_000_000,
    age_us: 0,
    update: update(),
}))]
fn dated_messages_of_followers_are_unknown_to_earlier_releases(
    #[case] message: follow_message::Message,
) {
    let bytes = postcard::to_stdvec(&message).unwrap();
    assert!(postcard::from_bytes::<EarlierMessage>(&bytes).is_err());
    assert_eq!(
        postcard::from_bytes::<follow_message::Message>(&bytes).unwrap(),
        message
    );
}

/// A relay sends an update to each of up to some hundred subscribers in each wait of a watch.
#[test]
fn the_dates_of_followers_add_few_bytes_to_their_messages() {
    const DATE_BYTES: usize = 5;
    const AGE_BYTES: usize = 4;
    // Times of a process that runs for a quarter of an hour are encoded in this length.
    let sent_us = 900_000_000;
    let bytes = |message| {
        let frame = Frame::Follow {
            to: id::Incarnation(1),
            kind: "config".into(),
            message,
        };
        frame::encode(&frame).unwrap().len()
    };
    let subscribe = bytes(follow_message::Message::Subscribe);
    let dated = bytes(follow_message::Message::DatedSubscribe { sent_us });
    let confirmation = follow_message::Update::default();
    let update = bytes(follow_message::Message::Update(confirmation.clone()));
    let dated_update = bytes(follow_message::Message::DatedUpdate(
        follow_message::DatedUpdate {
            subscribed_us: sent_us,
            age_us: 1_600_000,
            update: confirmation,
        },
    ));
    println!("bytes: subscriptions {subscribe} and {dated}, updates {update} and {dated_update}");
    assert!(dated <= subscribe + DATE_BYTES);
    assert!(dated_update <= update + DATE_BYTES + AGE_BYTES);
}
