//! A store whose revisions or watches are not as its protocol says: no view may be kept for ever, and the
//! store may not be called without a pause.

use std::time::{Duration, Instant};

use peridotrack_standin::{
    harness::http::block_on,
    hosted::store::{self, Mode, Quirk},
};
use rstest::rstest;
use serde_json::json;

use crate::pair::{Pair, prefix, status};

/// Changes that a test writes.
const CHANGES: u64 = 3;
/// Requests to each gateway that show which servers are used.
const REQUESTS: usize = 20;
/// Bound on the calls of one gateway to the store: of the 2,000 reads a second that the platform grants
/// to a fleet, nine routers have as many each, and half of them are left for other reads.
const CALLS_PER_S: f64 = 2_000.0 / 9.0 / 2.0;

/// What is odd about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Oddity {
    /// Its revisions begin anew, and waiting watches go on.
    RevisionsRestart,
    /// Its revisions begin anew after an outage.
    RevisionsRestartInAnOutage,
    /// It comes back from an older copy after an outage, and states no era.
    OlderCopy,
    /// It answers with a quirk while the gateways start.
    AtTheStart(Quirk),
    /// It answers with a quirk while the first change is made.
    Once(Quirk),
    /// It answers with a quirk from the start on.
    Always(Quirk),
    /// It answers with a quirk since an outage.
    SinceAnOutage(Quirk),
}

impl Oddity {
    /// Returns whether views state revisions that the store does not have.
    fn is_beyond_the_store(self) -> bool {
        match self {
            Self::RevisionsRestart | Self::RevisionsRestartInAnOutage | Self::OlderCopy => true,
            Self::AtTheStart(quirk) => quirk == Quirk::OverstatedLists,
            // A response states the revision of the store beside those of its events.
            Self::Once(_) | Self::Always(_) | Self::SinceAnOutage(_) => false,
        }
    }
}

/// Starts the gateways in front of a store with many revisions, and a quirk if any.
async fn spawn(quirk: Option<Quirk>) -> Pair {
    let prepare = |store: &store::Handle| {
        write_foreign(store, 200);
        store.set_quirk(quirk);
    };
    Pair::spawn(prepare, store::Handle::address).await
}

/// Moves the revision of the store without a change of what the gateways follow.
fn write_foreign(store: &store::Handle, writes: u64) {
    for sequence in 0..writes {
        let foreign = json!({ "sequence": sequence });
        store.put("foreign", "a", foreign);
    }
}

impl Oddity {
    /// Lets the store become odd, unless it is from the start on.
    async fn begin(self, fleet: &Pair) {
        let contact = Duration::from_millis(fleet.bounds.contact_ms);
        match self {
            Self::RevisionsRestart => fleet.store.restart_revisions(),
            Self::RevisionsRestartInAnOutage => {
                fleet.store.set_mode(Mode::Reset);
                fleet.store.restart_revisions();
                monoio::time::sleep(contact).await;
                fleet.store.set_mode(Mode::Serve);
            }
            Self::Once(quirk) => {
                fleet.store.set_quirk(Some(quirk));
                fleet.change(2, "ready");
                let applied = Duration::from_millis(fleet.bounds.config_apply_ms);
                monoio::time::sleep(applied).await;
                fleet.store.set_quirk(None);
            }
            Self::OlderCopy => {
                let copy = fleet.store.copy();
                write_foreign(&fleet.store, 100);
                fleet.change(2, "ready");
                monoio::time::sleep(contact).await;
                fleet.store.set_mode(Mode::Reset);
                fleet.store.come_back_from(copy);
                monoio::time::sleep(contact).await;
                fleet.store.set_mode(Mode::Serve);
            }
            Self::SinceAnOutage(quirk) => {
                fleet.store.set_mode(Mode::Reset);
                fleet.store.set_quirk(Some(quirk));
                monoio::time::sleep(contact).await;
                fleet.store.set_mode(Mode::Serve);
            }
            Self::AtTheStart(_) => fleet.store.set_quirk(None),
            Self::Always(_) => {}
        }
    }
}

