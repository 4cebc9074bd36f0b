//! Stand-in of a plain service: accepts any call, echoes what identifies the request, and counts
//! runs by idempotency key and request id. [`Control`] injects the faults.

mod control;
mod routes;

pub use control::{Control, Counters};
pub use routes::Echo;

use std::{io, net::SocketAddr, rc::Rc};

use crate::endpoint::{self, Application};
use routes::Service;

/// Address and initial control settings of a service.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Initial control settings; absent fields take their defaults.
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

/// Starts a service on the current monoio runtime. Fails if the address cannot be bound.
pub fn spawn(options: &Options) -> io::Result<Handle> {
    let service = Rc::new(Service::default());
    service.control(options.control);
    let endpoint = endpoint::spawn(&[options.listen], service)?;
    Ok(Handle { endpoint })
}

impl Handle {
    /// Returns the bound address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.addresses[0]
    }

    /// Changes control settings, as `POST /control` does.
    pub fn control(&self, control: Control) {
        self.endpoint.application.control(control);
    }

    /// Returns the counters, as `GET /control` does.
    pub fn counters(&self) -> Counters {
        self.endpoint.application.counters()
    }
}
