//! Stand-in of the platform: versioned objects with conditional updates, lists and watches, and
//! a list of VMs that is updated with a delay.
//!
//! [`spawn`] runs it on the current runtime; [`Control`] injects its faults.

mod call;
mod control;
pub mod rate;
mod routes;
pub mod store;

pub use control::{Control, Counters, Refused, Vm, VmState};

use std::{io, net::SocketAddr, rc::Rc};

use crate::endpoint::{self, Application};
use routes::Platform;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Addresses and initial control settings of a platform.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses to listen on, one per failure domain; port 0 picks a free port.
    pub listen: Vec<SocketAddr>,
    /// Initial control settings; absent fields take their defaults.
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

/// Starts a platform on the current monoio runtime. Fails if an address cannot be bound.
pub fn spawn(options: &Options) -> io::Result<Handle> {
    let platform = Rc::new(Platform::default());
    platform.control(options.control.clone());
    let endpoint = endpoint::spawn(&options.listen, platform)?;
    Ok(Handle { endpoint })
}

impl Handle {
    /// Returns the bound address of the first listener.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.addresses[0]
    }

    /// Returns the bound addresses of all listeners, in the order of [`Options::listen`].
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.endpoint.addresses
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
