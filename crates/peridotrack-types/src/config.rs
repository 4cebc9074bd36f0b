//! The versioned configuration: register and rules, accepted as one.

pub mod store;

mod validate;

use serde::{Deserialize, Serialize};

use crate::{register, rules};

pub(crate) use validate::name_fault;
pub use validate::{
    MAX_ACCOUNTS_PER_BUDGET, MAX_BACKEND_SERVERS, MAX_BUDGETS, MAX_CLIENT_ACCOUNTS,
    MAX_DEADLINE_MS, MAX_FAILURE_DOMAINS, MAX_KEYS_PER_ACCOUNT, MAX_MODELS_PER_BUDGET,
    MAX_MODELS_PER_ENGINE, MAX_NAME_BYTES, MAX_OUTPUT_TOKENS, MAX_PATH_PREFIX_BYTES,
    MAX_PURCHASED_TOKENS, MAX_QUEUE_REQUESTS, MAX_RULES, MAX_SLOTS, check, check_change,
};

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
