//! The state machine that keeps and looks up where streams began.

use std::collections::{BTreeSet, VecDeque};

use peridotrack_types::{collections::HashMap, id, name};

use crate::{
    home::{self, Routers},
    key::Key,
    message::{Known, Message},
    record::{Record, Records, Versions},
};

/// Tunable parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Number of homes that are told of a stream.
    pub homes: usize,
    /// The same in a small fleet, in which the loss of most routers is likelier and a message to each
    /// home costs little.
    pub homes_of_small: usize,
    /// Maximum number of routers of a small fleet.
    pub small_routers: usize,
    /// Number of homes in a fleet of medium size, in which the loss of several routers at once is
    /// likelier than that of as many homes in a large one.
    pub homes_of_medium: usize,
    /// Maximum number of routers of a fleet of medium size.
    pub medium_routers: usize,
    /// Time for which a home may take to answer, in microseconds.
    pub timeout_us: u64,
    /// Time after which a home that has not answered is asked once more, in microseconds.
    pub repeat_us: u64,
    /// Time for which a record is kept, in microseconds: longer than a client takes for all attempts.
    pub retention_us: u64,
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum number of backend servers whose software version is remembered.
    pub max_servers: usize,
    /// Number of queries of others that are remembered, to recognize those that are repeated.
    pub max_heard: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            homes: 2,
            homes_of_small: 6,
            small_routers: 16,
            homes_of_medium: 4,
            medium_routers: 200,
            timeout_us: 200_000,
            repeat_us: 60_000,
            retention_us: 300_000_000,
            max_records: 65_536,
            max_servers: 16_384,
            max_heard: 1_024,
        }
    }
}

/// An occurrence that the driver reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; expected several times per second.
    Tick,
    /// This router received the first event of a stream.
    Began {
        /// The stream.
        key: Key,
        /// Where it began.
        record: Record,
    },
    /// A client takes up a stream at this router.
    Wanted {
        /// Number that the driver gives the query.
        query: u64,
        /// The stream.
        key: Key,
    },
    /// A message of another router arrived.
    Heard {
        /// Incarnation of the sender.
        from: id::Incarnation,
        /// The message.
        message: Message,
    },
    /// The routers that serve, this one included if it does.
    Routers(Routers),
    /// The directory names the software version of a server. Streams that the server began as
    /// another version are forgotten: its process may have started again before the entry said so.
    Version {
        /// Name of the server.
        backend_server: name::BackendServer,
        /// Its version.
        software_version: name::SoftwareVersion,
    },
}

/// An operation that the driver carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the router on a VM.
    Send {
        /// The VM.
        to: name::Vm,
        /// The message.
        message: Message,
        /// Whether an earlier message may have been lost with its connection.
        is_repeated: bool,
    },
    /// Send a message to the incarnation of a router that asked.
    Reply {
        /// The incarnation.
        to: id::Incarnation,
        /// The message.
        message: Message,
        /// Whether an earlier message may have been lost with its connection.
        is_repeated: bool,
    },
    /// End a query.
    Resolve {
        /// Number of the query.
        query: u64,
        /// Its result.
        knowledge: Knowledge,
    },
}

/// Result of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Knowledge {
    /// It is known where the stream began.
    Known {
        /// Where it began.
        record: Record,
        /// VM of the router that knows it.
        known_by: name::Vm,
        /// Time since the stream began, in microseconds.
        age_us: u64,
    },
    /// No router that was asked has said where the stream began.
    Unknown {
        /// Number of routers that were asked.
        asked: usize,
        /// Those of them that have not answered.
        silent: Vec<name::Vm>,
    },
}

/// A query that waits for answers.
#[derive(Debug)]
struct Query {
    key: Key,
    asked: Vec<name::Vm>,
    /// Routers that answered that they do not know the stream.
    ignorant: Vec<name::Vm>,
    /// When the others are asked once more; `None` if they have been.
    repeat_us: Option<u64>,
    due_us: u64,
}

/// Where streams began, as far as this router knows.
#[derive(Debug)]
pub struct Origins {
    options: Options,
    vm: name::Vm,
    records: Records,
    versions: Versions,
    routers: Routers,
    queries: HashMap<u64, Query>,
    /// The latest queries of others, by sender and number.
    heard: VecDeque<(id::Incarnation, u64)>,
}

/// Constructors and queries.
impl Origins {
    /// Returns the state of the router on `vm`, which knows no stream and no other router.
    pub fn new(vm: name::Vm, options: Options) -> Self {
        Self {
            options,
            vm,
            records: Records::default(),
            versions: Versions::default(),
            routers: Routers::new(),
            queries: HashMap::default(),
            heard: VecDeque::new(),
        }
    }

    /// Returns the number of homes that are told of a stream.
    fn home_count(&self) -> usize {
        let routers: usize = self.routers.values().map(BTreeSet::len).sum();
        if routers <= self.options.small_routers {
            self.options.homes_of_small
        } else if routers <= self.options.medium_routers {
            self.options.homes_of_medium
        } else {
            self.options.homes
        }
    }

