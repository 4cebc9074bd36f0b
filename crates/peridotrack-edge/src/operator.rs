//! Operator API: health, readiness, metrics, status, timeline, configuration and budgets over HTTP.
//!
//! All requests are reads. Health, readiness and metrics need no key; the other paths require the
//! operators' bearer key.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use monoio::net::TcpStream;
use peridotrack_http::{listen, server};
use peridotrack_kernel::{Kernel, clock, timeline};
use peridotrack_member::message::State;
use peridotrack_types::{id, problem, settings};

use crate::{acceptor, auth, budget, caller, config, member, platform, route, usage};

/// Name of this service in the registry.
pub const SERVICE: &str = "operator";

/// HTTP server of the operator API.
pub struct Operator {
    kernel: Rc<Kernel>,
    settings: settings::Settings,
    incarnation: id::Incarnation,
    address: SocketAddr,
    state: Cell<State>,
    acceptor: RefCell<Option<Rc<acceptor::Acceptor>>>,
}

/// Starts and stops the server.
impl Operator {
    /// Listens for operators and returns the running server.
    pub fn bind(
        kernel: &Rc<Kernel>,
        incarnation: id::Incarnation,
        settings: settings::Settings,
    ) -> std::io::Result<Rc<Self>> {
        let listener = listen::bind(settings.operator_address)?;
        let address = listener.local_addr()?;
        let operator = Rc::new(Self {
            kernel: Rc::clone(kernel),
            settings,
            incarnation,
            address,
            state: Cell::new(State::Starting),
            acceptor: RefCell::default(),
        });
        let weak = Rc::downgrade(&operator);
        let acceptor = acceptor::Acceptor::spawn(listener, move |stream, _| {
            if let Some(operator) = weak.upgrade() {
                monoio::spawn(operator.serve(stream));
            }
        });
        *operator.acceptor.borrow_mut() = Some(acceptor);
        Ok(operator)
    }

    /// Stops accepting connections; open ones are closed after their next response.
    pub fn stop(&self) {
        if let Some(acceptor) = self.acceptor.borrow().as_ref() {
            acceptor.stop();
        }
    }
}

/// Returns the address and sets the state that is reported to operators.
impl Operator {
    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn is_stopped(&self) -> bool {
        self.acceptor
            .borrow()
            .as_ref()
            .is_some_and(|acceptor| acceptor.is_stopped())
    }

    /// Sets the reported state of the process; it is ready only while [`State::Serving`].
    pub fn set_state(&self, state: State) {
        self.state.set(state);
    }
}

/// Serves connections.
impl Operator {
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let options = server::Options {
            head_bytes: self.settings.limits.head_bytes,
            ..server::Options::default()
        };
        let mut connection = server::Connection::new(stream, options);
        loop {
            let response = match connection.next().await {
                Ok(Some(request)) => self.response_to(&request),
                Ok(None) => break,
                Err(error) => match caller::response::for_read_error(&error) {
                    Some(response) => response,
                    None => break,
                },
            };
            if connection.respond(response).await.is_err() || self.is_stopped() {
                break;
            }
        }
    }
}

/// Builds the responses.
impl Operator {
    fn response_to(&self, request: &server::Request) -> http::Response<Bytes> {
        let path = request.head.uri.path();
        if request.head.method != http::Method::GET {
            return not_found(path);
        }
        match path {
            "/healthz" => text(200, "ok\n"),
            "/readyz" => match self.state.get() {
                State::Serving => text(200, "ready\n"),
                _ => text(503, "not ready\n"),
            },
            "/metrics" => text(200, &self.kernel.meter().render()),
            _ if !auth::is_operator(
                &request.head.headers,
                &self.settings.operator_key_digest_sha256,
            ) =>
            {
                let detail = "the operators' bearer key is needed";
                let problem = problem::Problem::new(problem::Kind::Unauthorized, detail);
                caller::response::problem(&problem)
            }
            "/v1/status" => json(&self.status()),
            "/v1/timeline" => json(&self.timeline(request)),
            "/v1/config" => match self.find::<config::Configuration>(config::SERVICE) {
                Some(config) => json(&*config.current()),
                None => not_found(path),
            },
            "/v1/budgets" => match self.find::<budget::Budget>(budget::SERVICE) {
                Some(budget) => json(&budget.snapshot()),
                None => not_found(path),
            },
            _ => not_found(path),
        }
    }

    fn timeline(&self, request: &server::Request) -> timeline::Page {
        let after = request
            .head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .find_map(|pair| pair.strip_prefix("after=")?.parse().ok())
            .unwrap_or_default();
        timeline::Page {
            now_wall_us: self.kernel.clock().wall_us(),
            events: self.kernel.timeline().after(after),
        }
    }

    fn status(&self) -> serde_json::Value {
        let config = self.find::<config::Configuration>(config::SERVICE);
        let member = self.find::<member::Member>(member::SERVICE);
        let route = self.find::<route::Route>(route::SERVICE);
        let usage = self.find::<usage::Usage>(usage::SERVICE);
        let platform = self.find::<platform::Platform>(platform::SERVICE);
        let callers = self.find::<caller::Server>(caller::SERVICE);
        serde_json::json!({
            "vm": self.settings.vm,
            "incarnation": self.incarnation,
            "failure_domain": self.settings.failure_domain,
            "state": self.state.get(),
            "now_wall_ms": self.kernel.clock().wall_us() / clock::US_PER_MS,
            "config_version": config.map_or(0, |config| config.current().version),
            "is_platform_reachable": platform.is_some_and(|platform| platform.is_reachable()),
            "open_requests": callers.map_or(0, |callers| callers.open_requests()),
            "unflushed_usage_records": usage.map_or(0, |usage| usage.backlog_records()),
            "peers": member.map_or_else(Default::default, |member| member.report()),
            "backend_servers": route.map_or_else(Default::default, |route| route.report()),
        })
    }

    fn find<T: 'static>(&self, name: &'static str) -> Option<Rc<T>> {
        self.kernel.registry().find(name).ok()
    }
}

fn json(value: &impl serde::Serialize) -> http::Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => caller::response::json(200, body),
        Err(error) => text(500, &error.to_string()),
    }
}

fn text(status: u16, body: &str) -> http::Response<Bytes> {
    http::Response::builder()
        .status(status)
        .header("content-type", "text/plain; charset=utf-8")
        .body(Bytes::copy_from_slice(body.as_bytes()))
        .expect("the parts of a text response are valid")
}

fn not_found(path: &str) -> http::Response<Bytes> {
    let detail = format!("nothing is at {path}");
    caller::response::problem(&problem::Problem::new(problem::Kind::NotFound, detail))
}
