//! State of a large fleet, built in memory for the capacity measures.
//!
//! The constants are the design size; the functions take smaller sizes too.

use std::net::SocketAddr;

use peridotrack_budget::{action::Action, event::Event, holder::Holder, ledger, options::Options};
use peridotrack_member::{
    action,
    member::{self, Members},
    message::{HeartbeatSequence, Message, Record, Report, State},
};
use peridotrack_once::usage;
use peridotrack_types::{config, id, name, register, rules};

use crate::route::case;

/// Number of budgets at the design size.
pub const BUDGETS: usize = 120_000;
/// Number of client accounts at the design size.
pub const ACCOUNTS: usize = 1_400;
/// Number of engines at the design size.
pub const ENGINES: usize = 810;
/// Number of routers at the design size.
pub const ROUTERS: usize = 400;
/// Number of routers in the largest failure domain.
pub const DOMAIN_ROUTERS: usize = 60;
/// Number of failure domains at the design size.
pub const DOMAINS: usize = 7;
/// Requests that an engine batches at once.
pub const SLOTS: usize = 16;
const PURCHASED_TOKENS: u64 = 1_000_000_000;
const SECOND_US: u64 = 1_000_000;

/// Returns the names of `budgets` budgets, in ascending order.
pub fn budget_names(budgets: usize) -> Vec<name::Budget> {
    (0..budgets)
        .map(|index| name::Budget::from(format!("budget-{index:06}")))
        .collect()
}

/// Returns a holder with all budgets configured and none active.
pub fn holder(names: &[name::Budget]) -> Holder {
    let mut holder = Holder::new(id::Incarnation(1), Options::default(), 0);
    let config = names.iter().map(|name| (name.clone(), PURCHASED_TOKENS));
    let _ = holder.configure(0, 1, config);
    holder
}

/// Reserves tokens of each budget, so that all become active with a grant.
pub fn draw_all(holder: &mut Holder, names: &[name::Budget]) {
    for name in names {
        let _ = holder.reserve(0, name, 1_000);
    }
    let pending = holder.poll(10_000);
    complete_store_calls(holder, 10_000, pending);
}

/// Completes all store calls of a holder: every shard is absent and every write succeeds.
///
/// Messages to peers are dropped.
pub fn complete_store_calls(holder: &mut Holder, now_us: u64, mut pending: Vec<Action>) {
    while let Some(action) = pending.pop() {
        let event = match action {
            Action::Read { shard } => Event::ShardAbsent { shard },
            Action::Write { shard, .. } => Event::Written { shard, version: 1 },
            Action::Send { .. } | Action::Wake | Action::Note(_) => continue,
        };
        pending.extend(holder.on_event(now_us, event));
    }
}

/// Returns a ledger shard after each of `holders` holders drew on each of `budgets` budgets.
pub fn ledger_shard(holders: usize, budgets: usize) -> ledger::Shard {
    let options = Options {
        shard_count: 1,
        ..Options::default()
    };
    let names = budget_names(budgets);
    let mut body = None;
    for index in 0..holders {
        let incarnation = id::Incarnation(0x9e37_79b9_7f4a_7c15u64.wrapping_mul(index as u64 + 1));
        let mut holder = Holder::new(incarnation, options.clone(), 0);
        let config = names.iter().map(|name| (name.clone(), PURCHASED_TOKENS));
        let mut pending = holder.configure(0, 1, config);
        for name in &names {
            let _ = holder.reserve(0, name, 1_000);
        }
        pending.extend(holder.poll(10_000));
        while let Some(action) = pending.pop() {
            let event = match action {
                Action::Read { shard } => match &body {
                    Some(body) => Event::ShardRead {
                        shard,
                        version: 1,
                        body: ledger::Shard::clone(body),
                    },
                    None => Event::ShardAbsent { shard },
                },
                Action::Write {
                    shard, body: next, ..
                } => {
                    body = Some(next);
                    Event::Written { shard, version: 2 }
                }
                Action::Send { .. } | Action::Wake | Action::Note(_) => continue,
            };
            pending.extend(holder.on_event(10_000, event));
        }
    }
    body.unwrap_or_default()
}

