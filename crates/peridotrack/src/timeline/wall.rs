//! Wall-clock times as text.

use chrono::{DateTime, SecondsFormat};

/// Returns a time in microseconds since 1970 as UTC text, such as
/// `2026-12-04T00:05:23.000001Z`; a time beyond the calendar as its number.
pub fn utc(wall_us: u64) -> String {
    i64::try_from(wall_us)
        .ok()
        .and_then(DateTime::from_timestamp_micros)
        .map_or_else(
            || wall_us.to_string(),
            |time| time.to_rfc3339_opts(SecondsFormat::Micros, true),
        )
}
