//! Fleet under test: routers as child processes, and stand-ins on the test's runtime.
//!
//! [`spawn`] starts everything and writes a configuration with one client account, one budget, one
//! model and one plain service.

use std::{io, net::SocketAddr, path::PathBuf};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use peridotrack_http::client;
use peridotrack_types::{
    config::{Config, store},
    name, register, rules,
};

use crate::{
    engine,
    harness::{
        http::fetch,
        process,
        router::{self, Router},
    },
    platform, service,
};

/// Bearer key of the fleet's only client account.
pub const CALLER_KEY: &str = "caller-of-the-test";
/// Name of the client account.
pub const CLIENT_ACCOUNT: &str = "account";
/// Name of the budget that the client account draws on.
pub const BUDGET: &str = "budget";
/// Name of the model served by every engine.
pub const MODEL: &str = "model";
/// Name of the plain service. Paths under `/lookup` are idempotent, all others are not.
pub const SERVICE: &str = "desk";
/// Slots that the configuration states for each backend server.
const SLOTS: u32 = 64;

/// Size of a fleet. Counts are per failure domain.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the router daemon's program.
    pub program: PathBuf,
    /// Number of failure domains; the platform has one listener for each.
    pub failure_domains: usize,
    /// Routers per failure domain.
    pub routers: usize,
    /// Engines per failure domain.
    pub engines: usize,
    /// Servers of the plain service per failure domain.
    pub services: usize,
    /// Purchased tokens of the only budget.
    pub purchased_tokens: u64,
}

