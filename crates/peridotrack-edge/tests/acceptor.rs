//! The end of an acceptor: a stopped one serves no further connection, even if its task is already
//! waiting for one, and one that finishes serves those that are established.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::TcpStream;
use peridotrack_edge::acceptor::Acceptor;
use peridotrack_http::listen;
use peridotrack_standin::harness::http::block_on;

/// Starts an acceptor; returns it with its address and the number of connections that it served.
fn spawn() -> (Rc<Acceptor>, SocketAddr, Rc<Cell<usize>>) {
    let listener = listen::bind("127.0.0.1:0".parse().expect("address")).expect("a free port");
    let address = listener.local_addr().expect("address");
    let served = Rc::new(Cell::new(0));
    let count = Rc::clone(&served);
    let acceptor = Acceptor::spawn(listener, move |_, _| count.set(count.get() + 1));
    (acceptor, address, served)
}

#[test]
fn connection_after_the_stop_is_not_served() {
    block_on(async {
        let (acceptor, address, served) = spawn();
        let _first = TcpStream::connect(address).await.expect("a connection");
        while served.get() == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        // The accepting task is now waiting for the next connection.
        acceptor.stop();
        let _ = TcpStream::connect(address).await;
        for _ in 0..10 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(served.get(), 1);
    });
}

/// Guards against connections that are reset because they are established and not yet accepted.
#[test]
fn pending_connections_are_served_before_the_listener_closes() {
    block_on(async {
        let (acceptor, address, served) = spawn();
        // The accepting task does not run before this one waits.
        let pending: Vec<_> = (0..20)
            .map(|_| std::net::TcpStream::connect(address).expect("a connection"))
            .collect();
        acceptor.finish();
        monoio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(served.get(), pending.len());
        assert!(TcpStream::connect(address).await.is_err());
    });
}
