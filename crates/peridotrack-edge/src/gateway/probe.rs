//! Answers the balancer's question for readiness, and serves metrics.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use monoio::net::TcpStream;
use peridotrack_http::{listen, server};

use super::Shared;
use crate::acceptor;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Running listeners for probes.
pub(super) struct Probe {
    acceptors: RefCell<Vec<Rc<acceptor::Acceptor>>>,
}

impl Probe {
    /// Listens for probes and returns the running listeners.
    pub(super) fn bind(shared: &Rc<Shared>) -> std::io::Result<Rc<Self>> {
        let settings = &shared.settings;
        let addresses = [Some(settings.readiness_address), settings.metrics_address];
        let mut acceptors = Vec::new();
        for address in addresses.into_iter().flatten() {
            acceptors.push(accept(shared, address)?);
        }
        Ok(Rc::new(Self {
            acceptors: RefCell::new(acceptors),
        }))
    }

    /// Takes no more connections.
    pub(super) fn stop(&self) {
        for acceptor in self.acceptors.borrow().iter() {
            acceptor.stop();
        }
    }
}

fn accept(shared: &Rc<Shared>, address: SocketAddr) -> std::io::Result<Rc<acceptor::Acceptor>> {
    let listener = listen::bind(address)?;
    let shared = Rc::clone(shared);
    Ok(acceptor::Acceptor::spawn(listener, move |stream, _| {
        monoio::spawn(serve(Rc::clone(&shared), stream));
    }))
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let mut connection = server::Connection::new(stream, server::Options::default());
    while let Ok(Some(request)) = connection.next().await {
        let response = answer(&shared, request.head.uri.path());
        if connection.respond(response).await.is_err() {
            return;
        }
    }
}

fn answer(shared: &Shared, path: &str) -> http::Response<Bytes> {
    let (status, body) = match path {
        METRICS_PATH => (200, shared.kernel.meter().render()),
        _ if is_ready(shared) => (200, "ready\n".to_owned()),
        _ => (503, "not ready\n".to_owned()),
    };
    http::Response::builder()
        .status(status)
        .header("content-type", "text/plain")
        .body(body.into())
        .expect("the parts of a probe's answer are valid")
}

fn is_ready(shared: &Shared) -> bool {
    !shared.is_stopping.get() && shared.site.get().is_some() && shared.directory.is_listed()
}
