//! How a configuration lies in the platform's objects.
//!
//! The object [`CURRENT_KEY`] holds a small configuration whole. A large one is
//! split: the object then holds a [`Manifest`] that names immutable parts by the
//! digest of their content. A writer creates the parts first and then updates the
//! object on condition of its version, so that a reader never sees half a change.
//!
//! Parts end after elements chosen by a digest of their name. A change to one
//! element, or one more or less of them, therefore leaves the other parts as
//! they are, and they are neither written nor read again.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

use super::Config;

/// Key of the object that holds the configuration or its manifest.
pub const CURRENT_KEY: &str = "config/current";
/// Prefix of the keys of parts.
pub const PART_PREFIX: &str = "config/parts/";
/// Largest configuration that is held whole, in bytes.
pub const MAX_WHOLE_BYTES: usize = 256 * 1024;
/// Largest part, in bytes.
pub const MAX_PART_BYTES: usize = 512 * 1024;
/// Smallest part that ends before the last element of its kind, in bytes.
const MIN_PART_BYTES: usize = 16 * 1024;
/// A part beyond the smallest size ends after one in this many elements.
const CUT_ONE_IN: u8 = 128;

/// Content of the object [`CURRENT_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Current {
    /// Names the parts of a large configuration.
    Split(Manifest),
    /// A small configuration.
    Whole(Box<Config>),
}

/// Names the parts of a configuration, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the configuration.
    pub version: u64,
    /// Parts, those of one kind in the order of their elements.
    pub parts: Vec<Part>,
}

/// Names one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// What the part holds.
    pub kind: Kind,
    /// SHA-256 digest of the content, in hexadecimal.
    pub sha256: String,
    /// Length of the content.
    pub bytes: u64,
}

/// What a part holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Failure domains of the register.
    FailureDomains,
    /// Client accounts of the register.
    ClientAccounts,
    /// Engines of the register.
    Engines,
    /// Servers of plain services of the register.
    Services,
    /// Budgets of the rules.
    Budgets,
    /// Priority rules.
    Priorities,
    /// Routes of the rules.
    Routes,
    /// Limits of the rules.
    Limits,
}

/// A configuration as objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoded {
    /// Content of [`CURRENT_KEY`], written last and on condition of its version.
    pub current: Vec<u8>,
    /// Parts, each created if absent before that.
    pub parts: Vec<Object>,
}

/// An object of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Content of the object.
    pub content: Vec<u8>,
}

/// Objects that make up no configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object is neither a configuration nor a manifest.
    #[error("{CURRENT_KEY}: {message}")]
    Current {
        /// What is wrong.
        message: String,
    },
    /// A part was not given.
    #[error("{key}: the part is missing")]
    Missing {
        /// Key of the part.
        key: String,
    },
    /// The content of a part is not the one that its key names.
    #[error("{key}: the content has another digest or length")]
    Digest {
        /// Key of the part.
        key: String,
    },
    /// A part cannot be read.
    #[error("{key}: {message}")]
    Malformed {
        /// Key of the part.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// An element is larger than a part may be.
    #[error("an element of {kind:?} has {bytes} bytes, at most {MAX_PART_BYTES}")]
    TooLarge {
        /// Kind of the element.
        kind: Kind,
        /// Length of the element.
        bytes: usize,
    },
}

impl Part {
    /// Returns the key of the part.
    pub fn key(&self) -> String {
        format!("{PART_PREFIX}{}", self.sha256)
    }
}

impl Current {
    /// Parses the content of [`CURRENT_KEY`].
    ///
    /// # Errors
    ///
    /// Returns an error if the content is neither a configuration nor a manifest.
    pub fn parse(content: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(content).map_err(|error| Error::Current {
            message: error.to_string(),
        })
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        match self {
            Self::Split(manifest) => manifest.version,
            Self::Whole(config) => config.version,
        }
    }
}

/// Returns the objects of a configuration: one if it is small, else a manifest and parts.
///
/// # Errors
///
/// Returns an error if an element is too large for a part.
pub fn encode(config: &Config) -> Result<Encoded, Error> {
    let whole = to_json(config);
    if whole.len() <= MAX_WHOLE_BYTES {
        return Ok(Encoded {
            current: whole,
            parts: Vec::new(),
        });
    }
    let (manifest, parts) = split(config)?;
    Ok(Encoded {
        current: to_json(&manifest),
        parts,
    })
}

/// Splits a configuration into a manifest and its parts.
///
/// # Errors
///
/// Returns an error if an element is too large for a part.
pub fn split(config: &Config) -> Result<(Manifest, Vec<Object>), Error> {
    let Config {
        version,
        register,
        rules,
    } = config;
    let mut parts = Parts::default();
    parts.list(Kind::FailureDomains, &register.failure_domains, |domain| {
        domain.name.to_string()
    })?;
    parts.list(Kind::ClientAccounts, &register.client_accounts, |account| {
        account.name.to_string()
    })?;
    parts.list(Kind::Engines, &register.engines, |engine| {
        engine.name.to_string()
    })?;
    parts.list(Kind::Services, &register.services, |server| {
        server.name.to_string()
    })?;
    parts.list(Kind::Budgets, &rules.budgets, |budget| {
        budget.name.to_string()
    })?;
    parts.list(Kind::Priorities, &rules.priorities, |rule| {
        String::from_utf8_lossy(&to_json(rule)).into_owned()
    })?;
    parts.list(Kind::Routes, &rules.routes, |route| {
        format!("{}{}", route.service, route.path_prefix)
    })?;
    parts.add(Kind::Limits, to_json(&rules.limits));
    let manifest = Manifest {
        version: *version,
        parts: parts.named,
    };
    Ok((manifest, parts.contents))
}

