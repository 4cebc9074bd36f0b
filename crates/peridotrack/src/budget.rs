//! `budget show` and `budget release`: read and update the shards of the ledger on the platform.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use peridotrack_budget::ledger::{Entry, Row, Shard, Totals};
use peridotrack_types::{id, name};
use serde::Serialize;
use serde_json::Value;

use crate::{
    arguments::Release,
    config::object,
    fleet::Fleet,
    platform::{Platform, WriteOutcome},
    report::{Exit, Failure, OrExit, Report},
};

/// Prefix of the keys of ledger shards.
const LEDGER_PREFIX: &str = "ledger/";
/// Maximum number of attempts of a release whose writes conflict with updates of routers.
const MAX_ATTEMPTS: usize = 20;

/// A budget of the configuration, the ledger or both, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetView {
    /// Name of the budget, unique in a configuration.
    pub budget: name::Budget,
    /// Whether the stored configuration declares the budget.
    pub is_configured: bool,
    /// Token totals over all holders, open, released and closed.
    pub totals: Totals,
    /// Ledger row of each holder.
    pub holders: BTreeMap<id::Incarnation, Row>,
}

/// Shows all budgets, or only the budget `only` with its holders.
///
/// # Errors
///
/// Returns a failure if the platform cannot be reached or there is no such budget.
pub async fn show(address: SocketAddr, only: Option<&name::Budget>) -> Result<Report, Failure> {
    let platform = Platform::open(address);
    let mut views = configured_budgets(&platform).await?;
    for (_, shard) in read_shards(&platform).await? {
        for (budget, entry) in shard.entries {
            add_entry(&mut views, budget, &entry);
        }
    }
    if let Some(only) = only {
        views.retain(|budget, _| budget == only);
        if views.is_empty() {
            let message = format!("neither the configuration nor the ledger holds budget {only}");
            return Err(Failure::new(Exit::Refused, message));
        }
    }
    let with_holders = only.is_some();
    let text = views
        .values()
        .map(|budget| budget_text(budget, with_holders))
        .collect::<String>();
    let budgets: Vec<_> = views.into_values().collect();
    Ok(Report::done(
        text,
        serde_json::json!({ "budgets": budgets }),
    ))
}

/// Releases the tokens of a budget that a destroyed router held.
///
/// A release that is repeated with the same arguments changes nothing and succeeds while the ledger
/// still shows the released row.
///
/// # Errors
///
/// Returns a failure if a router reports the holder as running, the ledger refuses the release, or
/// the platform cannot be reached.
pub async fn release(release: &Release) -> Result<Report, Failure> {
    check_not_running(release).await?;
    let platform = Platform::open(release.platform);
    let mut is_response_lost = false;
    for _ in 0..MAX_ATTEMPTS {
        let (key, version, shard) = find_shard(&platform, &release.budget).await?;
        if is_released(&shard, release, is_response_lost) {
            return Ok(release_report(release));
        }
        let mut next = shard.clone();
        next.release(&release.budget, release.holder, release.spent_tokens)
            .or_exit(Exit::Refused)?;
        next.check_update(&shard).or_exit(Exit::Refused)?;
        let content = Bytes::from(serde_json::to_vec(&next).or_exit(Exit::Refused)?);
        let written = platform.write(&key, Some(version), &content).await;
        match written.or_exit(Exit::Unreachable)? {
            WriteOutcome::Done => return Ok(release_report(release)),
            WriteOutcome::Conflict => {}
            WriteOutcome::ConflictAfterLostResponse => is_response_lost = true,
        }
    }
    Err(Failure::new(
        Exit::Refused,
        "a router updated the ledger during every attempt; nothing was released",
    ))
}

/// Refuses the release of a holder that a router reports as running.
async fn check_not_running(release: &Release) -> Result<(), Failure> {
    let fleet = Fleet::open(&release.routers)?;
    for (router, response) in fleet.get_all::<Value>("/v1/status").await {
        // Without a response the router neither confirms nor rules out that the holder runs.
        let Ok(response) = response else {
            continue;
        };
        if is_running(&response.value, release.holder) {
            let holder = release.holder;
            let message = format!("holder {holder} is running, as router {router} reports");
            return Err(Failure::new(Exit::Refused, message));
        }
    }
    Ok(())
}

/// Returns whether a status is that of `holder`, or lists it as a live peer.
fn is_running(status: &Value, holder: id::Incarnation) -> bool {
    let holder = holder.to_string();
    let is_holder = |value: &Value| value["incarnation"] == holder.as_str();
    let peers = status["peers"].as_array().map_or(&[][..], Vec::as_slice);
    let is_live = |peer: &Value| is_holder(peer) && peer["is_live"] == true;
    is_holder(status) || peers.iter().any(is_live)
}

