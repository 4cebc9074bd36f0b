//! Addresses at which routers may be found that are not in the table of peers.

use std::{collections::VecDeque, net::SocketAddr};

/// Most addresses that are remembered besides the seeds.
const MAX_LEARNED: usize = 64;

/// Addresses to try when peers are missing.
#[derive(Debug, Clone)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddr>,
    /// From the platform's list and from forgotten peers, the latest last.
    learned: VecDeque<SocketAddr>,
}

impl Contacts {
    pub fn new(local: SocketAddr, mut seeds: Vec<SocketAddr>) -> Self {
        seeds.retain(|seed| *seed != local);
        seeds.dedup();
        Self {
            seeds,
            learned: VecDeque::new(),
        }
    }

    pub fn learn(&mut self, address: SocketAddr) {
        if self.seeds.contains(&address) || self.learned.contains(&address) {
            return;
        }
        if self.learned.len() == MAX_LEARNED {
            self.learned.pop_front();
        }
        self.learned.push_back(address);
    }

    pub fn forget(&mut self, address: SocketAddr) {
        self.learned.retain(|learned| *learned != address);
    }

    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds.iter().chain(&self.learned).copied()
    }
}
