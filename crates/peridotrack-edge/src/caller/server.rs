//! Accepts connections of callers, authenticates their requests and dispatches them by path.
//!
//! The request handlers share [`Services`]; a [`Call`] is one accepted request with its deadline
//! and its newest timeline event.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use monoio::net::TcpStream;
use peridotrack_http::{client, listen, server};
use peridotrack_kernel::{Kernel, clock, event};
use peridotrack_route::{
    event::Target,
    stop::{Stop, Verdict},
};
use peridotrack_types::{id, name, problem, settings};

use super::{completion, response, service_call};
use crate::{
    acceptor, auth, budget, claims, config, counted::Counted, engine, idle, metric, notify, route,
    stopping, usage,
};

/// Period at which a drain polls whether requests are still open, in microseconds.
const DRAIN_POLL_US: u64 = 20 * clock::US_PER_MS;
/// Time before the end of a stop at which requests without a response are answered, in
/// microseconds: they are cancelled at their engine and billed first.
const ANSWER_MARGIN_US: u64 = clock::US_PER_S;
/// Maximum wait for the next part of a backend server's response, in milliseconds.
const BACKEND_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of idle connections kept open to each backend server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Latest end of a request, in monotonic microseconds: its deadline bounds only when it is sent.
const END_UNKNOWN_US: u64 = u64::MAX;
/// Path of the chat completions endpoint; only `POST` is served.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path prefix of calls to plain services; the service's name follows.
const SERVICES_PATH: &str = "/v1/services/";
/// `Retry-After` of a connection refused because too many are open, in milliseconds.
const CONNECTIONS_RETRY_MS: u64 = 1_000;
/// Limit of the idle time of a connection over the limit, in milliseconds.
const REFUSED_IDLE_MS: u64 = 500;

/// Services and connections that the request handlers share.
pub(super) struct Services {
    pub(super) kernel: Rc<Kernel>,
    pub(super) budget: Rc<budget::Budget>,
    pub(super) claims: Rc<claims::Service>,
    pub(super) config: Rc<config::Configuration>,
    pub(super) route: Rc<route::Route>,
    pub(super) usage: Rc<usage::Usage>,
    pub(super) stopping: Rc<stopping::Stopping<Target>>,
    pub(super) pool: client::Pool,
    pub(super) metrics: metric::Requests,
}

impl Services {
    /// Sends a complete response, with `Connection: close` if the router is stopping.
    pub(super) async fn respond(
        &self,
        connection: &mut server::Connection,
        response: http::Response<Bytes>,
    ) -> Result<(), server::Error> {
        let response = self.stopping.announce(connection, response);
        connection.respond(response).await
    }
}

/// HTTP server for callers.
pub struct Server {
    services: Rc<Services>,
    incarnation: id::Incarnation,
    address: SocketAddr,
    limits: settings::Limits,
    /// Bearer keys, and the version of the configuration that they were read from.
    keys: RefCell<(u64, Rc<auth::Keys>)>,
    /// Sequence number of the newest request.
    sequence: Cell<u64>,
    open_connections: Cell<usize>,
    /// Number of requests that are being received.
    receiving_requests: Rc<Cell<usize>>,
    /// Number of requests that are being served.
    open_requests: Rc<Cell<usize>>,
    closing: idle::Closing,
    acceptor: RefCell<Option<Rc<acceptor::Acceptor>>>,
    /// Wakes every connection's task to end it at once.
    killed: notify::Notify,
}

/// One accepted request: its client account, its deadline and its newest timeline event.
pub(super) struct Call {
    pub(super) request_id: id::Request,
    pub(super) account: name::ClientAccount,
    pub(super) arrived_us: u64,
    pub(super) deadline_us: u64,
    /// Sequence number of the request's newest event, which is the cause of the next one.
    pub(super) cause: Cell<u64>,
}

impl Call {
    /// Records an event of this request with the previous one as its cause.
    pub(super) fn note(&self, kernel: &Kernel, event: event::Event) {
        let event = event.request(self.request_id).cause(self.cause.get());
        self.cause.set(kernel.note(event));
    }

    /// Decides whether a request for `target` is begun, and records the decision; always, unless the
    /// router is stopping.
    pub(super) fn is_begun(&self, services: &Services, target: &Target) -> bool {
        match services.stopping.judge(target, END_UNKNOWN_US) {
            Some(verdict) => {
                self.note_at_stop(services, &verdict);
                verdict.is_admitted
            }
            None => true,
        }
    }

    /// Waits until a request for `target` is not to be begun any more, because the router is
    /// stopping.
    pub(super) async fn refused_at_stop(&self, services: &Services, target: &Target) {
        let verdict = services.stopping.refused(target, END_UNKNOWN_US).await;
        self.note_at_stop(services, &verdict);
    }

