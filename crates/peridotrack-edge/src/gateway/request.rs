//! Admission of a client request: its route, client account, service, priority and deadline.
//!
//! [`accept`] looks these up in the active configuration, and [`offer`] describes the request to
//! the routing service. The body is not read.

use std::{cell::Cell, rc::Rc};

use peridotrack_http::server;
use peridotrack_kernel::{clock, event};
use peridotrack_platform::{request as wire, site as site_wire};
use peridotrack_quarantine::signature::{self, Signature};
use peridotrack_route::{
    event::{Continuation, Offer, Target},
    prefill,
};
use peridotrack_types::{id, name, problem, rules, site, stream};

use super::{Shared, resumption::Lookup, site::Snapshot};
use crate::caller;

/// Retry delay stated to clients while the gateway has no configuration yet, in milliseconds.
const STARTING_RETRY_MS: u64 = 500;
/// Retry delay stated to clients whose route or key a gateway does not know while its configuration may be
/// out of date, in milliseconds: another gateway may know it.
const OUTDATED_RETRY_MS: u64 = 500;
/// Lowest rank that counts as low priority; rank 0 is the most urgent.
const LOW_PRIORITY_RANK: u32 = 2;

/// Maximum number of signatures in one event.
const MAX_LOGGED_SIGNATURES: usize = 16;

/// A client request with its route and client account, looked up in the configuration that was in
/// force when it arrived.
pub(super) struct RoutedRequest {
    /// Identifier given by the gateway; [`Self::client_request`] returns that of the client.
    pub(super) request_id: id::Request,
    /// Configuration that was active when the request arrived.
    pub(super) config: Rc<Snapshot>,
    /// Position of the route in [`Self::config`].
    pub(super) route_index: usize,
    /// Client account of the key, `None` if the request has no known key and needs none.
    pub(super) account: Option<name::ClientAccount>,
    pub(super) metadata: wire::Metadata,
    /// The request as the client sent it.
    pub(super) received: server::Request,
    /// When the request arrived, in monotonic microseconds.
    pub(super) arrived_us: u64,
    /// Deadline of the response, in monotonic microseconds.
    pub(super) deadline_us: u64,
    /// Service chosen among the shares of the route.
    pub(super) service: name::Service,
    /// Whether the client account is prepaid, so that tokens must be reserved.
    pub(super) has_budget: bool,
    /// What crashes of backend servers are counted by: the whole request, and the parts of its
    /// prompt that other requests may share.
    pub(super) signatures: Vec<Signature>,
    /// What was found out about the stream that the request takes up, if it does.
    pub(super) lookup: Option<Lookup>,
    priority: rules::Priority,
    /// Sequence number of the last event of this request.
    cause: Cell<u64>,
}

impl RoutedRequest {
    /// Returns the route of the request.
    pub(super) fn route(&self) -> &site::Route {
        &self.config.site.routes[self.route_index]
    }

    /// Returns the engine parameters of the request's service, `None` if it is a plain service.
    pub(super) fn engine(&self) -> Option<site::Engine> {
        let mut services = self.config.site.services.iter();
        services
            .find(|service| service.name == self.service)?
            .engine
    }

    /// Returns whether the stream of the request may be taken up after it broke off.
    pub(super) fn is_resumable(&self) -> bool {
        self.route().retry_policy == site::RetryPolicy::ResumableStream
    }

    /// Returns where the stream began that the request takes up, if it does and that is known.
    pub(super) fn origin(&self) -> Option<&stream::Origin> {
        self.lookup.as_ref()?.origin()
    }

    /// Adds what was found out about the stream that the request takes up, if it does.
    pub(super) fn describe_lookup(&self, shared: &Shared, event: event::Event) -> event::Event {
        match &self.lookup {
            Some(lookup) => lookup.describe(shared, &self.service, event),
            None => event,
        }
    }

    /// Returns the time until the deadline in microseconds, 0 once it has passed.
    pub(super) fn remaining_us(&self, shared: &Shared) -> u64 {
        self.deadline_us.saturating_sub(shared.kernel.now_us())
    }

    /// Records an event of this request, with the previous one as its cause.
    pub(super) fn note(&self, shared: &Shared, event: event::Event) {
        let event = event.request(self.request_id).cause(self.cause.get());
        self.cause.set(shared.kernel.note(event));
    }

