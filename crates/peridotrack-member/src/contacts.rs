//! Addresses at which routers may run that are not in the table of peers.
//!
//! They come from the settings (seeds), from the platform's list of VMs and from peers removed
//! from the table. Heartbeats to them let separated groups of routers find each other.

use std::{collections::VecDeque, net::SocketAddr};

/// Maximum number of addresses kept besides the seeds.
const MAX_DISCOVERED: usize = 64;

/// Addresses to contact when peers may be missing.
#[derive(Debug, Clone)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddr>,
    /// From the platform's list and from removed peers, the latest last.
    discovered: VecDeque<SocketAddr>,
}

impl Contacts {
    pub fn new(local: SocketAddr, mut seeds: Vec<SocketAddr>) -> Self {
        seeds.retain(|seed| *seed != local);
        seeds.dedup();
        Self {
            seeds,
            discovered: VecDeque::new(),
        }
    }

    /// Adds an address, in place of the oldest if there are too many.
    pub fn add(&mut self, address: SocketAddr) {
        if self.seeds.contains(&address) || self.discovered.contains(&address) {
            return;
        }
        if self.discovered.len() == MAX_DISCOVERED {
            self.discovered.pop_front();
        }
        self.discovered.push_back(address);
    }

    /// Removes an address. Seeds always stay.
    pub fn remove(&mut self, address: SocketAddr) {
        self.discovered.retain(|known| *known != address);
    }

    /// Returns the seeds and then the discovered addresses.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds.iter().chain(&self.discovered).copied()
    }
}
