//! `client::Pool` reuses connections, but none that the server closed or whose state is unknown.
//!
//! Guards against requests sent on a closed connection, and against a response that is read as that
//! of a later request because an earlier body was left unread.

mod common;

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use common::run;
use http::{Request, Response};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use peridotrack_http::{
    client::{Options, Pool},
    server,
};
use rstest::rstest;

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

/// Guards against a response that arrives while its connection is in the pool, and of which the event
/// loop has not reported anything.
#[test]
fn a_response_that_arrives_on_an_idle_connection_is_taken_for_the_next_one() {
    const REPEATED: &[u8] = b"HTTP/1.1 429 Refused\r\nContent-Length: 0\r\n\r\n";
    run(async {
        let (address, connections, _) = spawn_server(AfterResponse::KeepOpen);
        let (opened, mut server) = common::connected_pair().await;
        let pool = Pool::new(Options::default(), 2);
        pool.put(pool.adopt(opened, address));
        let idle = pool.take_idle(address).unwrap();
        pool.put(idle);
        server.write_all(REPEATED).await.0.unwrap();
        let response = pool.fetch(address, post("a")).await.unwrap();
        assert_eq!((response.status().as_u16(), connections.get()), (200, 1));
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

#[test]
fn an_adopted_connection_is_pooled_for_the_server_that_it_leads_to() {
    run(async {
        let (address, connections, requests) = spawn_server(AfterResponse::KeepOpen);
        let server = SocketAddr::from(([192, 0, 2, 1], 80));
        let pool = Pool::new(Options::default(), 2);
        let stream = TcpStream::connect(address).await.unwrap();
        let mut connection = pool.adopt(stream, server);
        assert_eq!(connection.peer(), server);
        connection.send(post("a")).await.unwrap();
        assert_eq!(connection.read_body().await.unwrap(), "a");
        pool.put(connection);
        assert_eq!(pool.fetch(server, post("b")).await.unwrap().body(), "b");
        assert_eq!((connections.get(), requests.get()), (1, 2));
    });
}

/// The end of an adopted stream does not prove that the server ended the response.
#[rstest]
#[case::direct(false)]
#[case::adopted(true)]
fn a_close_delimited_response_is_accepted_on_a_direct_connection_only(#[case] is_adopted: bool) {
    run(async {
        let (listener, address) = common::listen();
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read(vec![0; 1024]).await.0.unwrap();
            let response = b"HTTP/1.1 200 OK\r\n\r\nhel".as_slice();
            stream.write_all(response).await.0.unwrap();
        });
        let options = Options {
            accept_close_delimited: true,
            ..Options::default()
        };
        let pool = Pool::new(options, 2);
        let mut connection = match is_adopted {
            true => pool.adopt(TcpStream::connect(address).await.unwrap(), address),
            false => pool.connect(address).await.unwrap(),
        };
        let is_accepted = match connection.send(post("a")).await {
            Ok(_) => connection.read_body().await.is_ok(),
            Err(_) => false,
        };
        assert_eq!(is_accepted, !is_adopted);
    });
}

#[test]
fn idle_connections_are_closed_to_the_given_server_only() {
    run(async {
        let (first, connections, _) = spawn_server(AfterResponse::KeepOpen);
        let (second, ..) = spawn_server(AfterResponse::KeepOpen);
        let pool = Pool::new(Options::default(), 2);
        for server in [first, second] {
            pool.fetch(server, post("a")).await.unwrap();
        }
        let idle = || [first, second].map(|server| pool.idle_connections(server));
        pool.close_idle(first);
        assert_eq!(idle(), [0, 1]);
        pool.close_idle(second);
        assert_eq!(idle(), [0, 0]);
        pool.fetch(first, post("b")).await.unwrap();
        assert_eq!(connections.get(), 2);
    });
}