    /// Returns the number of streams of which a record is kept.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}

/// Handling of events.
impl Origins {
    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now_us),
            Event::Began { key, record } => self.on_began(now_us, key, record),
            Event::Wanted { query, key } => self.on_wanted(now_us, query, key),
            Event::Heard { from, message } => self.on_heard(now_us, from, message),
            Event::Routers(routers) => {
                self.routers = routers;
                Vec::new()
            }
            Event::Version {
                backend_server,
                software_version,
            } => {
                self.records
                    .remove_other_versions(&backend_server, &software_version);
                let most = self.options.max_servers;
                self.versions.set(backend_server, software_version, most);
                Vec::new()
            }
        }
    }

    fn on_tick(&mut self, now_us: u64) -> Vec<Action> {
        let oldest_us = now_us.saturating_sub(self.options.retention_us);
        self.records.remove_before(oldest_us);
        let mut actions = Vec::new();
        let mut hopeless = Vec::new();
        for (number, query) in &mut self.queries {
            if now_us >= query.due_us {
                hopeless.push(*number);
            } else if query.repeat_us.is_some_and(|at_us| now_us >= at_us) {
                query.repeat_us = None;
                let serves = |vm: &&name::Vm| self.routers.values().any(|vms| vms.contains(*vm));
                let missing = query.missing().filter(serves);
                let asks = missing.map(|to| query.ask(*number, to, true));
                let before = actions.len();
                actions.extend(asks);
                if actions.len() == before {
                    hopeless.push(*number);
                }
            }
        }
        let given_up = hopeless
            .into_iter()
            .filter_map(|number| self.give_up(number));
        actions.extend(given_up);
        actions
    }

    fn on_began(&mut self, now_us: u64, key: Key, record: Record) -> Vec<Action> {
        let most = self.options.max_records;
        let message = Message::Began {
            key,
            record: record.clone(),
        };
        self.records.insert(key, record, now_us, most);
        let homes = home::of(&key, &self.routers, self.home_count());
        let others = homes.into_iter().filter(|vm| *vm != self.vm);
        let send = |to| Action::Send {
            to,
            message: message.clone(),
            is_repeated: false,
        };
        others.map(send).collect()
    }

    fn on_wanted(&mut self, now_us: u64, query: u64, key: Key) -> Vec<Action> {
        if let Some((record, began_us)) = self.records.get(&key) {
            let knowledge = Knowledge::Known {
                record: record.clone(),
                known_by: self.vm.clone(),
                age_us: now_us.saturating_sub(*began_us),
            };
            return vec![Action::Resolve { query, knowledge }];
        }
        // One more home than is told, since the membership may have changed.
        let homes = home::of(&key, &self.routers, self.home_count() + 1);
        let asked: Vec<_> = homes.into_iter().filter(|vm| *vm != self.vm).collect();
        let is_alone = asked.is_empty();
        let pending = Query {
            key,
            asked,
            ignorant: Vec::new(),
            repeat_us: Some(now_us + self.options.repeat_us),
            due_us: now_us + self.options.timeout_us,
        };
        let asks = pending.missing().map(|to| pending.ask(query, to, false));
        let mut actions: Vec<_> = asks.collect();
        self.queries.insert(query, pending);
        if is_alone {
            actions.extend(self.give_up(query));
        }
        actions
    }

    fn on_heard(&mut self, now_us: u64, from: id::Incarnation, message: Message) -> Vec<Action> {
        match message {
            Message::Began { key, record } => {
                if !self.versions.contradict(&record) {
                    let most = self.options.max_records;
                    self.records.insert(key, record, now_us, most);
                }
                Vec::new()
            }
            Message::Ask { query, key } => {
                let known = self.records.get(&key).map(|(record, began_us)| Known {
                    record: record.clone(),
                    age_us: now_us.saturating_sub(*began_us),
                });
                let message = Message::Answer {
                    query,
                    from: self.vm.clone(),
                    known,
                };
                let is_repeated = self.heard.contains(&(from, query));
                if !is_repeated {
                    self.heard.push_back((from, query));
                    let excess = self.heard.len().saturating_sub(self.options.max_heard);
                    self.heard.drain(..excess);
                }
                vec![Action::Reply {
                    to: from,
                    message,
                    is_repeated,
                }]
            }
            Message::Answer {
                query,
                from,
                known: Some(known),
            } if !self.versions.contradict(&known.record) => self.on_known(query, from, known),
            Message::Answer { query, from, .. } => self.on_ignorant(query, from),
        }
    }

    fn on_known(&mut self, query: u64, from: name::Vm, known: Known) -> Vec<Action> {
        if self.queries.remove(&query).is_none() {
            return Vec::new();
        }
        let knowledge = Knowledge::Known {
            record: known.record,
            known_by: from,
            age_us: known.age_us,
        };
        vec![Action::Resolve { query, knowledge }]
    }

    fn on_ignorant(&mut self, number: u64, from: name::Vm) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&number) else {
            return Vec::new();
        };
        if query.asked.contains(&from) && !query.ignorant.contains(&from) {
            query.ignorant.push(from);
        }
        match query.ignorant.len() == query.asked.len() {
            true => self.give_up(number).into_iter().collect(),
            false => Vec::new(),
        }
    }

    fn give_up(&mut self, number: u64) -> Option<Action> {
        let query = self.queries.remove(&number)?;
        Some(Action::Resolve {
            query: number,
            knowledge: Knowledge::Unknown {
                asked: query.asked.len(),
                silent: query.missing().cloned().collect(),
            },
        })
    }
}

impl Query {
    /// Returns the routers that have not answered.
    fn missing(&self) -> impl Iterator<Item = &name::Vm> {
        let is_missing = |vm: &&name::Vm| !self.ignorant.contains(vm);
        self.asked.iter().filter(is_missing)
    }

    fn ask(&self, query: u64, to: &name::Vm, is_repeated: bool) -> Action {
        let key = self.key;
        Action::Send {
            to: to.clone(),
            message: Message::Ask { query, key },
            is_repeated,
        }
    }
}
