//! Checks whether backend servers have ended, after connections to them broke.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use peridotrack_quarantine::{event::Event, run::Run};
use peridotrack_route::event as route_event;

use super::{Shared, options, reach};
use crate::notify::Notify;

/// The checks in progress: many connections break at once when a server ends or is overloaded.
#[derive(Default)]
pub(super) struct Checks {
    running: RefCell<BTreeMap<Run, Rc<Notify>>>,
    /// Servers that are checked once more later.
    repeated: RefCell<BTreeSet<Run>>,
}

/// Connects to a server, and reports its end if it refuses the connection. Returns when this is
/// known, or after a time-out.
pub(super) async fn check(shared: &Rc<Shared>, server: &Run, address: SocketAddr) {
    let running = shared.checks.running.borrow().get(server).cloned();
    let done = running.unwrap_or_else(|| {
        let done = Rc::new(Notify::default());
        let mut running = shared.checks.running.borrow_mut();
        running.insert(server.clone(), Rc::clone(&done));
        monoio::spawn(run(Rc::clone(shared), server.clone(), address));
        done
    });
    done.notified().await;
}

/// Does the same as [`check`], without waiting for the result.
pub(super) fn check_in_background(shared: &Rc<Shared>, server: &Run, address: SocketAddr) {
    let (shared, server) = (Rc::clone(shared), server.clone());
    monoio::spawn(async move { check(&shared, &server, address).await });
}

async fn run(shared: Rc<Shared>, server: Run, address: SocketAddr) {
    let has_ended = has_ended(&shared, &server, address).await;
    let done = shared.checks.running.borrow_mut().remove(&server);
    if let Some(done) = done {
        done.notify_all();
    }
    // The listener of a server that ends may accept one more connection. If the server is cut off,
    // the directory shows later whether it has ended.
    let is_first = || shared.checks.repeated.borrow_mut().insert(server.clone());
    if !has_ended && is_first() {
        let timer = shared.kernel.timer();
        timer.sleep_us(options::LIVENESS_RECHECK_US).await;
        shared.checks.repeated.borrow_mut().remove(&server);
        self::has_ended(&shared, &server, address).await;
    }
}

async fn has_ended(shared: &Rc<Shared>, server: &Run, address: SocketAddr) -> bool {
    let name = &server.backend_server;
    match reach::connect_with(shared, name, address, options::liveness()).await {
        Ok(connection) => {
            reach::keep(shared, connection);
            false
        }
        Err(error) if reach::is_refused(&error) => {
            report_end(shared, server);
            true
        }
        Err(_) => false,
    }
}

/// Reports that a backend server has ended.
pub(super) fn report_end(shared: &Shared, server: &Run) {
    shared.route.handle(route_event::Event::Ended {
        backend: server.backend_server.clone(),
        started_ms: server.born_ms,
    });
    shared
        .throttle
        .server_ended(&server.backend_server, server.born_ms);
    shared.quarantine.handle(Event::ServerEnded {
        backend_server: server.clone(),
    });
}