/// Returns client accounts with one API key each.
pub fn accounts(accounts: usize) -> Vec<register::ClientAccount> {
    (0..accounts)
        .map(|index| register::ClientAccount {
            name: format!("account-{index:04}").into(),
            key_digests_sha256: vec![format!("{index:064x}")],
        })
        .collect()
}

/// Returns a configuration of the design size, except for the number of budgets.
pub fn config(budgets: usize) -> config::Config {
    let budgets = budget_names(budgets)
        .into_iter()
        .enumerate()
        .map(|(index, name)| rules::Budget {
            name,
            purchased_tokens: PURCHASED_TOKENS,
            client_accounts: vec![format!("account-{:04}", index % ACCOUNTS).into()],
            models: Vec::new(),
        })
        .collect();
    config::Config {
        version: 1,
        register: register::Register {
            client_accounts: accounts(ACCOUNTS),
            ..case::register(ENGINES, SLOTS)
        },
        rules: rules::Rules {
            budgets,
            ..rules::Rules::default()
        },
    }
}

/// Returns the membership record of a router.
///
/// The first [`DOMAIN_ROUTERS`] routers share the first failure domain.
pub fn router_record(index: usize, heartbeat_sequence: u64) -> Record {
    let domain = match index {
        0..DOMAIN_ROUTERS => 0,
        _ => 1 + index % (DOMAINS - 1),
    };
    let address =
        |port| SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port));
    Record {
        vm: format!("router-{index:03}").into(),
        incarnation: id::Incarnation(index as u64 + 1),
        started_wall_ms: 1_000,
        failure_domain: format!("domain-{domain}").into(),
        peer_address: address(7_000),
        caller_address: address(8_000),
        heartbeat_sequence,
        config_version: 1,
        state: State::Serving,
    }
}

/// Returns the membership of router 0 before it received any heartbeat.
pub fn members() -> Members {
    let local_record = router_record(0, 0);
    let local = member::Local {
        vm: local_record.vm,
        incarnation: local_record.incarnation,
        started_wall_ms: local_record.started_wall_ms,
        failure_domain: local_record.failure_domain,
        peer_address: local_record.peer_address,
        caller_address: local_record.caller_address,
    };
    let mut members = Members::new(local, Vec::new(), member::Options::default(), 1, 0);
    let _ = members.configure(0, 1);
    members
}

/// Returns the heartbeat of a router, with the heartbeat sequences of the first failure domain.
pub fn heartbeat(from: usize, sequence: u64) -> action::Event {
    let from = router_record(from, sequence);
    let heartbeat_sequences = (1..DOMAIN_ROUTERS)
        .map(|index| HeartbeatSequence {
            incarnation: id::Incarnation(index as u64 + 1),
            sequence,
        })
        .collect();
    action::Event::Message {
        from_address: from.peer_address,
        message: Message::Heartbeat(Report {
            from,
            heartbeat_sequences,
            records: Vec::new(),
            wanted_records: 0,
            domain_peers: (DOMAIN_ROUTERS - 1) as u8,
        }),
    }
}

/// Delivers one heartbeat of every other router to the membership.
pub fn receive_heartbeats(members: &mut Members, routers: usize, now_us: u64) {
    for index in 1..routers {
        let _ = members.on_event(now_us, heartbeat(index, 1 + now_us / SECOND_US));
    }
}

/// Returns the final usage record of one request.
pub fn usage_record(sequence: u64) -> usage::Record {
    let request_id = id::Request {
        incarnation: id::Incarnation(1),
        sequence,
    };
    let account = name::ClientAccount::from(format!("account-{:04}", sequence % 1_400));
    usage::Record {
        key: usage::request_key(&account, Some("an-idempotency-key"), request_id),
        account,
        budget: format!("budget-{:06}", sequence % 120_000).into(),
        model: case::MODEL.into(),
        request_id,
        prompt_tokens: 1_000,
        completion_tokens: 353,
        settled_tokens: 1_353,
        wall_time_ms: 20_000,
        is_final: true,
    }
}
