//! The operators' rules: budgets, priorities, idempotent routes and limits on requests.
//!
//! [`crate::config::check`] validates them against the asset register.

use serde::{Deserialize, Serialize};

use crate::{collections, name};

/// Rules of a deployment, which refer to names of the asset register.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Prepaid budgets, in the order in which a request tries to reserve tokens.
    pub budgets: Vec<Budget>,
    /// Priority rules, of which the first match applies; other requests are [`Priority::Normal`].
    pub priorities: Vec<PriorityRule>,
    /// Routes of plain services, of which the first match applies.
    pub routes: Vec<Route>,
    /// Limits that apply to each request.
    pub limits: Limits,
}

/// A prepaid token budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name, unique among the budgets.
    pub name: name::Budget,
    /// Total of all tokens ever purchased for this budget; it only increases, by top-ups.
    pub purchased_tokens: u64,
    /// Client accounts that may spend the budget.
    pub client_accounts: Vec<name::ClientAccount>,
    /// Models that the budget may be spent on; empty means every model.
    #[serde(default)]
    pub models: Vec<name::Model>,
}

/// Order in which queued requests are dispatched.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Dispatched after all other requests.
    Low,
    /// Applies to requests that no priority rule matches.
    #[default]
    Normal,
    /// Dispatched before all other requests.
    High,
}

/// Assigns a priority to the requests that match all given fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityRule {
    /// Client account to match; absent means every account.
    #[serde(default)]
    pub client_account: Option<name::ClientAccount>,
    /// Model to match; absent means every model.
    #[serde(default)]
    pub model: Option<name::Model>,
    /// Service to match; absent means every service.
    #[serde(default)]
    pub service: Option<name::Service>,
    /// Priority that matching requests are dispatched with.
    pub priority: Priority,
}

/// Declares whether requests below a path of a plain service may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Plain service that the route belongs to.
    pub service: name::Service,
    /// Path prefix within the service; starts with `/` and matches whole segments.
    pub path_prefix: String,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
}

/// Limits that apply to each request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of output tokens of one model request.
    pub max_output_tokens: u64,
    /// Deadline of a request that does not state one, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of requests that one router queues for one service or model.
    pub queue_requests: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_output_tokens: 4_096,
            deadline_ms: 30_000,
            queue_requests: 256,
        }
    }
}

impl Rules {
    /// Returns whether a request to `service` at `path` may be repeated.
    ///
    /// A path that no route matches counts as non-idempotent. So does a path that a backend
    /// server may normalize differently, such as one with a `..` segment.
    pub fn is_idempotent(&self, service: &name::Service, path: &str) -> bool {
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        is_plain_path(path) && self.first_route_is_idempotent(service, path)
    }

    fn first_route_is_idempotent(&self, service: &name::Service, path: &str) -> bool {
        self.routes
            .iter()
            .find(|route| &route.service == service && route.matches_path(path))
            .is_some_and(|route| route.idempotent)
    }

    /// Returns the priority of a request of `account` for a model or a service.
    pub fn priority(
        &self,
        account: &name::ClientAccount,
        model: Option<&name::Model>,
        service: Option<&name::Service>,
    ) -> Priority {
        let matches = |rule: &&PriorityRule| {
            rule.client_account
                .as_ref()
                .is_none_or(|name| name == account)
                && rule.model.as_ref().is_none_or(|name| Some(name) == model)
                && rule
                    .service
                    .as_ref()
                    .is_none_or(|name| Some(name) == service)
        };
        self.priorities
            .iter()
            .find(matches)
            .map(|rule| rule.priority)
            .unwrap_or_default()
    }
}

impl Route {
    /// Returns whether the route's prefix matches whole segments of `path`, which has no query.
    pub fn matches_path(&self, path: &str) -> bool {
        path.strip_prefix(self.path_prefix.as_str())
            .is_some_and(|rest| {
                rest.is_empty() || rest.starts_with('/') || self.path_prefix.ends_with('/')
            })
    }
}

/// Returns whether `path` has only one interpretation as a sequence of segments.
///
/// Percent-encoding, dot segments and empty segments are excluded, because servers normalize them
/// differently.
pub(crate) fn is_plain_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        let is_plain = match segment {
            "" => is_last,
            "." | ".." => false,
            _ => segment.bytes().all(is_plain_byte),
        };
        if !is_plain {
            return false;
        }
    }
    true
}

/// Returns whether a byte may appear in a path segment without percent-encoding (RFC 3986).
fn is_plain_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte)
}

/// Index that finds the budgets of a client account without a scan of all budgets.
#[derive(Debug, Clone, Default)]
pub struct BudgetIndex {
    by_account: collections::HashMap<name::ClientAccount, Vec<usize>>,
}

impl BudgetIndex {
    /// Builds the index of `rules`; lookups must pass the same rules.
    pub fn new(rules: &Rules) -> Self {
        let mut by_account: collections::HashMap<_, Vec<usize>> = collections::HashMap::default();
        for (position, budget) in rules.budgets.iter().enumerate() {
            for account in &budget.client_accounts {
                by_account
                    .entry(account.clone())
                    .or_default()
                    .push(position);
            }
        }
        Self { by_account }
    }

    /// Returns the budgets that `account` may spend on `model`, in the order of `rules.budgets`.
    pub fn budgets_for<'a>(
        &'a self,
        rules: &'a Rules,
        account: &name::ClientAccount,
        model: &'a name::Model,
    ) -> impl Iterator<Item = &'a Budget> + 'a {
        self.by_account
            .get(account)
            .into_iter()
            .flatten()
            .filter_map(|position| rules.budgets.get(*position))
            .filter(move |budget| budget.models.is_empty() || budget.models.contains(model))
    }
}
