//! A backend server that states a limit of requests per second: a fleet of gateways must keep to it
//! together.

use std::{rc::Rc, time::Duration};

use peridotrack_standin::{harness::http::block_on, hosted::deployment::bounds};

use crate::fleet::Fleet;

/// Limit that the server states, in requests per second.
const LIMIT_PER_S: f64 = 1.6;
/// Number of first parts, which requests are placed by.
const PARTS: u64 = 20;
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that the server may receive in [`WINDOW`].
fn allowed() -> usize {
    (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against gateways that each send a server as much as it takes from all of them.
#[test]
fn a_server_receives_more_than_the_limit_that_it_states() {
    block_on(async {
        let fleet = Fleet::spawn(6, 4).await;
        let mut senders = Vec::new();
        for part in 0..PARTS {
            let fleet = Rc::clone(&fleet);
            senders.push(monoio::spawn(async move {
                let interval = Duration::from_millis(330);
                let duration = Duration::from_secs(16);
                fleet.send_for(duration, interval, &[part]).await
            }));
        }
        monoio::time::sleep(Duration::from_secs(1)).await;
        fleet.with_server(0, |server| server.set_limit(Some(LIMIT_PER_S)));
        monoio::time::sleep(Duration::from_millis(bounds::CONTACT_MS)).await;
        fleet.with_server(0, |server| server.take_runs());
        monoio::time::sleep(Duration::from_secs(8)).await;
        let limited = fleet.with_server(0, |server| {
            server.set_limit(None);
            server.take_runs()
        });
        let mut least_served = 1.0_f64;
        for sender in senders {
            least_served = least_served.min(sender.await);
        }
        let after = fleet.with_server(0, |server| server.take_runs().len());
        let most = limited.iter().map(|first| {
            let is_within = |at| (first.at..first.at + WINDOW).contains(&at);
            limited.iter().filter(|run| is_within(run.at)).count()
        });
        let most = most.max().unwrap_or(0);
        println!(
            "{most} requests in 4 s of {} allowed, {after} afterwards, {least_served:.2} served",
            allowed()
        );
        assert!(most <= allowed(), "{most} requests in 4 s");
        assert!(most > 0, "the server takes some requests");
        assert!(
            after > limited.len(),
            "{after} requests after the limit ended"
        );
        assert!(least_served > 0.95, "{least_served}");
    });
}
