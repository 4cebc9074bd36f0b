//! Servers, the directory and the disturbances of the simulated fleet.

use super::*;

impl Fleet {
    pub(super) fn register(&self) -> register::Register {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        register::Register {
            failure_domains: (0..4)
                .map(|number| register::FailureDomain {
                    name: domain(number),
                    region: "r".to_owned(),
                })
                .collect(),
            engines: listed
                .map(|server| register::Engine {
                    name: server.name.as_str().into(),
                    failure_domain: domain(0),
                    address: ([127, 0, 0, 1], 8000).into(),
                    models: vec![SERVICE.into()],
                    slots: SLOTS,
                    fencing: register::Fencing::Ignored,
                    lifetime: register::Lifetime {
                        started_ms: Some(server.start),
                        software_version: Some(version(server.version)),
                    },
                })
                .collect(),
            ..Default::default()
        }
    }

    pub(super) fn starts(&self) -> BTreeMap<String, u64> {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        listed
            .map(|server| (server.name.clone(), server.start))
            .collect()
    }

    /// Begins cuts and spans in which the store is slow.
    pub(super) fn disturb(&mut self) {
        if self.has(Fault::Cut) && self.rng.u32(..200) == 0 {
            self.cut_until_us = self.now_us + 4 * SECOND_US;
        }
        if self.has(Fault::SlowStore) && self.rng.u32(..150) == 0 {
            self.slow_until_us = self.now_us + 6 * SECOND_US;
        }
    }

    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.now_us < self.cut_until_us && a.is_multiple_of(4) != b.is_multiple_of(4)
    }

    pub(super) fn change_directory(&mut self) {
        for router in 0..self.nodes.len() {
            let late_us = match self.now_us < self.slow_until_us {
                true => self.rng.u64(..3 * SECOND_US),
                false => self.rng.u64(MS_US..20 * MS_US),
            };
            self.schedule(self.now_us + late_us, Step::View { router });
        }
    }

    pub(super) fn view(&mut self, router: usize) {
        if !self.nodes[router].is_up {
            return;
        }
        self.nodes[router].starts = self.starts();
        let register = self.register();
        for engine in &register.engines {
            let software_version = engine.lifetime.software_version.clone().unwrap();
            let backend_server = engine.name.clone();
            let version = Event::Version {
                backend_server,
                software_version,
            };
            self.origin_event(router, version);
        }
        let actions = self.nodes[router]
            .route
            .configure(self.now_us, &register, &rules());
        self.run_route(router, actions);
    }

    pub(super) fn crash(&mut self, number: usize) {
        let server = &mut self.servers[number];
        if !server.is_up {
            return;
        }
        server.is_up = false;
        let keeps_name = self.has(Fault::SameName);
        let at_us = self.now_us + self.rng.u64(300 * MS_US..2 * SECOND_US);
        let newest = self
            .servers
            .iter()
            .map(|server| server.version)
            .max()
            .unwrap();
        let start = Step::Start {
            server: number,
            version: newest,
            keeps_name,
        };
        self.schedule(at_us, start);
        if !keeps_name {
            self.servers[number].is_listed = false;
            self.change_directory();
        }
    }

    pub(super) fn start(&mut self, number: usize, version: u64, keeps_name: bool) {
        if keeps_name && self.servers[number].is_up {
            // A release has replaced it meanwhile.
            return;
        }
        let start = self.servers[number].start + 1;
        let name = self.servers[number].name.clone();
        self.servers[number] = server(number, version, start);
        if keeps_name {
            self.servers[number].name = name;
        }
        self.change_directory();
    }

    /// Reports that the process of a server has ended, if the router knows it with the latest start.
    pub(super) fn report_end(&mut self, router: usize, name: &str) {
        let start = self.nodes[router].starts.get(name).copied();
        let event = route_event::Event::Ended {
            backend: name.into(),
            started_ms: start,
        };
        self.route_event(router, event);
    }
}
