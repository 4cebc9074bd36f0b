//! `config show`: shows the configuration that the platform holds.

use std::net::SocketAddr;

use crate::{
    config::{check, object},
    platform::Platform,
    report::{Exit, Failure, OrExit, Report},
};

/// Shows the version of the stored configuration and the numbers of elements that it declares; the
/// JSON output is the complete configuration.
///
/// # Errors
///
/// Returns a failure if the platform cannot be reached or holds no configuration.
pub async fn show(platform: SocketAddr) -> Result<Report, Failure> {
    let Some(stored) = object::read(&Platform::open(platform)).await? else {
        return Err(Failure::new(
            Exit::Refused,
            format!("the platform at {platform} holds no configuration"),
        ));
    };
    let config = stored.config;
    let summary = check::summary(&config.register, &config.rules);
    let text = format!("version {}: {summary}\n", config.version);
    let json = serde_json::to_value(&config).or_exit(Exit::Refused)?;
    Ok(Report::done(text, json))
}
