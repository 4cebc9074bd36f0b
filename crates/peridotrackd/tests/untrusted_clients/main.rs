//! Clients that exceed what a VM can hold: the gateway survives, stays within the memory and the
//! descriptors that its settings state, and answers an ordinary request afterwards.
//!
//! Each test starts a real gateway with lowered limits and a fixed crowd of clients. Nothing here
//! depends on the speed of the machine. The tests run one at a time.

mod crowd;
mod gateway;

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use crowd::{Client, Crowd};
use gateway::{Fixture, MAX_BODY_BYTES};
use peridotrack_standin::harness::http::{block_on, fetch};
use rstest::rstest;

/// Clients of a crowd that sends bodies; together they send more than the memory of the VM.
const BODY_CLIENTS: usize = 96;
/// Clients of a crowd that only opens connections: more than the descriptors of the process.
const CONNECTION_CLIENTS: usize = 400;
/// Bytes that a client keeps back, so that its body is not complete.
const WITHHELD_BYTES: usize = 64;
/// Bytes of a body that a client sends although it is over the limit.
const OVER_LIMIT_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Bytes that a client passes to the operating system at once unless a case says otherwise.
const BODY_PIECE_BYTES: usize = 256 * 1024;
/// One in this many clients of a crowd sends its body to the end.
const COMPLETE_DIVISOR: usize = 8;

/// Only one crowd at a time may press the machine.
static RUNNING: Mutex<()> = Mutex::new(());

/// Returns whether a client sends its body to the end.
fn is_complete(index: usize) -> bool {
    index.is_multiple_of(COMPLETE_DIVISOR)
}

fn with_length(announced_bytes: usize, sent_bytes: usize, piece_bytes: usize) -> Client {
    let head = crowd::head(&format!("content-length: {announced_bytes}\r\n"));
    Client::new(head, &vec![b'x'; sent_bytes], piece_bytes)
}

fn legal(index: usize, piece_bytes: usize) -> Client {
    let withheld_bytes = if is_complete(index) {
        0
    } else {
        WITHHELD_BYTES
    };
    with_length(MAX_BODY_BYTES, MAX_BODY_BYTES - withheld_bytes, piece_bytes)
}

fn chunked(index: usize, chunk_bytes: usize) -> Client {
    let head = crowd::head("transfer-encoding: chunked\r\n");
    let mut body = Vec::new();
    for _ in 0..MAX_BODY_BYTES / chunk_bytes {
        body.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
        body.resize(body.len() + chunk_bytes, b'x');
        body.extend_from_slice(b"\r\n");
    }
    body.extend_from_slice(b"0\r\n\r\n");
    if !is_complete(index) {
        body.truncate(body.len() - WITHHELD_BYTES.min(chunk_bytes + 8));
    }
    Client::new(head, &body, BODY_PIECE_BYTES)
}

fn announced_over_limit(_: usize) -> Client {
    with_length(1024 * MAX_BODY_BYTES, OVER_LIMIT_BYTES, BODY_PIECE_BYTES)
}

fn sent_over_limit(_: usize) -> Client {
    let mut body = format!("{OVER_LIMIT_BYTES:x}\r\n").into_bytes();
    body.resize(body.len() + OVER_LIMIT_BYTES, b'x');
    let head = crowd::head("transfer-encoding: chunked\r\n");
    Client::new(head, &body, BODY_PIECE_BYTES)
}

/// Lets a crowd press a gateway, and checks its bounds and an ordinary request during and after it.
async fn assert_survives(clients: Vec<Client>) {
    let mut fixture = Fixture::spawn().await;
    let crowd = Crowd::send(fixture.client, clients);
    crowd.wait().await;
    fixture.assert_within_bounds();
    fixture.assert_serves().await;
    fixture.assert_within_bounds();
    crowd.close().await;
    fixture.assert_serves().await;
}

/// Guards against a process that ends for lack of memory, or serves nobody, because many clients send
/// large bodies and stop just short of their end.
#[rstest]
#[case::legal_bodies_whole(|index| legal(index, MAX_BODY_BYTES))]
#[case::legal_bodies_in_pieces(|index| legal(index, 8 * 1024))]
#[case::large_chunks(|index| chunked(index, 256 * 1024))]
#[case::very_small_chunks(|index| chunked(index, 16))]
#[case::announced_over_the_limit(announced_over_limit)]
#[case::sent_over_the_limit(sent_over_limit)]
fn bodies_of_many_clients_stay_within_memory(#[case] client: fn(usize) -> Client) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(assert_survives((0..BODY_CLIENTS).map(client).collect()));
}

/// Guards against a process that runs out of descriptors because clients open connections and send
/// nothing, or only a part of a head.
#[rstest]
#[case::silent(Vec::new())]
#[case::part_of_a_head(crowd::head("x: ")[..40].to_vec())]
fn connections_of_many_clients_stay_within_descriptors(#[case] head: Vec<u8>) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let clients = (0..CONNECTION_CLIENTS).map(|_| Client::new(head.clone(), &[], 1));
    block_on(assert_survives(clients.collect()));
}

/// Guards against limits that refuse what the configuration allows.
#[test]
fn a_single_body_of_the_largest_size_is_served() {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let mut fixture = Fixture::spawn().await;
        let request = gateway::request(Bytes::from(vec![b'x'; MAX_BODY_BYTES]));
        let response = fetch(fixture.client, request).await.unwrap();
        assert_eq!(response.status(), 200);
        fixture.assert_within_bounds();
    });
}