/// Reason why a fleet could not be started or configured.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in could not listen.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// A router could not be started or did not become ready.
    #[error(transparent)]
    Router(#[from] process::Error),
    /// An HTTP exchange with the platform failed while the configuration was written.
    #[error("cannot write the configuration: {0}")]
    Exchange(#[from] client::Error),
    /// The platform refused the object that makes the configuration current.
    #[error("the platform refused the configuration with status {0}")]
    Refused(StatusCode),
    /// The configuration could not be encoded into objects of the platform.
    #[error(transparent)]
    Encode(#[from] store::Error),
}

/// A running fleet; dropping it kills every router and closes every stand-in.
pub struct Fleet {
    /// Handle of the platform, with one listener per failure domain.
    pub platform: platform::Handle,
    /// Engines, ordered by failure domain.
    pub engines: Vec<engine::Handle>,
    /// Servers of the plain service, ordered by failure domain.
    pub services: Vec<service::Handle>,
    /// Routers, ordered by failure domain.
    pub routers: Vec<Router>,
    config: Config,
    object_version: Option<u64>,
}

/// Starts a fleet and waits until every router serves callers.
pub async fn spawn(options: &Options) -> Result<Fleet, Error> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::spawn(&platform::Options {
        listen: vec![any; options.failure_domains],
        ..platform::Options::default()
    })?;
    let mut fleet = Fleet {
        platform,
        engines: Vec::new(),
        services: Vec::new(),
        routers: Vec::new(),
        config: Config::default(),
        object_version: None,
    };
    fleet.config.rules = rules(options.purchased_tokens);
    fleet.config.register.client_accounts = vec![register::ClientAccount {
        name: name::ClientAccount::from(CLIENT_ACCOUNT),
        key_digests_sha256: vec![router::digest(CALLER_KEY)],
    }];
    for index in 0..options.failure_domains {
        fleet.add_failure_domain(index, options)?;
    }
    fleet.apply(|_| ()).await?;
    for index in 0..options.failure_domains {
        fleet.add_routers(index, options).await?;
    }
    for router in &fleet.routers {
        router.ready().await?;
    }
    Ok(fleet)
}

/// Changes the configuration and starts the members of the fleet.
impl Fleet {
    /// Changes the configuration, writes it as the next version and returns that version. Routers
    /// receive it through their watches.
    pub async fn apply(&mut self, change: impl FnOnce(&mut Config)) -> Result<u64, Error> {
        change(&mut self.config);
        self.config.version += 1;
        let encoded = store::encode(&self.config)?;
        for part in encoded.parts {
            let put = put(&part.key, None, part.content);
            fetch(self.platform.address(), put).await?;
        }
        let put = put(store::CURRENT_KEY, self.object_version, encoded.current);
        let response = fetch(self.platform.address(), put).await?;
        if response.status() != StatusCode::OK {
            return Err(Error::Refused(response.status()));
        }
        self.object_version = version(&response);
        Ok(self.config.version)
    }

    fn add_failure_domain(&mut self, index: usize, options: &Options) -> Result<(), Error> {
        let failure_domain = name::FailureDomain::from(failure_domain(index));
        let register = &mut self.config.register;
        register.failure_domains.push(register::FailureDomain {
            name: failure_domain.clone(),
            region: "region".to_owned(),
        });
        for number in 0..options.engines {
            let engine = engine::spawn(&engine::Options::default())?;
            register.engines.push(register::Engine {
                name: name::BackendServer::from(format!("engine-{index}-{number}")),
                failure_domain: failure_domain.clone(),
                address: engine.address(),
                models: vec![name::Model::from(MODEL)],
                slots: SLOTS,
                fencing: register::Fencing::Ignored,
                lifetime: register::Lifetime::default(),
            });
            self.engines.push(engine);
        }
        for number in 0..options.services {
            let service = service::spawn(&service::Options::default())?;
            register.services.push(register::ServiceServer {
                name: name::BackendServer::from(format!("service-{index}-{number}")),
                service: name::Service::from(SERVICE),
                failure_domain: failure_domain.clone(),
                address: service.address(),
                slots: SLOTS,
                lifetime: register::Lifetime::default(),
            });
            self.services.push(service);
        }
        Ok(())
    }

    async fn add_routers(&mut self, index: usize, options: &Options) -> Result<(), Error> {
        let platform = self.platform.addresses()[index];
        for number in 0..options.routers {
            let seeds: Vec<_> = self
                .routers
                .iter()
                .map(|other| other.peer_address)
                .collect();
            let vm = format!("vm-{index}-{number}");
            let mut settings = router::settings(&vm, &failure_domain(index), platform, &seeds);
            settings.limits.shutdown_grace_ms = 0;
            let router = router::spawn(&options.program, &settings).await?;
            self.routers.push(router);
        }
        Ok(())
    }
}

/// Sums counters over all stand-ins of a kind.
impl Fleet {
    /// Returns the tokens that all engines generated.
    pub fn generated_tokens(&self) -> u64 {
        let tokens = |engine: &engine::Handle| engine.counters().tokens;
        self.engines.iter().map(tokens).sum()
    }

    /// Returns the runs that all servers of the plain service counted.
    pub fn service_runs(&self) -> u64 {
        let runs = |service: &service::Handle| service.counters().runs;
        self.services.iter().map(runs).sum()
    }
}

/// Returns a chat completion request of the client account.
///
/// # Panics
///
/// Never: the request consists of constants and JSON.
pub fn chat(content: &str, max_tokens: u64, stream: bool) -> Request<Bytes> {
    let body = engine::chat::Request {
        model: MODEL.to_owned(),
        messages: vec![engine::chat::Message::user(content)],
        max_tokens: Some(max_tokens),
        stream,
        stream_options: engine::chat::StreamOptions {
            include_usage: true,
        },
        priority: 0,
    };
    let body = serde_json::to_vec(&body).expect("the request has string keys only");
    Request::post("/v1/chat/completions")
        .header(header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .expect("the head is valid")
}

/// Returns a request of the client account to the plain service.
///
/// # Panics
///
/// If `path` or `key` is not valid in a request's head.
pub fn call(path: &str, key: Option<&str>) -> Request<Bytes> {
    let mut builder = Request::post(format!("/v1/services/{SERVICE}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"));
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Bytes::new()).expect("the head is valid")
}

fn failure_domain(index: usize) -> String {
    format!("domain-{index}")
}

fn rules(purchased_tokens: u64) -> rules::Rules {
    rules::Rules {
        budgets: vec![rules::Budget {
            name: name::Budget::from(BUDGET),
            purchased_tokens,
            client_accounts: vec![name::ClientAccount::from(CLIENT_ACCOUNT)],
            models: Vec::new(),
        }],
        routes: vec![rules::Route {
            service: name::Service::from(SERVICE),
            path_prefix: "/lookup".to_owned(),
            idempotent: true,
        }],
        ..rules::Rules::default()
    }
}

fn put(key: &str, expected: Option<u64>, content: Vec<u8>) -> Request<Bytes> {
    let builder = Request::put(format!("/v1/objects/{key}"));
    let builder = match expected {
        Some(version) => builder.header(header::IF_MATCH, format!("\"{version}\"")),
        None => builder.header(header::IF_NONE_MATCH, "*"),
    };
    builder.body(content.into()).expect("the head is valid")
}

fn version(response: &Response<Bytes>) -> Option<u64> {
    let tag = response.headers().get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