/// A configuration that is joined part by part, for a caller with other work in between.
#[derive(Debug, Clone, Default)]
pub struct Joiner {
    config: Config,
}

impl Joiner {
    /// Starts a configuration of a version.
    pub fn new(version: u64) -> Self {
        Self {
            config: Config {
                version,
                ..Config::default()
            },
        }
    }

    /// Adds the next part of the manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the content differs from the part's digest or cannot be read.
    pub fn push(&mut self, part: &Part, content: &[u8]) -> Result<(), Error> {
        if content.len() as u64 != part.bytes || digest(content) != part.sha256 {
            return Err(Error::Digest { key: part.key() });
        }
        append(&mut self.config, part.kind, content).map_err(|error| Error::Malformed {
            key: part.key(),
            message: error.to_string(),
        })
    }

    /// Returns the configuration, once every part was added.
    pub fn finish(self) -> Config {
        self.config
    }
}

/// Joins a configuration from its manifest and parts. `content` returns a part by its key.
///
/// # Errors
///
/// Returns an error if a part is missing, differs from its digest or cannot be read.
pub fn join<'a>(
    manifest: &Manifest,
    mut content: impl FnMut(&str) -> Option<&'a [u8]>,
) -> Result<Config, Error> {
    let mut joiner = Joiner::new(manifest.version);
    for part in &manifest.parts {
        let key = part.key();
        let Some(content) = content(&key) else {
            return Err(Error::Missing { key });
        };
        joiner.push(part, content)?;
    }
    Ok(joiner.finish())
}

/// Returns the keys among `keys` of parts that no manifest names.
pub fn unreferenced<'a>(
    manifests: &[&Manifest],
    keys: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let parts = manifests.iter().flat_map(|manifest| &manifest.parts);
    let referenced: BTreeSet<_> = parts.map(Part::key).collect();
    keys.into_iter()
        .filter(|key| key.starts_with(PART_PREFIX) && !referenced.contains(*key))
        .collect()
}

/// The parts cut so far.
#[derive(Default)]
struct Parts {
    named: Vec<Part>,
    contents: Vec<Object>,
}

impl Parts {
    fn add(&mut self, kind: Kind, content: Vec<u8>) {
        let part = Part {
            kind,
            sha256: digest(&content),
            bytes: content.len() as u64,
        };
        self.contents.push(Object {
            key: part.key(),
            content,
        });
        self.named.push(part);
    }

    /// Cuts a list of elements into parts, each a JSON array.
    fn list<T: Serialize>(
        &mut self,
        kind: Kind,
        elements: &[T],
        name: impl Fn(&T) -> String,
    ) -> Result<(), Error> {
        let mut content = Vec::new();
        for element in elements {
            let json = to_json(element);
            if json.len() + 2 > MAX_PART_BYTES {
                let bytes = json.len();
                return Err(Error::TooLarge { kind, bytes });
            }
            if content.len() + json.len() + 2 > MAX_PART_BYTES {
                self.close(kind, &mut content);
            }
            content.push(if content.is_empty() { b'[' } else { b',' });
            content.extend_from_slice(&json);
            if content.len() >= MIN_PART_BYTES && ends_part(&name(element)) {
                self.close(kind, &mut content);
            }
        }
        self.close(kind, &mut content);
        Ok(())
    }

    fn close(&mut self, kind: Kind, content: &mut Vec<u8>) {
        if !content.is_empty() {
            content.push(b']');
            self.add(kind, std::mem::take(content));
        }
    }
}

/// Returns whether a part may end after the element of a name.
fn ends_part(name: &str) -> bool {
    Sha256::digest(name)[0] % CUT_ONE_IN == 0
}

fn append(config: &mut Config, kind: Kind, content: &[u8]) -> serde_json::Result<()> {
    let Config {
        register, rules, ..
    } = config;
    match kind {
        Kind::FailureDomains => extend(&mut register.failure_domains, content),
        Kind::ClientAccounts => extend(&mut register.client_accounts, content),
        Kind::Engines => extend(&mut register.engines, content),
        Kind::Services => extend(&mut register.services, content),
        Kind::Budgets => extend(&mut rules.budgets, content),
        Kind::Priorities => extend(&mut rules.priorities, content),
        Kind::Routes => extend(&mut rules.routes, content),
        Kind::Limits => {
            rules.limits = serde_json::from_slice(content)?;
            Ok(())
        }
    }
}

fn extend<T: DeserializeOwned>(list: &mut Vec<T>, content: &[u8]) -> serde_json::Result<()> {
    list.extend(serde_json::from_slice::<Vec<T>>(content)?);
    Ok(())
}

fn digest(content: &[u8]) -> String {
    hex::encode(Sha256::digest(content))
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("configuration types have string keys and no failing fields")
}