/// Guards against a change that is missed for good, because the store has come back from an older copy and
/// given out again the revision that the views show.
#[rstest]
fn a_change_is_missed_because_its_revision_was_given_out_before(
    #[values(false, true)] is_in_an_outage: bool,
) {
    block_on(async {
        let fleet = spawn(None).await;
        let contact = Duration::from_millis(fleet.bounds.contact_ms);
        let applied = Duration::from_millis(fleet.bounds.config_apply_ms);
        fleet.store.state_eras();
        monoio::time::sleep(contact).await;
        let copy = fleet.store.copy();
        write_foreign(&fleet.store, 50);
        fleet.change(3, "ready");
        monoio::time::sleep(applied).await;
        if is_in_an_outage {
            fleet.store.set_mode(Mode::Reset);
        }
        fleet.store.come_back_from(copy);
        fleet.change(4, "draining");
        write_foreign(&fleet.store, 100);
        if is_in_an_outage {
            monoio::time::sleep(contact).await;
            fleet.store.set_mode(Mode::Serve);
            monoio::time::sleep(contact).await;
        }
        monoio::time::sleep(applied).await;
        let before = fleet.servers[1].arrivals();
        for gateway in &fleet.gateways {
            assert_eq!(status(gateway, &prefix(4)).await, 200);
            for _ in 0..REQUESTS {
                assert_eq!(status(gateway, "/public/x").await, 200);
            }
        }
        assert_eq!(fleet.servers[1].arrivals(), before, "the server drains");
    });
}

/// Guards against views that were kept for ever without a line in the log, while the store was called
/// without a pause, because they stated a revision beyond that of the store.
#[rstest]
fn a_view_is_never_confirmed_again_because_revisions_are_odd(
    #[values(
        Oddity::RevisionsRestart,
        Oddity::RevisionsRestartInAnOutage,
        Oddity::OlderCopy,
        Oddity::AtTheStart(Quirk::OverstatedLists),
        Oddity::Once(Quirk::OverstatedEvents),
        Oddity::Always(Quirk::RepeatedEvents),
        Oddity::Always(Quirk::ImpatientWatches),
        Oddity::Always(Quirk::Fractions),
        Oddity::SinceAnOutage(Quirk::RejectedLists),
        Oddity::SinceAnOutage(Quirk::RejectedWatches)
    )]
    oddity: Oddity,
) {
    block_on(async {
        let fleet = spawn(match oddity {
            Oddity::AtTheStart(quirk) | Oddity::Always(quirk) => Some(quirk),
            _ => None,
        })
        .await;
        monoio::time::sleep(Duration::from_millis(fleet.bounds.contact_ms)).await;
        let (started, calls) = (Instant::now(), fleet.store.counters().calls);
        oddity.begin(&fleet).await;
        for version in 3..3 + CHANGES {
            let is_last = version == 2 + CHANGES;
            fleet.change(version, if is_last { "draining" } else { "ready" });
            monoio::time::sleep(Duration::from_millis(fleet.bounds.config_apply_ms)).await;
            for gateway in &fleet.gateways {
                assert_eq!(status(gateway, &prefix(version)).await, 200, "{version}");
            }
        }
        let calls = (fleet.store.counters().calls - calls) as f64;
        let calls_per_s = calls / started.elapsed().as_secs_f64();
        let limit_per_s = CALLS_PER_S * fleet.gateways.len() as f64;
        assert!(calls_per_s < limit_per_s, "{calls_per_s} calls a second");
        let before = fleet.servers[1].arrivals();
        for gateway in &fleet.gateways {
            for _ in 0..REQUESTS {
                assert_eq!(status(gateway, "/public/x").await, 200);
            }
        }
        assert_eq!(fleet.servers[1].arrivals(), before, "the server drains");
        let is_replaced = fleet.gateways.iter().any(|gateway| {
            let events = gateway.kernel().timeline().after(0);
            events.iter().any(|event| &*event.name == "ViewReplaced")
        });
        assert_eq!(is_replaced, oddity.is_beyond_the_store());
    });
}
