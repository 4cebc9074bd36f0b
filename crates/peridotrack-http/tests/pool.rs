//! `client::Pool` reuses connections, but none that the server closed or whose state is unknown.
//!
//! Guards against requests sent on a closed connection, and against a response that is read as that
//! of a later request because an earlier body was left unread.

mod common;

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use common::run;
use http::{Request, Response};
use peridotrack_http::{
    client::{Options, Pool},
    server,
};

/// What the server does after its response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    KeepOpen,
    CloseUnannounced,
}

/// Spawns an echo server; returns its address and its counts of connections and requests.
fn spawn_server(after: AfterResponse) -> (SocketAddr, Rc<Cell<usize>>, Rc<Cell<usize>>) {
    let (listener, address) = common::listen();
    let (connections, requests) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let counters = (connections.clone(), requests.clone());
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connections.set(connections.get() + 1);
            let requests = requests.clone();
            monoio::spawn(async move {
                let mut connection = server::Connection::new(stream, server::Options::default());
                while let Ok(Some(request)) = connection.next().await {
                    requests.set(requests.get() + 1);
                    connection
                        .respond(Response::new(request.body))
                        .await
                        .unwrap();
                    if after == AfterResponse::CloseUnannounced {
                        return;
                    }
                }
            });
        }
    });
    (address, counters.0, counters.1)
}

fn post(body: &str) -> Request<Bytes> {
    Request::post("/")
        .body(Bytes::from(body.to_owned()))
        .unwrap()
}

#[test]
fn complete_exchanges_reuse_one_connection() {
    run(async {
        let (address, connections, requests) = spawn_server(AfterResponse::KeepOpen);
        let pool = Pool::new(Options::default(), 2);
        for body in ["a", "b", "c"] {
            assert_eq!(pool.fetch(address, post(body)).await.unwrap().body(), body);
        }
        assert_eq!((connections.get(), requests.get()), (1, 3));
        assert_eq!(pool.idle_connections(address), 1);
    });
}

#[test]
fn connection_closed_while_idle_is_not_reused() {
    run(async {
        let (address, connections, requests) = spawn_server(AfterResponse::CloseUnannounced);
        let pool = Pool::new(Options::default(), 2);
        for body in ["a", "b", "c"] {
            assert_eq!(pool.fetch(address, post(body)).await.unwrap().body(), body);
            common::yield_to_tasks().await;
        }
        assert_eq!((connections.get(), requests.get()), (3, 3));
    });
}

#[test]
fn idle_connections_are_bounded() {
    run(async {
        let (address, ..) = spawn_server(AfterResponse::KeepOpen);
        let pool = Pool::new(Options::default(), 2);
        let mut taken = Vec::new();
        for _ in 0..4 {
            taken.push(pool.take(address).await.unwrap());
        }
        for connection in taken {
            pool.put(connection);
        }
        assert_eq!(pool.idle_connections(address), 2);
    });
}

#[test]
fn connection_with_an_unread_body_is_dropped() {
    run(async {
        let (address, connections, _) = spawn_server(AfterResponse::KeepOpen);
        let pool = Pool::new(Options::default(), 2);
        let mut connection = pool.take(address).await.unwrap();
        connection.send(post("unread")).await.unwrap();
        pool.put(connection);
        assert_eq!(pool.idle_connections(address), 0);
        assert_eq!(pool.fetch(address, post("b")).await.unwrap().body(), "b");
        assert_eq!(connections.get(), 2);
    });
}
