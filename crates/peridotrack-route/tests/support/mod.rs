//! Fixtures: a small register, and helpers to drive a router.
#![allow(dead_code)]

use peridotrack_route::{
    event::{self, Action, Event, Offer, Outcome, Target},
    options::Options,
    router::Router,
};
use peridotrack_types::{id, name, problem, register, rules};

pub const MODEL: &str = "drafting";
pub const SERVICE: &str = "registry";
pub const SECOND_US: u64 = 1_000_000;

pub fn request(sequence: u64) -> id::Request {
    id::Request {
        incarnation: id::Incarnation(1),
        sequence,
    }
}

pub fn engine(number: usize, slots: u32) -> register::Engine {
    register::Engine {
        name: format!("engine-{number}").as_str().into(),
        failure_domain: format!("domain-{}", number % 4).as_str().into(),
        address: ([127, 0, 0, 1], 8000).into(),
        models: vec![MODEL.into()],
        slots,
        fencing: register::Fencing::Ignored,
        lifetime: register::Lifetime::default(),
    }
}

pub fn service(number: usize, slots: u32) -> register::ServiceServer {
    register::ServiceServer {
        name: format!("service-{number}").as_str().into(),
        service: SERVICE.into(),
        failure_domain: format!("domain-{}", number % 4).as_str().into(),
        address: ([127, 0, 0, 1], 9000).into(),
        slots,
        lifetime: register::Lifetime::default(),
    }
}

pub fn register(engines: usize, services: usize, slots: u32) -> register::Register {
    register::Register {
        failure_domains: (0..4)
            .map(|number| register::FailureDomain {
                name: format!("domain-{number}").as_str().into(),
                region: "java".to_owned(),
            })
            .collect(),
        engines: (0..engines).map(|number| engine(number, slots)).collect(),
        services: (0..services).map(|number| service(number, slots)).collect(),
        ..Default::default()
    }
}

pub fn rules(queue_requests: u32) -> rules::Rules {
    rules::Rules {
        limits: rules::Limits {
            queue_requests,
            ..Default::default()
        },
        ..Default::default()
    }
}

/// Returns a router with `engines` engines of `slots` slots each.
pub fn router(engines: usize, slots: u32, queue_requests: u32) -> Router {
    let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
    router.configure(0, &register(engines, 0, slots), &rules(queue_requests));
    router
}

pub fn offer(sequence: u64) -> Offer {
    Offer {
        request_id: request(sequence),
        target: Target::Model(MODEL.into()),
        account: "publisher-1".into(),
        priority: rules::Priority::Normal,
        prefix_hash: None,
        size_tokens: 100,
        deadline_us: 60 * SECOND_US,
        idempotent: true,
        continuation: event::Continuation::default(),
        max_dispatches: None,
        origin: None,
        prompt: None,
    }
}

pub fn finish(router: &mut Router, now_us: u64, sequence: u64, outcome: Outcome) -> Vec<Action> {
    let request_id = request(sequence);
    let event = Event::Finished {
        request_id,
        outcome,
    };
    router.on_event(now_us, event)
}

pub fn sent(router: &mut Router, now_us: u64, sequence: u64) -> Vec<Action> {
    let request_id = request(sequence);
    router.on_event(now_us, Event::Sent { request_id })
}

/// Returns the server of the first dispatch in `actions`.
pub fn dispatched(actions: &[Action]) -> Option<name::BackendServer> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { backend, .. } => Some(backend.clone()),
        _ => None,
    })
}

/// Returns the sequence of the request of the first dispatch in `actions`.
pub fn dispatched_request(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { request_id, .. } => Some(request_id.sequence),
        _ => None,
    })
}

/// Returns the kind and the Retry-After in milliseconds of the first refusal in `actions`.
pub fn refused(actions: &[Action]) -> Option<(problem::Kind, u64)> {
    actions.iter().find_map(|action| match action {
        Action::Refuse {
            kind,
            retry_after_ms,
            ..
        } => Some((*kind, *retry_after_ms)),
        _ => None,
    })
}
