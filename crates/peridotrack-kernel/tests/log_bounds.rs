//! The bounded log never blocks and counts dropped lines.
//!
//! Guards against a reader of the log that stalls the process, and against floods of routine lines
//! that displace warnings and errors.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, Read},
    os::fd::OwnedFd,
    time::{Duration, Instant},
};

use peridotrack_kernel::{Kernel, Options, event, log};

const COMPLETED: u16 = 204;
const REFUSED: u16 = 205;

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
    std::thread::sleep(Duration::from_micros(log::bounded::NOTICE_US));
    kernel.note(completed(20_000));
    let events = kernel.timeline().after(0);
    let mut notices = events
        .iter()
        .filter(|event| &*event.name == "LogLinesDropped");
    let notice = serde_json::to_value(&notices.next_back().unwrap().fields).unwrap();
    let written = text.lines().count() as u64;
    assert!(notice["lines"].as_u64().unwrap() >= 20_000 - written - 2);
}

/// The general limit gives half of the burst to routine lines, the sample of each event adds its own.
#[test]
fn burst_of_successes_does_not_displace_failures() {
    let mut rate_limiter = log::bounded::RateLimiter::new(0);
    let line_bytes = 1_024;
    let sample = (log::bounded::SAMPLE_BURST_BYTES / 1_024) as usize;
    let successes = (0..1_000).filter(|_| rate_limiter.try_take(0, COMPLETED, line_bytes, false));
    assert_eq!(successes.count(), 128 + sample);
    let failures = (0..1_000).filter(|_| rate_limiter.try_take(0, REFUSED, line_bytes, true));
    assert_eq!(failures.count(), 128 + sample);
    assert!(!rate_limiter.try_take(0, REFUSED, line_bytes, true));
    assert!(rate_limiter.try_take(1_000_000, REFUSED, line_bytes, true));
}

/// A router that refuses hundreds of requests a second logged no completion for half a minute.
#[test]
fn a_flood_of_refusals_hides_all_completions() {
    let mut rate_limiter = log::bounded::RateLimiter::new(0);
    let mut seconds_with_completions = BTreeSet::new();
    let mut written_bytes = 0;
    for ms in 0..30_000 {
        let now_us = ms * 1_000;
        for (number, bytes, is_urgent) in [(REFUSED, 700, true), (COMPLETED, 300, false)] {
            if rate_limiter.try_take(now_us, number, bytes, is_urgent) {
                written_bytes += bytes as u64;
                if number == COMPLETED {
                    seconds_with_completions.insert(ms / 1_000);
                }
            }
        }
    }
    assert_eq!(seconds_with_completions.len(), 30);
    let limit_bytes = log::bounded::BURST_BYTES
        + 2 * log::bounded::SAMPLE_BURST_BYTES
        + 30 * (log::bounded::BYTES_PER_S + 2 * log::bounded::SAMPLE_BYTES_PER_S);
    assert!(written_bytes <= limit_bytes, "{written_bytes} bytes");
}

/// Of 8,765 lines of a busy router 5,133 were notices, each of one or two dropped lines.
#[test]
fn notices_take_the_place_of_the_lines_that_they_count() {
    let (_reader, writer) = io::pipe().unwrap();
    let log = log::Log::open_bounded(File::from(OwnedFd::from(writer))).unwrap();
    let kernel = Kernel::open_with_log(Options::default(), log);
    let begun = Instant::now();
    let mut notices = Vec::new();
    let mut after = 0;
    while begun.elapsed() < Duration::from_millis(1_500) {
        for number in 0..100 {
            after = kernel.note(completed(number)).max(after);
        }
        let recorded = kernel.timeline().after(after.saturating_sub(101));
        let recorded = recorded
            .iter()
            .filter(|event| &*event.name == "LogLinesDropped");
        notices.extend(recorded.map(|event| (event.sequence, event.fields.clone())));
    }
    notices.dedup_by_key(|(sequence, _)| *sequence);
    assert!(
        (1..=3).contains(&notices.len()),
        "{} notices",
        notices.len()
    );
    let (_, fields) = &notices[0];
    let fields = serde_json::to_value(fields).unwrap();
    let lines = fields["lines"].as_u64().unwrap();
    assert_eq!(fields["events"], format!("RequestCompleted={lines}"));
}
