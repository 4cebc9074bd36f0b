//! Finds requests and prompt parts under which backend servers crash, and decides which requests to
//! refuse.
//!
//! A request may crash every server that runs it, because of the request as a whole or of a part of
//! its prompt. What a request may be recognized by are its [`signature::Signature`]s: one for the
//! whole request, and one for each shared part of its prompt. Each router records a
//! [`statement::Crash`] for each signature of a request whose response had at most just begun when
//! its server ended. Routers exchange their [`statement::Statement`]s, directly and through the
//! store. A signature of a completed request is cleared. The remaining crashes are explained by as
//! few signatures as possible, and requests with such a signature are refused. From time to time one
//! of them is sent, so that a block that is wrong ends.
//!
//! What counts are crashes in sequence: a crash has depth 2 if its request was sent when a crash
//! of depth 1 under the same signature was known, and so on. Many servers that end at once, as in a
//! loss of power, therefore count as one failure of each signature that was in use there.
//!
//! The crate does no I/O and reads no clock. [`quarantine::Quarantine`] takes events and returns
//! actions, which its driver, the quarantine service of `peridotrack-edge`, carries out.
//!
//! ```
//! use peridotrack_quarantine::{
//!     event::{Event, Now},
//!     options::Options,
//!     quarantine::Quarantine,
//!     signature::Signature,
//! };
//!
//! let mut quarantine = Quarantine::new("vm-1".into(), Options::default());
//! let now = Now { monotonic_us: 0, wall_ms: 0 };
//! let signatures = [Signature::Part(7)];
//! for server in ["engine-1", "engine-2", "engine-3"] {
//!     let trial = quarantine.begin(now, &signatures).unwrap();
//!     quarantine.on_event(now, Event::Broken { trial, backend_server: server.into() });
//!     quarantine.on_event(now, Event::ServerEnded { backend_server: server.into() });
//! }
//! let refusal = quarantine.check(now, &signatures).unwrap_err();
//! assert_eq!(refusal.block.signatures, signatures);
//! ```

pub mod event;
pub mod options;
mod pending;
mod probe;
mod publication;
pub mod quarantine;
pub mod recheck;
pub mod run;
pub mod signature;
pub mod statement;
mod statements;
mod tally;
pub mod verdict;
