//! Streams that clients take up: where they began, and the refusal of those that nobody knows.

use std::rc::Rc;

use peridotrack_kernel::{clock, event};
use peridotrack_origin::{
    key::{self, Key},
    origins::Knowledge,
    record::Record,
};
use peridotrack_types::{name, problem, stream};

use super::{Shared, options, request::RoutedRequest};
use crate::route;

/// What was found out about the stream that a request takes up.
pub(super) struct Lookup {
    first_attempt: String,
    knowledge: Knowledge,
}

impl Lookup {
    /// Returns where the stream began, if that is known.
    pub(super) fn origin(&self) -> Option<&stream::Origin> {
        match &self.knowledge {
            Knowledge::Known { record, .. } => Some(&record.origin),
            Knowledge::Unknown { .. } => None,
        }
    }

    /// Adds to an event what the lookup found, and which versions serve.
    pub(super) fn describe(
        &self,
        shared: &Shared,
        service: &name::Service,
        event: event::Event,
    ) -> event::Event {
        let versions = shared.directory.software_versions(service);
        let versions: Vec<_> = versions.iter().map(name::SoftwareVersion::as_str).collect();
        let event = event
            .with("resumes", self.first_attempt.as_str())
            .with("service_versions", versions.join(","));
        match &self.knowledge {
            Knowledge::Known {
                record,
                known_by,
                age_us,
            } => {
                let version = record.origin.software_version.as_ref();
                event
                    .with("begun_at", record.origin.backend_server.as_str())
                    .with(
                        "begun_version",
                        version.map_or("", |version| version.as_str()),
                    )
                    .with("known_by", known_by.as_str())
                    .with("known_age_us", *age_us)
            }
            Knowledge::Unknown { asked, silent } => {
                let answered = asked.saturating_sub(silent.len());
                let silent: Vec<_> = silent.iter().map(name::Vm::as_str).collect();
                event
                    .with("asked_routers", *asked as u64)
                    .with("answered_routers", answered as u64)
                    .with("silent_routers", silent.join(","))
            }
        }
    }
}

/// Looks up the stream that a request takes up, and chooses the service that began it. Does nothing
/// for other requests.
///
/// # Errors
///
/// Returns the problem to respond with if it is not known where the stream began: servers of
/// versions that this router has not seen may have served.
pub(super) async fn look_up(
    shared: &Rc<Shared>,
    request: &mut RoutedRequest,
) -> Result<(), problem::Problem> {
    if !request.route().retry_policy.is_stream() {
        return Ok(());
    }
    let Some(resumption) = &request.metadata.resumption else {
        return Ok(());
    };
    let first_attempt = resumption.first_attempt.clone().unwrap_or_default();
    let is_proper = resumption.last_event.is_some() && !first_attempt.is_empty();
    let knowledge = match is_proper {
        true => {
            let key = key_of(shared, request, &first_attempt);
            shared.origins.resolve(key).await
        }
        false => Knowledge::Unknown {
            asked: 0,
            silent: Vec::new(),
        },
    };
    let service = match &knowledge {
        Knowledge::Known { record, .. } => Some(record.service.clone()),
        Knowledge::Unknown { .. } => None,
    };
    let may_be_known =
        matches!(&knowledge, Knowledge::Unknown { silent, .. } if !silent.is_empty());
    request.lookup = Some(Lookup {
        first_attempt,
        knowledge,
    });
    let mut shares = request.route().shares.iter();
    match service {
        Some(service) if shares.any(|share| share.service == service) => {
            request.service = service;
            let event = event::Event::new(event::Kind::StreamTakenUp)
                .with("client_request", request.client_request());
            request.note(shared, request.describe_lookup(shared, event));
            Ok(())
        }
        _ => Err(unknown(may_be_known)),
    }
}

/// Records where a stream began, when its first event has arrived. One that a client took up began at
/// an earlier attempt.
pub(super) fn record_beginning(shared: &Shared, request: &RoutedRequest, ticket: &route::Ticket) {
    if request.metadata.resumption.is_some() || !request.is_resumable() {
        return;
    }
    if let Some(origin) = ticket.origin() {
        let key = key_of(shared, request, request.client_request());
        let service = request.service.clone();
        shared.origins.began(key, Record { service, origin });
    }
}

fn key_of(shared: &Shared, request: &RoutedRequest, first_attempt: &str) -> Key {
    let account = request.account.as_ref();
    let account = account.map_or("", name::ClientAccount::as_str);
    let secret = shared.settings.peer_key.as_bytes();
    key::of_stream(secret, account, first_attempt)
}

/// Returns the problem of a take-up of which it is not known where the stream began. Another attempt
/// may be served only if a router that was asked has not answered.
fn unknown(may_be_known: bool) -> problem::Problem {
    let detail = "it is not known which software version began the stream";
    let problem = problem::Problem::new(problem::Kind::StreamOriginUnknown, detail);
    match may_be_known {
        true => problem.retry_after_ms(options::LOOKUP_RETRY_US / clock::US_PER_MS),
        false => problem,
    }
}
