//! Process test harness.
