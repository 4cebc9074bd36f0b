//! Prints time and memory slopes of this machine; no bounds.

fn main() {}
