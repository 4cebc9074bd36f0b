//! HTTP/1.1 server and client connections over `monoio`, with limits and timeouts.
//!
//! Heads and chunks are decoded by `monoio-http`'s decoders from a buffer that this
//! crate fills itself, so that every head and body has a size limit and every wait has
//! a timeout. Messages are encoded here and written directly to the socket, because
//! `monoio-http`'s encoder buffers a streamed body until its end.
//!
//! ```
//! use bytes::Bytes;
//! use monoio::net::{TcpListener, TcpStream};
//! use peridotrack_http::{client, server};
//!
//! let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
//!     .enable_timer()
//!     .build()
//!     .unwrap();
//! runtime.block_on(async {
//!     let listener = TcpListener::bind("127.0.0.1:0").unwrap();
//!     let address = listener.local_addr().unwrap();
//!     monoio::spawn(async move {
//!         let (stream, _) = listener.accept().await.unwrap();
//!         let mut connection = server::Connection::new(stream, server::Options::default());
//!         let request = connection.next().await.unwrap().unwrap();
//!         connection.respond(http::Response::new(request.body)).await.unwrap();
//!     });
//!     let pool = client::Pool::new(client::Options::default(), 4);
//!     let request = http::Request::post("/echo").body(Bytes::from("hello")).unwrap();
//!     let response = pool.fetch(address, request).await.unwrap();
//!     assert_eq!(response.body(), "hello");
//! });
//! ```

mod body;
pub mod client;
mod encode;
pub mod forward;
mod head;
pub mod listen;
pub mod memory;
pub mod server;
mod tcp;
