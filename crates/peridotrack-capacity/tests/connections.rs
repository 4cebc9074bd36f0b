//! The bound of open client connections.

use peridotrack_capacity::connections::{Connections, Decision, Id, Options};

const OPTIONS: Options = Options {
    max_connections: 3,
    min_age_us: 500,
};

fn open(connections: &mut Connections, now_us: u64) -> (Id, Option<Id>) {
    match connections.open(now_us) {
        Decision::Open { id, closes } => (id, closes),
        Decision::Refused => panic!("refused"),
    }
}

/// Guards against silent connections that keep others out.
#[test]
fn the_oldest_connection_without_a_request_is_closed_for_a_new_one() {
    let mut connections = Connections::new(OPTIONS);
    let ids: Vec<_> = (0..3)
        .map(|at_us| open(&mut connections, at_us).0)
        .collect();
    connections.received_request(ids[0]);
    assert_eq!(connections.open(100), Decision::Refused);
    let (_, closes) = open(&mut connections, 1_000);
    assert_eq!(closes, Some(ids[1]));
    connections.close(ids[1], false);
    assert_eq!(connections.open_connections(), 3);
}

/// Guards against closing a connection that a client may reuse.
#[test]
fn connections_that_have_carried_a_request_are_kept() {
    let mut connections = Connections::new(OPTIONS);
    let ids: Vec<_> = (0..3).map(|_| open(&mut connections, 0).0).collect();
    for id in &ids {
        connections.received_request(*id);
    }
    assert_eq!(connections.open(1_000), Decision::Refused);
    connections.close(ids[0], true);
    open(&mut connections, 1_000);
    assert_eq!(connections.open_connections(), 3);
}
