//! Requests that the gateway has read whole and that end without a response.

use std::{rc::Rc, time::Duration};

use http::Request;
use peridotrack_standin::harness::http::block_on;
use serde_json::json;

use crate::{
    fixture::{self, Fixture},
    raw,
};

/// Maximum wait for a response, shorter than the grace period.
const RESPONSE_LIMIT: Duration = Duration::from_secs(5);
/// Time in which a client's bytes reach the gateway and are read.
const TRANSFER: Duration = Duration::from_millis(200);
/// Time in which the backend server responds.
const RESPONSE_DELAY: Duration = Duration::from_millis(1_000);

async fn connect(fixture: &Fixture) -> raw::Connection {
    let address = fixture.gateway.client_address();
    raw::Connection::open(address).await.unwrap()
}

async fn read_head(connection: &mut raw::Connection) -> Option<raw::Head> {
    let reading = monoio::time::timeout(RESPONSE_LIMIT, connection.read_head());
    reading.await.ok().flatten()
}

fn request(path: &str) -> Vec<u8> {
    let request: Request<_> = fixture::request(path, &[]);
    raw::encode(&request)
}

/// Guards against a request that is read during the stop, before the response to the one before it
/// announces the close, and is dropped.
#[test]
fn a_request_that_is_read_before_the_close_is_announced_gets_a_response() {
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        let mut config = fixture::config(4, 1_000_000);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = json!(3_000);
        }
        fixture.store.put("config", "main", config);
        fixture.ready().await;
        fixture.backends[0].set_response_delay(RESPONSE_DELAY);
        let fixture = Rc::new(fixture);
        let mut connection = connect(&fixture).await;
        assert!(connection.write(&request("/safe/1")).await);
        monoio::time::sleep(TRANSFER).await;
        fixture.gateway.begin_stop();
        let stopping = Rc::clone(&fixture);
        let _stop = monoio::spawn(async move { stopping.gateway.stop().await });
        assert!(connection.write(&request("/safe/2")).await);
        let reading = monoio::time::timeout(RESPONSE_LIMIT, connection.read_response());
        let first = reading.await.unwrap().unwrap();
        assert_eq!(first.0.status, 200);
        let second = read_head(&mut connection).await;
        assert!(second.is_some(), "the first response was {:?}", first.0);
    });
}
