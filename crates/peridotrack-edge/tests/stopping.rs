//! What a stopping server expects of a request whose key has no recent requests.

use std::rc::Rc;

use peridotrack_edge::stopping::{Stopping, Times};
use peridotrack_kernel::{Kernel, Options, clock, log};
use peridotrack_route::stop::Stop;
use peridotrack_standin::harness::http::block_on;

/// Deadline of a request that may outlast the stop, after the begin of the stop.
const DEADLINE_US: u64 = 60 * clock::US_PER_S;

fn times(begun_us: u64) -> Times {
    Times {
        stop: Stop {
            begun_us,
            leave_us: begun_us + 2 * clock::US_PER_S,
            finish_us: begun_us + 7 * clock::US_PER_S,
        },
        answer_us: begun_us + 7 * clock::US_PER_S,
    }
}

/// Guards against the refusal of all requests of a rare route from the begin of the stop on.
#[test]
fn a_key_without_requests_is_expected_to_take_as_long_as_all_others() {
    block_on(async {
        let options = Options {
            log: log::Output::Off,
            ..Options::default()
        };
        let kernel = Kernel::open(options).unwrap();
        let stopping = Rc::new(Stopping::new(&kernel));
        let now_us = kernel.now_us();
        stopping.begin(times);
        let rare = || stopping.judge(&"rare", now_us + DEADLINE_US).unwrap();
        assert_eq!(rare().expected_us, None);
        assert!(!rare().is_admitted, "nothing is known");
        drop(stopping.track(&"usual", now_us));
        assert!(rare().expected_us.is_some());
        assert!(rare().is_admitted);
    });
}
