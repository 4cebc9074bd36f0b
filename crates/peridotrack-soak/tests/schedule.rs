//! Schedules are reproducible from their seed and cover all faults.

use peridotrack_soak::schedule::{Fault, Shape, Step, plan};

const SHAPE: Shape = Shape {
    routers: 6,
    backends: 4,
    duration_ms: 60_000,
};

#[test]
fn a_seed_reproduces_its_schedule() {
    assert_eq!(plan(3, &SHAPE), plan(3, &SHAPE));
    assert_ne!(plan(3, &SHAPE), plan(4, &SHAPE));
}

#[test]
fn faults_overlap_and_repeat() {
    let steps: Vec<Step> = (0..20).flat_map(|seed| plan(seed, &SHAPE)).collect();
    let overlaps = |pair: &&[Step]| pair[0].at_ms + pair[0].duration_ms > pair[1].at_ms;
    assert!(steps.windows(2).filter(overlaps).count() > steps.len() / 2);
    let repeats = |pair: &&[Step]| pair[0].fault == pair[1].fault;
    assert!(steps.windows(2).filter(repeats).count() > 100);
}

#[test]
fn every_kind_of_fault_occurs() {
    let mut kinds: Vec<_> = (0..20)
        .flat_map(|seed| plan(seed, &SHAPE))
        .map(|step| std::mem::discriminant(&step.fault))
        .collect();
    kinds.sort_by_key(|kind| format!("{kind:?}"));
    kinds.dedup();
    assert_eq!(kinds.len(), 21);
}

#[test]
fn faults_disrupt_only_the_routers_that_they_affect() {
    assert!(Fault::Kill(2).disrupts(2));
    assert!(!Fault::Kill(2).disrupts(1));
    assert!(Fault::KillAll.disrupts(1));
    assert!(Fault::CompactStoreHistory(500).disrupts(1));
    assert!(!Fault::Configure.disrupts(1));
}
