//! Validation of the rules and of their references to the register.
//!
//! A rule or route that never applies because an earlier one matches first is a problem too.

use super::{
    DeclaredNames, ElementPath, MAX_ACCOUNTS_PER_BUDGET, MAX_BUDGETS, MAX_DEADLINE_MS,
    MAX_MODELS_PER_BUDGET, MAX_OUTPUT_TOKENS, MAX_PATH_PREFIX_BYTES, MAX_PURCHASED_TOKENS,
    MAX_QUEUE_REQUESTS, MAX_RULES, NameFormat, Report, Seen,
};
use crate::rules::{Budget, Limits, PriorityRule, Route, Rules};

/// Adds the problems of the rules to `report`, with references checked against `declared`.
pub(super) fn check(rules: &Rules, declared: &DeclaredNames<'_>, report: &mut Report) {
    budgets(rules, declared, report);
    priorities(&rules.priorities, declared, report);
    routes(&rules.routes, declared, report);
    limits(&rules.limits, report);
}

fn budgets(rules: &Rules, declared: &DeclaredNames<'_>, report: &mut Report) {
    let list = "$.rules.budgets";
    report.check_count(format_args!("{list}"), rules.budgets.len(), MAX_BUDGETS);
    let mut names = Seen::default();
    for (index, budget) in rules.budgets.iter().enumerate() {
        let element = ElementPath { list, index };
        let path = format_args!("{element}.name");
        let name = budget.name.as_str();
        report.check_name(path, name, NameFormat::Segment);
        report.check_unique(&mut names, path, element, name, "budget");
        report.check_range(
            format_args!("{element}.purchased_tokens"),
            budget.purchased_tokens,
            0,
            MAX_PURCHASED_TOKENS,
        );
        budget_accounts(element, budget, declared, report);
        budget_models(element, budget, declared, report);
    }
}

fn budget_accounts(
    element: ElementPath,
    budget: &Budget,
    declared: &DeclaredNames<'_>,
    report: &mut Report,
) {
    let path = format_args!("{element}.client_accounts");
    let accounts = &budget.client_accounts;
    report.check_count(path, accounts.len(), MAX_ACCOUNTS_PER_BUDGET);
    if accounts.is_empty() {
        report.add(
            path,
            "has no elements, so no client account can spend the budget",
        );
    }
    for (position, account) in accounts.iter().enumerate() {
        report.check_reference(
            format_args!("{path}[{position}]"),
            &declared.client_accounts,
            account.as_str(),
            "client account",
        );
    }
    let names = accounts.iter().map(|account| account.as_str());
    report.check_no_duplicates(path, names, "client account");
}

fn budget_models(
    element: ElementPath,
    budget: &Budget,
    declared: &DeclaredNames<'_>,
    report: &mut Report,
) {
    let path = format_args!("{element}.models");
    report.check_count(path, budget.models.len(), MAX_MODELS_PER_BUDGET);
    for (position, model) in budget.models.iter().enumerate() {
        report.check_reference(
            format_args!("{path}[{position}]"),
            &declared.models,
            model.as_str(),
            "model",
        );
    }
    let names = budget.models.iter().map(|model| model.as_str());
    report.check_no_duplicates(path, names, "model");
}

fn priorities(rules: &[PriorityRule], declared: &DeclaredNames<'_>, report: &mut Report) {
    let list = "$.rules.priorities";
    report.check_count(format_args!("{list}"), rules.len(), MAX_RULES);
    for (index, rule) in rules.iter().enumerate() {
        let element = ElementPath { list, index };
        if let Some(account) = &rule.client_account {
            let path = format_args!("{element}.client_account");
            let known = &declared.client_accounts;
            report.check_reference(path, known, account.as_str(), "client account");
        }
        if let Some(model) = &rule.model {
            let path = format_args!("{element}.model");
            report.check_reference(path, &declared.models, model.as_str(), "model");
        }
        if let Some(service) = &rule.service {
            let path = format_args!("{element}.service");
            report.check_reference(path, &declared.services, service.as_str(), "service");
        }
        if rule.model.is_some() && rule.service.is_some() {
            report.add(
                element,
                "never matches: a request names a model or a service, not both",
            );
        } else if let Some(earlier) = rules[..index].iter().position(|e| covers(e, rule)) {
            report.add(
                element,
                format!("never matches: {list}[{earlier}] matches first"),
            );
        }
    }
}

/// Returns whether `earlier` matches every request that `rule` matches.
fn covers(earlier: &PriorityRule, rule: &PriorityRule) -> bool {
    fn covers_field<T: PartialEq>(earlier: &Option<T>, later: &Option<T>) -> bool {
        earlier.is_none() || earlier == later
    }
    covers_field(&earlier.client_account, &rule.client_account)
        && covers_field(&earlier.model, &rule.model)
        && covers_field(&earlier.service, &rule.service)
}

fn routes(routes: &[Route], declared: &DeclaredNames<'_>, report: &mut Report) {
    let list = "$.rules.routes";
    report.check_count(format_args!("{list}"), routes.len(), MAX_RULES);
    for (index, route) in routes.iter().enumerate() {
        let element = ElementPath { list, index };
        let path = format_args!("{element}.service");
        let service = route.service.as_str();
        report.check_reference(path, &declared.services, service, "service");
        if let Some(message) = prefix_error(&route.path_prefix) {
            report.add(format_args!("{element}.path_prefix"), message);
            continue;
        }
        let earlier = routes[..index].iter().position(|earlier| {
            earlier.service == route.service && earlier.matches_path(&route.path_prefix)
        });
        if let Some(earlier) = earlier {
            report.add(
                element,
                format!("never matches: {list}[{earlier}] matches first"),
            );
        }
    }
}

/// Returns why `prefix` is not valid as a route's path prefix, or `None`.
fn prefix_error(prefix: &str) -> Option<String> {
    if !prefix.starts_with('/') {
        return Some("does not start with /".to_owned());
    }
    if prefix.len() > MAX_PATH_PREFIX_BYTES {
        let bytes = prefix.len();
        return Some(format!(
            "has {bytes} bytes, more than the maximum of {MAX_PATH_PREFIX_BYTES}"
        ));
    }
    if !crate::rules::is_plain_path(prefix) {
        return Some(format!(
            "{prefix:?} is not a plain path: no empty, `.` or `..` segments, \
             and only letters, digits and -._~!$&'()*+,;=:@"
        ));
    }
    None
}

fn limits(limits: &Limits, report: &mut Report) {
    let path = "$.rules.limits";
    report.check_range(
        format_args!("{path}.max_output_tokens"),
        limits.max_output_tokens,
        1,
        MAX_OUTPUT_TOKENS,
    );
    report.check_range(
        format_args!("{path}.deadline_ms"),
        limits.deadline_ms,
        1,
        MAX_DEADLINE_MS,
    );
    report.check_range(
        format_args!("{path}.queue_requests"),
        limits.queue_requests.into(),
        1,
        MAX_QUEUE_REQUESTS.into(),
    );
}
