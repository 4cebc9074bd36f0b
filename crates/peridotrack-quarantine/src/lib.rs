//! Finds prompt parts under which backend servers crash, and decides which requests to refuse.
//!
//! A request may contain a part of a prompt that crashes every server that begins to answer it.
//! Each router records a [`statement::Crash`] for each shared part of a request whose response had
//! just begun when its server ended. Routers exchange their [`statement::Statement`]s, directly and
//! through the store. A part that is in a completed request is cleared. The remaining crashes are
//! explained by as few parts as possible, and requests with such a part are refused.
//!
//! What counts are crashes in sequence: a crash has depth 2 if its request was sent when a crash
//! of depth 1 under the same part was known, and so on. Many servers that end at once, as in a loss
//! of power, therefore count as one failure of each part that was in use there.
//!
//! The crate does no I/O and reads no clock. [`quarantine::Quarantine`] takes events and returns
//! actions, which its driver, the quarantine service of `peridotrack-edge`, carries out.
//!
//! ```
//! use peridotrack_quarantine::{
//!     event::{Event, Now},
//!     options::Options,
//!     quarantine::Quarantine,
//!     statement::Part,
//! };
//!
//! let mut quarantine = Quarantine::new("vm-1".into(), Options::default());
//! let now = Now { monotonic_us: 0, wall_ms: 0 };
//! let parts = [Part(7)];
//! for server in ["engine-1", "engine-2", "engine-3"] {
//!     let trial = quarantine.check(&parts).unwrap();
//!     quarantine.on_event(now, Event::Broken { trial, backend_server: server.into() });
//!     quarantine.on_event(now, Event::ServerEnded { backend_server: server.into() });
//! }
//! assert_eq!(quarantine.check(&parts).unwrap_err().parts, parts);
//! ```

pub mod event;
pub mod options;
pub mod quarantine;
pub mod statement;
pub mod verdict;
