//! Stand-ins (test doubles) for the services that a router fleet talks to: the platform's
//! object API, a model engine and a plain service.
//!
//! Each runs as its own process (`peridotrack-standin platform|engine|service`) or on the
//! caller's monoio runtime. Faults are injected through `POST /control`. [`harness`] runs
//! daemons and stand-ins as child processes, and [`hosted`] holds stand-ins that speak the
//! protocol of the users' platform.
//!
//! ```
//! use bytes::Bytes;
//! use peridotrack_http::client;
//! use peridotrack_standin::service;
//!
//! let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
//!     .enable_timer()
//!     .build()
//!     .unwrap();
//! runtime.block_on(async {
//!     let service = service::spawn(&service::Options::default()).unwrap();
//!     let pool = client::Pool::new(client::Options::default(), 1);
//!     let request = http::Request::get("/titles/1").body(Bytes::new()).unwrap();
//!     let response = pool.fetch(service.address(), request).await.unwrap();
//!     assert_eq!(response.status(), 200);
//!     assert_eq!(service.counters().runs, 1);
//! });
//! ```

mod endpoint;
pub mod engine;
pub mod harness;
pub mod hosted;
mod notify;
pub mod platform;
mod response;
pub mod service;
mod settings;
pub mod tally;
