//! Clients and their streams in the simulated fleet.

use super::*;

impl Fleet {
    /// Lets the client take up its stream, or begin it again, some time later.
    pub(super) fn retry(&mut self, stream: usize) {
        if !self.streams[stream].is_done && self.streams[stream].attempts < ATTEMPTS {
            let at_us = self.now_us + self.rng.u64(20 * MS_US..800 * MS_US);
            self.schedule(at_us, Step::Attempt { stream });
        }
    }

    pub(super) fn attempt(&mut self, stream: usize) {
        let mut number = stream;
        if stream == usize::MAX {
            let next_us = self.now_us + self.rng.u64(1..2 * ARRIVAL_US);
            self.schedule(next_us, Step::Attempt { stream });
            number = self.streams.len();
            self.streams.push(Stream {
                key: key::of_stream(b"secret", "account", &format!("attempt-{number}")),
                attempts: 0,
                events: 0,
                versions: BTreeSet::new(),
                is_done: false,
            });
        }
        self.streams[number].attempts += 1;
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].is_up)
            .collect();
        if up.is_empty() {
            return self.retry(number);
        }
        let router = up[self.rng.usize(..up.len())];
        let request = self.next_request;
        self.next_request += 1;
        let is_take_up = self.streams[number].events > 0;
        let is_counted = self.is_in_touch(router) && self.has_two_servers(number);
        match (is_counted, is_take_up) {
            (true, true) => self.counts.take_ups += 1,
            (true, false) => self.counts.new += 1,
            (false, _) => {}
        }
        let attempt = Attempt {
            stream: number,
            is_take_up,
            is_counted,
            events_seen: 0,
        };
        self.nodes[router].attempts.insert(request, attempt);
        if is_take_up {
            self.nodes[router].lookups.insert(request, request);
            let key = self.streams[number].key;
            self.origin_event(
                router,
                Event::Wanted {
                    query: request,
                    key,
                },
            );
            let incarnation = self.nodes[router].incarnation;
            let timeout_us = Options::default().timeout_us;
            self.schedule(
                self.now_us + timeout_us,
                Step::Timeout {
                    router,
                    incarnation,
                },
            );
        } else {
            self.offer(router, request, None);
        }
    }

    pub(super) fn is_in_touch(&self, router: usize) -> bool {
        let is_calm = |until_us: u64| until_us == 0 || self.now_us > until_us + CONTACT_US;
        self.now_us > self.nodes[router].since_us + CONTACT_US
            && is_calm(self.cut_until_us)
            && is_calm(self.slow_until_us)
    }

    /// Returns whether two servers of the version that began a stream run, if it has begun.
    pub(super) fn has_two_servers(&self, stream: usize) -> bool {
        let up = self.servers.iter().filter(|server| server.is_up);
        let versions = &self.streams[stream].versions;
        versions.is_empty()
            || up
                .filter(|server| versions.contains(&server.version))
                .count()
                >= 2
    }

    pub(super) fn offer(&mut self, router: usize, request: u64, origin: Option<stream::Origin>) {
        let offer = Offer {
            request_id: id::Request {
                incarnation: id::Incarnation(1),
                sequence: request,
            },
            target: route_event::Target::Model(SERVICE.into()),
            account: "account".into(),
            priority: rules::Priority::Normal,
            prefix_hash: None,
            prompt: None,
            size_tokens: 1,
            deadline_us: self.now_us + 12 * SECOND_US,
            idempotent: true,
            continuation: Continuation::AnyServer,
            max_dispatches: Some(3),
            origin,
        };
        let actions = self.nodes[router].route.offer(self.now_us, offer);
        self.run_route(router, actions);
    }

    /// Ends an attempt without the end of its stream; the client may try again.
    pub(super) fn end(&mut self, router: usize, request: u64) {
        if let Some(attempt) = self.nodes[router].attempts.remove(&request) {
            self.retry(attempt.stream);
        }
    }

    pub(super) fn request_id(request: u64) -> id::Request {
        id::Request {
            incarnation: id::Incarnation(1),
            sequence: request,
        }
    }

    pub(super) fn finish(&mut self, router: usize, request: u64, outcome: Outcome) {
        let request_id = Self::request_id(request);
        self.route_event(
            router,
            route_event::Event::Finished {
                request_id,
                outcome,
            },
        );
    }

    pub(super) fn send(&mut self, router: usize, request: u64, name: &str) {
        if !self.nodes[router].attempts.contains_key(&request) {
            return;
        }
        if !self.nodes[router]
            .route
            .may_send(self.now_us, Self::request_id(request))
        {
            return self.finish(router, request, Outcome::Withdrawn);
        }
        let server = self
            .servers
            .iter()
            .position(|server| server.name == name && server.is_up);
        let Some(server) = server else {
            self.report_end(router, name);
            return self.finish(router, request, Outcome::ConnectFailed);
        };
        if self.continues(router, request) && !self.is_listed_process(router, server) {
            self.report_end(router, name);
            return self.finish(router, request, Outcome::Withdrawn);
        }
        let request_id = Self::request_id(request);
        self.route_event(router, route_event::Event::Sent { request_id });
        self.schedule_write(router, request, server);
    }

    fn continues(&self, router: usize, request: u64) -> bool {
        let attempt = &self.nodes[router].attempts[&request];
        attempt.is_take_up || attempt.events_seen > 0
    }

    /// Returns whether the process of a server, which is asked on the connection of the request, is
    /// the one that the router's directory names.
    fn is_listed_process(&self, router: usize, server: usize) -> bool {
        let server = &self.servers[server];
        self.nodes[router].starts.get(&server.name) == Some(&server.start)
    }

    pub(super) fn schedule_write(&mut self, router: usize, request: u64, server: usize) {
        let step = Step::Write {
            router,
            incarnation: self.nodes[router].incarnation,
            request,
            server,
            start: self.servers[server].start,
        };
        self.schedule(self.now_us + EVENT_US, step);
    }

    pub(super) fn write(&mut self, router: usize, request: u64, number: usize, start: u64) {
        if !self.nodes[router].attempts.contains_key(&request) {
            return;
        }
        let server = &self.servers[number];
        let is_broken = !server.is_up || server.start != start || self.rng.u32(..100) == 0;
        if is_broken {
            // The router connects to the server to see whether it still listens.
            if !server.is_up {
                let name = server.name.clone();
                self.report_end(router, &name);
            }
            let attempt = &self.nodes[router].attempts[&request];
            // Some breaks reach the client, because the connection to it breaks too.
            if self.rng.u32(..3) == 0 {
                let request_id = Self::request_id(request);
                let outcome = Outcome::Cancelled;
                let event = route_event::Event::Finished {
                    request_id,
                    outcome,
                };
                self.route_event(router, event);
                return self.end(router, request);
            }
            let events_seen = attempt.events_seen;
            let outcome = Outcome::Broken {
                sent: true,
                events_seen,
            };
            return self.finish(router, request, outcome);
        }
        let version = server.version;
        let request_id = Self::request_id(request);
        self.route_event(router, route_event::Event::FirstToken { request_id });
        let attempt = self.nodes[router].attempts.get_mut(&request).unwrap();
        attempt.events_seen += 1;
        let is_first = attempt.events_seen == 1;
        let (stream, is_take_up, is_counted) =
            (attempt.stream, attempt.is_take_up, attempt.is_counted);
        if is_first && is_counted {
            match is_take_up {
                true => self.counts.take_ups_served += 1,
                false => self.counts.new_served += 1,
            }
        }
        if is_first && !is_take_up {
            let key = self.streams[stream].key;
            if let Some(origin) = self.nodes[router].route.origin(request_id) {
                let record = Record {
                    service: SERVICE.into(),
                    origin,
                };
                self.origin_event(router, Event::Began { key, record });
            }
        }
        let state = &mut self.streams[stream];
        state.events += 1;
        state.versions.insert(version);
        if state.events == EVENTS {
            state.is_done = true;
            self.finish(router, request, Outcome::Done);
            self.nodes[router].attempts.remove(&request);
        } else {
            self.schedule_write(router, request, number);
        }
    }
}
