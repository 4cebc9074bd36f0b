//! Fixtures shared by the tests: simulated routers, store, backend server and callers.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod domain;
pub mod fleet;
pub mod records;
pub mod store;
pub mod trace;
