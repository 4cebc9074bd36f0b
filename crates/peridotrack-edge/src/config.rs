//! Configuration service: holds the active configuration and fetches newer versions.
//!
//! Newer versions come from the platform, which a few routers of each failure domain watch, or from
//! a peer that reports one. A configuration is applied only if it is valid and its version is
//! higher than that of the active one; peers can then fetch it from this router.

mod parts;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::{Rc, Weak},
};

use bytes::Bytes;
use parts::{Parts, Source};
use peridotrack_kernel::{Kernel, clock, event};
use peridotrack_member::{action, config as member_config};
use peridotrack_route::event::Event;
use peridotrack_types::{
    config::{self, store},
    rules,
};

use crate::{budget, member, peer, platform, route};

/// Name of this service in the registry.
pub const SERVICE: &str = "config";

/// Maximum time that one watch waits for a change, in milliseconds.
const WATCH_MS: u64 = 30_000;
/// Delay after a failed watch, and period at which a router checks whether it is a watcher, in
/// microseconds.
const WATCH_RETRY_US: u64 = clock::US_PER_S;

/// The active configuration, and its sources.
pub struct Configuration {
    kernel: Rc<Kernel>,
    platform: Rc<platform::Platform>,
    link: Rc<peer::Link>,
    member: Rc<member::Member>,
    route: Rc<route::Route>,
    budget: Rc<budget::Budget>,
    current: RefCell<Rc<config::Config>>,
    budgets: RefCell<Rc<rules::BudgetIndex>>,
    /// Content of the configuration's object, as sent to peers.
    object: RefCell<Bytes>,
    parts: Parts,
}

/// Starts the service.
impl Configuration {
    /// Starts without a configuration and begins to watch the platform.
    pub fn spawn(
        kernel: &Rc<Kernel>,
        platform: &Rc<platform::Platform>,
        link: &Rc<peer::Link>,
        member: &Rc<member::Member>,
        route: &Rc<route::Route>,
        budget: &Rc<budget::Budget>,
    ) -> Rc<Self> {
        let service = Rc::new(Self {
            kernel: Rc::clone(kernel),
            platform: Rc::clone(platform),
            link: Rc::clone(link),
            member: Rc::clone(member),
            route: Rc::clone(route),
            budget: Rc::clone(budget),
            current: RefCell::default(),
            budgets: RefCell::default(),
            object: RefCell::default(),
            parts: Parts::new(Rc::clone(platform), Rc::clone(link)),
        });
        monoio::spawn(watch(Rc::downgrade(&service)));
        service
    }
}

/// Returns the active configuration.
impl Configuration {
    /// Returns the active configuration; an empty one of version 0 before the first.
    pub fn current(&self) -> Rc<config::Config> {
        Rc::clone(&self.current.borrow())
    }
}

/// Returns the index of the budgets, which request handlers look up by client account.
impl Configuration {
    /// Returns the index of the budgets of the active configuration.
    pub fn budgets(&self) -> Rc<rules::BudgetIndex> {
        Rc::clone(&self.budgets.borrow())
    }
}

/// Exchanges configurations and their parts with peers.
impl Configuration {
    /// Sends the configuration's object to a peer if its version exceeds `above_version`.
    pub fn send_object(&self, peer: SocketAddr, above_version: u64) {
        if self.current.borrow().version > above_version {
            let content = self.object.borrow().to_vec();
            self.link.send(peer, &peer::Frame::Config { content });
        }
    }

    /// Sends a part of the configuration to a peer that requested it.
    pub fn send_part(&self, peer: SocketAddr, key: &str) {
        if let Some(content) = self.parts.get(key) {
            let frame = peer::Frame::ConfigPart {
                key: key.to_owned(),
                content: content.to_vec(),
            };
            self.link.send(peer, &frame);
        }
    }

    /// Loads the configuration whose object a peer sent, in a separate task.
    pub fn receive(self: &Rc<Self>, peer: SocketAddr, content: Vec<u8>) {
        let service = Rc::clone(self);
        monoio::spawn(async move {
            service.load(content.into(), Source::Peer(peer)).await;
        });
    }

    /// Passes a part that a peer sent to the tasks that requested it.
    pub fn receive_part(&self, key: &str, content: Vec<u8>) {
        self.parts.receive(key, &content.into());
    }
}

