//! Client of the store: watches after their connections have fallen silent without a reset.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_edge::platform::{Dialect, Platform};
use peridotrack_kernel::{Kernel, Options};
use peridotrack_standin::{
    harness::{http::block_on, relay},
    hosted::store,
};

const KINDS: [&str; 3] = ["config", "servers", "evacuations"];
/// Longest time that a call may take which the store answers at once.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// A client of a store, and the link between them.
struct Fixture {
    platform: Rc<Platform>,
    link: relay::Relay,
    _store: store::Handle,
}

impl Fixture {
    /// Starts a store and leaves an idle connection of a watch of each kind.
    async fn spawn() -> Self {
        let store = store::spawn().unwrap();
        let link = relay::spawn(store.address()).unwrap();
        let kernel = Kernel::open(Options::default()).unwrap();
        let platform = Platform::open(kernel, link.address(), Dialect::Hosted, 0);
        let [config, servers, evacuations] = KINDS.map(|kind| platform.watch_kind(kind, 0, 50));
        let (config, servers, evacuations) = monoio::join!(config, servers, evacuations);
        for watch in [config, servers, evacuations] {
            watch.unwrap();
        }
        Self {
            platform,
            link,
            _store: store,
        }
    }

    /// Watches a kind and returns whether the response came at once.
    async fn is_answered(&self, kind: &str) -> bool {
        let started = Instant::now();
        let result = self.platform.watch_kind(kind, 0, 0).await;
        result.is_ok() && started.elapsed() < ANSWER_TIME
    }
}

/// Watches of several kinds share their connections. The first timeout shows that all of them may be
/// unusable, so that the others do not wait for theirs.
#[test]
fn only_one_watch_waits_for_connections_that_have_fallen_silent() {
    block_on(async {
        let fixture = Fixture::spawn().await;
        fixture.link.silence_connections();
        assert!(!fixture.is_answered(KINDS[0]).await);
        for kind in KINDS {
            assert!(fixture.is_answered(kind).await, "{kind}");
        }
    });
}

/// A relay keeps the view current for long, and the connection of the last watch falls silent in that
/// time. The first watch after the loss of the relay must not wait for it.
#[test]
fn a_watch_after_a_long_pause_does_not_wait_for_a_connection_that_has_fallen_silent() {
    block_on(async {
        let fixture = Fixture::spawn().await;
        fixture.link.silence_connections();
        monoio::time::sleep(Duration::from_millis(1_200)).await;
        assert!(fixture.is_answered(KINDS[0]).await);
    });
}

/// Watches in succession use one connection.
#[test]
fn a_watch_reuses_the_connection_of_the_one_before_it() {
    block_on(async {
        let fixture = Fixture::spawn().await;
        for _ in 0..5 {
            assert!(fixture.is_answered(KINDS[0]).await);
        }
        fixture.link.refuse_connections();
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(fixture.is_answered(KINDS[0]).await);
    });
}
