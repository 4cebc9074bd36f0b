//! A model engine: streams tokens, reports usage and load, resumes and cancels.

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

/// How an engine starts.
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

/// A running engine; dropping it closes its listener and connections.
pub struct Handle {
    endpoint: endpoint::Handle<Engine>,
}

/// Starts an engine on the current runtime.
pub fn spawn(options: &Options) -> io::Result<Handle> {
    let engine = Rc::new(Engine::default());
    engine.control(options.control);
    let endpoint = endpoint::spawn(&[options.listen], engine)?;
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