/// Returns the budgets of the stored configuration, as if nothing had been drawn on them.
async fn configured_budgets(
    platform: &Platform,
) -> Result<BTreeMap<name::Budget, BudgetView>, Failure> {
    let Some(stored) = object::read(platform).await? else {
        return Ok(BTreeMap::new());
    };
    let budgets = stored.config.rules.budgets.into_iter();
    let views = budgets.map(|budget| {
        let totals = Totals {
            purchased_tokens: budget.purchased_tokens,
            left_tokens: budget.purchased_tokens,
            ..Totals::default()
        };
        let view = BudgetView {
            budget: budget.name.clone(),
            is_configured: true,
            totals,
            holders: BTreeMap::new(),
        };
        (budget.name, view)
    });
    Ok(views.collect())
}

/// Adds a ledger entry. The purchased total of the configuration, if it declares the budget, takes
/// precedence over that of the ledger.
fn add_entry(views: &mut BTreeMap<name::Budget, BudgetView>, budget: name::Budget, entry: &Entry) {
    let mut totals = entry.totals();
    let configured = views.get(&budget);
    if let Some(configured) = configured {
        totals.purchased_tokens = configured.totals.purchased_tokens;
        totals.left_tokens = totals
            .purchased_tokens
            .saturating_sub(totals.exposed_tokens);
    }
    let view = BudgetView {
        budget: budget.clone(),
        is_configured: configured.is_some(),
        totals,
        holders: entry.rows.clone(),
    };
    views.insert(budget, view);
}

/// Reads every shard of the ledger, with its key and version.
async fn read_shards(platform: &Platform) -> Result<Vec<((String, u64), Shard)>, Failure> {
    let keys = platform
        .list(LEDGER_PREFIX)
        .await
        .or_exit(Exit::Unreachable)?;
    let mut shards = Vec::new();
    for key in keys {
        let object = platform.read(&key).await.or_exit(Exit::Unreachable)?;
        let Some(object) = object else {
            continue;
        };
        let shard = serde_json::from_slice(&object.content).or_exit(Exit::Refused)?;
        shards.push(((key, object.version), shard));
    }
    Ok(shards)
}

/// Returns the shard that has an entry of `budget`, with its key and version.
async fn find_shard(
    platform: &Platform,
    budget: &name::Budget,
) -> Result<(String, u64, Shard), Failure> {
    for ((key, version), shard) in read_shards(platform).await? {
        if shard.entries.contains_key(budget) {
            return Ok((key, version, shard));
        }
    }
    Err(Failure::new(
        Exit::Refused,
        format!("the ledger has no entry of budget {budget}"),
    ))
}

/// Returns whether the ledger already shows this release.
///
/// A released row that waits for no other holder is removed and added to the closed total. After a
/// lost response, a missing row therefore means that the release took effect.
fn is_released(shard: &Shard, release: &Release, is_response_lost: bool) -> bool {
    let entry = shard.entries.get(&release.budget);
    match entry.and_then(|entry| entry.rows.get(&release.holder)) {
        Some(Row::Released { spent_tokens, .. }) => *spent_tokens == release.spent_tokens,
        Some(Row::Open { .. } | Row::Closed { .. }) => false,
        None => is_response_lost,
    }
}

fn release_report(release: &Release) -> Report {
    let Release {
        budget,
        holder,
        spent_tokens,
        ..
    } = release;
    let text = format!(
        "released the tokens of {budget} that {holder} held; they count as {spent_tokens} tokens \
         spent once every open holder has acknowledged the release\n"
    );
    let json = serde_json::json!({
        "budget": budget,
        "holder": holder,
        "spent_tokens": spent_tokens,
    });
    Report::done(text, json)
}

fn budget_text(view: &BudgetView, with_holders: bool) -> String {
    let Totals {
        purchased_tokens,
        settled_tokens,
        reserved_tokens,
        exposed_tokens,
        left_tokens,
    } = view.totals;
    let mut text = format!(
        "{}: {purchased_tokens} purchased, {settled_tokens} settled, {reserved_tokens} reserved, \
         {exposed_tokens} granted or spent, {left_tokens} left, {} holders{}\n",
        view.budget,
        view.holders.len(),
        if view.is_configured {
            ""
        } else {
            ", not in the configuration"
        },
    );
    if with_holders {
        let lines = view
            .holders
            .iter()
            .map(|(holder, row)| holder_line(*holder, row));
        text.extend(lines);
    }
    text
}

/// Formats one holder's row of the ledger.
fn holder_line(holder: id::Incarnation, row: &Row) -> String {
    let state = match row {
        Row::Open { .. } => "open",
        Row::Released { .. } => "released",
        Row::Closed { .. } => "closed",
    };
    format!(
        "  {holder} {state}: {} granted or spent, {} settled, {} reserved, {} idle\n",
        row.exposed_tokens(),
        row.settled_tokens(),
        row.reserved_tokens(),
        row.idle_tokens(),
    )
}
