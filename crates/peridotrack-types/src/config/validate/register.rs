//! Checks of the asset register.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{
    Declared, Form, MAX_BACKEND_SERVERS, MAX_CLIENT_ACCOUNTS, MAX_FAILURE_DOMAINS,
    MAX_KEYS_PER_ACCOUNT, MAX_MODELS_PER_ENGINE, MAX_SLOTS, Report,
};
use crate::{check, register::Register};

/// Checks the register and returns the names it declares.
pub(super) fn check<'a>(register: &'a Register, report: &mut Report) -> Declared<'a> {
    let domains = failure_domains(register, report);
    let client_accounts = client_accounts(register, report);
    let mut servers = Servers {
        domains: &domains,
        names: BTreeMap::new(),
        addresses: BTreeMap::new(),
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
    domains: &'d BTreeSet<&'a str>,
    names: BTreeMap<&'a str, String>,
    addresses: BTreeMap<SocketAddr, String>,
}

fn failure_domains<'a>(register: &'a Register, report: &mut Report) -> BTreeSet<&'a str> {
    let path = "$.register.failure_domains";
    report.count(path, register.failure_domains.len(), MAX_FAILURE_DOMAINS);
    if register.failure_domains.is_empty() {
        report.add(path, "has no element, at least 1");
    }
    let mut seen = BTreeMap::new();
    for (index, domain) in register.failure_domains.iter().enumerate() {
        let name_path = format!("{path}[{index}].name");
        report.name(&name_path, domain.name.as_str(), Form::Segment);
        report.unique(
            &mut seen,
            &name_path,
            domain.name.as_str(),
            "failure domain",
        );
        report.name(
            &format!("{path}[{index}].region"),
            &domain.region,
            Form::Segment,
        );
    }
    seen.into_keys().collect()
}

fn client_accounts<'a>(register: &'a Register, report: &mut Report) -> BTreeSet<&'a str> {
    let path = "$.register.client_accounts";
    report.count(path, register.client_accounts.len(), MAX_CLIENT_ACCOUNTS);
    let mut seen = BTreeMap::new();
    let mut digests = BTreeMap::new();
    for (index, account) in register.client_accounts.iter().enumerate() {
        let name_path = format!("{path}[{index}].name");
        report.name(&name_path, account.name.as_str(), Form::Segment);
        report.unique(
            &mut seen,
            &name_path,
            account.name.as_str(),
            "client account",
        );
        let keys_path = format!("{path}[{index}].key_digests_sha256");
        report.count(
            &keys_path,
            account.key_digests_sha256.len(),
            MAX_KEYS_PER_ACCOUNT,
        );
        for (key, digest) in account.key_digests_sha256.iter().enumerate() {
            let digest_path = format!("{keys_path}[{key}]");
            if check::is_sha256_hex(digest) {
                report.unique(&mut digests, &digest_path, digest, "digest");
            } else {
                report.add(digest_path, check::DIGEST_FORM);
            }
        }
    }
    seen.into_keys().collect()
}

fn engines<'a>(
    register: &'a Register,
    servers: &mut Servers<'a, '_>,
    report: &mut Report,
) -> BTreeSet<&'a str> {
    let path = "$.register.engines";
    report.count(path, register.engines.len(), MAX_BACKEND_SERVERS);
    let mut models = BTreeSet::new();
    for (index, engine) in register.engines.iter().enumerate() {
        let path = format!("{path}[{index}]");
        servers.check(
            &path,
            engine.name.as_str(),
            engine.failure_domain.as_str(),
            engine.address,
            engine.slots,
            report,
        );
        let models_path = format!("{path}.models");
        report.count(&models_path, engine.models.len(), MAX_MODELS_PER_ENGINE);
        if engine.models.is_empty() {
            report.add(&models_path, "has no element, at least 1");
        }
        let mut seen = BTreeMap::new();
        for (number, model) in engine.models.iter().enumerate() {
            let model_path = format!("{models_path}[{number}]");
            report.name(&model_path, model.as_str(), Form::Model);
            report.unique(&mut seen, &model_path, model.as_str(), "model");
            models.insert(model.as_str());
        }
    }
    models
}

fn services<'a>(
    register: &'a Register,
    servers: &mut Servers<'a, '_>,
    report: &mut Report,
) -> BTreeSet<&'a str> {
    let path = "$.register.services";
    report.count(path, register.services.len(), MAX_BACKEND_SERVERS);
    let mut services = BTreeSet::new();
    for (index, server) in register.services.iter().enumerate() {
        let path = format!("{path}[{index}]");
        servers.check(
            &path,
            server.name.as_str(),
            server.failure_domain.as_str(),
            server.address,
            server.slots,
            report,
        );
        report.name(
            &format!("{path}.service"),
            server.service.as_str(),
            Form::Segment,
        );
        services.insert(server.service.as_str());
    }
    services
}

impl<'a> Servers<'a, '_> {
    /// Checks the fields that engines and servers of plain services share.
    fn check(
        &mut self,
        path: &str,
        name: &'a str,
        domain: &str,
        address: SocketAddr,
        slots: u32,
        report: &mut Report,
    ) {
        let name_path = format!("{path}.name");
        report.name(&name_path, name, Form::Segment);
        report.unique(&mut self.names, &name_path, name, "backend server");
        report.reference(
            &format!("{path}.failure_domain"),
            self.domains,
            domain,
            "failure domain",
        );
        self.address(&format!("{path}.address"), address, report);
        report.range(&format!("{path}.slots"), slots.into(), 1, MAX_SLOTS.into());
    }

    fn address(&mut self, path: &str, address: SocketAddr, report: &mut Report) {
        if let Some(message) = check::address_fault(address) {
            report.add(path, message);
        } else if let Some(first) = self.addresses.get(&address) {
            report.add(path, format!("address {address} already stands at {first}"));
        } else {
            self.addresses.insert(address, path.to_owned());
        }
    }
}
