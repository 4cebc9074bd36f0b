//! Figures for the capacity page: bytes, resident memory and processor time at growing sizes.

pub mod fixture;
pub mod memory;
pub mod size;
pub mod time;
