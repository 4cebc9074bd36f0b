//! Validation of a register together with its rules, and of the change to the next configuration.
//!
//! Problems carry the JSON path of the offending value. The submodules validate one input each and
//! add to a shared [`Report`].

mod register;
mod rules;

use std::{collections::hash_map::Entry, fmt};

use crate::{
    check::{self, Problem},
    collections::{HashMap, HashSet},
    config::Config,
    register::Register,
    rules::Rules,
};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of failure domains of a register.
pub const MAX_FAILURE_DOMAINS: usize = 256;
/// Maximum number of client accounts of a register.
pub const MAX_CLIENT_ACCOUNTS: usize = 100_000;
/// Maximum number of bearer keys of one client account.
pub const MAX_KEYS_PER_ACCOUNT: usize = 16;
/// Maximum number of engines, and of servers of plain services.
pub const MAX_BACKEND_SERVERS: usize = 10_000;
/// Maximum number of models and adapters of one engine.
pub const MAX_MODELS_PER_ENGINE: usize = 256;
/// Maximum number of requests that one backend server handles concurrently.
pub const MAX_SLOTS: u32 = 65_536;
/// Maximum number of budgets of the rules.
pub const MAX_BUDGETS: usize = 1_000_000;
/// Maximum number of client accounts of one budget.
pub const MAX_ACCOUNTS_PER_BUDGET: usize = 4_096;
/// Maximum number of models of one budget.
pub const MAX_MODELS_PER_BUDGET: usize = 256;
/// Maximum purchased total of one budget, in tokens.
///
/// It is the largest integer up to which JSON readers that use doubles are exact.
pub const MAX_PURCHASED_TOKENS: u64 = (1 << 53) - 1;
/// Maximum number of priority rules, and of routes.
pub const MAX_RULES: usize = 10_000;
/// Maximum length of a route's path prefix, in bytes.
pub const MAX_PATH_PREFIX_BYTES: usize = 256;
/// Upper bound of the configured limit on output tokens of one model request.
pub const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
/// Upper bound of the configured default deadline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Upper bound of the configured queue length of one service or model in one router, in requests.
pub const MAX_QUEUE_REQUESTS: u32 = 65_536;

/// Validates a register together with its rules.
///
/// Returns every problem with its path in a [`Config`], such as `$.register.engines[3].slots`.
/// The two may be accepted together if there is none.
pub fn check(register: &Register, rules: &Rules) -> Vec<Problem> {
    let mut report = Report::default();
    let declared = register::check(register, &mut report);
    rules::check(rules, &declared, &mut report);
    report.finish()
}

/// Validates the rules `next` as a successor of `current`.
///
/// The purchased total of a budget counts all tokens ever purchased, so it must not decrease.
pub fn check_change(current: &Config, next: &Rules) -> Vec<Problem> {
    let purchased: HashMap<_, _> = current
        .rules
        .budgets
        .iter()
        .map(|budget| (&budget.name, budget.purchased_tokens))
        .collect();
    let mut report = Report::default();
    for (index, budget) in next.budgets.iter().enumerate() {
        let Some(before) = purchased.get(&budget.name) else {
            continue;
        };
        if budget.purchased_tokens < *before {
            report.add(
                format!("$.rules.budgets[{index}].purchased_tokens"),
                format!(
                    "{} is less than the current total of {before} purchased tokens",
                    budget.purchased_tokens
                ),
            );
        }
    }
    report.finish()
}

/// Names that a register declares; the rules may refer only to these.
struct DeclaredNames<'a> {
    client_accounts: HashSet<&'a str>,
    models: HashSet<&'a str>,
    services: HashSet<&'a str>,
}

/// JSON path of an element of a list, rendered only when a problem is reported.
#[derive(Debug, Clone, Copy)]
struct ElementPath {
    /// JSON path of the list.
    list: &'static str,
    index: usize,
}

/// Unique names or digests found so far, each with the element that contains it.
type Seen<'a> = HashMap<&'a str, ElementPath>;

/// Character set of a name, besides ASCII letters and digits.
#[derive(Clone, Copy)]
enum NameFormat {
    /// `.`, `_` and `-`: the name is valid as one segment of a path.
    Segment,
    /// Those of [`Self::Segment`], `/`, `:` and `@`: the name of a model and its adapter.
    Model,
}

