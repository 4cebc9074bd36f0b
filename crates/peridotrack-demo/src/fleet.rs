//! The fleet of the demonstration: stand-ins and routers, all in this process.
//!
//! [`Fleet::spawn`] starts it. The other methods of [`Fleet`] read the state of the routers, and read
//! and write the platform's objects as an operator does.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use peridotrack_budget::ledger;
use peridotrack_edge::{auth, budget, daemon};
use peridotrack_http::client;
use peridotrack_kernel::log;
use peridotrack_standin::{engine, platform, service};
use peridotrack_types::{config, name, register, rules, settings};

/// Name of the model that every engine serves.
pub const MODEL: &str = "review";
/// Name of the plain service.
pub const SERVICE: &str = "registry";
/// Names of the failure domains; the second one is partitioned from the platform for a while.
pub const DOMAINS: [&str; 2] = ["java-west", "java-east"];
/// Index of the platform's listener that operators use. The listeners before it serve one failure
/// domain each, so that a domain can be partitioned from the platform.
const OPERATOR_LISTENER: usize = 2;
/// Number of routers in each failure domain.
const ROUTERS_PER_DOMAIN: usize = 2;
/// Number of engines in each failure domain.
const ENGINES_PER_DOMAIN: usize = 2;
/// Number of requests that a backend server runs concurrently.
const SLOTS: u32 = 32;
/// Delay of an engine before each token, in milliseconds.
const TOKEN_DELAY_MS: u64 = 3;
/// Key with which the routers authenticate to each other.
const PEER_KEY: &str = "demonstration-peer-key-0123456789";
/// Bearer key of the operator.
const OPERATOR_KEY: &str = "demonstration-operator-key";

/// A client account and its budget.
pub struct Account {
    /// Name of the account in the register.
    pub name: &'static str,
    /// Bearer key that callers of the account send.
    pub key: &'static str,
    /// Name of the budget that the account spends from.
    pub budget: &'static str,
    /// Tokens purchased for the budget at the start.
    pub purchased_tokens: u64,
}

/// Client accounts: the budget of the first one never runs out, that of the second one does.
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
    /// Running router, on the thread of the demonstration.
    pub daemon: daemon::Daemon,
    /// Index of its failure domain in [`DOMAINS`].
    pub domain: usize,
    /// Whether the script has killed it.
    pub is_killed: bool,
}

/// The running stand-ins and routers; killed routers included.
pub struct Fleet {
    /// Stand-in for the platform.
    pub platform: platform::Handle,
    /// Stand-ins for the engines, ordered by failure domain.
    pub engines: Vec<engine::Handle>,
    /// Stand-ins for the servers of the plain service, one per failure domain.
    pub services: Vec<service::Handle>,
    /// Routers, ordered by failure domain.
    pub routers: Vec<Router>,
    /// Configuration that the operator wrote last.
    pub config: config::Config,
    pool: client::Pool,
}

/// Starting the fleet.
impl Fleet {
    /// Starts the stand-ins, writes the first configuration, starts the routers and waits until each
    /// one is ready.
    pub async fn spawn() -> Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = vec![any_port; OPERATOR_LISTENER + 1];
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
                    listen: any_port,
                    control,
                })
            })
            .collect::<std::io::Result<_>>()?;
        let services: Vec<_> = DOMAINS
            .iter()
            .map(|_| service::spawn(&service::Options::default()))
            .collect::<std::io::Result<_>>()?;
        let config = initial_config(&engines, &services);
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
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let seeds = self
            .routers
            .iter()
            .map(|router| router.daemon.peer_address())
            .take(2);
        let settings = settings::Settings {
            vm: format!("{}-{}", DOMAINS[domain], number + 1).into(),
            failure_domain: DOMAINS[domain].into(),
            caller_address: any_port,
            operator_address: any_port,
            peer_address: any_port,
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

/// Reading the state of routers and of the platform.
impl Fleet {
    /// Returns the routers that have not been killed.
    pub fn live_routers(&self) -> impl Iterator<Item = &Router> {
        self.routers.iter().filter(|router| !router.is_killed)
    }

    /// Returns the tokens of a budget that are available to a router's failure domain now: those that
    /// its live routers hold, and, unless the domain is partitioned from the platform, those that no
    /// router holds.
    pub async fn reachable_tokens(&self, router: usize, budget: &str, is_partitioned: bool) -> u64 {
        let domain = self.routers[router].domain;
        let held_tokens: u64 = self
            .live_routers()
            .filter(|router| router.domain == domain)
            .flat_map(|router| router.daemon.budget().snapshot())
            .filter(|report| report.budget.as_str() == budget)
            .map(|report| report.available_tokens)
            .sum();
        let left_tokens = if is_partitioned {
            0
        } else {
            self.left_tokens(budget).await
        };
        held_tokens + left_tokens
    }

    /// Returns the tokens of a budget that no router holds, as the ledger states; 0 if the ledger cannot
    /// be read or the budget was never drawn on.
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

    /// Returns the body of an object of the platform; `None` if the status is not 200.
    pub async fn read(&self, key: &str) -> Result<Option<Bytes>> {
        let response = self
            .send_as_operator("GET", &format!("/v1/objects/{key}"), &[], Bytes::new())
            .await?;
        Ok((response.status() == 200).then(|| response.into_body()))
    }

    /// Returns the keys of all objects with a prefix, following the pages of the list.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        let mut keys: Vec<String> = Vec::new();
        loop {
            let after = keys
                .last()
                .map(|key| format!("&after={key}"))
                .unwrap_or_default();
            let path = format!("/v1/objects?prefix={prefix}{after}");
            let response = self
                .send_as_operator("GET", &path, &[], Bytes::new())
                .await?;
            let page: serde_json::Value = serde_json::from_slice(response.body())?;
            let items = page["items"].as_array().cloned().unwrap_or_default();
            let found = items
                .iter()
                .filter_map(|item| item["key"].as_str().map(str::to_owned));
            let previous_len = keys.len();
            keys.extend(found);
            if keys.len() == previous_len {
                return Ok(keys);
            }
        }
    }
}

/// Changing the configuration.
impl Fleet {
    /// Writes [`Self::config`] if the object still has the version `expected`, or does not exist yet if
    /// that is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition fails or the platform cannot be reached.
    pub async fn write_config(&self, expected: Option<u64>) -> Result<()> {
        let condition = match expected {
            Some(version) => ("if-match", format!("\"{version}\"")),
            None => ("if-none-match", "*".to_owned()),
        };
        let body = serde_json::to_vec(&self.config)?;
        let response = self
            .send_as_operator(
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

    /// Sets the purchased tokens of a budget in a new configuration version.
    pub async fn top_up(&mut self, budget: &str, purchased_tokens: u64) -> Result<()> {
        let response = self
            .send_as_operator("GET", "/v1/objects/config/current", &[], Bytes::new())
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

    async fn send_as_operator(
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

fn initial_config(engines: &[engine::Handle], services: &[service::Handle]) -> config::Config {
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
            lifetime: register::Lifetime::default(),
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
            lifetime: register::Lifetime::default(),
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
