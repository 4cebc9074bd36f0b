//! A store that sends a response once more on a kept connection: it must not be taken for the response
//! to a call of another kind, and no change may be missed.

use std::time::Duration;

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::{
        repeater::{self, Repeated, When},
        store,
    },
};
use rstest::rstest;

use crate::{
    fixture::LIMIT,
    pair::{Pair, prefix, status},
};

/// Changes that a test writes.
const CHANGES: u64 = 4;
/// Requests to each gateway that show which servers are used.
const REQUESTS: usize = 20;

/// Starts two gateways in front of a store that repeats responses, one of which relays changes to the other.
async fn spawn(repeated: Repeated, when: When) -> Pair {
    let repeater =
        |store: &store::Handle| repeater::spawn(store.address(), repeated, when).unwrap();
    let fleet = Pair::spawn(|_| {}, repeater).await;
    let relayed = || {
        let mut gateways = fleet.gateways.iter();
        gateways.any(|gateway| gateway.is_relayed("config"))
    };
    wait::until(LIMIT, "relayed configuration", relayed)
        .await
        .unwrap();
    monoio::time::sleep(Duration::from_millis(fleet.bounds.contact_ms)).await;
    fleet
}

/// Guards against changes that were missed for good while the view counted as confirmed, because a
/// connection on which each response is that to the call before was used for watches of any kind.
#[rstest]
fn a_change_is_in_force_late_because_the_store_repeats_responses(
    #[values(Repeated::Watches, Repeated::Refusals(429), Repeated::Refusals(503))]
    repeated: Repeated,
    #[values(
        When::AtOnce,
        When::After(Duration::from_millis(5)),
        When::Idle(Duration::from_millis(300)),
        When::WithNext
    )]
    when: When,
) {
    block_on(async {
        let fleet = spawn(repeated, when).await;
        for version in 2..2 + CHANGES {
            let is_last = version == 1 + CHANGES;
            fleet.change(version, if is_last { "draining" } else { "ready" });
            monoio::time::sleep(Duration::from_millis(fleet.bounds.config_apply_ms)).await;
            for gateway in &fleet.gateways {
                assert_eq!(status(gateway, &prefix(version)).await, 200, "{version}");
            }
        }
        let before = fleet.servers[1].arrivals();
        for gateway in &fleet.gateways {
            for _ in 0..REQUESTS {
                assert_eq!(status(gateway, "/public/x").await, 200);
            }
            let events = gateway.kernel().timeline().after(0);
            let mut ignored = events
                .iter()
                .filter(|event| &*event.name == "ObjectIgnored");
            assert!(
                ignored.next().is_none(),
                "an object of another kind is read"
            );
        }
        assert_eq!(fleet.servers[1].arrivals(), before, "the server drains");
    });
}
