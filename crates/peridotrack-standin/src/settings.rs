//! Merging of control settings and counting down of faults.

/// Takes over a value that is given.
pub(crate) fn set<T>(setting: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *setting = value;
    }
}

/// Takes over an optional value that is given.
pub(crate) fn merge<T>(setting: &mut Option<T>, value: Option<T>) {
    if value.is_some() {
        *setting = value;
    }
}

/// Counts a fault down; whether it is due now.
pub(crate) fn take_one(count: &mut Option<u64>) -> bool {
    match count {
        Some(left) if *left > 0 => {
            *left -= 1;
            true
        }
        _ => false,
    }
}
