//! The versioned configuration: register and rules, accepted as one.

use serde::{Deserialize, Serialize};

use crate::{register, rules};

/// One accepted configuration.
///
/// The highest version wins everywhere and is never replaced by a lower one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version, from 1; each accepted change adds 1.
    pub version: u64,
    /// The operators' asset register.
    pub register: register::Register,
    /// The operators' rules.
    pub rules: rules::Rules,
}
