//! Accepts TCP connections until it is stopped.
//!
//! Every server of the process, and the peer link, listens through an [`Acceptor`] on the event
//! loop that runs it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use local_sync::oneshot;
use monoio::net::{TcpListener, TcpStream};

/// Wait after `accept` fails, for example because the process is out of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listening socket and the task that accepts its connections.
pub struct Acceptor {
    is_stopped: Cell<bool>,
    stop: RefCell<Option<oneshot::Sender<()>>>,
}

impl Acceptor {
    /// Spawns a task on the current event loop that passes each connection to `serve`.
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
                    // The stop and the connection can become ready in the same iteration of the
                    // event loop.
                    Ok(_) if running.is_stopped.get() => break,
                    Ok((stream, peer)) => serve(stream, peer),
                    Err(_) => monoio::time::sleep(RETRY_DELAY).await,
                }
            }
        });
        acceptor
    }

    /// Returns whether [`Acceptor::stop`] was called.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.get()
    }

    /// Closes the listening socket. `serve` is not called again after this.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        if let Some(stop) = self.stop.borrow_mut().take() {
            let _ = stop.send(());
        }
    }
}
