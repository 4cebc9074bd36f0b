//! Streams that are forwarded to each other: bytes, ends, resets and bounds.

mod common;

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    os::fd::AsRawFd,
    thread,
    time::{Duration, Instant},
};

use common::run;
use nix::{
    libc,
    sys::socket::{self, sockopt},
};
use peridotrack_http::forward::{Options, Outcome, forward};
use rstest::rstest;

/// Maximum wait for bytes or an end.
const LIMIT: Duration = Duration::from_secs(5);
/// Maximum time for a reset to be passed on.
const AT_ONCE: Duration = Duration::from_millis(300);
/// Time in which nothing is expected to happen.
const PAUSE: Duration = Duration::from_millis(200);
/// More bytes than the buffers of two connections hold.
const LONG_BYTES: usize = 64_000_000;
const OPTIONS: Options = Options {
    idle_timeout_ms: 60_000,
    keepalive_ms: 5_000,
};

/// What a stream does next.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    End,
    Reset,
    Nothing,
}

/// The far ends of two streams that are forwarded to each other in a thread of their own.
struct Ends {
    first: TcpStream,
    second: TcpStream,
    outcome: thread::JoinHandle<Outcome>,
}

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let opened = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    opened.set_nodelay(true).unwrap();
    opened.set_read_timeout(Some(LIMIT)).unwrap();
    (opened, accepted)
}

fn stream_of_runtime(stream: TcpStream) -> monoio::net::TcpStream {
    stream.set_nonblocking(true).unwrap();
    monoio::net::TcpStream::from_std(stream).unwrap()
}

impl Ends {
    fn spawn(options: Options) -> Self {
        let ((first, near_first), (second, near_second)) = (pair(), pair());
        let outcome = thread::spawn(move || {
            run(async {
                let first = stream_of_runtime(near_first);
                forward(first, stream_of_runtime(near_second), options).await
            })
        });
        Self {
            first,
            second,
            outcome,
        }
    }
}

/// Closes a stream with a reset.
fn reset(stream: TcpStream) {
    let linger = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    socket::setsockopt(stream.as_raw_fd(), sockopt::Linger, &linger).unwrap();
    drop(stream);
}

/// Reads until the end; returns the bytes before it.
fn read_to_end(stream: &mut TcpStream, limit: Duration) -> (Vec<u8>, Seen) {
    stream.set_read_timeout(Some(limit)).unwrap();
    let mut bytes = Vec::new();
    let seen = match stream.read_to_end(&mut bytes) {
        Ok(_) => Seen::End,
        Err(error) => match error.kind() {
            ErrorKind::ConnectionReset => Seen::Reset,
            ErrorKind::WouldBlock => Seen::Nothing,
            _ => panic!("{error}"),
        },
    };
    (bytes, seen)
}

/// Writes until nothing more is taken; returns the number of bytes written.
fn fill(stream: &mut TcpStream) -> usize {
    stream.set_write_timeout(Some(PAUSE)).unwrap();
    let piece = vec![7; 64 * 1024];
    let mut written_bytes = 0;
    while written_bytes < LONG_BYTES {
        match stream.write(&piece) {
            Ok(bytes) => written_bytes += bytes,
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::WouldBlock);
                break;
            }
        }
    }
    written_bytes
}

fn random_bytes(count: usize) -> Vec<u8> {
    std::iter::repeat_with(|| fastrand::u8(..))
        .take(count)
        .collect()
}

#[rstest]
fn bytes_pass_unchanged_both_ways_in_any_pieces(
    #[values(1, 100, 9_000, 100_000)] max_piece_bytes: usize,
) {
    let ends = Ends::spawn(OPTIONS);
    let total_bytes = (max_piece_bytes * 500).min(8_000_000);
    let sending = |mut stream: TcpStream| {
        let bytes = random_bytes(total_bytes);
        let sent = bytes.clone();
        let writer = thread::spawn(move || {
            let mut rest = sent.as_slice();
            while !rest.is_empty() {
                let piece_bytes = fastrand::usize(1..=max_piece_bytes).min(rest.len());
                stream.write_all(&rest[..piece_bytes]).unwrap();
                rest = &rest[piece_bytes..];
            }
            stream.shutdown(Shutdown::Write).unwrap();
        });
        (bytes, writer)
    };
    let (mut first, mut second) = (ends.first, ends.second);
    let (to_second, first_writer) = sending(first.try_clone().unwrap());
    let (to_first, second_writer) = sending(second.try_clone().unwrap());
    let reader = thread::spawn(move || read_to_end(&mut second, LIMIT));
    assert!(read_to_end(&mut first, LIMIT) == (to_first, Seen::End));
    assert!(reader.join().unwrap() == (to_second, Seen::End));
    first_writer.join().unwrap();
    second_writer.join().unwrap();
    assert_eq!(ends.outcome.join().unwrap(), Outcome::Ended);
}

