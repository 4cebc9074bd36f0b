//! Wall-clock times as text.

const US_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;
/// Days in 400 years of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const DAYS_TO_EPOCH: u64 = 719_468;

/// Returns a time in microseconds since 1970 as UTC text, such as
/// `2026-12-04T00:05:23.000001Z`.
pub fn utc(wall_us: u64) -> String {
    let seconds = wall_us / US_PER_SECOND;
    let (year, month, day) = date(seconds / SECONDS_PER_DAY);
    let of_day = seconds % SECONDS_PER_DAY;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:06}Z",
        of_day / 3_600,
        of_day / 60 % 60,
        of_day % 60,
        wall_us % US_PER_SECOND,
    )
}

/// Returns year, month and day of a count of days since 1970.
///
/// Years begin in March here, so that the leap day is the last of the year.
fn date(days_since_epoch: u64) -> (u64, u64, u64) {
    let days = days_since_epoch + DAYS_TO_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let leap_days = day_of_era / 1_460 + day_of_era / (DAYS_PER_ERA - 1);
    let year_of_era = (day_of_era + day_of_era / 36_524 - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
