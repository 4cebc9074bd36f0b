//! Checks of the rules against the register.

use std::collections::BTreeMap;

use super::{
    Declared, Form, MAX_ACCOUNTS_PER_BUDGET, MAX_BUDGETS, MAX_DEADLINE_MS, MAX_MODELS_PER_BUDGET,
    MAX_OUTPUT_TOKENS, MAX_PATH_PREFIX_BYTES, MAX_PURCHASED_TOKENS, MAX_QUEUE_REQUESTS, MAX_RULES,
    Report,
};
use crate::rules::{Limits, PriorityRule, Route, Rules};

/// Checks the rules against what the register declares.
pub(super) fn check(rules: &Rules, declared: &Declared<'_>, report: &mut Report) {
    budgets(rules, declared, report);
    priorities(&rules.priorities, declared, report);
    routes(&rules.routes, declared, report);
    limits(&rules.limits, report);
}

fn budgets(rules: &Rules, declared: &Declared<'_>, report: &mut Report) {
    let path = "$.rules.budgets";
    report.count(path, rules.budgets.len(), MAX_BUDGETS);
    let mut names = BTreeMap::new();
    for (index, budget) in rules.budgets.iter().enumerate() {
        let path = format!("{path}[{index}]");
        let name_path = format!("{path}.name");
        report.name(&name_path, budget.name.as_str(), Form::Segment);
        report.unique(&mut names, &name_path, budget.name.as_str(), "budget");
        report.range(
            &format!("{path}.purchased_tokens"),
            budget.purchased_tokens,
            0,
            MAX_PURCHASED_TOKENS,
        );
        let accounts_path = format!("{path}.client_accounts");
        if budget.client_accounts.is_empty() {
            report.add(&accounts_path, "has no element, so no one can spend it");
        }
        report.count(
            &accounts_path,
            budget.client_accounts.len(),
            MAX_ACCOUNTS_PER_BUDGET,
        );
        let mut accounts = BTreeMap::new();
        for (number, account) in budget.client_accounts.iter().enumerate() {
            let path = format!("{accounts_path}[{number}]");
            let account = account.as_str();
            report.reference(&path, &declared.client_accounts, account, "client account");
            report.unique(&mut accounts, &path, account, "client account");
        }
        let models_path = format!("{path}.models");
        report.count(&models_path, budget.models.len(), MAX_MODELS_PER_BUDGET);
        let mut models = BTreeMap::new();
        for (number, model) in budget.models.iter().enumerate() {
            let path = format!("{models_path}[{number}]");
            report.reference(&path, &declared.models, model.as_str(), "model");
            report.unique(&mut models, &path, model.as_str(), "model");
        }
    }
}

fn priorities(rules: &[PriorityRule], declared: &Declared<'_>, report: &mut Report) {
    let path = "$.rules.priorities";
    report.count(path, rules.len(), MAX_RULES);
    for (index, rule) in rules.iter().enumerate() {
        let path = format!("{path}[{index}]");
        if let Some(account) = &rule.client_account {
            let path = format!("{path}.client_account");
            report.reference(
                &path,
                &declared.client_accounts,
                account.as_str(),
                "client account",
            );
        }
        if let Some(model) = &rule.model {
            let path = format!("{path}.model");
            report.reference(&path, &declared.models, model.as_str(), "model");
        }
        if let Some(service) = &rule.service {
            let path = format!("{path}.service");
            report.reference(&path, &declared.services, service.as_str(), "service");
        }
        if rule.model.is_some() && rule.service.is_some() {
            report.add(
                &path,
                "never matches: a request names a model or a service, not both",
            );
        } else if let Some(earlier) = rules[..index].iter().position(|e| covers(e, rule)) {
            report.add(
                &path,
                format!("never matches: $.rules.priorities[{earlier}] matches first"),
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
    let path = "$.rules.routes";
    report.count(path, routes.len(), MAX_RULES);
    for (index, route) in routes.iter().enumerate() {
        let path = format!("{path}[{index}]");
        report.reference(
            &format!("{path}.service"),
            &declared.services,
            route.service.as_str(),
            "service",
        );
        if let Some(message) = prefix_fault(&route.path_prefix) {
            report.add(format!("{path}.path_prefix"), message);
            continue;
        }
        let earlier = routes[..index].iter().position(|earlier| {
            earlier.service == route.service && earlier.matches_path(&route.path_prefix)
        });
        if let Some(earlier) = earlier {
            report.add(
                &path,
                format!("never matches: $.rules.routes[{earlier}] matches first"),
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
        &format!("{path}.max_output_tokens"),
        limits.max_output_tokens,
        1,
        MAX_OUTPUT_TOKENS,
    );
    report.range(
        &format!("{path}.deadline_ms"),
        limits.deadline_ms,
        1,
        MAX_DEADLINE_MS,
    );
    report.range(
        &format!("{path}.queue_requests"),
        limits.queue_requests.into(),
        1,
        MAX_QUEUE_REQUESTS.into(),
    );
}
