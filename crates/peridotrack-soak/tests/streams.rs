//! Tests of the check that streams go on at the version that began them.

mod common;

use common::{AT_MS, execution, record, sent};
use peridotrack_soak::check::{Execution, Record, SentRequest, check};
use peridotrack_standin::hosted::{client::Outcome, deployment::Kind};
use rstest::rstest;

/// Returns a record of one stream that ran at these servers; each name begins with the version.
fn streamed(begun_at: &[&str], continued_at: &[&str]) -> Record {
    let run = |server: &str, continues: Option<&str>| Execution {
        expected_server: server.to_owned(),
        continues: continues.map(str::to_owned),
        ..execution()
    };
    let begun = begun_at.iter().map(|server| run(server, None));
    let continued = continued_at.iter().map(|server| run(server, Some("r-1")));
    let request = SentRequest {
        at_ms: AT_MS,
        ..sent(Kind::Resumable, Outcome::Incomplete)
    };
    let servers = [("i-1", 1), ("i-2", 1), ("j-1", 2)];
    Record {
        software_versions: servers
            .map(|(name, version)| (name.to_owned(), version))
            .into(),
        ..record(vec![request], begun.chain(continued).collect())
    }
}

#[rstest]
#[case::one_version(&["i-1"], &["i-2"], false)]
#[case::another_version(&["i-1"], &["j-1"], true)]
#[case::two_continuations(&["i-1"], &["i-2", "j-1"], true)]
#[case::second_attempt_before_the_first_event(&["i-1", "j-1"], &["j-1"], false)]
#[case::not_continued(&["i-1", "j-1"], &[], false)]
fn a_stream_of_two_versions_is_a_breach(
    #[case] begun_at: &[&str],
    #[case] continued_at: &[&str],
    #[case] is_breach: bool,
) {
    let breaches = check(&streamed(begun_at, continued_at));
    let found = breaches
        .iter()
        .any(|breach| breach.contains("events of versions"));
    assert_eq!(found, is_breach, "{breaches:?}");
}
