//! Checks the promises after the fleet has stopped.
//!
//! The outcomes that callers observed are compared with the counts of the stand-ins and with the
//! usage records in the platform's store; the result goes into the [`Summary`].

use eyre::Result;
use peridotrack_kernel::event;
use peridotrack_once::{bill::Bill, usage};
use peridotrack_types::{collections, id, name, problem};

use crate::{
    caller::{self, AttemptOutcome, Kind},
    fleet::{self, Fleet},
    load::Observations,
    summary::Summary,
};

/// Prompt tokens that an engine counts per message in addition to its text.
const TOKENS_PER_MESSAGE: u64 = 3;
/// Bytes of prompt text that an engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Fills in the counts of the summary that are known only after the fleet has stopped.
///
/// # Errors
///
/// Returns an error if the usage records cannot be read.
pub async fn check(
    fleet: &Fleet,
    observations: &Observations,
    summary: &mut Summary,
) -> Result<()> {
    count_outcomes(observations, summary);
    summary.overspend_tokens = overspend_tokens(fleet);
    summary.duplicate_runs = duplicate_runs(fleet, observations);
    summary.false_not_run = false_not_run(fleet, observations);
    let bill = read_bill(fleet).await?;
    check_bill(&bill, observations, summary);
    Ok(())
}

/// Counts how the requests ended for their callers.
fn count_outcomes(observations: &Observations, summary: &mut Summary) {
    summary.requests = observations.requests.len() as u64;
    summary.cut_visibly = observations.cut_visibly;
    for (_, outcome) in &observations.requests {
        match outcome {
            AttemptOutcome::Completed => summary.completed += 1,
            AttemptOutcome::Wrong => summary.wrong_or_cut_answers += 1,
            AttemptOutcome::Cut { .. } => summary.outcome_unknown += 1,
            AttemptOutcome::Refused(problem) => match problem.ran {
                problem::Ran::No => summary.refused_not_run += 1,
                problem::Ran::Unknown => summary.outcome_unknown += 1,
            },
        }
    }
}

/// Returns the client account of each request that a router accepted, by request id.
fn accounts_by_request(fleet: &Fleet) -> collections::HashMap<String, String> {
    let mut accounts = collections::HashMap::default();
    for router in &fleet.routers {
        for event in router.daemon.kernel().timeline().after(0) {
            let account = event.fields.get("client_account");
            if let (Some(request_id), Some(event::Value::Text(account))) =
                (event.request_id, account)
            {
                accounts.insert(request_id.to_string(), account.clone());
            }
        }
    }
    accounts
}

/// Returns the tokens that the engines counted beyond the purchased totals, summed over all accounts.
/// Tokens of requests that no router accepted count as overspent.
fn overspend_tokens(fleet: &Fleet) -> u64 {
    let accounts = accounts_by_request(fleet);
    let prompt_tokens = TOKENS_PER_MESSAGE + caller::PROMPT_BYTES.div_ceil(BYTES_PER_TOKEN) as u64;
    let mut spent: collections::HashMap<&str, u64> = collections::HashMap::default();
    for engine in &fleet.engines {
        for (request_id, tally) in engine.counters().by_request_id {
            let account = accounts.get(&request_id).map_or("", String::as_str);
            *spent.entry(account).or_default() += tally.runs * prompt_tokens + tally.tokens;
        }
    }
    let purchased = |account: &str| {
        let budget = fleet::ACCOUNTS
            .iter()
            .find(|known| known.name == account)?
            .budget;
        let rules = fleet.config.rules.budgets.iter();
        rules
            .filter(|rule| rule.name.as_str() == budget)
            .map(|rule| rule.purchased_tokens)
            .next()
    };
    spent
        .iter()
        .map(|(account, tokens)| tokens.saturating_sub(purchased(account).unwrap_or_default()))
        .sum()
}

/// Returns how often the plain service ran the request of each idempotency key.
fn runs_by_key(fleet: &Fleet) -> collections::HashMap<String, u64> {
    let mut runs = collections::HashMap::default();
    for service in &fleet.services {
        for (key, tally) in service.counters().by_key {
            *runs.entry(key).or_default() += tally.runs;
        }
    }
    runs
}

/// Returns the runs of non-idempotent requests beyond the first.
fn duplicate_runs(fleet: &Fleet, observations: &Observations) -> u64 {
    let runs = runs_by_key(fleet);
    let assigned = observations
        .requests
        .iter()
        .filter(|(request, _)| request.kind == Kind::Assign);
    assigned
        .filter_map(|(request, _)| runs.get(&request.key))
        .map(|runs| runs.saturating_sub(1))
        .sum()
}

/// Returns the number of non-idempotent requests that ran although a router reported that they had
/// not.
fn false_not_run(fleet: &Fleet, observations: &Observations) -> u64 {
    let runs = runs_by_key(fleet);
    let refused = observations.requests.iter().filter(|(request, outcome)| {
        let is_not_run =
            matches!(outcome, AttemptOutcome::Refused(problem) if problem.ran == problem::Ran::No);
        is_not_run && request.kind == Kind::Assign && runs.contains_key(&request.key)
    });
    refused.count() as u64
}

/// Combines all usage records in the platform's store into a bill.
async fn read_bill(fleet: &Fleet) -> Result<Bill> {
    let mut batches: Vec<usage::Batch> = Vec::new();
    for key in fleet.list("usage/").await? {
        if let Some(body) = fleet.read(&key).await? {
            batches.push(serde_json::from_slice(&body)?);
        }
    }
    Ok(Bill::from_batches(batches))
}

/// Counts the completed chat requests that are missing from the bill or on it more than once.
fn check_bill(bill: &Bill, observations: &Observations, summary: &mut Summary) {
    // The key of a usage record contains the request id only if the request has no idempotency key;
    // all requests of the demonstration have one.
    let unused_id = id::Request {
        incarnation: id::Incarnation(0),
        sequence: 0,
    };
    for (request, outcome) in &observations.requests {
        if *outcome != AttemptOutcome::Completed || !request.is_chat() {
            continue;
        }
        let account = name::ClientAccount::from(fleet::ACCOUNTS[request.account].name);
        let key = usage::request_key(&account, Some(&request.key), unused_id);
        let lines = bill
            .lines()
            .filter(|line| line.record.account == account && line.record.key == key)
            .count();
        summary.unbilled += u64::from(lines == 0);
        summary.billed_twice += u64::from(lines > 1);
    }
}
