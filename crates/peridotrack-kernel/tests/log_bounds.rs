//! The bounded log never blocks and counts dropped lines.
//!
//! Guards against a reader of the log that stalls the process, and against floods of routine lines
//! that displace warnings and errors.

use std::{
    fs::File,
    io::{self, Read},
    os::fd::OwnedFd,
};

use peridotrack_kernel::{Kernel, Options, event, log};

fn completed(number: u64) -> event::Event {
    event::Event::new(event::Kind::RequestCompleted).with("number", number)
}

#[test]
fn unread_pipe_drops_lines_and_does_not_block() {
    let (mut reader, writer) = io::pipe().unwrap();
    let target = File::from(OwnedFd::from(writer));
    let log = log::Log::open_bounded(target).unwrap();
    let kernel = Kernel::open_with_log(Options::default(), log);
    for number in 0..20_000 {
        kernel.note(completed(number));
    }
    let mut bytes = vec![0; 1024 * 1024];
    let read = reader.read(&mut bytes).unwrap();
    let text = String::from_utf8(bytes[..read].to_vec()).unwrap();
    assert!(text.ends_with('\n'), "only whole lines are written");
    for line in text.lines() {
        serde_json::from_str::<event::Recorded>(line).unwrap();
    }
    let dropped = kernel.timeline().after(0);
    let dropped = dropped
        .iter()
        .filter(|event| &*event.name == "LogLinesDropped");
    assert!(dropped.count() > 0, "the dropped lines are counted");
}

#[test]
fn burst_of_successes_does_not_displace_failures() {
    let mut rate_limiter = log::bounded::RateLimiter::new(0);
    let line_bytes = 1_024;
    let successes = (0..1_000).filter(|_| rate_limiter.try_take(0, line_bytes, false));
    assert_eq!(successes.count(), 128);
    let failures = (0..1_000).filter(|_| rate_limiter.try_take(0, line_bytes, true));
    assert_eq!(failures.count(), 128);
    assert!(!rate_limiter.try_take(0, line_bytes, true));
    assert!(rate_limiter.try_take(1_000_000, line_bytes, true));
}
