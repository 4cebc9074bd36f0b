//! Tests of what crashes cost the routers: statements, writes and the time to receive statements.

use std::time::{Duration, Instant};

use peridotrack_quarantine::{
    event::{Action, Event, Now},
    options::Options,
    quarantine::Quarantine,
    signature::Signature,
    statement::{Crash, Statement},
};

/// Crashes in the statement of each router.
const CRASHES: u64 = 30;

fn at(monotonic_us: u64) -> Now {
    Now {
        monotonic_us,
        wall_ms: 1_000_000 + monotonic_us / 1_000,
    }
}

fn request(author: u64, number: u64) -> Signature {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&author.to_be_bytes());
    digest[8..].copy_from_slice(&number.to_be_bytes());
    Signature::Request(digest)
}

/// Returns a statement with as many crashes, each under a request of its own.
fn statement(author: u64, crashes: u64) -> Statement {
    let crash = |number| Crash {
        signature: request(author, number),
        backend_server: format!("s-{number}").as_str().into(),
        depth: 1,
        at_wall_ms: 1_000_000,
    };
    Statement {
        sequence: crashes,
        crashes: (0..crashes).map(crash).collect(),
        clearances: Vec::new(),
    }
}

fn stated(author: u64, statement: Statement) -> Event {
    Event::Stated {
        author: format!("vm-{author}").as_str().into(),
        statement,
    }
}

/// Returns the least time in which a router among as many others receives that one more server
/// ended.
fn receipt_time(routers: u64) -> Duration {
    let mut quarantine = Quarantine::new("vm-0".into(), Options::default());
    for author in 1..=routers {
        quarantine.on_event(at(0), stated(author, statement(author, CRASHES)));
    }
    let receive = |crashes| {
        let event = stated(1, statement(1, crashes));
        let begun = Instant::now();
        quarantine.on_event(at(0), event);
        begun.elapsed()
    };
    let times = (CRASHES + 1..CRASHES + 100).map(receive);
    times.min().expect("there are several receipts")
}

/// Guards against routers that judge the statements of the whole fleet for each one that they
/// receive, which takes time in the square of the number of routers.
#[test]
fn the_time_to_receive_a_statement_does_not_grow_with_the_fleet() {
    let (few, many) = (receipt_time(4), receipt_time(74));
    println!("{few:?} among 4 routers, {many:?} among 74");
    assert!(many < 4 * few, "{few:?} among 4 routers, {many:?} among 74");
}

/// Guards against a number of statements and writes that grows with the number of crashes.
#[test]
fn the_rate_of_statements_and_writes_is_bounded_whatever_number_of_servers_end() {
    const SECONDS: u64 = 10;
    let mut quarantine = Quarantine::new("vm-0".into(), Options::default());
    let (mut sent, mut written) = (0, 0);
    for step in 0..SECONDS * 100 {
        let now = at(step * 10_000);
        let trial = quarantine.begin(now, &[request(0, step)]);
        let trial = trial.expect("each request is new");
        let server = format!("s-{step}");
        let broken = Event::Broken {
            trial,
            backend_server: server.as_str().into(),
        };
        quarantine.on_event(now, broken);
        let ended = Event::ServerEnded {
            backend_server: server.as_str().into(),
        };
        quarantine.on_event(now, ended);
        for action in quarantine.on_event(now, Event::Tick) {
            match action {
                Action::Send(_) => sent += 1,
                Action::Write(_) => {
                    written += 1;
                    quarantine.on_event(now, Event::Written);
                }
                Action::Note(_) => {}
            }
        }
    }
    println!("{sent} statements and {written} writes in {SECONDS} s");
    assert!(sent <= 10 * SECONDS, "{sent} statements in {SECONDS} s");
    assert!(written <= SECONDS + 1, "{written} writes in {SECONDS} s");
}
