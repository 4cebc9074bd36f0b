//! The objects of a store as one router sees them, which reaches the backend servers at addresses of
//! its own.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc};

use super::{Counters, Mode, Store};
use crate::endpoint::{self, Application, Disconnect, Incoming};

/// A store and the addresses that stand in responses in place of those of its objects.
struct Translated {
    store: Rc<Store>,
    addresses: RefCell<BTreeMap<SocketAddr, SocketAddr>>,
}

/// A running view; dropping it closes its listener and connections.
pub struct View(endpoint::Handle<Translated>);

pub(super) fn spawn(
    store: Rc<Store>,
    addresses: BTreeMap<SocketAddr, SocketAddr>,
) -> io::Result<View> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addresses = RefCell::new(addresses);
    endpoint::spawn(&[any], Rc::new(Translated { store, addresses })).map(View)
}

impl View {
    /// Returns the bound address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.0.addresses[0]
    }

    /// Replaces a further address, in responses from now on.
    pub fn replace(&self, stored: SocketAddr, seen: SocketAddr) {
        let mut addresses = self.0.application.addresses.borrow_mut();
        addresses.insert(stored, seen);
    }
}

impl Translated {
    fn translate(&self, body: &[u8]) -> String {
        let mut text = String::from_utf8_lossy(body).into_owned();
        for (stored, seen) in &*self.addresses.borrow() {
            text = text.replace(&format!("\"{stored}\""), &format!("\"{seen}\""));
        }
        text
    }
}

impl Application for Translated {
    type Control = Mode;
    type Counters = Counters;

    fn control(&self, mode: Mode) {
        self.store.control(mode);
    }

    fn counters(&self) -> Counters {
        self.store.counters()
    }

    async fn handle(self: Rc<Self>, mut incoming: Incoming<'_>) -> Result<(), Disconnect> {
        let store = Rc::clone(&self.store);
        let response = store.call(&mut incoming).await?;
        let response = response.map(|body| self.translate(&body).into());
        Ok(incoming.connection.respond(response).await?)
    }
}
