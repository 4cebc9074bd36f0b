//! Reads and writes the configuration as objects of the platform: one object, or a manifest and its
//! parts if the configuration is too large for one.

use std::collections::BTreeMap;

use bytes::Bytes;
use eyre::WrapErr;
use peridotrack_types::config::{Config, store};

use crate::{
    platform::{self, Platform},
    report::{Exit, Failure, OrExit},
};

/// A configuration and the object that holds it or its manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfig {
    /// Version of the object, the condition of the next write.
    pub object_version: u64,
    /// Content of the object as read.
    pub content: Bytes,
    /// Decoded configuration, with all parts joined.
    pub config: Config,
}

/// Reads the configuration that the platform holds, with all its parts; `None` if there is none.
///
/// # Errors
///
/// Returns a failure if the platform cannot be reached, or the object or a part cannot be decoded.
pub async fn read(platform: &Platform) -> Result<Option<StoredConfig>, Failure> {
    let object = platform.read(store::CURRENT_KEY).await;
    let Some(object) = object.or_exit(Exit::Unreachable)? else {
        return Ok(None);
    };
    let current = store::Current::parse(&object.content).or_exit(Exit::Refused)?;
    let config = match current {
        store::Current::Whole(config) => *config,
        store::Current::Split(manifest) => read_parts(platform, &manifest).await?,
    };
    Ok(Some(StoredConfig {
        object_version: object.version,
        content: object.content,
        config,
    }))
}

/// Creates the parts of a configuration that the platform does not hold yet.
///
/// # Errors
///
/// Returns a failure if the platform cannot be reached.
pub async fn write_parts(platform: &Platform, parts: Vec<store::Object>) -> Result<(), Failure> {
    let known = platform.list(store::PART_PREFIX).await;
    let known = known.or_exit(Exit::Unreachable)?;
    for part in parts {
        if known.binary_search(&part.key).is_ok() {
            continue;
        }
        // A conflict means that the part exists already. Its key determines its content.
        let written = platform.write(&part.key, None, &part.content.into()).await;
        let _: platform::WriteOutcome = written.or_exit(Exit::Unreachable)?;
    }
    Ok(())
}

async fn read_parts(platform: &Platform, manifest: &store::Manifest) -> Result<Config, Failure> {
    let mut contents: BTreeMap<String, Bytes> = BTreeMap::new();
    for part in &manifest.parts {
        let key = part.key();
        if contents.contains_key(&key) {
            continue;
        }
        let object = platform.read(&key).await.or_exit(Exit::Unreachable)?;
        if let Some(object) = object {
            contents.insert(key, object.content);
        }
    }
    store::join(manifest, |key| contents.get(key).map(AsRef::as_ref))
        .wrap_err("cannot join the parts of the configuration")
        .or_exit(Exit::Refused)
}
