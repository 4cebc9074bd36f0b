//! Starts the stand-ins and the routers.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use peridotrack_budget::ledger;
use peridotrack_edge::{auth, budget, daemon};
use peridotrack_http::client;
use peridotrack_kernel::log;
use peridotrack_standin::{engine, platform, service};
use peridotrack_types::{config, name, register, rules, settings};

/// Model that every engine serves.
pub const MODEL: &str = "review";
/// Plain service.
pub const SERVICE: &str = "registry";
/// Failure domains; the second is cut off for a while.
pub const DOMAINS: [&str; 2] = ["java-west", "java-east"];
/// Index of the platform's listener for operators.
const OPERATOR_LISTENER: usize = 2;
/// Routers of each failure domain.
const ROUTERS_PER_DOMAIN: usize = 2;
/// Engines of each failure domain.
const ENGINES_PER_DOMAIN: usize = 2;
/// Requests that each backend server takes at once.
const SLOTS: u32 = 32;
/// Time between two tokens of an engine, in milliseconds.
const TOKEN_DELAY_MS: u64 = 3;
/// Key shared by the routers.
const PEER_KEY: &str = "demonstration-peer-key-0123456789";
/// Key of the operators.
const OPERATOR_KEY: &str = "demonstration-operator-key";

/// A client account with its key and budget.
pub struct Account {
    /// Name of the account.
    pub name: &'static str,
    /// Bearer key.
    pub key: &'static str,
    /// Budget that the account spends from.
    pub budget: &'static str,
    /// Tokens purchased at the start.
    pub purchased_tokens: u64,
}

/// The client accounts: one with tokens to spare, one that runs out.
pub const ACCOUNTS: [Account; 2] = [
    Account {
        name: "penerbit-besar",
        key: "key-large",
        budget: "reviews",
        purchased_tokens: 9_000_000,
    },
    Account {
        name: "penerbit-kecil",
        key: "key-small",
        budget: "trial",
        purchased_tokens: 12_000,
    },
];

/// A router and its failure domain.
pub struct Router {
    /// The running router.
    pub daemon: daemon::Daemon,
    /// Index of its failure domain.
    pub domain: usize,
    /// Whether it was killed.
    pub is_killed: bool,
}

/// The running fleet.
pub struct Fleet {
    /// The platform's stand-in.
    pub platform: platform::Handle,
    /// The engines' stand-ins.
    pub engines: Vec<engine::Handle>,
    /// The plain service's stand-ins.
    pub services: Vec<service::Handle>,
    /// The routers.
    pub routers: Vec<Router>,
    /// The configuration that the operator wrote last.
    pub config: config::Config,
    pool: client::Pool,
}

/// Construction.
impl Fleet {
    /// Starts everything and waits until each router is ready.
    pub async fn spawn() -> Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = vec![any; OPERATOR_LISTENER + 1];
        let platform = platform::spawn(&platform::Options {
            listen,
            ..Default::default()
        })?;
        let control = engine::Control {
            token_delay_ms: Some(TOKEN_DELAY_MS),
            ..Default::default()
        };
        let engines: Vec<_> = (0..DOMAINS.len() * ENGINES_PER_DOMAIN)
            .map(|_| {
                engine::spawn(&engine::Options {
                    listen: any,
                    control,
                })
            })
            .collect::<std::io::Result<_>>()?;
        let services: Vec<_> = DOMAINS
            .iter()
            .map(|_| service::spawn(&service::Options::default()))
            .collect::<std::io::Result<_>>()?;
        let config = configuration(&engines, &services);
        let pool = client::Pool::new(client::Options::default(), 1);
        let mut fleet = Self {
            platform,
            engines,
            services,
            routers: Vec::new(),
            config,
            pool,
        };
        fleet.write_config(None).await?;
        for domain in 0..DOMAINS.len() {
            for number in 0..ROUTERS_PER_DOMAIN {
                fleet.spawn_router(domain, number)?;
            }
        }
        for router in &fleet.routers {
            router.daemon.ready().await;
        }
        Ok(fleet)
    }

    fn spawn_router(&mut self, domain: usize, number: usize) -> Result<()> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let seeds = self
            .routers
            .iter()
            .map(|router| router.daemon.peer_address())
            .take(2);
        let settings = settings::Settings {
            vm: format!("{}-{}", DOMAINS[domain], number + 1).into(),
            failure_domain: DOMAINS[domain].into(),
            caller_address: any,
            operator_address: any,
            peer_address: any,
            platform_address: self.platform.addresses()[domain],
            seed_addresses: seeds.collect(),
            operator_key_digest_sha256: hex::encode(auth::digest(OPERATOR_KEY)),
            peer_key: PEER_KEY.to_owned(),
            limits: settings::Limits {
                shutdown_grace_ms: 100,
                ..Default::default()
            },
        };
        let daemon = daemon::Daemon::spawn(settings, log::Output::Off)
            .wrap_err("start a router of the demonstration")?;
        self.routers.push(Router {
            daemon,
            domain,
            is_killed: false,
        });
        Ok(())
    }
}

/// Access.
impl Fleet {
    /// Returns the routers that are not killed.
    pub fn live_routers(&self) -> impl Iterator<Item = &Router> {
        self.routers.iter().filter(|router| !router.is_killed)
    }

