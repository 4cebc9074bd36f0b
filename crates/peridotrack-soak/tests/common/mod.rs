//! Records of a soak run with one request, and a step of its schedule.
#![allow(dead_code)]

use peridotrack_soak::{
    check::{Execution, Record, SentRequest},
    schedule::{Fault, Step},
};
use peridotrack_standin::hosted::{backend::Content, client::Outcome, deployment::Kind};

/// Default time at which a request is sent, in milliseconds since the start of the run.
pub const AT_MS: u64 = 20_000;

pub fn sent(kind: Kind, outcome: Outcome) -> SentRequest {
    SentRequest {
        id: "r-1".to_owned(),
        kind,
        account: 0,
        router: 0,
        incarnation: 1,
        at_ms: AT_MS,
        end_ms: AT_MS + 50,
        prompt_tokens: 100,
        prompt_parts: Vec::new(),
        events: 0,
        version: 2,
        content: content("r-1"),
        outcome,
    }
}

pub fn content(body: &'static str) -> Content {
    Content {
        method: http::Method::POST,
        target: "/".to_owned(),
        body: body.into(),
        account: "t-1".to_owned(),
    }
}

pub fn execution() -> Execution {
    Execution {
        id: "r-1".to_owned(),
        continues: None,
        expected_server: "i-1".to_owned(),
        account: "t-1".to_owned(),
        has_credential: false,
        states_leaving: false,
        at_ms: AT_MS + 10,
    }
}

pub fn record(requests: Vec<SentRequest>, executions: Vec<Execution>) -> Record {
    Record {
        requests,
        executions,
        versions: vec![(1, 0), (2, 10_000)],
        prepaid: vec![(0, 1_000)],
        accounts: vec!["t-1", "t-2"],
        faults_cleared_ms: 1_000_000,
        ..Record::default()
    }
}

pub fn step(at_ms: u64, fault: Fault) -> Step {
    Step {
        at_ms,
        duration_ms: 500,
        fault,
    }
}
