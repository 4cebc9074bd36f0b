//! Reports what the gateway holds for clients and servers, and whether it holds back.

use std::rc::Rc;

use peridotrack_kernel::{clock, event};

use super::{Shared, server::Server};
use crate::metric;

/// Period of the reports, in microseconds.
const OBSERVE_US: u64 = 500 * clock::US_PER_MS;

/// Spawns a task that sets the gauges, and records when the gateway begins and ends to hold back. It
/// ends with the gateway.
pub(super) fn observe(shared: &Rc<Shared>, server: &Rc<Server>) {
    let kernel = Rc::clone(&shared.kernel);
    let memory = shared.memory.clone();
    let server = Rc::downgrade(server);
    monoio::spawn(async move {
        let requests = kernel.meter().gauge(metric::HELD_REQUEST_BYTES);
        let responses = kernel.meter().gauge(metric::HELD_RESPONSE_BYTES);
        let connections = kernel.meter().gauge(metric::CLIENT_CONNECTIONS);
        let mut was_holding_back = false;
        while let Some(server) = server.upgrade() {
            let usage = memory.usage();
            let open_connections = server.open_connections();
            requests.set(usage.request_bytes as f64);
            responses.set(usage.response_bytes as f64);
            connections.set(open_connections as f64);
            let has_refused = server.take_refused();
            let is_holding_back = memory.is_holding_back() || has_refused;
            if is_holding_back != was_holding_back {
                was_holding_back = is_holding_back;
                let kind = match is_holding_back {
                    true => event::Kind::HoldingBackBegun,
                    false => event::Kind::HoldingBackEnded,
                };
                let event = event::Event::new(kind)
                    .with("request_bytes", usage.request_bytes as u64)
                    .with("response_bytes", usage.response_bytes as u64)
                    .with("connections", open_connections as u64)
                    .with("waiting", usage.waiting as u64)
                    .with("dropped", usage.dropped);
                kernel.note(event);
            }
            drop(server);
            kernel.timer().sleep_us(OBSERVE_US).await;
        }
    });
}
