//! Paths of the routers to a backend server. The routers of a failure domain share one, which can fail
//! while those of the others stay open.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use peridotrack_standin::harness::relay::{self, Link, Relay};

use crate::schedule::FAILURE_DOMAINS;

/// States of the paths from each failure domain to all backend servers.
pub type Partitions = Rc<[Cell<Link>; FAILURE_DOMAINS]>;

/// Returns states in which all paths are open.
pub fn open() -> Partitions {
    Rc::new(std::array::from_fn(|_| Cell::new(Link::Open)))
}

/// Relays to one backend server, one for each failure domain of routers.
pub struct Paths {
    relays: Vec<Relay>,
    /// State of the server's own link, on which all paths depend.
    link: Cell<Link>,
    partitions: Partitions,
}

impl Paths {
    /// Starts relays to `target` at an address and at the next ports. Fails if one cannot be bound.
    pub fn spawn_at(
        address: SocketAddr,
        target: SocketAddr,
        partitions: &Partitions,
    ) -> io::Result<Self> {
        let ports = (address.port()..).take(FAILURE_DOMAINS);
        let relays = ports.map(|port| relay::spawn_at(SocketAddr::new(address.ip(), port), target));
        let paths = Self {
            relays: relays.collect::<io::Result<_>>()?,
            link: Cell::new(Link::Open),
            partitions: Rc::clone(partitions),
        };
        paths.update();
        Ok(paths)
    }

    /// Returns the address of the path from a failure domain.
    pub fn address(&self, domain: usize) -> SocketAddr {
        self.relays[domain].address()
    }

    /// Changes the state of the server's own link.
    pub fn set(&self, link: Link) {
        self.link.set(link);
        self.update();
    }

    /// Closes the listeners, so that connections are refused from now on.
    pub fn refuse_connections(&self) {
        self.relays.iter().for_each(Relay::refuse_connections);
    }

    /// Sets the states of the paths after a change of the partitions. A partition covers every server,
    /// also one whose own link fails in a way that lets connections be established.
    pub fn update(&self) {
        for (relay, partition) in self.relays.iter().zip(self.partitions.iter()) {
            relay.set(match partition.get() {
                Link::Open => self.link.get(),
                partitioned => partitioned,
            });
        }
    }
}
