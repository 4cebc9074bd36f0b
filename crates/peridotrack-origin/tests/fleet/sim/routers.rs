//! Routers of the simulated fleet and the messages between them.

use super::*;

impl Fleet {
    pub(super) fn node(&self, number: usize, incarnation: u64) -> Node {
        let options = options::Options {
            retry_ratio: 0.5,
            min_retries: 20.0,
            ..Default::default()
        };
        let domain = domain(number);
        let seed = incarnation << 16 | number as u64;
        let mut route = router::Router::new(options, domain, seed, self.now_us);
        route.configure(self.now_us, &self.register(), &rules());
        let mut origins = Origins::new(vm(number), Options::default());
        origins.on_event(self.now_us, Event::Routers(self.routers()));
        Node {
            incarnation,
            is_up: true,
            since_us: self.now_us,
            route,
            origins,
            starts: self.starts(),
            attempts: BTreeMap::new(),
            lookups: BTreeMap::new(),
        }
    }

    /// Returns all routers as the members that are heard of: a killed one is missed 3 s later.
    pub(super) fn routers(&self) -> Routers {
        let mut routers = Routers::new();
        let count = self.nodes.len().max(1);
        for number in 0..count {
            let is_heard = self
                .nodes
                .get(number)
                .is_none_or(|node| node.is_up || self.now_us < node.since_us + CONTACT_US);
            if is_heard {
                routers
                    .entry(domain(number))
                    .or_default()
                    .insert(vm(number));
            }
        }
        routers
    }

    pub(super) fn kill(&mut self, router: usize) {
        if !self.nodes[router].is_up {
            return;
        }
        self.nodes[router].is_up = false;
        self.nodes[router].since_us = self.now_us;
        for attempt in std::mem::take(&mut self.nodes[router].attempts).into_values() {
            self.retry(attempt.stream);
        }
        let at_us = self.now_us + self.rng.u64(500 * MS_US..2 * SECOND_US);
        self.schedule(at_us, Step::Return(router));
    }

    pub(super) fn route_event(&mut self, router: usize, event: route_event::Event) {
        let actions = self.nodes[router].route.on_event(self.now_us, event);
        self.run_route(router, actions);
    }

    pub(super) fn run_route(&mut self, router: usize, actions: Vec<route_event::Action>) {
        for action in actions {
            match action {
                route_event::Action::Dispatch {
                    request_id,
                    backend,
                    ..
                } => {
                    let step = Step::Dispatched {
                        router,
                        incarnation: self.nodes[router].incarnation,
                        request: request_id.sequence,
                        server: backend.as_str().to_owned(),
                    };
                    self.schedule(self.now_us + MS_US, step);
                }
                route_event::Action::Note(route_event::Note::Ended {
                    backend,
                    started_ms,
                }) => {
                    for to in (0..self.nodes.len()).filter(|to| *to != router) {
                        if !self.is_cut(router, to) {
                            let server = backend.as_str().to_owned();
                            let step = Step::Ended {
                                router: to,
                                server,
                                started_ms,
                            };
                            self.schedule(self.now_us + 2 * MS_US, step);
                        }
                    }
                }
                route_event::Action::Refuse { request_id, .. } => {
                    self.end(router, request_id.sequence);
                }
                _ => {}
            }
        }
    }

    pub(super) fn origin_event(&mut self, router: usize, event: Event) {
        let actions = self.nodes[router].origins.on_event(self.now_us, event);
        for action in actions {
            match action {
                Action::Send { to, message, .. } => {
                    let to: usize = to.as_str().strip_prefix("vm-").unwrap().parse().unwrap();
                    let incarnation = self.nodes[to].incarnation;
                    self.deliver(router, to, incarnation, message);
                }
                Action::Reply { to, message, .. } => {
                    let (to, incarnation) = ((to.0 & 0xffff) as usize, to.0 >> 16);
                    self.deliver(router, to, incarnation, message);
                }
                Action::Resolve { query, knowledge } => self.resolve(router, query, knowledge),
            }
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, incarnation: u64, message: Message) {
        self.counts.messages += 1;
        if self.rng.u32(..100) == 0 {
            return;
        }
        self.messages.push(message);
        let step = Step::Deliver {
            to,
            incarnation,
            from,
            from_incarnation: self.nodes[from].incarnation,
            message: self.messages.len() - 1,
        };
        let delay_us = self.rng.u64(MS_US..4 * MS_US);
        self.schedule(self.now_us + delay_us, step);
    }

    pub(super) fn resolve(&mut self, router: usize, query: u64, knowledge: Knowledge) {
        let Some(request) = self.nodes[router].lookups.remove(&query) else {
            return;
        };
        match knowledge {
            Knowledge::Known { record, .. } => self.offer(router, request, Some(record.origin)),
            Knowledge::Unknown { .. } => self.end(router, request),
        }
    }
}
