//! Listeners of a stand-in, the request loop of each connection, and the control API.
//!
//! A stand-in implements [`Application`]; [`spawn`] serves it on its addresses. Control calls are
//! handled here, so that they work also while the application simulates a fault.

use std::{io, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use peridotrack_http::{
    listen,
    server::{self, Connection, Request},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{notify::Notify, response};

/// Path of the control API on every listener.
const CONTROL_PATH: &str = "/control";
/// Limits of the stand-ins' connections. Bodies up to 8 MiB pass, so that a stand-in can enforce a
/// smaller limit itself, as the platform does.
const LIMITS: server::Options = server::Options {
    head_bytes: 32 * 1024,
    body_bytes: 8 * 1024 * 1024,
    idle_timeout_ms: 60_000,
    head_timeout_ms: 60_000,
    body_timeout_ms: 60_000,
    write_timeout_ms: 60_000,
};

/// Instruction to close the connection without sending another byte.
pub(crate) struct Disconnect;

impl From<server::Error> for Disconnect {
    fn from(_: server::Error) -> Self {
        Self
    }
}

/// One received request with its connection.
pub(crate) struct Incoming<'a> {
    /// Index of the listener, in the order of the stand-in's addresses.
    pub(crate) listener: usize,
    pub(crate) request: Request,
    pub(crate) connection: &'a mut Connection,
}

/// Behaviour of one stand-in behind its listeners.
pub(crate) trait Application: 'static {
    /// Body of `POST /control`.
    type Control: DeserializeOwned;
    /// Body of `GET /control`.
    type Counters: Serialize;

    /// Applies changed control settings.
    fn control(&self, control: Self::Control);
    /// Returns the counters since the start.
    fn counters(&self) -> Self::Counters;
    /// Handles one request; `Err` closes the connection without a response.
    async fn handle(self: Rc<Self>, incoming: Incoming<'_>) -> Result<(), Disconnect>;
}

/// A running stand-in; dropping it closes its listeners and connections.
pub(crate) struct Handle<A> {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) application: Rc<A>,
    stop: Rc<Notify>,
}

impl<A> Drop for Handle<A> {
    fn drop(&mut self) {
        self.stop.notify();
    }
}

/// Binds every address and serves `application` on them.
pub(crate) fn spawn<A: Application>(
    addresses: &[SocketAddr],
    application: Rc<A>,
) -> io::Result<Handle<A>> {
    let listeners: Vec<TcpListener> = addresses
        .iter()
        .copied()
        .map(listen::bind)
        .collect::<io::Result<_>>()?;
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<io::Result<_>>()?;
    let stop = Rc::new(Notify::default());
    for (index, listener) in listeners.into_iter().enumerate() {
        monoio::spawn(accept(listener, index, application.clone(), stop.clone()));
    }
    Ok(Handle {
        addresses,
        application,
        stop,
    })
}

async fn accept<A: Application>(
    listener: TcpListener,
    index: usize,
    application: Rc<A>,
    stop: Rc<Notify>,
) {
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = stop.changed(0) => return,
        };
        // Accepting fails while file descriptors are exhausted; keep accepting.
        if let Ok((stream, _)) = accepted {
            let (application, stop) = (application.clone(), stop.clone());
            monoio::spawn(async move {
                monoio::select! {
                    _ = serve(stream, index, application) => {}
                    () = stop.changed(0) => {}
                }
            });
        }
    }
}

async fn serve<A: Application>(
    stream: TcpStream,
    listener: usize,
    application: Rc<A>,
) -> Result<(), Disconnect> {
    let mut connection = Connection::new(stream, LIMITS);
    loop {
        let request = match connection.next().await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(error) => {
                let response = response::failure(StatusCode::BAD_REQUEST, &error.to_string());
                return Ok(connection.respond(response).await?);
            }
        };
        if request.head.uri.path() == CONTROL_PATH {
            let response = control(&*application, &request);
            connection.respond(response).await?;
            continue;
        }
        let incoming = Incoming {
            listener,
            request,
            connection: &mut connection,
        };
        application.clone().handle(incoming).await?;
    }
}

fn control<A: Application>(application: &A, request: &Request) -> Response<Bytes> {
    match request.head.method {
        Method::GET => response::json(&application.counters()),
        Method::POST => match serde_json::from_slice(&request.body) {
            Ok(control) => {
                application.control(control);
                response::empty(StatusCode::NO_CONTENT)
            }
            Err(error) => response::failure(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => response::failure(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"),
    }
}
