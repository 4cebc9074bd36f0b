//! Holds the configuration in force and fetches newer ones.

use std::{cell::RefCell, rc::Rc};

use peridotrack_kernel::{Kernel, clock, event};
use peridotrack_member::{action, config as held};
use peridotrack_route::event::Event;
use peridotrack_types::config;

use crate::{budget, member, peer, platform, route};

/// Name of this service in the registry.
pub const SERVICE: &str = "config";

/// Key of the configuration's object.
pub const CONFIG_KEY: &str = "config/current";

/// Longest wait of one watch, in milliseconds.
const WATCH_MS: u64 = 30_000;
/// Wait after a failed watch and between looks whether to watch, in microseconds.
const WATCH_RETRY_US: u64 = clock::US_PER_S;

/// Holds the configuration in force.
pub struct Configuration {
    kernel: Rc<Kernel>,
    platform: Rc<platform::Platform>,
    link: Rc<peer::Link>,
    member: Rc<member::Member>,
    route: Rc<route::Route>,
    budget: Rc<budget::Budget>,
    current: RefCell<Rc<config::Config>>,
}

/// Construction.
impl Configuration {
    /// Starts without a configuration.
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
        });
        monoio::spawn(watch(Rc::downgrade(&service)));
        service
    }
}

/// Access.
impl Configuration {
    /// Returns the configuration in force; version 0 if there is none.
    pub fn current(&self) -> Rc<config::Config> {
        Rc::clone(&self.current.borrow())
    }
}

/// Inputs.
impl Configuration {
    /// Sends the configuration in force to a peer that holds an older one.
    pub fn answer(&self, address: std::net::SocketAddr, above_version: u64) {
        let current = self.current();
        if current.version <= above_version {
            return;
        }
        if let Ok(json) = serde_json::to_string(&*current) {
            self.link.send(address, &peer::Frame::Config { json });
        }
    }

    /// Takes a configuration that a peer sent.
    pub fn receive(&self, json: &str) {
        match serde_json::from_str(json) {
            Ok(config) => self.apply(config, "peer"),
            Err(error) => self.refuse(0, &error.to_string()),
        }
    }

    /// Tells the router machine which backend servers the platform lists as leaving.
    pub fn backend_servers_leaving(&self, entries: &[platform::VmEntry]) {
        for entry in entries
            .iter()
            .filter(|entry| entry.state == platform::VmState::Leaving)
        {
            let backend = entry.name.as_str().into();
            self.route.handle(Event::Leaving { backend });
        }
    }

    /// Puts a configuration in force if it is newer than the one held.
    fn apply(&self, config: config::Config, source: &str) {
        let version = config.version;
        match self.member.configure(version) {
            held::Outcome::Accepted { previous_version } => {
                self.route.configure(&config);
                self.budget.configure(&config);
                *self.current.borrow_mut() = Rc::new(config);
                let event = event::Event::new(event::Kind::ConfigApplied)
                    .with("version", version)
                    .with("previous_version", previous_version)
                    .with("source", source);
                self.kernel.note(event);
            }
            held::Outcome::Unchanged => {}
            held::Outcome::Refused { held_version } => {
                self.refuse(version, &format!("version {held_version} is in force"));
            }
        }
    }

    fn refuse(&self, version: u64, reason: &str) {
        let event = event::Event::new(event::Kind::ConfigRefused)
            .with("version", version)
            .with("reason", reason);
        self.kernel.note(event);
    }

    fn take_object(&self, object: &platform::Object) {
        match serde_json::from_slice::<config::Config>(&object.body) {
            Ok(config) => {
                let version = config.version;
                self.apply(config, "platform");
                self.member
                    .handle(action::Event::PlatformConfig { version });
            }
            Err(error) => self.refuse(object.version, &error.to_string()),
        }
    }
}

/// Reads the platform's configuration in a task of its own.
pub fn fetch(service: Rc<Configuration>) {
    monoio::spawn(async move {
        match service.platform.read(CONFIG_KEY).await {
            Ok(Some(object)) => service.take_object(&object),
            Ok(None) => {}
            Err(_) => service.member.handle(action::Event::PlatformUnreachable),
        }
    });
}

/// Watches the platform's configuration while this router is a watcher of its domain.
async fn watch(service: std::rc::Weak<Configuration>) {
    let mut seen_version = 0;
    while let Some(service) = service.upgrade() {
        if !service.member.is_watcher() {
            service.kernel.timer().sleep_us(WATCH_RETRY_US).await;
            continue;
        }
        match service
            .platform
            .watch(CONFIG_KEY, seen_version, WATCH_MS)
            .await
        {
            Ok(Some(object)) => {
                seen_version = object.version;
                service.take_object(&object);
            }
            Ok(None) => {}
            Err(_) => service.kernel.timer().sleep_us(WATCH_RETRY_US).await,
        }
    }
}
