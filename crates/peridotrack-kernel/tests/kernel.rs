//! The kernel's timer, registry, timeline, log, events and metrics through the public API.

use std::{
    cell::Cell,
    rc::Rc,
    sync::{Arc, Mutex},
};

use peridotrack_kernel::{Kernel, Options, clock, event, log, registry};
use rstest::rstest;

fn run<F: Future>(future: F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime")
        .block_on(future)
}

#[test]
fn timer_calls_the_subscriber_until_its_handle_is_dropped() {
    run(async {
        let kernel = Kernel::open(Options::default()).expect("kernel");
        kernel.spawn_timer();
        let calls = Rc::new(Cell::new(0));
        let counted = Rc::clone(&calls);
        let subscription = kernel
            .timer()
            .subscribe(clock::US_PER_MS, move |_| counted.set(counted.get() + 1));
        while calls.get() < 3 {
            kernel.timer().sleep_us(clock::US_PER_MS).await;
        }
        drop(subscription);
        let calls_at_drop = calls.get();
        kernel.timer().sleep_us(20 * clock::US_PER_MS).await;
        assert_eq!(calls.get(), calls_at_drop);
    });
}

#[rstest]
#[case::missing("budget", registry::Error::Missing { name: "budget" })]
#[case::wrong_type("count", registry::Error::WrongType { name: "count", expected: "alloc::string::String" })]
fn registry_errors_name_the_service(#[case] name: &'static str, #[case] error: registry::Error) {
    let registry = registry::Registry::default();
    registry
        .register("count", Rc::new(1_u64))
        .expect("free name");
    assert_eq!(registry.find::<String>(name), Err(error));
    let taken = registry.register("count", Rc::new(2_u64));
    assert_eq!(taken, Err(registry::Error::Taken { name: "count" }));
}

#[test]
fn timeline_is_bounded_and_keeps_the_newest_events() {
    let options = Options {
        timeline_events: 3,
        ..Options::default()
    };
    let kernel = Kernel::open(options).expect("kernel");
    for _ in 0..5 {
        kernel.note(event::Event::new(event::Kind::RouterStarted));
    }
    let kept: Vec<u64> = kernel
        .timeline()
        .after(0)
        .iter()
        .map(|event| event.sequence)
        .collect();
    assert_eq!(kept, [3, 4, 5]);
    assert_eq!(kernel.timeline().after(4).len(), 1);
}

#[derive(Clone, Default)]
struct Target(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Target {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_writes_one_json_object_per_line() {
    let target = Target::default();
    let options = Options {
        log: log::Output::Off,
        ..Options::default()
    };
    let kernel =
        Kernel::open_with_log(options, log::Log::open_target(target.clone()).expect("log"));
    kernel.note(
        event::Event::new(event::Kind::PlatformLost)
            .cause(7)
            .with("peer", "127.0.0.1:1"),
    );
    kernel.note(event::Event::new(event::Kind::PlatformReached));

    let written = String::from_utf8(target.0.lock().expect("lock").clone()).expect("UTF-8");
    let lines: Vec<event::Recorded> = written
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON object"))
        .collect();
    assert_eq!(lines, kernel.timeline().after(0));
    assert_eq!(lines[0].cause, Some(7));
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = event::Kind::ALL.iter().map(|kind| kind.number()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
}

#[test]
fn meters_of_two_processes_on_one_thread_are_independent() {
    let first = Kernel::open(Options::default()).expect("kernel");
    let second = Kernel::open(Options::default()).expect("kernel");
    first.meter().counter("requests_total").increment(3);
    assert!(first.meter().render().contains("requests_total 3"));
    assert!(!second.meter().render().contains("requests_total"));
}

#[test]
fn catalogue_page_in_docs_is_current() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert_eq!(page, event::catalogue());
}
