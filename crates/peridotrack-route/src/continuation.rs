//! Requests that continue a stream: they are placed only at servers of the software version that
//! began it.
//!
//! Such a request does not wait in the queue of its pool, where it would hold up those that any
//! server may take. It goes before them: its client has received a part of the response.

use peridotrack_types::{id, problem, stream};

use crate::{
    dispatch::{refuse, refuse_for_good},
    event::Action,
    request::{Beginning, Phase, Request},
    router::Router,
};

/// What a request that continues a stream waits for, if no server may receive it now.
enum Wait {
    /// Nothing: no server has the version that began the stream, or the version is in doubt.
    Never,
    /// A server that becomes available within about a request, or at an unknown time.
    Brief,
    /// The first end of the reasons against all servers of the version.
    Until(u64),
}

impl Router {
    /// Returns where the stream of a request began; `None` if it did not begin or that is in doubt.
    pub fn origin(&self, request_id: id::Request) -> Option<stream::Origin> {
        let request = self.requests.get(&request_id)?;
        let origin = request.origin()?;
        (!self.is_doubtful(origin)).then(|| origin.clone())
    }

    /// Records that the first event of a stream was received from the server of its attempt.
    ///
    /// If the server's lifetime changed since the attempt began, or its process has ended, another
    /// process may have written it.
    pub(crate) fn begin_stream(&mut self, request_id: id::Request) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Phase::InFlight(attempt) = request.phase else {
            return;
        };
        if request.beginning != Beginning::Ahead {
            return;
        }
        let backend = &self.backends[attempt.backend];
        let is_certain = backend.lifetimes == attempt.lifetimes && !backend.has_ended;
        request.beginning = match is_certain {
            true => Beginning::At(stream::Origin {
                backend_server: backend.name.clone(),
                software_version: backend.lifetime.software_version.clone(),
            }),
            false => Beginning::Doubtful,
        };
    }

    /// Dispatches a request that continues a stream, lets it wait or refuses it.
    pub(crate) fn place_continuation(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        mut request: Request,
        actions: &mut Vec<Action>,
    ) {
        if self.may_continue(&request)
            && let Some(index) = self.choose(now_us, &request)
        {
            return self.dispatch(now_us, request_id, request, index, actions);
        }
        let not_run = problem::Kind::NoBackendServer;
        match self.wait_of(now_us, &request) {
            Wait::Never => refuse_for_good(actions, request_id, &request, not_run),
            Wait::Until(at_us) if self.ends_before_event(at_us, &request) => {
                refuse(actions, request_id, &request, not_run, at_us - now_us);
            }
            Wait::Brief if self.ends_before_event(now_us, &request) => {
                let retry_after_us = self.pools[request.pool].dequeue_us(1);
                refuse(actions, request_id, &request, not_run, retry_after_us);
            }
            Wait::Until(_) | Wait::Brief => {
                request.phase = Phase::Queued;
                self.pools[request.pool].continuations.push(request_id);
                self.requests.insert(request_id, request);
            }
        }
    }

    /// Lets the requests of a pool that wait to continue a stream be placed at servers that failed
    /// them before.
    pub(crate) fn clear_failures_of_continuations(&mut self, pool: usize) {
        for request_id in &self.pools[pool].continuations {
            if let Some(request) = self.requests.get_mut(request_id) {
                request.clear_failed_backends();
            }
        }
    }

    /// Places the requests of a pool that wait to continue a stream again.
    pub(crate) fn dispatch_continuations(
        &mut self,
        now_us: u64,
        pool: usize,
        actions: &mut Vec<Action>,
    ) {
        for request_id in std::mem::take(&mut self.pools[pool].continuations) {
            if let Some(request) = self.requests.remove(&request_id) {
                self.place_continuation(now_us, request_id, request, actions);
            }
        }
    }

    /// Returns whether the version that began the stream of a request is known.
    fn may_continue(&self, request: &Request) -> bool {
        request
            .origin()
            .is_some_and(|origin| !self.is_doubtful(origin))
    }

    /// Returns whether the server that began a stream is known with another version: it may have had
    /// that one already, while its entry still named the former.
    fn is_doubtful(&self, origin: &stream::Origin) -> bool {
        let index = self.by_name.get(&origin.backend_server);
        index.is_some_and(|index| self.backends[*index].contradicts(origin))
    }

    /// Returns whether the deadline of a request passes before the next event, if a server takes it at
    /// `at_us`. How much of the stream is left is not known.
    fn ends_before_event(&self, at_us: u64, request: &Request) -> bool {
        let event_us = self.pools[request.pool].prior.idle_first_token_us as u64;
        at_us + event_us > request.deadline_us
    }

    fn wait_of(&self, now_us: u64, request: &Request) -> Wait {
        let Some(origin) = request.origin().filter(|origin| !self.is_doubtful(origin)) else {
            return Wait::Never;
        };
        let members = self.pools[request.pool].members();
        let of_version = members
            .map(|member| &self.backends[member.index])
            .filter(|backend| backend.continues(origin));
        let mut wait = Wait::Never;
        for backend in of_version {
            if backend.is_usable(now_us, &self.options) {
                return Wait::Brief;
            }
            if let Some(usable_us) = backend.usable_us(now_us, &self.options) {
                wait = match wait {
                    Wait::Until(at_us) => Wait::Until(at_us.min(usable_us)),
                    _ => Wait::Until(usable_us),
                };
            }
        }
        wait
    }
}
