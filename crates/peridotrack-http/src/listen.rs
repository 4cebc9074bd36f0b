//! Binds listeners to addresses that no other process can share.

use std::{io, net::SocketAddr};

use monoio::net::{ListenerOpts, TcpListener};

/// Binds `address` exclusively for this process.
///
/// `monoio` sets `SO_REUSEPORT` by default, which lets several processes share an
/// address: a process started twice by mistake would then take some of the other's
/// connections.
///
/// # Errors
///
/// Fails if the address is in use or cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}
