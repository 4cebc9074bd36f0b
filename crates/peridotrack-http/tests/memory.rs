//! Server connections that share a bounded memory.

mod common;

use std::time::Duration;

use common::{AfterSend, run};
use peridotrack_capacity::account;
use peridotrack_http::{
    memory::Memory,
    server::{Connection, Error, Options},
};

const BODY_BYTES: usize = 60_000;

fn memory() -> Memory {
    Memory::new(account::Options {
        bound_bytes: 100_000,
        response_reserve_bytes: 0,
        small_reserve_bytes: 10_000,
        small_bytes: 5_000,
        drop_after_us: 50_000,
        min_age_us: 50_000,
        max_wait_us: 1_000_000,
        calm_us: 100_000,
    })
}

fn request(announced_bytes: usize, sent_bytes: usize) -> Vec<u8> {
    let mut text =
        format!("POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: {announced_bytes}\r\n\r\n")
            .into_bytes();
    text.resize(text.len() + sent_bytes, b'x');
    text
}

/// Sends a request and returns how the server side reads it, and whether `memory` held back then.
async fn read(memory: &Memory, text: Vec<u8>) -> (Result<usize, Error>, bool) {
    let (mut caller, accepted) = common::connected_pair().await;
    let mut connection = Connection::new(accepted, Options::default());
    connection.set_memory(memory.clone());
    common::send_parts(&mut caller, vec![text], AfterSend::KeepOpen).await;
    let request = connection.next().await;
    let is_holding_back = memory.is_holding_back();
    let length = request.map(|request| request.unwrap().body.len());
    (length, is_holding_back)
}

/// Guards against a silent client that keeps others out, and against small requests that wait for
/// large ones.
#[test]
fn a_silent_body_is_dropped_for_another_one() {
    run(async {
        let memory = memory();
        let shared = memory.clone();
        let silent = monoio::spawn(async move {
            let text = request(BODY_BYTES, BODY_BYTES - 1);
            read(&shared, text).await.0
        });
        while memory.usage().request_bytes < BODY_BYTES {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        let (small, is_holding_back) = read(&memory, request(1_000, 1_000)).await;
        assert_eq!((small.unwrap(), is_holding_back), (1_000, false));
        let (length, is_holding_back) = read(&memory, request(BODY_BYTES, BODY_BYTES)).await;
        assert_eq!((length.unwrap(), is_holding_back), (BODY_BYTES, true));
        assert!(matches!(silent.await, Err(Error::Dropped { .. })));
        assert_eq!(memory.usage().request_bytes, 0);
    });
}

/// Guards against a wait without end while a complete body, which is not dropped, holds the memory.
#[test]
fn a_body_that_has_waited_too_long_is_dropped() {
    run(async {
        let memory = memory();
        let (mut caller, accepted) = common::connected_pair().await;
        let mut connection = Connection::new(accepted, Options::default());
        connection.set_memory(memory.clone());
        let text = request(BODY_BYTES, BODY_BYTES);
        common::send_parts(&mut caller, vec![text], AfterSend::KeepOpen).await;
        let held = connection.next().await.unwrap().unwrap();
        let (second, _) = read(&memory, request(BODY_BYTES, BODY_BYTES)).await;
        assert!(matches!(second, Err(Error::Dropped { .. })));
        assert_eq!(memory.usage().request_bytes, BODY_BYTES);
        drop(held);
        assert_eq!(memory.usage().request_bytes, 0);
    });
}
