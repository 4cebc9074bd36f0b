//! The listeners for probes: readiness for the load balancer, and metrics.
//!
//! A gateway is ready once it has a configuration and has listed the backend servers, the evacuations
//! and the statements about crashes, until it begins to stop.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use monoio::net::{TcpListener, TcpStream};
use peridotrack_http::{listen, server};

use super::Shared;
use crate::acceptor;

/// Path that serves the metrics; any other path serves the readiness.
const METRICS_PATH: &str = "/metrics";

/// The running listeners for readiness and, if the settings name an address, for metrics.
pub(super) struct Probe {
    address: SocketAddr,
    acceptors: Vec<Rc<acceptor::Acceptor>>,
}

impl Probe {
    /// Starts the listeners.
    pub(super) fn bind(shared: &Rc<Shared>) -> std::io::Result<Rc<Self>> {
        let settings = &shared.settings;
        let listener = listen::bind(settings.readiness_address)?;
        let address = listener.local_addr()?;
        let mut acceptors = vec![accept(shared, listener)];
        if let Some(address) = settings.metrics_address {
            acceptors.push(accept(shared, listen::bind(address)?));
        }
        Ok(Rc::new(Self { address, acceptors }))
    }

    /// Returns the address that serves readiness probes.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections.
    pub(super) fn stop(&self) {
        for acceptor in &self.acceptors {
            acceptor.stop();
        }
    }
}

fn accept(shared: &Rc<Shared>, listener: TcpListener) -> Rc<acceptor::Acceptor> {
    let shared = Rc::clone(shared);
    acceptor::Acceptor::spawn(listener, move |stream, _| {
        monoio::spawn(serve(Rc::clone(&shared), stream));
    })
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let mut connection = server::Connection::new(stream, server::Options::default());
    while let Ok(Some(request)) = connection.next().await {
        let response = respond(&shared, request.head.uri.path());
        if connection.respond(response).await.is_err() {
            return;
        }
    }
}

fn respond(shared: &Shared, path: &str) -> http::Response<Bytes> {
    let (status, body) = match path {
        METRICS_PATH => (200, shared.kernel.meter().render()),
        _ if is_ready(shared) => (200, "ready\n".to_owned()),
        _ => (503, "not ready\n".to_owned()),
    };
    http::Response::builder()
        .status(status)
        .header("content-type", "text/plain")
        .body(body.into())
        .expect("the parts of a probe's response are valid")
}

fn is_ready(shared: &Shared) -> bool {
    !shared.stopping.has_begun()
        && shared.site.get().is_some()
        && shared.directory.is_listed()
        && shared.quarantine.is_listed()
        && shared.evacuations.is_known(shared)
}