    /// Returns the tokens that a router's failure domain can reach now.
    pub async fn reachable_tokens(&self, router: usize, budget: &str, is_cut: bool) -> u64 {
        let domain = self.routers[router].domain;
        let held_tokens: u64 = self
            .live_routers()
            .filter(|router| router.domain == domain)
            .flat_map(|router| router.daemon.budget().snapshot())
            .filter(|report| report.budget.as_str() == budget)
            .map(|report| report.available_tokens)
            .sum();
        let left_tokens = if is_cut {
            0
        } else {
            self.left_tokens(budget).await
        };
        held_tokens + left_tokens
    }

    /// Returns the tokens of a budget that no router holds.
    async fn left_tokens(&self, budget: &str) -> u64 {
        let budget = name::Budget::from(budget);
        let shards = peridotrack_budget::options::Options::default().shard_count;
        let key = budget::ledger_key(ledger::shard_of(&budget, shards));
        let Ok(Some(body)) = self.read(&key).await else {
            return 0;
        };
        let shard: Option<ledger::Shard> = serde_json::from_slice(&body).ok();
        shard
            .and_then(|shard| shard.totals(&budget))
            .map_or(0, |totals| totals.left_tokens)
    }

    /// Reads an object as the operator.
    pub async fn read(&self, key: &str) -> Result<Option<Bytes>> {
        let response = self
            .call("GET", &format!("/v1/objects/{key}"), &[], Bytes::new())
            .await?;
        Ok((response.status() == 200).then(|| response.into_body()))
    }

    /// Lists the keys with a prefix as the operator.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        let mut keys: Vec<String> = Vec::new();
        loop {
            let after = keys
                .last()
                .map(|key| format!("&after={key}"))
                .unwrap_or_default();
            let path = format!("/v1/objects?prefix={prefix}{after}");
            let response = self.call("GET", &path, &[], Bytes::new()).await?;
            let page: serde_json::Value = serde_json::from_slice(response.body())?;
            let items = page["items"].as_array().cloned().unwrap_or_default();
            let found = items
                .iter()
                .filter_map(|item| item["key"].as_str().map(str::to_owned));
            let before = keys.len();
            keys.extend(found);
            if keys.len() == before {
                return Ok(keys);
            }
        }
    }
}

/// Mutation.
impl Fleet {
    /// Writes the configuration as the operator; `expected` is the object's version.
    pub async fn write_config(&self, expected: Option<u64>) -> Result<()> {
        let condition = match expected {
            Some(version) => ("if-match", format!("\"{version}\"")),
            None => ("if-none-match", "*".to_owned()),
        };
        let body = serde_json::to_vec(&self.config)?;
        let response = self
            .call(
                "PUT",
                "/v1/objects/config/current",
                &[condition],
                body.into(),
            )
            .await?;
        if response.status() != 200 {
            bail!("write the configuration: status {}", response.status());
        }
        Ok(())
    }

    /// Raises what was purchased for a budget.
    pub async fn top_up(&mut self, budget: &str, purchased_tokens: u64) -> Result<()> {
        let response = self
            .call("GET", "/v1/objects/config/current", &[], Bytes::new())
            .await?;
        let version = response
            .headers()
            .get("etag")
            .and_then(|value| value.to_str().ok()?.trim_matches('"').parse().ok())
            .ok_or_else(|| eyre::eyre!("the configuration has no version"))?;
        self.config.version += 1;
        for rule in &mut self.config.rules.budgets {
            if rule.name.as_str() == budget {
                rule.purchased_tokens = purchased_tokens;
            }
        }
        self.write_config(Some(version)).await
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<http::Response<Bytes>> {
        let mut request = http::Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let address = self.platform.addresses()[OPERATOR_LISTENER];
        Ok(self.pool.fetch(address, request.body(body)?).await?)
    }
}

fn configuration(engines: &[engine::Handle], services: &[service::Handle]) -> config::Config {
    let engines = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| register::Engine {
            name: format!("engine-{}", index + 1).into(),
            failure_domain: DOMAINS[index / ENGINES_PER_DOMAIN].into(),
            address: engine.address(),
            models: vec![MODEL.into()],
            slots: SLOTS,
            fencing: register::Fencing::Ignored,
        });
    let services = services
        .iter()
        .enumerate()
        .map(|(index, service)| register::ServiceServer {
            name: format!("{SERVICE}-{}", index + 1).into(),
            service: SERVICE.into(),
            failure_domain: DOMAINS[index].into(),
            address: service.address(),
            slots: SLOTS,
        });
    let register = register::Register {
        failure_domains: DOMAINS
            .iter()
            .map(|domain| register::FailureDomain {
                name: (*domain).into(),
                region: "java".to_owned(),
            })
            .collect(),
        client_accounts: ACCOUNTS
            .iter()
            .map(|account| register::ClientAccount {
                name: account.name.into(),
                key_digests_sha256: vec![hex::encode(auth::digest(account.key))],
            })
            .collect(),
        engines: engines.collect(),
        services: services.collect(),
    };
    let rules = rules::Rules {
        budgets: ACCOUNTS
            .iter()
            .map(|account| rules::Budget {
                name: account.budget.into(),
                purchased_tokens: account.purchased_tokens,
                client_accounts: vec![account.name.into()],
                models: Vec::new(),
            })
            .collect(),
        routes: vec![rules::Route {
            service: SERVICE.into(),
            path_prefix: "/lookup".to_owned(),
            idempotent: true,
        }],
        ..Default::default()
    };
    config::Config {
        version: 1,
        register,
        rules,
    }
}