    fn note_at_stop(&self, services: &Services, verdict: &Verdict) {
        let event = event::Event::new(event::Kind::RequestAtStop)
            .with("client_account", self.account.as_str())
            .with("is_admitted", verdict.is_admitted);
        self.note(&services.kernel, stopping::describe(event, verdict));
    }

    /// Records that the request ended with a complete response.
    pub(super) fn complete(&self, services: &Services) {
        let elapsed_us = services.kernel.now_us() - self.arrived_us;
        let event = event::Event::new(event::Kind::RequestCompleted)
            .with("client_account", self.account.as_str())
            .with("elapsed_us", elapsed_us);
        self.note(&services.kernel, event);
        services.metrics.completed.increment(1);
    }

    /// Records a refusal and returns the response for it.
    pub(super) fn refuse(
        &self,
        services: &Services,
        problem: problem::Problem,
    ) -> http::Response<Bytes> {
        let ran = match problem.ran {
            problem::Ran::No => "no",
            problem::Ran::Unknown => "unknown",
        };
        let event = event::Event::new(event::Kind::RequestRefused)
            .with("problem", problem.type_urn.as_str())
            .with("detail", problem.detail.as_str())
            .with("ran", ran)
            .with("retry_after_ms", problem.retry_after_ms.unwrap_or_default());
        self.note(&services.kernel, event);
        services.metrics.refused(problem.ran).increment(1);
        response::problem(&problem.request(self.request_id))
    }
}

/// Starts, drains and stops the server.
impl Server {
    /// Listens on `address`, starts to serve callers and returns the server.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a service is not registered.
    pub fn bind(
        kernel: &Rc<Kernel>,
        incarnation: id::Incarnation,
        address: SocketAddr,
        limits: settings::Limits,
    ) -> Result<Rc<Self>, Box<dyn std::error::Error>> {
        let listener = listen::bind(address)?;
        let address = listener.local_addr()?;
        let registry = kernel.registry();
        let services = Rc::new(Services {
            kernel: Rc::clone(kernel),
            budget: registry.find(budget::SERVICE)?,
            claims: registry.find(claims::SERVICE)?,
            config: registry.find(config::SERVICE)?,
            route: registry.find(route::SERVICE)?,
            usage: registry.find(usage::SERVICE)?,
            stopping: Rc::new(stopping::Stopping::new(kernel)),
            pool: client::Pool::new(
                engine::client_options(BACKEND_TIMEOUT_MS),
                MAX_IDLE_CONNECTIONS,
            ),
            metrics: metric::Requests::register(kernel.meter()),
        });
        let server = Rc::new(Self {
            services,
            incarnation,
            address,
            limits,
            keys: RefCell::default(),
            sequence: Cell::new(0),
            open_connections: Cell::new(0),
            receiving_requests: Rc::default(),
            open_requests: Rc::default(),
            closing: idle::Closing::default(),
            acceptor: RefCell::default(),
            killed: notify::Notify::default(),
        });
        let weak = Rc::downgrade(&server);
        let acceptor = acceptor::Acceptor::spawn(listener, move |stream, _| {
            if let Some(server) = weak.upgrade() {
                monoio::spawn(server.serve(stream));
            }
        });
        *server.acceptor.borrow_mut() = Some(acceptor);
        Ok(server)
    }

    /// Begins a stop: from now on a request is begun only if it is expected to end in time. A stop
    /// that has begun goes on.
    pub fn begin_stop(&self) -> stopping::Times {
        let limits = &self.limits;
        self.services.stopping.begin(|begun_us| {
            let finish_us = begun_us + limits.shutdown_timeout_ms * clock::US_PER_MS;
            let stop = Stop {
                begun_us,
                leave_us: begun_us + limits.shutdown_grace_ms * clock::US_PER_MS,
                finish_us,
            };
            stopping::Times {
                stop,
                answer_us: finish_us.saturating_sub(ANSWER_MARGIN_US).max(begun_us),
            }
        })
    }

    /// Ends a stop at once: stops accepting connections, answers the requests that have no response
    /// yet, and returns the number of those that are still open.
    pub async fn cut(&self) -> usize {
        self.services.stopping.finish();
        self.stop();
        self.drain(self.services.kernel.now_us() + ANSWER_MARGIN_US)
            .await
    }

    /// Closes idle connections and waits until no request is received or served, at most until
    /// `deadline_us`.
    ///
    /// Returns the number of requests still open.
    pub async fn drain(&self, deadline_us: u64) -> usize {
        self.closing.begin();
        let kernel = &self.services.kernel;
        let is_busy = || self.receiving_requests.get() + self.open_requests.get() > 0;
        while is_busy() && kernel.now_us() < deadline_us {
            kernel.timer().sleep_us(DRAIN_POLL_US).await;
        }
        self.open_requests.get()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.closing.finish();
    }

    /// Stops accepting connections; those that were accepted are still served.
    pub fn stop(&self) {
        if let Some(acceptor) = self.acceptor.borrow().as_ref() {
            acceptor.finish();
        }
    }

