//! The facilities that all services of a router process share.
//!
//! A [`Kernel`] holds the clock, the timer service, the registry in which services look
//! each other up by name, numbered events with a bounded timeline, the log and the
//! metrics. It runs on a single-threaded event loop and contains no policy of any one
//! service.
//!
//! ```
//! use peridotrack_kernel::{event, registry, Kernel, Options};
//!
//! let kernel = Kernel::open(Options::default())?;
//! kernel.registry().register("greeting", std::rc::Rc::new(String::from("hello")))?;
//! let greeting = kernel.registry().find::<String>("greeting")?;
//! assert_eq!(*greeting, "hello");
//!
//! let sequence = kernel.note(event::Event::new(event::Kind::RouterStarted));
//! assert_eq!(kernel.timeline().after(0)[0].sequence, sequence);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod clock;
pub mod event;
mod kernel;
pub mod log;
pub mod meter;
pub mod registry;
pub mod timeline;
pub mod timer;

pub use kernel::{Error, Kernel, Options};
