//! Encoding of a configuration as objects of the platform's store.
//!
//! The object [`CURRENT_KEY`] contains a small configuration completely. A large one is split: the
//! object then contains a [`Manifest`] that lists immutable parts, addressed by the digest of their
//! content. A writer creates the parts first and then replaces the object with a conditional write,
//! so that readers never see a partial change.
//!
//! Parts are content-defined chunks: a digest of an element's name decides whether a
//! part ends after it. Changing, inserting or removing one element therefore leaves the
//! other parts unchanged, and they are neither written nor read again.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

use super::Config;

/// Key of the object that contains the configuration or its manifest.
pub const CURRENT_KEY: &str = "config/current";
/// Key prefix of parts; the digest of the content follows it.
pub const PART_PREFIX: &str = "config/parts/";
/// Maximum size of an encoded configuration that is stored in one object, in bytes.
pub const MAX_WHOLE_BYTES: usize = 256 * 1024;
/// Maximum size of a part, in bytes.
pub const MAX_PART_BYTES: usize = 512 * 1024;
/// Minimum size of a part unless it is the last of its kind, in bytes.
const MIN_PART_BYTES: usize = 16 * 1024;
/// Average number of elements after [`MIN_PART_BYTES`] until one ends its part.
const BOUNDARY_ONE_IN: u8 = 128;

/// Decoded content of the object [`CURRENT_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Current {
    /// Manifest of a configuration larger than [`MAX_WHOLE_BYTES`].
    Split(Manifest),
    /// Configuration of at most [`MAX_WHOLE_BYTES`].
    Whole(Box<Config>),
}

/// Ordered list of the parts of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the configuration that the parts make up.
    pub version: u64,
    /// Parts in the order in which they are passed to [`Joiner::push`]; those of one kind are in
    /// the order of their elements.
    pub parts: Vec<Part>,
}

/// Reference to an immutable part, addressed by the digest of its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Section of the configuration that the part belongs to.
    pub kind: Kind,
    /// SHA-256 digest of the content, in lowercase hexadecimal.
    pub sha256: String,
    /// Length of the content, in bytes.
    pub bytes: u64,
}

/// Section of the configuration whose elements a part contains.
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
    /// Priority rules of the rules.
    Priorities,
    /// Routes of the rules.
    Routes,
    /// Limits of the rules: one object, not a list.
    Limits,
}

/// Objects that encode one configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoded {
    /// Content of [`CURRENT_KEY`], to be written last and conditionally on the object's version.
    pub current: Vec<u8>,
    /// Parts, to be created if absent before `current` is written.
    pub parts: Vec<Object>,
}

/// Key and content of a store object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Key within the platform's store.
    pub key: String,
    /// JSON text.
    pub content: Vec<u8>,
}

/// Reason why objects cannot be decoded to a configuration, or a configuration cannot be encoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The content of [`CURRENT_KEY`] is neither a configuration nor a manifest.
    #[error("{CURRENT_KEY}: {message}")]
    Current {
        /// Message of the JSON parser.
        message: String,
    },
    /// A part of the manifest was not supplied.
    #[error("{key}: the part is missing")]
    Missing {
        /// Key of the part.
        key: String,
    },
    /// The content of a part does not match its digest or length in the manifest.
    #[error("{key}: the content does not match the digest and length in the manifest")]
    Digest {
        /// Key of the part.
        key: String,
    },
    /// The content of a part is not JSON of its kind.
    #[error("{key}: {message}")]
    Malformed {
        /// Key of the part.
        key: String,
        /// Message of the JSON parser.
        message: String,
    },
    /// An element does not fit into one part.
    #[error("an element of {kind:?} has {bytes} bytes, more than the maximum of {MAX_PART_BYTES}")]
    TooLarge {
        /// Section that the element belongs to.
        kind: Kind,
        /// Length of the encoded element, in bytes.
        bytes: usize,
    },
}

impl Part {
    /// Returns the key of the object that contains the part.
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

    /// Returns the version of the configuration, whether it is split or not.
    pub fn version(&self) -> u64 {
        match self {
            Self::Split(manifest) => manifest.version,
            Self::Whole(config) => config.version,
        }
    }
}

