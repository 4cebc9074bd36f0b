//! Validation of the asset register.
//!
//! Also collects the names that the register declares, against which references in the rules are
//! validated.

use std::net::SocketAddr;

use super::{
    DeclaredNames, ElementPath, MAX_BACKEND_SERVERS, MAX_CLIENT_ACCOUNTS, MAX_FAILURE_DOMAINS,
    MAX_KEYS_PER_ACCOUNT, MAX_MODELS_PER_ENGINE, MAX_SLOTS, NameFormat, Report, Seen,
};
use crate::{
    check,
    collections::{HashMap, HashSet},
    register::Register,
};

/// Adds the problems of the register to `report` and returns the names that it declares.
pub(super) fn check<'a>(register: &'a Register, report: &mut Report) -> DeclaredNames<'a> {
    let domains = failure_domains(register, report);
    let client_accounts = client_accounts(register, report);
    let mut servers = Servers {
        domains: &domains,
        names: Seen::default(),
        addresses: HashMap::default(),
    };
    let models = engines(register, &mut servers, report);
    let services = services(register, &mut servers, report);
    DeclaredNames {
        client_accounts,
        models,
        services,
    }
}

/// Names and addresses of the backend servers validated so far; both must be unique.
struct Servers<'a, 'd> {
    domains: &'d HashSet<&'a str>,
    names: Seen<'a>,
    addresses: HashMap<SocketAddr, ElementPath>,
}

fn failure_domains<'a>(register: &'a Register, report: &mut Report) -> HashSet<&'a str> {
    let list = "$.register.failure_domains";
    let count = register.failure_domains.len();
    report.check_count(format_args!("{list}"), count, MAX_FAILURE_DOMAINS);
    if count == 0 {
        report.add(list, "has no elements, but at least 1 is required");
    }
    let mut seen = Seen::default();
    for (index, domain) in register.failure_domains.iter().enumerate() {
        let element = ElementPath { list, index };
        let path = format_args!("{element}.name");
        let name = domain.name.as_str();
        report.check_name(path, name, NameFormat::Segment);
        report.check_unique(&mut seen, path, element, name, "failure domain");
        report.check_name(
            format_args!("{element}.region"),
            &domain.region,
            NameFormat::Segment,
        );
    }
    seen.into_keys().collect()
}

fn client_accounts<'a>(register: &'a Register, report: &mut Report) -> HashSet<&'a str> {
    let list = "$.register.client_accounts";
    let count = register.client_accounts.len();
    report.check_count(format_args!("{list}"), count, MAX_CLIENT_ACCOUNTS);
    let mut seen = Seen::default();
    let mut digests = Seen::default();
    for (index, account) in register.client_accounts.iter().enumerate() {
        let element = ElementPath { list, index };
        let path = format_args!("{element}.name");
        let name = account.name.as_str();
        report.check_name(path, name, NameFormat::Segment);
        report.check_unique(&mut seen, path, element, name, "client account");
        let path = format_args!("{element}.key_digests_sha256");
        let keys = &account.key_digests_sha256;
        report.check_count(path, keys.len(), MAX_KEYS_PER_ACCOUNT);
        for (key, digest) in keys.iter().enumerate() {
            let path = format_args!("{path}[{key}]");
            if check::is_sha256_hex(digest) {
                report.check_unique(&mut digests, path, element, digest, "digest");
            } else {
                report.add(path, check::DIGEST_ERROR);
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
    report.check_count(format_args!("{list}"), count, MAX_BACKEND_SERVERS);
    let mut models = HashSet::default();
    for (index, engine) in register.engines.iter().enumerate() {
        let element = ElementPath { list, index };
        servers.check_name(element, engine.name.as_str(), report);
        servers.check_domain(element, engine.failure_domain.as_str(), report);
        servers.check_address(element, engine.address, report);
        slots(element, engine.slots, report);
        let path = format_args!("{element}.models");
        report.check_count(path, engine.models.len(), MAX_MODELS_PER_ENGINE);
        if engine.models.is_empty() {
            report.add(path, "has no elements, but at least 1 is required");
        }
        for (position, model) in engine.models.iter().enumerate() {
            report.check_name(
                format_args!("{path}[{position}]"),
                model.as_str(),
                NameFormat::Model,
            );
            models.insert(model.as_str());
        }
        let names = engine.models.iter().map(|model| model.as_str());
        report.check_no_duplicates(path, names, "model");
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
    report.check_count(format_args!("{list}"), count, MAX_BACKEND_SERVERS);
    let mut services = HashSet::default();
    for (index, server) in register.services.iter().enumerate() {
        let element = ElementPath { list, index };
        servers.check_name(element, server.name.as_str(), report);
        servers.check_domain(element, server.failure_domain.as_str(), report);
        servers.check_address(element, server.address, report);
        slots(element, server.slots, report);
        let service = server.service.as_str();
        report.check_name(
            format_args!("{element}.service"),
            service,
            NameFormat::Segment,
        );
        services.insert(service);
    }
    services
}

fn slots(element: ElementPath, slots: u32, report: &mut Report) {
    let path = format_args!("{element}.slots");
    report.check_range(path, slots.into(), 1, MAX_SLOTS.into());
}

/// Checks of the fields that engines and servers of plain services have in common.
impl<'a> Servers<'a, '_> {
    fn check_name(&mut self, element: ElementPath, name: &'a str, report: &mut Report) {
        let path = format_args!("{element}.name");
        report.check_name(path, name, NameFormat::Segment);
        report.check_unique(&mut self.names, path, element, name, "backend server");
    }

    fn check_domain(&self, element: ElementPath, domain: &str, report: &mut Report) {
        let path = format_args!("{element}.failure_domain");
        report.check_reference(path, self.domains, domain, "failure domain");
    }

    fn check_address(&mut self, element: ElementPath, address: SocketAddr, report: &mut Report) {
        let path = format_args!("{element}.address");
        if let Some(message) = check::address_error(address) {
            report.add(path, message);
        } else if let Some(first) = self.addresses.get(&address) {
            report.add(
                path,
                format!("address {address} is already used in {first}"),
            );
        } else {
            self.addresses.insert(address, element);
        }
    }
}
