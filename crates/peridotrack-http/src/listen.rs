//! Listens on an address that no other process may share.

use std::{io, net::SocketAddr};

use monoio::net::{ListenerOpts, TcpListener};

/// Binds `address` for this process alone.
///
/// monoio's default lets several processes share an address, so that a process
/// started twice by mistake would get a part of the other's connections.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}
