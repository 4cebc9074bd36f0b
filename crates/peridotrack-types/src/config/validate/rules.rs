//! Checks of the rules against the register.

use super::{
    Declared, Form, MAX_ACCOUNTS_PER_BUDGET, MAX_BUDGETS, MAX_DEADLINE_MS, MAX_MODELS_PER_BUDGET,
    MAX_OUTPUT_TOKENS, MAX_PATH_PREFIX_BYTES, MAX_PURCHASED_TOKENS, MAX_QUEUE_REQUESTS, MAX_RULES,
    Place, Report, Seen,
};
use crate::rules::{Budget, Limits, PriorityRule, Route, Rules};

/// Checks the rules against what the register declares.
pub(super) fn check(rules: &Rules, declared: &Declared<'_>, report: &mut Report) {
    budgets(rules, declared, report);
    priorities(&rules.priorities, declared, report);
    routes(&rules.routes, declared, report);
    limits(&rules.limits, report);
}

fn budgets(rules: &Rules, declared: &Declared<'_>, report: &mut Report) {
    let list = "$.rules.budgets";
    report.count(format_args!("{list}"), rules.budgets.len(), MAX_BUDGETS);
    let mut names = Seen::default();
    for (index, budget) in rules.budgets.iter().enumerate() {
        let place = Place { list, index };
        let path = format_args!("{place}.name");
        let name = budget.name.as_str();
        report.name(path, name, Form::Segment);
        report.unique(&mut names, path, place, name, "budget");
        report.range(
            format_args!("{place}.purchased_tokens"),
            budget.purchased_tokens,
            0,
            MAX_PURCHASED_TOKENS,
        );
        budget_accounts(place, budget, declared, report);
        budget_models(place, budget, declared, report);
    }
}

fn budget_accounts(place: Place, budget: &Budget, declared: &Declared<'_>, report: &mut Report) {
    let path = format_args!("{place}.client_accounts");
    let accounts = &budget.client_accounts;
    report.count(path, accounts.len(), MAX_ACCOUNTS_PER_BUDGET);
    if accounts.is_empty() {
        report.add(path, "has no element, so no one can spend it");
    }
    for (number, account) in accounts.iter().enumerate() {
        report.reference(
            format_args!("{path}[{number}]"),
            &declared.client_accounts,
            account.as_str(),
            "client account",
        );
    }
    let names = accounts.iter().map(|account| account.as_str());
    report.each_once(path, names, "client account");
}

fn budget_models(place: Place, budget: &Budget, declared: &Declared<'_>, report: &mut Report) {
    let path = format_args!("{place}.models");
    report.count(path, budget.models.len(), MAX_MODELS_PER_BUDGET);
    for (number, model) in budget.models.iter().enumerate() {
        report.reference(
            format_args!("{path}[{number}]"),
            &declared.models,
            model.as_str(),
            "model",
        );
    }
    let names = budget.models.iter().map(|model| model.as_str());
    report.each_once(path, names, "model");
}

fn priorities(rules: &[PriorityRule], declared: &Declared<'_>, report: &mut Report) {
    let list = "$.rules.priorities";
    report.count(format_args!("{list}"), rules.len(), MAX_RULES);
    for (index, rule) in rules.iter().enumerate() {
        let place = Place { list, index };
        if let Some(account) = &rule.client_account {
            let path = format_args!("{place}.client_account");
            let known = &declared.client_accounts;
            report.reference(path, known, account.as_str(), "client account");
        }
        if let Some(model) = &rule.model {
            let path = format_args!("{place}.model");
            report.reference(path, &declared.models, model.as_str(), "model");
        }
        if let Some(service) = &rule.service {
            let path = format_args!("{place}.service");
            report.reference(path, &declared.services, service.as_str(), "service");
        }
        if rule.model.is_some() && rule.service.is_some() {
            report.add(
                place,
                "never matches: a request names a model or a service, not both",
            );
        } else if let Some(earlier) = rules[..index].iter().position(|e| covers(e, rule)) {
            report.add(
                place,
                format!("never matches: {list}[{earlier}] matches first"),
            );
        }
    }
}

/// Returns whether every request that `rule` matches is matched by `earlier`.
fn covers(earlier: &PriorityRule, rule: &PriorityRule) -> bool {
    fn covers_field<T: PartialEq>(earlier: &Option<T>, later: &Option<T>) -> bool {
        earlier.is_none() || earlier == later
    }
    covers_field(&earlier.client_account, &rule.client_account)
        && covers_field(&earlier.model, &rule.model)
        && covers_field(&earlier.service, &rule.service)
}

fn routes(routes: &[Route], declared: &Declared<'_>, report: &mut Report) {
    let list = "$.rules.routes";
    report.count(format_args!("{list}"), routes.len(), MAX_RULES);
    for (index, route) in routes.iter().enumerate() {
        let place = Place { list, index };
        let path = format_args!("{place}.service");
        let service = route.service.as_str();
        report.reference(path, &declared.services, service, "service");
        if let Some(message) = prefix_fault(&route.path_prefix) {
            report.add(format_args!("{place}.path_prefix"), message);
            continue;
        }
        let earlier = routes[..index].iter().position(|earlier| {
            earlier.service == route.service && earlier.matches_path(&route.path_prefix)
        });
        if let Some(earlier) = earlier {
            report.add(
                place,
                format!("never matches: {list}[{earlier}] matches first"),
            );
        }
    }
}

/// Returns what is wrong with the prefix of a path.
fn prefix_fault(prefix: &str) -> Option<String> {
    if !prefix.starts_with('/') {
        return Some("does not begin with /".to_owned());
    }
    if prefix.len() > MAX_PATH_PREFIX_BYTES {
        let bytes = prefix.len();
        return Some(format!(
            "has {bytes} bytes, at most {MAX_PATH_PREFIX_BYTES}"
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
    report.range(
        format_args!("{path}.max_output_tokens"),
        limits.max_output_tokens,
        1,
        MAX_OUTPUT_TOKENS,
    );
    report.range(
        format_args!("{path}.deadline_ms"),
        limits.deadline_ms,
        1,
        MAX_DEADLINE_MS,
    );
    report.range(
        format_args!("{path}.queue_requests"),
        limits.queue_requests.into(),
        1,
        MAX_QUEUE_REQUESTS.into(),
    );
}
