//! The operators' rules: who may spend what, which work comes first, what must not be repeated.

use serde::{Deserialize, Serialize};

use crate::{collections, name};

/// All rules on top of the asset register.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Prepaid budgets, in the order in which a request tries them.
    pub budgets: Vec<Budget>,
    /// Priorities, the first match wins; unmatched work is [`Priority::Normal`].
    pub priorities: Vec<PriorityRule>,
    /// Routes of plain services, the first match wins.
    pub routes: Vec<Route>,
    /// Limits on single requests.
    pub limits: Limits,
}

/// A prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Unique name.
    pub name: name::Budget,
    /// All tokens ever purchased for this budget; a top-up raises it.
    pub purchased_tokens: u64,
    /// Client accounts that may spend from it.
    pub client_accounts: Vec<name::ClientAccount>,
    /// Models that may be paid from it; empty means every model.
    #[serde(default)]
    pub models: Vec<name::Model>,
}

/// Order in which queued work is dispatched.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Dispatched last.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Dispatched first.
    High,
}

/// Gives matching requests a priority.
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
    /// Priority of matching requests.
    pub priority: Priority,
}

/// Says whether requests to a part of a plain service may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service that the route belongs to.
    pub service: name::Service,
    /// Prefix of the path below the service, beginning with `/`.
    pub path_prefix: String,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
}

/// Limits on single requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most output tokens of one model request.
    pub max_output_tokens: u64,
    /// Deadline of a request that states none, in milliseconds.
    pub deadline_ms: u64,
    /// Requests that one router queues for one service or model.
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
    /// A path that no rule names is taken as non-idempotent, and so is one that a
    /// backend server may read in another way, such as one with a `..` segment.
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

    /// Returns the priority of a request for a model or a service.
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
    /// Returns whether the route's prefix covers whole segments of `path`, which has no query.
    pub fn matches_path(&self, path: &str) -> bool {
        path.strip_prefix(self.path_prefix.as_str())
            .is_some_and(|rest| {
                rest.is_empty() || rest.starts_with('/') || self.path_prefix.ends_with('/')
            })
    }
}

/// Returns whether every reader takes `path` for the same sequence of segments.
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

/// Returns whether a byte stands for itself in a path.
fn is_plain_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte)
}

/// Finds the budgets of a client account without a look at all of them.
#[derive(Debug, Clone, Default)]
pub struct BudgetIndex {
    by_account: collections::HashMap<name::ClientAccount, Vec<usize>>,
}

impl BudgetIndex {
    /// Returns the index of these rules; it fits no others.
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

    /// Returns the budgets that `account` may spend on `model`, in the order of the rules.
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
