//! Formats wall-clock times.

use chrono::{DateTime, SecondsFormat};

/// Formats a time in microseconds since the Unix epoch as RFC 3339 in UTC, such as
/// `2026-12-04T00:05:23.000001Z`. A time outside the calendar's range is printed as a number.
pub fn utc(wall_us: u64) -> String {
    i64::try_from(wall_us)
        .ok()
        .and_then(DateTime::from_timestamp_micros)
        .map_or_else(
            || wall_us.to_string(),
            |time| time.to_rfc3339_opts(SecondsFormat::Micros, true),
        )
}
