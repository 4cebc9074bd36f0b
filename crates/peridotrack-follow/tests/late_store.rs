//! Seeded search over three followers of a store that reports changes late, while it states its current
//! revision: no change may be missed for good, whatever order responses and messages arrive in.

use std::collections::BTreeSet;

use peridotrack_follow::{
    event::{Action, Event},
    follower::{Follower, Options},
    message::{Change, Message},
};
use peridotrack_types::id;
use rstest::rstest;

const MS: u64 = 1_000;
const STEP_US: u64 = 10 * MS;
const TICK_US: u64 = 100 * MS;
const ROUTERS: usize = 3;
const SEEDS: u64 = 200;
/// Time in which changes are made.
const CHANGES_US: u64 = 40_000 * MS;
/// Length of a run.
const RUN_US: u64 = 60_000 * MS;

#[derive(Clone, Copy)]
enum Call {
    List,
    Watch { revision: u64, until_us: u64 },
}

/// A response on its way, with the objects if it is that to a list.
struct Response {
    at_us: u64,
    event: Event,
    listed: Option<BTreeSet<u64>>,
}

struct Router {
    follower: Follower,
    call: Option<Call>,
    response: Option<Response>,
    /// Revisions of the changes that were listed or applied.
    known: BTreeSet<u64>,
}

struct Commit {
    revision: u64,
    /// From when on watches report it.
    reported_us: u64,
    /// Revision that its event states.
    stated_revision: u64,
}

struct Lateness {
    /// Longest time of a response on its way, in milliseconds.
    transit_ms: u64,
    /// Longest time after which watches report a change, in milliseconds.
    report_ms: u64,
    /// Whether half of the events state no later revision than the first list.
    has_old_revisions: bool,
}

fn event_of(commit: &Commit) -> Change {
    Change {
        name: commit.revision.to_string(),
        content: Vec::new(),
        is_removed: false,
    }
}

fn respond(call: Call, now_us: u64, revision: u64, commits: &[Commit]) -> Option<(Event, bool)> {
    let Call::Watch {
        revision: from,
        until_us,
    } = call
    else {
        return Some((Event::Listed { revision }, true));
    };
    let is_reported = |commit: &&Commit| commit.revision > from && commit.reported_us <= now_us;
    let reported: Vec<&Commit> = commits.iter().filter(is_reported).collect();
    if reported.is_empty() && now_us < until_us {
        return None;
    }
    let event = Event::Watched {
        last_change: reported.iter().map(|commit| commit.stated_revision).max(),
        changes: reported.into_iter().map(event_of).collect(),
        revision,
        since_loss_us: None,
    };
    Some((event, false))
}

/// Runs a seed; returns the revisions that a router has missed, if any has.
fn missed(seed: u64, lateness: &Lateness) -> Option<Vec<u64>> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let ids: Vec<_> = (1..=ROUTERS as u64).map(id::Incarnation).collect();
    let router = |id: &id::Incarnation| Router {
        follower: Follower::new(
            *id,
            Options {
                seed,
                ..Options::default()
            },
            0,
        ),
        call: None,
        response: None,
        known: BTreeSet::new(),
    };
    let mut routers: Vec<Router> = ids.iter().map(router).collect();
    let mut messages: Vec<(u64, usize, id::Incarnation, Message)> = Vec::new();
    let mut events: Vec<(usize, Event)> = (0..ROUTERS)
        .map(|router| (router, Event::Peers(ids.clone())))
        .collect();
    let mut commits: Vec<Commit> = Vec::new();
    let (mut revision, mut now_us, mut cut_until_us, mut reported_us) = (1, 0, 0, 0);
    while now_us < RUN_US {
        now_us += STEP_US;
        if now_us < CHANGES_US && rng.u32(..60) == 0 {
            revision += 1;
            reported_us = reported_us.max(now_us + rng.u64(..=lateness.report_ms) * MS);
            let stated_revision = match lateness.has_old_revisions && rng.bool() {
                true => 1,
                false => revision,
            };
            commits.push(Commit {
                revision,
                reported_us,
                stated_revision,
            });
        }
        if now_us < CHANGES_US && rng.u32(..20) == 0 {
            // A change of another kind.
            revision += 1;
        }
        if now_us < CHANGES_US && rng.u32(..300) == 0 {
            cut_until_us = now_us + rng.u64(..3_000) * MS;
        }
        for (_, to, from, message) in messages.extract_if(.., |message| message.0 <= now_us) {
            if now_us >= cut_until_us {
                events.push((to, Event::Peer { from, message }));
            }
        }
        for (number, router) in routers.iter_mut().enumerate() {
            if let Some(response) = router.response.take_if(|response| response.at_us <= now_us) {
                if let (Some(listed), Event::Listed { revision }) =
                    (response.listed, &response.event)
                    && router.follower.accepts_list(*revision)
                {
                    router.known = listed;
                }
                events.push((number, response.event));
            }
            let answer = router
                .call
                .and_then(|call| respond(call, now_us, revision, &commits));
            if let Some((event, is_list)) = answer {
                let all = || commits.iter().map(|commit| commit.revision).collect();
                router.call = None;
                router.response = Some(Response {
                    at_us: now_us + rng.u64(..=lateness.transit_ms) * MS,
                    event,
                    listed: is_list.then(all),
                });
            }
            if now_us.is_multiple_of(TICK_US) {
                events.push((number, Event::Tick));
            }
        }
        for (number, event) in std::mem::take(&mut events) {
            let router = &mut routers[number];
            for action in router.follower.on_event(now_us, event) {
                match action {
                    Action::List => router.call = Some(Call::List),
                    Action::Watch { revision, wait_ms } => {
                        let until_us = now_us + wait_ms * MS;
                        router.call = Some(Call::Watch { revision, until_us });
                    }
                    Action::Send { to, message } => {
                        let at_us = now_us + rng.u64(1..50) * MS;
                        messages.push((at_us, to.0 as usize - 1, ids[number], message));
                    }
                    Action::Apply { changes, .. } => {
                        let revisions = changes.iter().map(|change| change.name.parse::<u64>());
                        router.known.extend(revisions.map(Result::unwrap));
                    }
                    Action::Replace(_) | Action::SendSnapshot { .. } => {}
                }
            }
        }
    }
    let missed = routers.iter().map(|router| {
        let is_missed = |revision: &u64| !router.known.contains(revision);
        let revisions = commits.iter().map(|commit| commit.revision);
        revisions.filter(is_missed).collect::<Vec<_>>()
    });
    missed.into_iter().find(|missed| !missed.is_empty())
}

/// Guards against changes that are missed for good because the store states a revision beyond them, or
/// because a response comes after an update of the relay that has moved the view.
#[rstest]
fn no_change_is_missed_that_the_store_reports_late(
    #[values(0, 50, 300)] transit_ms: u64,
    #[values(100, 1_000)] report_ms: u64,
    #[values(false, true)] has_old_revisions: bool,
) {
    let lateness = Lateness {
        transit_ms,
        report_ms,
        has_old_revisions,
    };
    let failures: Vec<_> = (0..SEEDS)
        .filter_map(|seed| Some((seed, missed(seed, &lateness)?)))
        .collect();
    assert!(
        failures.is_empty(),
        "{} failed: {:?}",
        failures.len(),
        failures[0]
    );
}
