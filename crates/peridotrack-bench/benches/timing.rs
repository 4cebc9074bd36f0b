//! Prints time and memory at growing sizes on this machine, without bounds.

use std::{hint::black_box, time::Instant};

use peridotrack_bench::{
    report::{Figure, Report},
    route,
};
use peridotrack_budget::{action::Action, event::Event, holder::Holder, options::Options};
use peridotrack_types::{id, name};

const SIZES: [usize; 3] = [1_000, 10_000, 120_000];
const ROUNDS: usize = 1_000_000;

fn main() {
    budget_timing();
    route::timing::print();
}

fn budget_timing() {
    let mut report = Report::default();
    for budgets in SIZES {
        let names: Vec<name::Budget> = (0..budgets)
            .map(|index| name::Budget::from(format!("budget-{index}")))
            .collect();
        let before_bytes = resident_bytes();
        let mut holder = Holder::new(id::Incarnation(1), Options::default(), 0);
        let config = names.iter().map(|name| (name.clone(), 1_000_000_000));
        let _ = holder.configure(0, 1, config);
        let configured_bytes = resident_bytes().saturating_sub(before_bytes);
        draw_all(&mut holder, &names);
        let active_bytes = resident_bytes().saturating_sub(before_bytes);
        let reserve_ns = time_reserve(&mut holder, &names);
        report.add(Figure::unbounded(
            format!("budget.reserve_settle.{budgets}_budgets"),
            reserve_ns,
            "ns",
            "target under 1 us",
        ));
        for (state, bytes) in [("configured", configured_bytes), ("active", active_bytes)] {
            report.add(Figure::unbounded(
                format!("budget.resident.{state}.{budgets}_budgets"),
                bytes as f64 / budgets as f64,
                "B per budget",
                "target under 512 bytes",
            ));
        }
    }
}

/// Returns the resident memory of this process, in bytes; 0 where it cannot be read.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// Reserves tokens of each budget, so that all become active with a grant.
fn draw_all(holder: &mut Holder, names: &[name::Budget]) {
    for name in names {
        let _ = holder.reserve(0, name, 1_000);
    }
    let mut pending = holder.poll(10_000);
    while let Some(action) = pending.pop() {
        let event = match action {
            Action::Read { shard } => Event::ShardAbsent { shard },
            Action::Write { shard, .. } => Event::Written { shard, version: 1 },
            Action::Send { .. } | Action::Wake | Action::Note(_) => continue,
        };
        pending.extend(holder.on_event(10_000, event));
    }
}

/// Returns the mean time of one reservation and its settlement, in nanoseconds.
fn time_reserve(holder: &mut Holder, names: &[name::Budget]) -> f64 {
    let mut rng = fastrand::Rng::with_seed(3);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let name = &names[rng.usize(..names.len())];
        if let Ok(reservation) = holder.reserve(20_000, name, 10) {
            black_box(holder.settle(20_000, reservation, 0));
        }
    }
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}
