//! The versioned configuration: asset register and rules, validated and accepted as one unit.
//!
//! [`check`] validates both together and [`check_change`] the step from one version to the next.
//! [`store`] encodes a configuration as objects of the platform.

pub mod store;

mod validate;

use serde::{Deserialize, Serialize};

use crate::{register, rules};

pub(crate) use validate::name_error;
pub use validate::{
    MAX_ACCOUNTS_PER_BUDGET, MAX_BACKEND_SERVERS, MAX_BUDGETS, MAX_CLIENT_ACCOUNTS,
    MAX_DEADLINE_MS, MAX_FAILURE_DOMAINS, MAX_KEYS_PER_ACCOUNT, MAX_MODELS_PER_BUDGET,
    MAX_MODELS_PER_ENGINE, MAX_NAME_BYTES, MAX_OUTPUT_TOKENS, MAX_PATH_PREFIX_BYTES,
    MAX_PURCHASED_TOKENS, MAX_QUEUE_REQUESTS, MAX_RULES, MAX_SLOTS, check, check_change,
};

/// An accepted configuration.
///
/// Every process applies the highest version it receives and never returns to a lower one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version number: starts at 1, incremented by each accepted change.
    pub version: u64,
    /// Asset register as submitted by the operators.
    pub register: register::Register,
    /// Rules as submitted by the operators; they refer to names of the register.
    pub rules: rules::Rules,
}