    /// Stops accepting, and drops every connection together with the request it is serving.
    pub fn kill(&self) {
        self.closing.finish();
        if let Some(acceptor) = self.acceptor.borrow().as_ref() {
            acceptor.stop();
        }
        self.killed.notify_all();
    }
}

/// Returns the address and the number of open requests, for the status of the process.
impl Server {
    /// Returns the address that the server listens on, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that are being served.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }
}

/// Serves connections: one task each, one request at a time.
impl Server {
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let options = server::Options {
            head_bytes: self.limits.head_bytes,
            body_bytes: self.limits.body_bytes,
            write_timeout_ms: self.limits.caller_write_timeout_ms,
            ..server::Options::default()
        };
        let mut connection = server::Connection::new(stream, options);
        if self.open_connections.get() >= self.limits.connections {
            monoio::select! {
                () = self.refuse_connection(&mut connection) => {}
                () = self.killed.notified() => {}
            }
            return;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        monoio::select! {
            () = self.serve_requests(&mut connection) => {}
            () = self.killed.notified() => {}
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    /// Refuses the first request of a connection over the limit without reading it.
    async fn refuse_connection(&self, connection: &mut server::Connection) {
        let idle_ms = || REFUSED_IDLE_MS;
        if !idle::wait_for_request(connection, &self.closing, false, idle_ms).await {
            return;
        }
        let _receiving = Counted::new(&self.receiving_requests);
        let problem = problem::Problem::new(problem::Kind::Overloaded, "too many connections")
            .retry_after_ms(CONNECTIONS_RETRY_MS);
        let _ = connection.refuse(response::problem(&problem)).await;
    }

    async fn serve_requests(&self, connection: &mut server::Connection) {
        let mut is_kept = false;
        let idle_ms = || server::Options::default().idle_timeout_ms;
        while idle::wait_for_request(connection, &self.closing, is_kept, idle_ms).await {
            let receiving = Counted::new(&self.receiving_requests);
            let request = match connection
                .next_until(self.services.stopping.receive_due())
                .await
            {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) => {
                    if let Some(response) = response::for_read_error(&error) {
                        let _ = connection.respond(response).await;
                    }
                    return;
                }
            };
            drop(receiving);
            let open = Counted::new(&self.open_requests);
            let result = self.serve_request(connection, request).await;
            drop(open);
            if result.is_err() || !connection.keep_alive() {
                return;
            }
            is_kept = true;
        }
    }
}

/// Serves one request: authentication, then dispatch by path.
impl Server {
    async fn serve_request(
        &self,
        connection: &mut server::Connection,
        request: server::Request,
    ) -> Result<(), server::Error> {
        let path = request.head.uri.path().to_owned();
        let Some(account) = self.keys().account(&request.head.headers) else {
            let problem = problem::Problem::new(
                problem::Kind::Unauthorized,
                "the bearer key is missing or unknown",
            );
            let response = response::problem(&problem);
            return self.services.respond(connection, response).await;
        };
        let call = self.accept_call(account, &path, &request);
        if path == COMPLETIONS_PATH && request.head.method == http::Method::POST {
            completion::serve(&self.services, &call, connection, request).await
        } else if let Some(rest) = path.strip_prefix(SERVICES_PATH) {
            service_call::serve(&self.services, &call, connection, rest, request).await
        } else {
            let detail = format!("no route for {} {path}", request.head.method);
            let problem = problem::Problem::new(problem::Kind::NotFound, detail);
            let response = call.refuse(&self.services, problem);
            self.services.respond(connection, response).await
        }
    }

    /// Assigns the request its identifier and deadline and records that it was accepted.
    fn accept_call(
        &self,
        account: name::ClientAccount,
        path: &str,
        request: &server::Request,
    ) -> Call {
        let kernel = &self.services.kernel;
        self.sequence.set(self.sequence.get() + 1);
        let request_id = id::Request {
            incarnation: self.incarnation,
            sequence: self.sequence.get(),
        };
        let arrived_us = kernel.now_us();
        let deadline_ms = self.services.config.current().rules.limits.deadline_ms;
        let event = event::Event::new(event::Kind::RequestAccepted)
            .request(request_id)
            .with("client_account", account.as_str())
            .with("method", request.head.method.as_str())
            .with("path", path)
            .with("body_bytes", request.body.len() as u64);
        self.services.metrics.accepted.increment(1);
        Call {
            request_id,
            account,
            arrived_us,
            deadline_us: arrived_us + deadline_ms * clock::US_PER_MS,
            cause: Cell::new(kernel.note(event)),
        }
    }

    /// Returns the keys of the active configuration, read again if its version changed.
    fn keys(&self) -> Rc<auth::Keys> {
        let config = self.services.config.current();
        let mut keys = self.keys.borrow_mut();
        if keys.0 != config.version {
            *keys = (
                config.version,
                Rc::new(auth::Keys::from_register(&config.register)),
            );
        }
        Rc::clone(&keys.1)
    }
}
