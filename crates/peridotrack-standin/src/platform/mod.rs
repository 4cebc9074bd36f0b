//! The platform's object API: versions, conditional updates, watches, and a lagging VM list.

mod call;
mod control;
pub mod rate;
mod routes;
pub mod store;

pub use control::{Control, Counters, Refused, Vm, VmState};

use std::{io, net::SocketAddr, rc::Rc};

use crate::endpoint::{self, Application};
use routes::Platform;

/// Largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// How a platform starts.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses to listen on, one per failure domain; port 0 takes a free port.
    pub listen: Vec<SocketAddr>,
    /// State of the control settings at the start.
    pub control: Control,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: vec![SocketAddr::from(([127, 0, 0, 1], 0))],
            control: Control::default(),
        }
    }
}

/// A running platform; dropping it closes its listeners and connections.
pub struct Handle {
    endpoint: endpoint::Handle<Platform>,
}

/// Starts a platform on the current runtime.
pub fn spawn(options: &Options) -> io::Result<Handle> {
    let platform = Rc::new(Platform::default());
    platform.control(options.control.clone());
    let endpoint = endpoint::spawn(&options.listen, platform)?;
    Ok(Handle { endpoint })
}

impl Handle {
    /// The address of the first listener.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.addresses[0]
    }

    /// The addresses of all listeners, in the order of the options.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.endpoint.addresses
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
