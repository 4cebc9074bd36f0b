//! Which requests a stopping server expects to finish.

use std::rc::Rc;

use peridotrack_edge::stopping::{Stopping, Times};
use peridotrack_kernel::{Kernel, clock};
use peridotrack_route::stop::Stop;
use peridotrack_standin::harness::http::block_on;

const SECOND_US: u64 = 1_000_000;
const KEY: &str = "route";

fn begin(stopping: &Stopping<&'static str>) {
    stopping.begin(|begun_us| {
        let finish_us = begun_us + 10 * SECOND_US;
        Times {
            stop: Stop {
                begun_us,
                leave_us: finish_us,
                finish_us,
            },
            answer_us: finish_us,
        }
    });
}

fn stopping() -> (Rc<Kernel>, Rc<Stopping<&'static str>>) {
    let kernel = Kernel::open(peridotrack_kernel::Options::default()).expect("a kernel");
    let stopping = Rc::new(Stopping::new(&kernel));
    (kernel, stopping)
}

/// Guards against an expected duration that refusals shorten, while servers are slow.
#[test]
fn a_request_that_is_not_sent_is_no_short_request() {
    let (kernel, stopping) = stopping();
    drop(stopping.track(&KEY, kernel.now_us()));
    begin(&stopping);
    let verdict = stopping.judge(&KEY, u64::MAX).expect("it is stopping");
    assert_eq!(verdict.expected_us, None);
    assert!(!verdict.is_admitted);
}

#[test]
fn a_request_that_is_sent_shows_the_duration_of_the_next() {
    let (kernel, stopping) = stopping();
    let tracked = stopping.track(&KEY, kernel.now_us());
    tracked.sent();
    drop(tracked);
    begin(&stopping);
    let verdict = stopping.judge(&KEY, u64::MAX).expect("it is stopping");
    assert!(
        verdict
            .expected_us
            .is_some_and(|expected_us| expected_us < SECOND_US)
    );
    assert!(verdict.is_admitted);
}

/// Guards against the refusal of all requests of a rare route from the begin of the stop on.
#[test]
fn a_key_without_requests_is_expected_to_take_as_long_as_all_others() {
    let (kernel, stopping) = stopping();
    begin(&stopping);
    let rare = || stopping.judge(&"rare", u64::MAX).expect("it is stopping");
    assert_eq!(rare().expected_us, None);
    assert!(!rare().is_admitted, "nothing is known");
    let tracked = stopping.track(&KEY, kernel.now_us());
    tracked.sent();
    drop(tracked);
    assert!(rare().expected_us.is_some());
    assert!(rare().is_admitted);
}

/// Duration of a request that takes longer than a short stop, in microseconds.
const SLOW_US: u64 = 200 * clock::US_PER_MS;

fn short_times(begun_us: u64) -> Times {
    let finish_us = begun_us + SLOW_US / 2;
    Times {
        stop: Stop {
            begun_us,
            leave_us: finish_us,
            finish_us,
        },
        answer_us: finish_us,
    }
}

/// Guards against a request that is begun because the first one of its key has only just begun.
#[test]
fn the_first_open_request_of_a_key_does_not_make_its_requests_short() {
    block_on(async {
        let (kernel, stopping) = stopping();
        kernel.spawn_timer();
        let slow = stopping.track(&KEY, kernel.now_us());
        slow.sent();
        kernel.timer().sleep_us(SLOW_US).await;
        drop(slow);
        stopping.begin(short_times);
        let rare = || stopping.judge(&"rare", u64::MAX).expect("it is stopping");
        assert!(!rare().is_admitted, "requests take longer than the stop");
        let open = stopping.track(&"rare", kernel.now_us());
        open.sent();
        assert!(!rare().is_admitted, "{:?}", rare().expected_us);
    });
}
