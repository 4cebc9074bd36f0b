//! Encoded sizes of stored objects and sent messages, in bytes.

use peridotrack_budget::options::Options;
use peridotrack_types::config::store;
use serde::Serialize;

use crate::{
    budget::scale::{self, Size},
    capacity::fixture,
    report::{Figure, Report},
};

/// Time of steady use before the size of the ledger is measured, in simulated seconds.
const LEDGER_S: u64 = 60;

/// An entry of the platform's list of VMs.
#[derive(Serialize)]
struct VmEntry {
    name: String,
    address: String,
    state: &'static str,
}

/// Measures the sizes of objects and messages and adds the figures to `report`.
pub fn measure(report: &mut Report) {
    for budgets in [1_000, 10_000, fixture::BUDGETS] {
        config(report, budgets);
    }
    for (holders, active_budgets) in [(8, 1_200), (40, 1_200), (400, 1_200), (400, 12_000)] {
        ledger(report, holders, active_budgets);
    }
    for (holders, budgets) in [(8, 5), (40, 5), (400, 5), (40, 50), (400, 50)] {
        let bytes = json_bytes(&fixture::ledger_shard(holders, budgets));
        let measure = format!("size.ledger_shard.{holders}_holders_on_each_of_{budgets}_budgets");
        add_unbounded(report, measure, bytes);
    }
    for vms in [14, 100, fixture::ROUTERS + fixture::ENGINES] {
        let list: Vec<_> = (0..vms).map(vm_entry).collect();
        add_unbounded(report, format!("size.vm_list.{vms}_vms"), json_bytes(&list));
    }
    for records in [10, 100, 1_000] {
        let list: Vec<_> = (0..records).map(fixture::usage_record).collect();
        let json = json_bytes(&list);
        add_unbounded(report, format!("size.usage_json.{records}_records"), json);
        let encoded_bytes = postcard::to_allocvec(&list).map_or(0, |bytes| bytes.len());
        add_unbounded(
            report,
            format!("size.usage_copy.{records}_records"),
            encoded_bytes,
        );
    }
}

/// Measures a configuration, its parts, and the parts that topping up one budget changes.
fn config(report: &mut Report, budgets: usize) {
    let mut config = fixture::config(budgets);
    let Ok((manifest, parts)) = store::split(&config) else {
        return;
    };
    let part_bytes: Vec<usize> = parts.iter().map(|part| part.content.len()).collect();
    let name = format!("size.config.{budgets}_budgets");
    add_unbounded(report, format!("{name}.manifest"), json_bytes(&manifest));
    add_unbounded(report, format!("{name}.parts"), part_bytes.iter().sum());
    let largest = part_bytes.iter().max().copied().unwrap_or_default();
    add_unbounded(report, format!("{name}.largest_part"), largest);
    report.add(Figure::unbounded(
        format!("{name}.part_count"),
        parts.len() as f64,
        "parts",
        "no bound",
    ));
    config.version += 1;
    config.rules.budgets[budgets / 2].purchased_tokens += 1;
    let Ok((_, after)) = store::split(&config) else {
        return;
    };
    let changed = after
        .iter()
        .filter(|part| parts.iter().all(|before| before.key != part.key));
    let bytes = changed.map(|part| part.content.len()).sum();
    add_unbounded(report, format!("{name}.changed_by_one_top_up"), bytes);
}

/// Measures the ledger shards of a fleet in steady use.
fn ledger(report: &mut Report, holders: usize, active_budgets: usize) {
    let size = Size {
        holders,
        failure_domains: holders.min(14) / 2,
        budgets: active_budgets,
        active_budgets,
        requests_per_s: holders as u64 * 85 / 10,
        warm_up_s: LEDGER_S,
        measured_s: 0,
    };
    let mut fleet = scale::spawn_fleet(size);
    let mut rng = fastrand::Rng::with_seed(7);
    scale::run_load(&mut fleet, size, &mut rng, LEDGER_S * 1_000_000);
    let shards = Options::default().shard_count;
    let sizes: Vec<usize> = (0..shards)
        .filter_map(|shard| Some(json_bytes(fleet.store.peek(shard)?)))
        .collect();
    let name = format!("size.ledger.{holders}_holders_{active_budgets}_active_budgets");
    let largest = sizes.iter().max().copied().unwrap_or_default();
    add_unbounded(report, format!("{name}.largest_shard"), largest);
    let total: usize = sizes.iter().sum();
    add_unbounded(
        report,
        format!("{name}.mean_shard"),
        total / sizes.len().max(1),
    );
}

fn vm_entry(index: usize) -> VmEntry {
    VmEntry {
        name: format!("router-{index:04}"),
        address: format!("10.0.{}.{}:8000", index / 250, index % 250),
        state: "live",
    }
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

fn add_unbounded(report: &mut Report, measure: String, bytes: usize) {
    report.add(Figure::unbounded(measure, bytes as f64, "B", "no bound"));
}
