//! Helpers that merge control settings and count down pending faults.

/// Overwrites `setting` if a new value is given.
pub(crate) fn set<T>(setting: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *setting = value;
    }
}

/// Overwrites an optional `setting` if a new value is given; `None` leaves it unchanged.
pub(crate) fn merge<T>(setting: &mut Option<T>, value: Option<T>) {
    if value.is_some() {
        *setting = value;
    }
}

/// Decrements a count of pending faults; returns whether one was pending.
pub(crate) fn take_one(count: &mut Option<u64>) -> bool {
    match count {
        Some(left) if *left > 0 => {
            *left -= 1;
            true
        }
        _ => false,
    }
}