#[test]
fn a_half_that_ends_leaves_the_other_half_open() {
    let mut ends = Ends::spawn(OPTIONS);
    ends.first.write_all(b"question").unwrap();
    ends.first.shutdown(Shutdown::Write).unwrap();
    let question = read_to_end(&mut ends.second, LIMIT);
    assert_eq!(question, (b"question".to_vec(), Seen::End));
    thread::sleep(PAUSE);
    ends.second.write_all(b"answer").unwrap();
    drop(ends.second);
    let answer = read_to_end(&mut ends.first, LIMIT);
    assert_eq!(answer, (b"answer".to_vec(), Seen::End));
    assert_eq!(ends.outcome.join().unwrap(), Outcome::Ended);
}

#[rstest]
fn a_reset_of_one_stream_resets_the_other(#[values(true, false)] is_first: bool) {
    let mut ends = Ends::spawn(OPTIONS);
    ends.first.write_all(b"hello").unwrap();
    ends.second.read_exact(&mut [0; 5]).unwrap();
    let (near, mut far) = match is_first {
        true => (ends.first, ends.second),
        false => (ends.second, ends.first),
    };
    reset(near);
    assert_eq!(read_to_end(&mut far, AT_ONCE), (Vec::new(), Seen::Reset));
    assert_eq!(ends.outcome.join().unwrap(), Outcome::Reset);
}

/// Guards against a request that reaches its server after it was given up, because the process that
/// forwards it goes on delivering what it has buffered.
#[rstest]
fn a_reset_overtakes_the_bytes_that_the_other_end_does_not_read(
    #[values(true, false)] is_first: bool,
) {
    let ends = Ends::spawn(OPTIONS);
    let (mut near, mut far) = match is_first {
        true => (ends.first, ends.second),
        false => (ends.second, ends.first),
    };
    let written_bytes = fill(&mut near);
    assert!(written_bytes < LONG_BYTES);
    reset(near);
    let began = Instant::now();
    assert_eq!(ends.outcome.join().unwrap(), Outcome::Reset);
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    let (bytes, seen) = read_to_end(&mut far, LIMIT);
    assert_eq!(seen, Seen::Reset);
    assert!(
        bytes.len() < written_bytes,
        "all {written_bytes} bytes arrived"
    );
}

#[test]
fn a_slow_reader_holds_the_writer_back() {
    let mut ends = Ends::spawn(OPTIONS);
    let written_bytes = fill(&mut ends.first);
    assert!(
        written_bytes < LONG_BYTES,
        "{written_bytes} bytes were taken"
    );
    let reader = thread::spawn(move || {
        let (bytes, seen) = read_to_end(&mut ends.second, LIMIT);
        (bytes.len(), seen)
    });
    drop(ends.first);
    assert_eq!(reader.join().unwrap(), (written_bytes, Seen::End));
}

/// One direction that cannot be written does not hold the other one up.
#[test]
fn directions_do_not_block_each_other() {
    let mut ends = Ends::spawn(OPTIONS);
    fill(&mut ends.first);
    ends.second.write_all(b"early answer").unwrap();
    let mut answer = [0; 12];
    ends.first.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"early answer");
}

/// A stream whose origin vanishes silently is not kept for ever; one that is used is.
#[rstest]
#[case::silent(false, Seen::Reset)]
#[case::used(true, Seen::Nothing)]
fn streams_without_traffic_are_reset(#[case] is_used: bool, #[case] expected: Seen) {
    let options = Options {
        idle_timeout_ms: 400,
        ..OPTIONS
    };
    let mut ends = Ends::spawn(options);
    for _ in 0..10 {
        if is_used {
            ends.first.write_all(b".").unwrap();
        }
        thread::sleep(Duration::from_millis(80));
    }
    assert_eq!(read_to_end(&mut ends.second, PAUSE).1, expected);
}

/// Streams that are dropped while they are forwarded are reset.
#[test]
fn a_dropped_future_resets_both_streams() {
    let ((mut first, near_first), (mut second, near_second)) = (pair(), pair());
    first.write_all(b"hello").unwrap();
    run(async {
        let near_first = stream_of_runtime(near_first);
        let forwarding = forward(near_first, stream_of_runtime(near_second), OPTIONS);
        let result = monoio::time::timeout(PAUSE, forwarding).await;
        assert!(result.is_err(), "{result:?}");
    });
    assert_eq!(read_to_end(&mut first, LIMIT).1, Seen::Reset);
    second.read_exact(&mut [0; 5]).unwrap();
    assert_eq!(read_to_end(&mut second, LIMIT).1, Seen::Reset);
}
