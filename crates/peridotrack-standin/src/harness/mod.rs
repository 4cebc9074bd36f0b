//! Test fixture for real processes: start a built program, pause it, kill it, cut or stall its
//! links, and wait for its output and state.
//!
//! A test holds each process by a handle that kills it on drop. Every wait polls a condition with a
//! time limit; none is a fixed sleep.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use bytes::Bytes;
//! use peridotrack_standin::harness::{http, process, wait};
//!
//! http::block_on(async {
//!     let program = process::find_program("peridotrack-standin").unwrap();
//!     let options = process::Options::new(program).arguments(["service"]);
//!     let mut service = process::spawn(&options).unwrap();
//!     let address = service.wait_for_addresses(1).await.unwrap()[0];
//!     service.pause().await.unwrap();
//!     service.resume().unwrap();
//!     let request = || ::http::Request::get("/titles/1").body(Bytes::new()).unwrap();
//!     let responded = async || http::fetch(address, request()).await.ok();
//!     let limit = Duration::from_secs(5);
//!     assert_eq!(wait::poll(limit, "a response", responded).await.unwrap().status(), 200);
//!     service.kill().unwrap();
//! });
//! ```

pub mod fleet;
pub mod http;
mod output;
pub mod process;
pub mod relay;
pub mod router;
pub mod wait;
