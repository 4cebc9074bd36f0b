//! The platform's ingress: it asks each node once a second whether it is ready, and chooses the node of
//! each new channel.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::gateway;

/// Misses after which a node receives no new channels.
const MISSES: u32 = 2;
const PERIOD: Duration = Duration::from_secs(1);

struct Node {
    front: SocketAddr,
    ready: SocketAddr,
    misses: AtomicU32,
}

/// The nodes of one zone.
pub struct Ingress {
    nodes: Vec<Node>,
    is_over: AtomicBool,
}

impl Ingress {
    /// Starts to ask the nodes, given by their addresses for clients and for readiness.
    pub fn spawn(nodes: &[(SocketAddr, SocketAddr)]) -> Arc<Self> {
        let node = |&(front, ready): &(SocketAddr, SocketAddr)| Node {
            front,
            ready,
            misses: AtomicU32::new(0),
        };
        let ingress = Arc::new(Self {
            nodes: nodes.iter().map(node).collect(),
            is_over: AtomicBool::new(false),
        });
        let asking = Arc::clone(&ingress);
        thread::spawn(move || {
            while !asking.is_over.load(Ordering::SeqCst) {
                asking.ask();
                thread::sleep(PERIOD);
            }
        });
        ingress
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    fn ask(&self) {
        for node in &self.nodes {
            match gateway::is_ready(node.ready) {
                true => node.misses.store(0, Ordering::SeqCst),
                false => drop(node.misses.fetch_add(1, Ordering::SeqCst)),
            }
        }
    }

    /// Returns the node that a new channel of a client goes to, with its index. Retries reach other
    /// nodes. If fewer than half of the nodes are in rotation, all of them are used.
    pub fn choose(&self, client: usize, attempt: usize) -> (usize, SocketAddr) {
        let in_rotation = |node: &Node| node.misses.load(Ordering::SeqCst) < MISSES;
        let mut usable: Vec<usize> = (0..self.nodes.len())
            .filter(|index| in_rotation(&self.nodes[*index]))
            .collect();
        if 2 * usable.len() < self.nodes.len() {
            usable = (0..self.nodes.len()).collect();
        }
        let index = usable[(client + attempt) % usable.len()];
        (index, self.nodes[index].front)
    }
}
