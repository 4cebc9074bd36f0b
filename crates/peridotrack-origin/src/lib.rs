//! Which backend server, and so which software version, wrote the first event of a stream.
//!
//! A client whose stream broke off takes it up at any router, which must place it at the version that
//! began it. [`origins::Origins`] keeps a record of each stream that this router began, and tells it
//! to its homes: routers in different failure domains that follow from the key of the stream and the
//! membership. A router that does not know a stream asks the homes. What is not known is not guessed:
//! versions that a router has not seen may have served, and left.
//!
//! ```
//! use peridotrack_origin::{key, origins::{Event, Knowledge, Options, Origins}, record::Record};
//! use peridotrack_types::stream;
//!
//! let key = key::of_stream(b"deployment", "account-1", "attempt-1");
//! let record = Record {
//!     service: "drafting".into(),
//!     origin: stream::Origin {
//!         backend_server: "engine-1".into(),
//!         software_version: Some("v1".into()),
//!     },
//! };
//! let mut origins = Origins::new("vm-1".into(), Options::default());
//! origins.on_event(0, Event::Began { key, record: record.clone() });
//! let actions = origins.on_event(5, Event::Wanted { query: 1, key });
//! let known = Knowledge::Known { record, known_by: "vm-1".into(), age_us: 5 };
//! assert_eq!(actions, [peridotrack_origin::origins::Action::Resolve { query: 1, knowledge: known }]);
//! ```

pub mod home;
pub mod key;
pub mod message;
pub mod origins;
pub mod record;
