//! Checks the promises against what the stand-ins counted.

use eyre::Result;
use peridotrack_kernel::event;
use peridotrack_once::{bill::Bill, usage};
use peridotrack_types::{collections, id, name, problem};

use crate::{
    caller::{self, Kind, Try},
    fleet::{self, Fleet},
    load::Seen,
    summary::Summary,
};

/// Tokens that an engine counts for a message beside its text.
const MESSAGE_TOKENS: u64 = 3;
/// Bytes of text that an engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Fills in everything that can be counted after the end.
pub async fn check(fleet: &Fleet, seen: &Seen, summary: &mut Summary) -> Result<()> {
    count_ends(seen, summary);
    summary.overspend_tokens = overspend_tokens(fleet);
    summary.duplicate_runs = duplicate_runs(fleet, seen);
    summary.false_not_run = false_not_run(fleet, seen);
    let bill = read_bill(fleet).await?;
    check_bill(&bill, seen, summary);
    Ok(())
}

fn count_ends(seen: &Seen, summary: &mut Summary) {
    summary.requests = seen.ended.len() as u64;
    summary.cut_visibly = seen.cut_visibly;
    for (_, end) in &seen.ended {
        match end {
            Try::Completed => summary.completed += 1,
            Try::Wrong => summary.wrong_or_cut_answers += 1,
            Try::Cut { .. } => summary.outcome_unknown += 1,
            Try::Refused(problem) => match problem.ran {
                problem::Ran::No => summary.refused_not_run += 1,
                problem::Ran::Unknown => summary.outcome_unknown += 1,
            },
        }
    }
}

/// Returns the client account of every request that any router accepted.
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

/// Compares what the engines counted with what was purchased.
fn overspend_tokens(fleet: &Fleet) -> u64 {
    let accounts = accounts_by_request(fleet);
    let prompt_tokens = MESSAGE_TOKENS + caller::PROMPT_BYTES.div_ceil(BYTES_PER_TOKEN) as u64;
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

fn runs_by_key(fleet: &Fleet) -> collections::HashMap<String, u64> {
    let mut runs = collections::HashMap::default();
    for service in &fleet.services {
        for (key, tally) in service.counters().by_key {
            *runs.entry(key).or_default() += tally.runs;
        }
    }
    runs
}

fn duplicate_runs(fleet: &Fleet, seen: &Seen) -> u64 {
    let runs = runs_by_key(fleet);
    let assigned = seen
        .ended
        .iter()
        .filter(|(request, _)| request.kind == Kind::Assign);
    assigned
        .filter_map(|(request, _)| runs.get(&request.key))
        .map(|runs| runs.saturating_sub(1))
        .sum()
}

fn false_not_run(fleet: &Fleet, seen: &Seen) -> u64 {
    let runs = runs_by_key(fleet);
    let refused = seen.ended.iter().filter(|(request, end)| {
        let is_not_run = matches!(end, Try::Refused(problem) if problem.ran == problem::Ran::No);
        is_not_run && request.kind == Kind::Assign && runs.contains_key(&request.key)
    });
    refused.count() as u64
}

async fn read_bill(fleet: &Fleet) -> Result<Bill> {
    let mut batches: Vec<usage::Batch> = Vec::new();
    for key in fleet.list("usage/").await? {
        if let Some(body) = fleet.read(&key).await? {
            batches.push(serde_json::from_slice(&body)?);
        }
    }
    Ok(Bill::from_batches(batches))
}

fn check_bill(bill: &Bill, seen: &Seen, summary: &mut Summary) {
    // The request id only names requests without a key; these all have one.
    let unused = id::Request {
        incarnation: id::Incarnation(0),
        sequence: 0,
    };
    for (request, end) in &seen.ended {
        if *end != Try::Completed || !request.is_chat() {
            continue;
        }
        let account = name::ClientAccount::from(fleet::ACCOUNTS[request.account].name);
        let key = usage::request_key(&account, Some(&request.key), unused);
        let lines = bill
            .lines()
            .filter(|line| line.record.account == account && line.record.key == key)
            .count();
        summary.unbilled += u64::from(lines == 0);
        summary.billed_twice += u64::from(lines > 1);
    }
}