    /// Returns the first signatures, for the log.
    pub(super) fn signatures_text(&self) -> String {
        let signatures = self.signatures.iter().take(MAX_LOGGED_SIGNATURES);
        let texts: Vec<_> = signatures.map(Signature::to_string).collect();
        texts.join(",")
    }

    /// Returns the identifier that the client gave the request, empty if there is none.
    pub(super) fn client_request(&self) -> &str {
        text(self.metadata.request_id.as_ref())
    }
}

/// Returns the text of a header, empty if there is none.
fn text(value: Option<&http::HeaderValue>) -> &str {
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// A request that is not accepted.
pub(super) struct Rejected {
    /// The problem to respond with.
    pub(super) problem: problem::Problem,
    /// Identifier that the client gave the request, empty if there is none.
    pub(super) client_request: String,
    /// Version of the configuration that decided; 0 if none is known.
    pub(super) config_version: u64,
}

/// Resolves the route and the client account of a request, and records its arrival.
///
/// # Errors
///
/// Returns the problem to respond with: no configuration yet, no matching route, a missing or
/// unknown key, a stream that the HTTP version does not support, or a route without a service.
pub(super) fn accept(
    shared: &Rc<Shared>,
    received: server::Request,
) -> Result<RoutedRequest, Box<Rejected>> {
    let config = shared.site.get();
    let client_request = received.head.headers.get(wire::REQUEST_ID).cloned();
    resolve(shared, received, config.clone()).map_err(|problem| {
        Box::new(Rejected {
            problem,
            client_request: text(client_request.as_ref()).to_owned(),
            config_version: config.map_or(0, |config| config.site.version),
        })
    })
}

fn resolve(
    shared: &Rc<Shared>,
    received: server::Request,
    config: Option<Rc<Snapshot>>,
) -> Result<RoutedRequest, problem::Problem> {
    let arrived_us = shared.kernel.now_us();
    let Some(config) = config else {
        let kind = problem::Kind::NoBackendServer;
        return Err(problem::Problem::new(kind, "no configuration is known yet")
            .retry_after_ms(STARTING_RETRY_MS));
    };
    let headers = &received.head.headers;
    let host = headers
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let path = received.head.uri.path();
    let route_index = config.index.route(host, path).ok_or_else(|| {
        let detail = format!("no route for host {host:?} and path {path:?}");
        unknown(shared, problem::Kind::NotFound, detail)
    })?;
    let account_index = wire::key(headers).and_then(|key| config.index.account(key));
    let route = &config.site.routes[route_index];
    let needs_key = !config.site.client_accounts.is_empty() && !route.is_public;
    if needs_key && account_index.is_none() {
        let detail = "the key is missing or unknown".to_owned();
        return Err(unknown(shared, problem::Kind::Unauthorized, detail));
    }
    if route.retry_policy.is_stream() {
        caller::response::check_stream_version(received.head.version)?;
    }
    let account = account_index.map(|index| &config.site.client_accounts[index]);
    let metadata = wire::Metadata::decode(headers);
    let timeout_ms = metadata
        .deadline_ms
        .map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let rank = account
        .and_then(|account| account.rank)
        .unwrap_or(route.rank);
    let has_budget = account.is_some_and(|account| account.prepaid_tokens.is_some());
    let Some(service) = choose_service(route) else {
        let detail = format!("route {:?} leads to no service", route.name);
        return Err(problem::Problem::new(
            problem::Kind::NoBackendServer,
            detail,
        ));
    };
    if !shared.quarantine.is_listed() {
        let detail = "it is not known yet which requests are blocked";
        let kind = problem::Kind::NoBackendServer;
        return Err(problem::Problem::new(kind, detail).retry_after_ms(STARTING_RETRY_MS));
    }
    if !shared.evacuations.is_known(shared) {
        let detail = "it is not known yet which failure domains are evacuated";
        let kind = problem::Kind::NoBackendServer;
        return Err(problem::Problem::new(kind, detail).retry_after_ms(STARTING_RETRY_MS));
    }
    let account = account.map(|account| &account.name);
    let signatures = signatures(shared, route, account, &received, &metadata);
    shared.sequence.set(shared.sequence.get() + 1);
    let request = RoutedRequest {
        request_id: id::Request {
            incarnation: shared.incarnation,
            sequence: shared.sequence.get(),
        },
        route_index,
        account: account.cloned(),
        metadata,
        arrived_us,
        deadline_us: arrived_us + timeout_ms * clock::US_PER_MS,
        service,
        has_budget,
        signatures,
        lookup: None,
        priority: priority(rank),
        cause: Cell::new(0),
        config: Rc::clone(&config),
        received,
    };
    shared.metrics.accepted.increment(1);
    let event = event::Event::new(event::Kind::RequestAccepted)
        .with("client_request", request.client_request())
        .with("route", &*request.route().name)
        .with("config_version", config.site.version);
    request.note(shared, event);
    Ok(request)
}

/// Returns the problem of a request whose route or key the active configuration does not have. While that
/// may lack a version that is in force, the request may be proper and is refused for the moment only.
fn unknown(shared: &Shared, kind: problem::Kind, detail: String) -> problem::Problem {
    let max_age_us = shared.settings.bounds.config_apply_ms * clock::US_PER_MS;
    let age_us = shared.follow.age_us(site_wire::KIND);
    if age_us.is_some_and(|age_us| age_us <= max_age_us) {
        return problem::Problem::new(kind, detail);
    }
    let detail = format!("{detail} in a configuration that may be out of date");
    problem::Problem::new(problem::Kind::NoBackendServer, detail).retry_after_ms(OUTDATED_RETRY_MS)
}

/// Chooses one of a route's services at random, in proportion to their weights.
fn choose_service(route: &site::Route) -> Option<name::Service> {
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    let mut point = fastrand::f64() * total;
    for share in &route.shares {
        if point < share.weight {
            return Some(share.service.clone());
        }
        point -= share.weight;
    }
    // The sum and the differences of weights may be rounded differently.
    let is_weighted = |share: &&site::Share| share.weight > 0.0;
    let last = route.shares.iter().rfind(is_weighted);
    last.or(route.shares.first())
        .map(|share| share.service.clone())
}

/// Maps a rank of the configuration to a priority of the routing service.
fn priority(rank: u32) -> rules::Priority {
    match rank {
        0 => rules::Priority::High,
        1..LOW_PRIORITY_RANK => rules::Priority::Normal,
        _ => rules::Priority::Low,
    }
}

/// Returns the offer with which a backend server is requested from the routing service.
pub(super) fn offer(request: &RoutedRequest) -> Offer {
    let route = request.route();
    let target = match request.engine() {
        Some(_) => Target::Model(request.service.as_str().into()),
        None => Target::Service(request.service.clone()),
    };
    let is_resumable = request.is_resumable();
    let account = request.account.clone();
    let prompt = prompt(&request.metadata);
    Offer {
        request_id: request.request_id,
        target,
        account: account.unwrap_or_else(|| "".into()),
        priority: request.priority,
        prefix_hash: prompt.as_ref().and_then(prefill::Prompt::shared_id),
        prompt,
        size_tokens: (request.metadata.prompt_tokens + request.metadata.max_output_tokens).max(1),
        deadline_us: request.deadline_us,
        idempotent: is_resumable || route.retry_policy == site::RetryPolicy::Idempotent,
        continuation: match is_resumable {
            true => Continuation::AnyServer,
            false => Continuation::SameServer,
        },
        origin: request.origin().cloned(),
        max_dispatches: Some(route.max_attempts),
    }
}

fn signatures(
    shared: &Shared,
    route: &site::Route,
    account: Option<&name::ClientAccount>,
    received: &server::Request,
    metadata: &wire::Metadata,
) -> Vec<Signature> {
    let uri = &received.head.uri;
    let request = signature::Request {
        account: account.map_or("", name::ClientAccount::as_str),
        method: received.head.method.as_str(),
        host: &route.host,
        target: uri.path_and_query().map_or("", |target| target.as_str()),
        body: &received.body,
    };
    let request = signature::of_request(shared.settings.peer_key.as_bytes(), &request);
    let parts = metadata.prompt_parts.split_last();
    let parts = parts.map_or(&[][..], |(_, parts)| parts);
    let parts = parts.iter().map(|part| Signature::Part(part.id));
    std::iter::once(request).chain(parts).collect()
}

/// Returns the prompt of a request, `None` if its headers do not list the prompt parts.
fn prompt(metadata: &wire::Metadata) -> Option<prefill::Prompt> {
    let part = |part: &wire::PromptPart| prefill::Part {
        id: part.id,
        tokens: part.tokens,
    };
    (!metadata.prompt_parts.is_empty()).then(|| prefill::Prompt {
        parts: metadata.prompt_parts.iter().map(part).collect(),
        tokens: metadata.prompt_tokens,
    })
}
