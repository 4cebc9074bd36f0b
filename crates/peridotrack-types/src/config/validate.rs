//! Checks of a register and its rules as a whole.

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

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most failure domains.
pub const MAX_FAILURE_DOMAINS: usize = 256;
/// Most client accounts.
pub const MAX_CLIENT_ACCOUNTS: usize = 100_000;
/// Most bearer keys of one client account.
pub const MAX_KEYS_PER_ACCOUNT: usize = 16;
/// Most engines, and most servers of plain services.
pub const MAX_BACKEND_SERVERS: usize = 10_000;
/// Most models and adapters of one engine.
pub const MAX_MODELS_PER_ENGINE: usize = 256;
/// Most requests that one backend server handles at once.
pub const MAX_SLOTS: u32 = 65_536;
/// Most budgets.
pub const MAX_BUDGETS: usize = 1_000_000;
/// Most client accounts of one budget.
pub const MAX_ACCOUNTS_PER_BUDGET: usize = 4_096;
/// Most models of one budget.
pub const MAX_MODELS_PER_BUDGET: usize = 256;
/// Most tokens ever purchased for one budget: the largest integer that every JSON reader keeps.
pub const MAX_PURCHASED_TOKENS: u64 = (1 << 53) - 1;
/// Most priority rules, and most routes.
pub const MAX_RULES: usize = 10_000;
/// Longest path prefix of a route, in bytes.
pub const MAX_PATH_PREFIX_BYTES: usize = 256;
/// Most output tokens that one model request may be allowed.
pub const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
/// Longest deadline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Most requests that one router may queue for one service or model.
pub const MAX_QUEUE_REQUESTS: u32 = 65_536;

/// Checks a register and its rules as a whole.
///
/// Paths are those of a [`Config`]: `$.register.engines[3].slots`. Returns no
/// problem if the two may be accepted together.
pub fn check(register: &Register, rules: &Rules) -> Vec<Problem> {
    let mut report = Report::default();
    let declared = register::check(register, &mut report);
    rules::check(rules, &declared, &mut report);
    report.finish()
}

/// Checks that `next` may follow `current`.
///
/// A purchased total counts all tokens ever purchased, so it never falls.
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
                    "{} is less than the {before} tokens already purchased",
                    budget.purchased_tokens
                ),
            );
        }
    }
    report.finish()
}

/// Names that a register declares, for the references to them.
struct Declared<'a> {
    client_accounts: HashSet<&'a str>,
    models: HashSet<&'a str>,
    services: HashSet<&'a str>,
}

/// An element of a list.
#[derive(Debug, Clone, Copy)]
struct Place {
    /// Path of the list.
    list: &'static str,
    index: usize,
}

/// Names or digests seen so far, and where.
type Seen<'a> = HashMap<&'a str, Place>;

/// Characters that a name may hold besides letters and digits.
#[derive(Clone, Copy)]
enum Form {
    /// `.`, `_` and `-`: fit for one segment of a path.
    Segment,
    /// Those of a segment, `/`, `:` and `@`: fit for a model and its adapter.
    Model,
}

/// Collects problems. Paths are rendered only where there is one: a router checks 120,000
/// budgets between two events.
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

    /// Checks the form of a name.
    fn name(&mut self, path: fmt::Arguments<'_>, name: &str, form: Form) {
        if let Some(message) = form.fault(name) {
            self.add(path, message);
        }
    }

    /// Checks that what stands at `place` was not seen before.
    fn unique<'a>(
        &mut self,
        seen: &mut Seen<'a>,
        path: fmt::Arguments<'_>,
        place: Place,
        key: &'a str,
        what: &str,
    ) {
        match seen.entry(key) {
            Entry::Occupied(first) => {
                let first = first.get();
                self.add(path, format!("{what} {key:?} already stands in {first}"));
            }
            Entry::Vacant(entry) => {
                entry.insert(place);
            }
        }
    }

    /// Checks that no name stands twice in a list.
    fn each_once<'a>(
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
                let message = format!("{what} {name:?} stands twice");
                self.add(format_args!("{path}[{index}]"), message);
            }
        }
    }

    /// Checks that a reference is declared.
    fn reference(
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

    /// Checks the number of elements.
    fn count(&mut self, path: fmt::Arguments<'_>, count: usize, max: usize) {
        if count > max {
            self.add(path, format!("has {count} elements, at most {max}"));
        }
    }

    /// Checks a number against its bounds.
    fn range(&mut self, path: fmt::Arguments<'_>, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.add(path, format!("{value} is not in {min}..={max}"));
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]", self.list, self.index)
    }
}

/// Returns what is wrong with a name that is one segment of a path.
pub(crate) fn name_fault(name: &str) -> Option<String> {
    Form::Segment.fault(name)
}

impl Form {
    /// Returns what is wrong with a name.
    fn fault(self, name: &str) -> Option<String> {
        if name.is_empty() {
            Some("is empty".to_owned())
        } else if name.len() > MAX_NAME_BYTES {
            let bytes = name.len();
            Some(format!("has {bytes} bytes, at most {MAX_NAME_BYTES}"))
        } else if !self.accepts(name) {
            Some(format!("{name:?} does not match {}", self.description()))
        } else {
            None
        }
    }

    fn accepts(self, name: &str) -> bool {
        let starts_well = name.starts_with(|c: char| c.is_ascii_alphanumeric());
        starts_well && name.chars().all(|c| self.accepts_char(c))
    }

    fn accepts_char(self, c: char) -> bool {
        c.is_ascii_alphanumeric()
            || matches!(c, '.' | '_' | '-')
            || matches!((self, c), (Self::Model, '/' | ':' | '@'))
    }

    fn description(self) -> &'static str {
        match self {
            Self::Segment => "[A-Za-z0-9][A-Za-z0-9._-]*",
            Self::Model => "[A-Za-z0-9][A-Za-z0-9._:@/-]*",
        }
    }
}