/// Loads, validates and applies configurations.
impl Configuration {
    /// Reports the backend servers that the platform lists as leaving to the routing service.
    pub fn backend_servers_leaving(&self, entries: &[platform::VmEntry]) {
        for entry in entries
            .iter()
            .filter(|entry| entry.state == platform::VmState::Leaving)
        {
            let backend = entry.name.as_str().into();
            self.route.handle(Event::Leaving { backend });
        }
    }

    /// Decodes a configuration's object, fetches its parts, and applies the configuration
    /// if it is newer.
    async fn load(self: &Rc<Self>, content: Bytes, source: Source) {
        match self.assemble(&content, source).await {
            Ok(Some(config)) => self.apply(config, content, source),
            Ok(None) => {}
            Err(reason) => self.refuse(&reason),
        }
    }

    /// Returns the configuration of an object; `None` if its version is the active one.
    async fn assemble(
        &self,
        content: &Bytes,
        source: Source,
    ) -> Result<Option<config::Config>, String> {
        let current = store::Current::parse(content).map_err(|error| error.to_string())?;
        let held_version = self.current.borrow().version;
        if current.version() < held_version {
            return Err(format!(
                "version {} is older than the active version {held_version}",
                current.version()
            ));
        }
        if current.version() == held_version {
            return Ok(None);
        }
        match current {
            store::Current::Whole(config) => Ok(Some(*config)),
            store::Current::Split(manifest) => self.parts.join(&manifest, source).await.map(Some),
        }
    }

    /// Applies a configuration if it is valid and newer than the active one.
    fn apply(&self, config: config::Config, object: Bytes, source: Source) {
        if self.kernel.is_stopped() {
            return;
        }
        let problems = config::check(&config.register, &config.rules);
        if let Some(problem) = problems.first() {
            self.refuse(&format!("{}: {}", problem.path, problem.message));
            return;
        }
        let version = config.version;
        match self.member.configure(version) {
            member_config::Outcome::Accepted { previous_version } => {
                self.route.configure(&config.register, &config.rules);
                let budgets = config.rules.budgets.iter();
                self.budget.configure(
                    version,
                    budgets.map(|rule| (rule.name.clone(), rule.purchased_tokens)),
                );
                *self.budgets.borrow_mut() = Rc::new(rules::BudgetIndex::new(&config.rules));
                *self.current.borrow_mut() = Rc::new(config);
                *self.object.borrow_mut() = object;
                let event = event::Event::new(event::Kind::ConfigApplied)
                    .with("version", version)
                    .with("previous_version", previous_version)
                    .with("source", source.name());
                self.kernel.note(event);
            }
            member_config::Outcome::Unchanged => {}
            member_config::Outcome::Refused { held_version } => {
                self.refuse(&format!("a newer version, {held_version}, is active"));
            }
        }
    }

    fn refuse(&self, reason: &str) {
        let event = event::Event::new(event::Kind::ConfigRefused);
        self.kernel.note(event.with("reason", reason));
    }

    async fn load_platform_object(self: &Rc<Self>, object: &platform::Object) {
        self.load(object.body.clone(), Source::Platform).await;
        if let Ok(current) = store::Current::parse(&object.body) {
            let version = current.version();
            self.member
                .handle(action::Event::PlatformConfig { version });
        }
    }
}

/// Fetches the configuration from the platform, in a separate task.
pub fn fetch(service: Rc<Configuration>) {
    monoio::spawn(async move {
        match service.platform.read(store::CURRENT_KEY).await {
            Ok(Some(object)) => service.load_platform_object(&object).await,
            Ok(None) => {}
            Err(_) => service.member.handle(action::Event::PlatformUnreachable),
        }
    });
}

/// Watches the platform's configuration while this router is a watcher of its failure domain.
async fn watch(service: Weak<Configuration>) {
    let mut seen_version = 0;
    while let Some(service) = service
        .upgrade()
        .filter(|service| !service.kernel.is_stopped())
    {
        if !service.member.is_watcher() {
            service.kernel.timer().sleep_us(WATCH_RETRY_US).await;
            continue;
        }
        match service
            .platform
            .watch(store::CURRENT_KEY, seen_version, WATCH_MS)
            .await
        {
            Ok(Some(object)) => {
                seen_version = object.version;
                service.load_platform_object(&object).await;
            }
            Ok(None) => {}
            Err(_) => service.kernel.timer().sleep_us(WATCH_RETRY_US).await,
        }
    }
}
