//! Stand-in of a model engine: streams tokens, reports usage and load, resumes and cancels
//! streams.
//!
//! Text is a function of the request id and the prompt, so that tests can check every byte.
//! [`Control`] injects the faults.

pub mod chat;
mod completion;
mod control;
mod queue;
mod routes;
mod run;
mod runs;
mod stream;

pub use control::{Control, Counters, Load, LoadState};

use std::{io, net::SocketAddr, rc::Rc};

use crate::endpoint::{self, Application};
use routes::Engine;

/// Address and initial control settings of an engine.
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

/// A running engine; dropping it closes its listener and connections.
pub struct Handle {
    endpoint: endpoint::Handle<Engine>,
}

/// Starts an engine on the current monoio runtime. Fails if the address cannot be bound.
pub fn spawn(options: &Options) -> io::Result<Handle> {
    let engine = Rc::new(Engine::default());
    engine.control(options.control);
    let endpoint = endpoint::spawn(&[options.listen], engine)?;
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
