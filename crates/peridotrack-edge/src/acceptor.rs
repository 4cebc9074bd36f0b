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

/// Time without a further connection after which all pending ones have been accepted.
const PENDING_WAIT: Duration = Duration::from_millis(5);
/// Maximum time for accepting pending connections.
const PENDING_TIMEOUT: Duration = Duration::from_millis(50);
/// Wait after `accept` fails, for example because the process is out of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How an acceptor ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// At once.
    Now,
    /// After the connections that are established already.
    AfterPending,
}

/// A listening socket and the task that accepts its connections.
pub struct Acceptor {
    is_stopped: Cell<bool>,
    stop: RefCell<Option<oneshot::Sender<Stop>>>,
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
                    stop = &mut stopped => {
                        if stop == Ok(Stop::AfterPending) {
                            let pending = serve_pending(&listener, &serve);
                            let _ = monoio::time::timeout(PENDING_TIMEOUT, pending).await;
                        }
                        break;
                    }
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
        self.send(Stop::Now);
    }

    /// Serves the connections that are established already, and then closes the listening socket.
    pub fn finish(&self) {
        self.send(Stop::AfterPending);
    }

    fn send(&self, stop: Stop) {
        if let Some(sender) = self.stop.borrow_mut().take() {
            let _ = sender.send(stop);
        }
    }
}

/// Accepts connections until none has been pending for a while.
async fn serve_pending(listener: &TcpListener, serve: &impl Fn(TcpStream, SocketAddr)) {
    while let Ok(Ok((stream, peer))) = monoio::time::timeout(PENDING_WAIT, listener.accept()).await
    {
        serve(stream, peer);
    }
}
