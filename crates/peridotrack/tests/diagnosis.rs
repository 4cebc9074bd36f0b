//! Diagnosis of a request from logs: its events, their context and the reason for its outcome.

use std::{
    fs,
    path::PathBuf,
    sync::atomic::{AtomicUsize, Ordering},
};

use peridotrack::{diagnosis, logs};
use rstest::rstest;

/// Builds a log of one process, with an event every 10 ms.
struct Lines {
    text: String,
    sequence: u64,
    wall_us: u64,
}

impl Lines {
    fn new() -> Self {
        Self {
            text: "a line of something else\n".to_owned(),
            sequence: 0,
            wall_us: 1_000_000_000,
        }
    }

    fn add(mut self, name: &str, request: Option<&str>, fields: &str) -> Self {
        self.sequence += 1;
        self.wall_us += 10_000;
        let request = request.map_or(String::new(), |id| format!(r#""request_id":"{id}","#));
        self.text.push_str(&format!(
            r#"12.5 vm-1 {{"process":"vm-1","sequence":{},"wall_us":{},"number":1,"name":"{name}","severity":"info",{request}"fields":{{{fields}}}}}"#,
            self.sequence, self.wall_us
        ));
        self.text.push('\n');
        self
    }

    fn diagnose(&self, id: &str) -> diagnosis::Diagnosis {
        // Cases run concurrently; each writes its own file.
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let path: PathBuf = std::env::temp_dir().join(format!(
            "peridotrack-diagnosis-{number}-{}.log",
            std::process::id()
        ));
        fs::write(&path, &self.text).unwrap();
        let logs = logs::read(std::slice::from_ref(&path)).unwrap();
        fs::remove_file(&path).unwrap();
        assert_eq!(logs.other_lines, 1);
        diagnosis::diagnose(&logs.events, id)
    }
}

const REQUEST: &str = "00000000000000aa-7";

fn refused(problem: &str, fields: &str) -> String {
    format!(
        r#""client_request":"9c41","client_account":"t-1","problem":"urn:peridotrack:problem:{problem}","detail":"why","retry_after_ms":1,{fields}"#
    )
}

#[rstest]
#[case::exhausted(
    "budget-exhausted",
    r#""available_tokens":4,"left_tokens":0,"purchased_tokens":900"#,
    "account t-1 is exhausted"
)]
#[case::store_lost(
    "budget-unavailable",
    r#""is_store_reachable":false,"available_tokens":4"#,
    "the store has been unreachable for 30 ms (reset)"
)]
#[case::draw_slow(
    "budget-unavailable",
    r#""is_store_reachable":true,"available_tokens":4,"elapsed_us":250804"#,
    "neither the ledger nor another router granted any within the 250 ms that the request waited"
)]
#[case::no_server(
    "no-backend-server",
    r#""usable_backend_servers":0"#,
    "the attempt at i-1 failed: connection refused; not retried: 0 usable"
)]
#[case::unknown(
    "outcome-unknown",
    r#""usable_backend_servers":3"#,
    "the attempt at i-1 failed: connection refused"
)]
#[case::key("unauthorized", r#""config_version":3"#, "why")]
fn the_cause_of_a_refusal_is_named(
    #[case] problem: &str,
    #[case] fields: &str,
    #[case] expected: &str,
) {
    let diagnosis = Lines::new()
        .add("PlatformLost", None, r#""error":"reset""#)
        .add("BudgetNote", None, r#""note":"dry t-2""#)
        .add(
            "AttemptFailed",
            Some(REQUEST),
            r#""backend_server":"i-1","detail":"connection refused""#,
        )
        .add("RequestRefused", Some(REQUEST), &refused(problem, fields))
        .diagnose("9c41");
    assert_eq!(diagnosis.events.len(), 2, "{diagnosis:?}");
    let [cause] = &diagnosis.causes[..] else {
        panic!("one cause: {diagnosis:?}")
    };
    assert!(cause.contains(expected), "{cause}");
    let context: Vec<&str> = diagnosis.context.iter().map(|m| &*m.event.name).collect();
    assert_eq!(
        context,
        ["PlatformLost"],
        "context of other accounts is excluded"
    );
}

#[rstest]
#[case(
    "RequestCut",
    r#""client_request":"9c41","detail":"cut""#,
    "the attempt at i-1 failed: reset"
)]
#[case("RequestCancelled", r#""client_request":"9c41""#, "the client left")]
#[case("RequestCompleted", r#""client_request":"9c41","is_late":true,"first_part_us":900000,"longest_gap_us":5000,"elapsed_us":1,"backend_server":"i-1""#, "first part after 900 ms")]
#[case(
    "RequestCompleted",
    r#""client_request":"9c41","is_late":false"#,
    "answered in time"
)]
fn the_cause_of_every_other_final_event_is_named(
    #[case] name: &str,
    #[case] fields: &str,
    #[case] expected: &str,
) {
    let diagnosis = Lines::new()
        .add(
            "AttemptFailed",
            Some(REQUEST),
            r#""backend_server":"i-1","detail":"reset""#,
        )
        .add(name, Some(REQUEST), fields)
        .diagnose(REQUEST);
    assert!(diagnosis.causes[0].contains(expected), "{diagnosis:?}");
}

#[test]
fn a_request_that_no_log_holds_has_no_diagnosis() {
    let diagnosis = Lines::new()
        .add(
            "RequestCompleted",
            Some(REQUEST),
            r#""client_request":"9c41""#,
        )
        .diagnose("9c42");
    assert!(diagnosis.events.is_empty() && diagnosis.causes.is_empty());
}

/// The log explains why a request that crashes servers was not sent.
#[rstest]
#[case::proven("true", "not dispatched: servers s-1,s-2,s-3 ended")]
#[case::undecided(
    "false",
    "before another router has sent it: servers s-1,s-2,s-3 ended"
)]
fn the_evidence_of_a_blocked_request_is_named(#[case] is_proven: &str, #[case] expected: &str) {
    let signature = "request:000102030405060708090a0b0c0d0e0f";
    let evidence =
        format!(r#""signatures":"{signature}","ended_servers":"s-1,s-2,s-3","reported_by":"vm-1""#);
    let refused = format!(
        r#""client_request":"9c41","problem":"urn:peridotrack:problem:request-blocked","is_proven":{is_proven},{evidence}"#
    );
    let other = r#""signatures":"7c31","backend_server":"s-9""#;
    let diagnosis = Lines::new()
        .add("SignatureBlocked", None, &evidence)
        .add("SignatureSuspected", None, other)
        .add("RequestRefused", Some(REQUEST), &refused)
        .diagnose("9c41");
    let [cause] = &diagnosis.causes[..] else {
        panic!("one cause: {diagnosis:?}")
    };
    assert!(cause.contains(expected), "{cause}");
    assert!(cause.contains(signature), "{cause}");
    let context: Vec<&str> = diagnosis.context.iter().map(|m| &*m.event.name).collect();
    assert_eq!(context, ["SignatureBlocked"]);
}