/// Encodes a configuration: as one object up to [`MAX_WHOLE_BYTES`], else as a manifest and parts.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if an element does not fit into one part.
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

/// Splits a configuration of any size into a manifest and its parts.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if an element does not fit into one part.
pub fn split(config: &Config) -> Result<(Manifest, Vec<Object>), Error> {
    let Config {
        version,
        register,
        rules,
    } = config;
    let mut parts = Parts::default();
    parts.add_list(Kind::FailureDomains, &register.failure_domains, |domain| {
        domain.name.to_string()
    })?;
    parts.add_list(Kind::ClientAccounts, &register.client_accounts, |account| {
        account.name.to_string()
    })?;
    parts.add_list(Kind::Engines, &register.engines, |engine| {
        engine.name.to_string()
    })?;
    parts.add_list(Kind::Services, &register.services, |server| {
        server.name.to_string()
    })?;
    parts.add_list(Kind::Budgets, &rules.budgets, |budget| {
        budget.name.to_string()
    })?;
    parts.add_list(Kind::Priorities, &rules.priorities, |rule| {
        String::from_utf8_lossy(&to_json(rule)).into_owned()
    })?;
    parts.add_list(Kind::Routes, &rules.routes, |route| {
        format!("{}{}", route.service, route.path_prefix)
    })?;
    parts.add(Kind::Limits, to_json(&rules.limits));
    let manifest = Manifest {
        version: *version,
        parts: parts.references,
    };
    Ok((manifest, parts.objects))
}

/// Assembles a configuration part by part, so that the caller can interleave other work.
#[derive(Debug, Clone, Default)]
pub struct Joiner {
    config: Config,
}

impl Joiner {
    /// Returns a joiner for the configuration of `version`, to which no part was added yet.
    pub fn new(version: u64) -> Self {
        Self {
            config: Config {
                version,
                ..Config::default()
            },
        }
    }

    /// Adds the next part in the order of the manifest.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Digest`] if the content does not match the part's digest and length, and
    /// [`Error::Malformed`] if it cannot be decoded.
    pub fn push(&mut self, part: &Part, content: &[u8]) -> Result<(), Error> {
        if content.len() as u64 != part.bytes || digest(content) != part.sha256 {
            return Err(Error::Digest { key: part.key() });
        }
        append(&mut self.config, part.kind, content).map_err(|error| Error::Malformed {
            key: part.key(),
            message: error.to_string(),
        })
    }

    /// Returns the configuration; complete only after every part of the manifest was added.
    pub fn finish(self) -> Config {
        self.config
    }
}

/// Assembles a configuration from its manifest and parts; `content` looks up a part by its key.
///
/// # Errors
///
/// Returns an error if a part is missing, does not match its digest or cannot be decoded.
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

/// Returns those of `keys` that are parts referenced by none of `manifests`.
///
/// Keys without [`PART_PREFIX`] are skipped.
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

/// Parts completed so far: their references and their contents, in the same order.
#[derive(Default)]
struct Parts {
    references: Vec<Part>,
    objects: Vec<Object>,
}

impl Parts {
    fn add(&mut self, kind: Kind, content: Vec<u8>) {
        let part = Part {
            kind,
            sha256: digest(&content),
            bytes: content.len() as u64,
        };
        self.objects.push(Object {
            key: part.key(),
            content,
        });
        self.references.push(part);
    }

    /// Splits a list of elements into parts, each a JSON array; `name` identifies an element.
    fn add_list<T: Serialize>(
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
                self.finish_part(kind, &mut content);
            }
            content.push(if content.is_empty() { b'[' } else { b',' });
            content.extend_from_slice(&json);
            if content.len() >= MIN_PART_BYTES && is_part_boundary(&name(element)) {
                self.finish_part(kind, &mut content);
            }
        }
        self.finish_part(kind, &mut content);
        Ok(())
    }

    fn finish_part(&mut self, kind: Kind, content: &mut Vec<u8>) {
        if !content.is_empty() {
            content.push(b']');
            self.add(kind, std::mem::take(content));
        }
    }
}

/// Returns whether a part of at least [`MIN_PART_BYTES`] ends after the element with this name.
fn is_part_boundary(name: &str) -> bool {
    Sha256::digest(name)[0] % BOUNDARY_ONE_IN == 0
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
