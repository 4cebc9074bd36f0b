//! A plain service: runs any call, and counts its runs by key.

mod control;
mod routes;

pub use control::{Control, Counters};
pub use routes::Echo;

use std::{io, net::SocketAddr, rc::Rc};

use crate::endpoint::{self, Application};
use routes::Service;

/// How a service starts.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// State of the control settings at the start.
    pub control: Control,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: Control::default(),
        }
    }
}

/// A running service; dropping it closes its listener and connections.
pub struct Handle {
    endpoint: endpoint::Handle<Service>,
}

/// Starts a service on the current runtime.
pub fn spawn(options: &Options) -> io::Result<Handle> {
    let service = Rc::new(Service::default());
    service.control(options.control);
    let endpoint = endpoint::spawn(&[options.listen], service)?;
    Ok(Handle { endpoint })
}

impl Handle {
    /// The address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.addresses[0]
    }

    /// Does what `POST /control` does.
    pub fn control(&self, control: Control) {
        self.endpoint.application.control(control);
    }

    /// Gives what `GET /control` gives.
    pub fn counters(&self) -> Counters {
        self.endpoint.application.counters()
    }
}