/// Collects problems.
///
/// Paths are formatted only when a problem is found, because a router validates 120,000 budgets
/// between two events.
#[derive(Default)]
struct Report {
    problems: Vec<Problem>,
}

impl Report {
    fn add(&mut self, path: impl fmt::Display, message: impl Into<String>) {
        self.problems.push(Problem::new(path.to_string(), message));
    }

    fn finish(mut self) -> Vec<Problem> {
        check::truncate(&mut self.problems);
        self.problems
    }

    /// Checks length and characters of a name.
    fn check_name(&mut self, path: fmt::Arguments<'_>, name: &str, format: NameFormat) {
        if let Some(message) = format.error(name) {
            self.add(path, message);
        }
    }

    /// Checks that `key` at `element` is not in `seen` yet, and adds it.
    fn check_unique<'a>(
        &mut self,
        seen: &mut Seen<'a>,
        path: fmt::Arguments<'_>,
        element: ElementPath,
        key: &'a str,
        what: &str,
    ) {
        match seen.entry(key) {
            Entry::Occupied(first) => {
                let first = first.get();
                self.add(path, format!("{what} {key:?} is already used in {first}"));
            }
            Entry::Vacant(entry) => {
                entry.insert(element);
            }
        }
    }

    /// Checks that a list contains no duplicate name.
    fn check_no_duplicates<'a>(
        &mut self,
        path: fmt::Arguments<'_>,
        names: impl ExactSizeIterator<Item = &'a str>,
        what: &str,
    ) {
        if names.len() < 2 {
            return;
        }
        let mut seen = HashSet::default();
        for (index, name) in names.enumerate() {
            if !seen.insert(name) {
                let message = format!("{what} {name:?} is listed twice");
                self.add(format_args!("{path}[{index}]"), message);
            }
        }
    }

    /// Checks that the register declares the name that a rule refers to.
    fn check_reference(
        &mut self,
        path: fmt::Arguments<'_>,
        known: &HashSet<&str>,
        name: &str,
        what: &str,
    ) {
        if !known.contains(name) {
            self.add(path, format!("{what} {name:?} is not in the register"));
        }
    }

    /// Checks the number of elements of a list.
    fn check_count(&mut self, path: fmt::Arguments<'_>, count: usize, max: usize) {
        if count > max {
            self.add(
                path,
                format!("has {count} elements, more than the maximum of {max}"),
            );
        }
    }

    /// Checks that a number is within its inclusive bounds.
    fn check_range(&mut self, path: fmt::Arguments<'_>, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.add(path, format!("{value} is not in the range {min}..={max}"));
        }
    }
}

impl fmt::Display for ElementPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]", self.list, self.index)
    }
}

/// Returns why `name` is not valid as one segment of a path, or `None`.
pub(crate) fn name_error(name: &str) -> Option<String> {
    NameFormat::Segment.error(name)
}

impl NameFormat {
    /// Returns why a name is not valid in this format, or `None`.
    fn error(self, name: &str) -> Option<String> {
        if name.is_empty() {
            Some("is empty".to_owned())
        } else if name.len() > MAX_NAME_BYTES {
            let bytes = name.len();
            Some(format!(
                "has {bytes} bytes, more than the maximum of {MAX_NAME_BYTES}"
            ))
        } else if !self.accepts(name) {
            Some(format!("{name:?} does not match {}", self.pattern()))
        } else {
            None
        }
    }

    fn accepts(self, name: &str) -> bool {
        let has_valid_start = name.starts_with(|c: char| c.is_ascii_alphanumeric());
        has_valid_start && name.chars().all(|c| self.accepts_char(c))
    }

    fn accepts_char(self, c: char) -> bool {
        c.is_ascii_alphanumeric()
            || matches!(c, '.' | '_' | '-')
            || matches!((self, c), (Self::Model, '/' | ':' | '@'))
    }

    fn pattern(self) -> &'static str {
        match self {
            Self::Segment => "[A-Za-z0-9][A-Za-z0-9._-]*",
            Self::Model => "[A-Za-z0-9][A-Za-z0-9._:@/-]*",
        }
    }
}
