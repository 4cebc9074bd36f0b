//! Accepts connections until it is stopped.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use local_sync::oneshot;
use monoio::net::{TcpListener, TcpStream};

/// Wait after a connection that could not be accepted, such as for lack of descriptors.
const RETRY: Duration = Duration::from_millis(20);

/// A running listener.
pub struct Acceptor {
    is_stopped: Cell<bool>,
    stop: RefCell<Option<oneshot::Sender<()>>>,
}

impl Acceptor {
    /// Hands each connection to `serve`, on the running loop.
    pub fn spawn(
        listener: TcpListener,
        serve: impl Fn(TcpStream, SocketAddr) + 'static,
    ) -> Rc<Self> {
        let (sender, mut stopped) = oneshot::channel();
        let acceptor = Rc::new(Self {
            is_stopped: Cell::new(false),
            stop: RefCell::new(Some(sender)),
        });
        let running = Rc::clone(&acceptor);
        monoio::spawn(async move {
            while !running.is_stopped.get() {
                let accepted = monoio::select! {
                    accepted = listener.accept() => accepted,
                    _ = &mut stopped => break,
                };
                match accepted {
                    // The stop may have come together with the connection.
                    Ok(_) if running.is_stopped.get() => break,
                    Ok((stream, peer)) => serve(stream, peer),
                    Err(_) => monoio::time::sleep(RETRY).await,
                }
            }
        });
        acceptor
    }

    /// Returns whether the listener was stopped.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.get()
    }

    /// Closes the listener. No connection is handed on after this call.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        if let Some(stop) = self.stop.borrow_mut().take() {
            let _ = stop.send(());
        }
    }
}
