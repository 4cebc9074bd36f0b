//! Checks of the asset register.

use std::net::SocketAddr;

use super::{
    Declared, Form, MAX_BACKEND_SERVERS, MAX_CLIENT_ACCOUNTS, MAX_FAILURE_DOMAINS,
    MAX_KEYS_PER_ACCOUNT, MAX_MODELS_PER_ENGINE, MAX_SLOTS, Place, Report, Seen,
};
use crate::{
    check,
    collections::{HashMap, HashSet},
    register::Register,
};

/// Checks the register and returns the names it declares.
pub(super) fn check<'a>(register: &'a Register, report: &mut Report) -> Declared<'a> {
    let domains = failure_domains(register, report);
    let client_accounts = client_accounts(register, report);
    let mut servers = Servers {
        domains: &domains,
        names: Seen::default(),
        addresses: HashMap::default(),
    };
    let models = engines(register, &mut servers, report);
    let services = services(register, &mut servers, report);
    Declared {
        client_accounts,
        models,
        services,
    }
}

/// What the backend servers checked so far hold.
struct Servers<'a, 'd> {
    domains: &'d HashSet<&'a str>,
    names: Seen<'a>,
    addresses: HashMap<SocketAddr, Place>,
}

fn failure_domains<'a>(register: &'a Register, report: &mut Report) -> HashSet<&'a str> {
    let list = "$.register.failure_domains";
    let count = register.failure_domains.len();
    report.count(format_args!("{list}"), count, MAX_FAILURE_DOMAINS);
    if count == 0 {
        report.add(list, "has no element, at least 1");
    }
    let mut seen = Seen::default();
    for (index, domain) in register.failure_domains.iter().enumerate() {
        let place = Place { list, index };
        let path = format_args!("{place}.name");
        let name = domain.name.as_str();
        report.name(path, name, Form::Segment);
        report.unique(&mut seen, path, place, name, "failure domain");
        report.name(
            format_args!("{place}.region"),
            &domain.region,
            Form::Segment,
        );
    }
    seen.into_keys().collect()
}

fn client_accounts<'a>(register: &'a Register, report: &mut Report) -> HashSet<&'a str> {
    let list = "$.register.client_accounts";
    let count = register.client_accounts.len();
    report.count(format_args!("{list}"), count, MAX_CLIENT_ACCOUNTS);
    let mut seen = Seen::default();
    let mut digests = Seen::default();
    for (index, account) in register.client_accounts.iter().enumerate() {
        let place = Place { list, index };
        let path = format_args!("{place}.name");
        let name = account.name.as_str();
        report.name(path, name, Form::Segment);
        report.unique(&mut seen, path, place, name, "client account");
        let path = format_args!("{place}.key_digests_sha256");
        let keys = &account.key_digests_sha256;
        report.count(path, keys.len(), MAX_KEYS_PER_ACCOUNT);
        for (key, digest) in keys.iter().enumerate() {
            let path = format_args!("{path}[{key}]");
            if check::is_sha256_hex(digest) {
                report.unique(&mut digests, path, place, digest, "digest");
            } else {
                report.add(path, check::DIGEST_FORM);
            }
        }
    }
    seen.into_keys().collect()
}

fn engines<'a>(
    register: &'a Register,
    servers: &mut Servers<'a, '_>,
    report: &mut Report,
) -> HashSet<&'a str> {
    let list = "$.register.engines";
    let count = register.engines.len();
    report.count(format_args!("{list}"), count, MAX_BACKEND_SERVERS);
    let mut models = HashSet::default();
    for (index, engine) in register.engines.iter().enumerate() {
        let place = Place { list, index };
        servers.name(place, engine.name.as_str(), report);
        servers.domain(place, engine.failure_domain.as_str(), report);
        servers.address(place, engine.address, report);
        slots(place, engine.slots, report);
        let path = format_args!("{place}.models");
        report.count(path, engine.models.len(), MAX_MODELS_PER_ENGINE);
        if engine.models.is_empty() {
            report.add(path, "has no element, at least 1");
        }
        for (number, model) in engine.models.iter().enumerate() {
            report.name(
                format_args!("{path}[{number}]"),
                model.as_str(),
                Form::Model,
            );
            models.insert(model.as_str());
        }
        let names = engine.models.iter().map(|model| model.as_str());
        report.each_once(path, names, "model");
    }
    models
}

fn services<'a>(
    register: &'a Register,
    servers: &mut Servers<'a, '_>,
    report: &mut Report,
) -> HashSet<&'a str> {
    let list = "$.register.services";
    let count = register.services.len();
    report.count(format_args!("{list}"), count, MAX_BACKEND_SERVERS);
    let mut services = HashSet::default();
    for (index, server) in register.services.iter().enumerate() {
        let place = Place { list, index };
        servers.name(place, server.name.as_str(), report);
        servers.domain(place, server.failure_domain.as_str(), report);
        servers.address(place, server.address, report);
        slots(place, server.slots, report);
        let service = server.service.as_str();
        report.name(format_args!("{place}.service"), service, Form::Segment);
        services.insert(service);
    }
    services
}

fn slots(place: Place, slots: u32, report: &mut Report) {
    let path = format_args!("{place}.slots");
    report.range(path, slots.into(), 1, MAX_SLOTS.into());
}

/// Fields that engines and servers of plain services share.
impl<'a> Servers<'a, '_> {
    fn name(&mut self, place: Place, name: &'a str, report: &mut Report) {
        let path = format_args!("{place}.name");
        report.name(path, name, Form::Segment);
        report.unique(&mut self.names, path, place, name, "backend server");
    }

    fn domain(&self, place: Place, domain: &str, report: &mut Report) {
        let path = format_args!("{place}.failure_domain");
        report.reference(path, self.domains, domain, "failure domain");
    }

    fn address(&mut self, place: Place, address: SocketAddr, report: &mut Report) {
        let path = format_args!("{place}.address");
        if let Some(message) = check::address_fault(address) {
            report.add(path, message);
        } else if let Some(first) = self.addresses.get(&address) {
            report.add(path, format!("address {address} already stands in {first}"));
        } else {
            self.addresses.insert(address, place);
        }
    }
}
