//! `config apply`: writes a register and rules as the next version of the configuration.
//!
//! The write is conditional on the version that was read, so that concurrent operators cannot
//! overwrite each other. A lost response is resolved by reading the object back.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use peridotrack_types::{
    config::{self, Config, store},
    register::Register,
    rules::Rules,
};
use serde::Serialize;

use crate::{
    arguments::Apply,
    config::{
        check,
        object::{self, StoredConfig},
    },
    fleet::{self, Fleet, Status},
    platform::{Platform, WriteOutcome},
    report::{Exit, Failure, OrExit, Report},
};

/// Interval between polls of the routers, and between reads after a lost response.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of reads after a lost response, until one returns a later version than before.
const MAX_READ_BACKS: usize = 20;

/// Configuration version that one router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouterVersion {
    /// Operator address of the router.
    pub router: SocketAddr,
    /// Name of the router's VM; absent if it gave no usable response.
    pub vm: Option<String>,
    /// Version that the router holds; absent if it gave no usable response.
    pub config_version: Option<u64>,
    /// Reason why the router does not hold the applied version; absent if it does.
    pub reason: Option<String>,
    /// Whether the router could not be reached.
    #[serde(skip)]
    is_unreachable: bool,
}

/// Effect of the command on the stored configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Applied {
    /// A new version was written.
    New,
    /// The platform already held the same configuration; nothing was written.
    Unchanged,
}

/// Checks the files, writes them as the next version, and with `--wait` waits until the routers
/// hold it.
///
/// Invalid files give the report of [`check::check`].
///
/// # Errors
///
/// Returns a failure if a file cannot be read, the change is refused, another operator's write came
/// first, or the platform cannot be reached.
pub async fn apply(arguments: &Apply) -> Result<Report, Failure> {
    let (register, rules) = match check::read(&arguments.inputs)? {
        Ok(inputs) => inputs,
        Err(_) => return check::check(&arguments.inputs),
    };
    let platform = Platform::open(arguments.platform);
    let fleet = Fleet::open(&arguments.routers)?;
    let stored = object::read(&platform).await?;
    check_change(arguments, stored.as_ref(), &rules)?;
    let (version, applied) = if is_unchanged(stored.as_ref(), &register, &rules) {
        (
            stored.map_or(0, |stored| stored.config.version),
            Applied::Unchanged,
        )
    } else {
        let version = next_version(&fleet, stored.as_ref()).await;
        let config = Config {
            version,
            register,
            rules,
        };
        write(&platform, stored.as_ref(), &config).await?;
        (version, Applied::New)
    };
    let routers = match arguments.wait {
        Some(timeout) => wait_for_routers(&fleet, version, timeout).await,
        None => Vec::new(),
    };
    Ok(report(version, applied, &routers))
}

/// Refuses rules that must not follow the stored configuration, such as a lower purchased total.
fn check_change(
    arguments: &Apply,
    stored: Option<&StoredConfig>,
    rules: &Rules,
) -> Result<(), Failure> {
    let problems = stored.map_or_else(Vec::new, |stored| {
        config::check_change(&stored.config, rules)
    });
    if problems.is_empty() {
        return Ok(());
    }
    let lines = problems.into_iter().map(|problem| {
        let problem = check::locate(&arguments.inputs, problem);
        format!("\n{}: {}: {}", problem.file, problem.path, problem.message)
    });
    let message = format!("the change is refused:{}", lines.collect::<String>());
    Err(Failure::new(Exit::Refused, message))
}

fn is_unchanged(stored: Option<&StoredConfig>, register: &Register, rules: &Rules) -> bool {
    stored
        .is_some_and(|stored| stored.config.register == *register && stored.config.rules == *rules)
}

/// Returns the version after the highest that the platform or a router holds.
///
/// A platform that lost its latest objects may hold a lower version than the routers, which would
/// ignore a version that is not above their own.
async fn next_version(fleet: &Fleet, stored: Option<&StoredConfig>) -> u64 {
    let responses = fleet.get_all::<Status>("/v1/status").await;
    let of_routers = responses
        .iter()
        .filter_map(|(_, response)| response.as_ref().ok())
        .map(|response| response.value.config_version);
    let of_platform = stored.map_or(0, |stored| stored.config.version);
    of_routers.max().unwrap_or(0).max(of_platform) + 1
}

/// Replaces the configuration that was read, unless another write came first.
///
/// The parts of a large configuration are written before the manifest that refers to them.
async fn write(
    platform: &Platform,
    stored: Option<&StoredConfig>,
    config: &Config,
) -> Result<(), Failure> {
    let encoded = store::encode(config).or_exit(Exit::Usage)?;
    if !encoded.parts.is_empty() {
        object::write_parts(platform, encoded.parts).await?;
    }
    let expected = stored.map(|stored| stored.object_version);
    let content = encoded.current.into();
    let written = platform.write(store::CURRENT_KEY, expected, &content).await;
    match written.or_exit(Exit::Unreachable)? {
        WriteOutcome::Done => Ok(()),
        WriteOutcome::Conflict => Err(conflict_failure(platform).await),
        WriteOutcome::ConflictAfterLostResponse => {
            let found = read_back(platform, expected).await?;
            if found.as_ref().is_some_and(|found| found.content == content) {
                Ok(())
            } else {
                Err(conflict_failure(platform).await)
            }
        }
    }
}

/// Reads the object until its version is above `expected`. A conflict has shown that this version
/// was replaced, so a read that returns it is stale.
async fn read_back(
    platform: &Platform,
    expected: Option<u64>,
) -> Result<Option<StoredConfig>, Failure> {
    for _ in 0..MAX_READ_BACKS {
        let found = object::read(platform).await?;
        if found.as_ref().map(|found| found.object_version) > expected {
            return Ok(found);
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Failure::new(
        Exit::Unreachable,
        "the outcome is unknown: the response was lost and the platform returns stale versions",
    ))
}

/// Returns the failure of an apply that another operator's write preceded.
async fn conflict_failure(platform: &Platform) -> Failure {
    let version = match object::read(platform).await {
        Ok(Some(stored)) => format!("version {}", stored.config.version),
        _ => "another version".to_owned(),
    };
    Failure::new(
        Exit::Refused,
        format!("another operator was first: {version} is in place; nothing was applied"),
    )
}

/// Polls the routers until all hold `version` or `timeout` has passed.
async fn wait_for_routers(fleet: &Fleet, version: u64, timeout: Duration) -> Vec<RouterVersion> {
    let start = Instant::now();
    loop {
        let responses = fleet.get_all::<Status>("/v1/status").await;
        let routers: Vec<_> = responses
            .into_iter()
            .map(|(router, response)| router_version(router, response, version))
            .collect();
        let all_hold = routers.iter().all(|entry| entry.reason.is_none());
        if all_hold || start.elapsed() >= timeout {
            return routers;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

fn router_version(
    router: SocketAddr,
    response: Result<fleet::Response<Status>, fleet::Error>,
    version: u64,
) -> RouterVersion {
    match response {
        Ok(response) => {
            let status = response.value;
            let lags = status.config_version < version;
            RouterVersion {
                router,
                vm: Some(status.vm.to_string()),
                config_version: Some(status.config_version),
                reason: lags.then(|| format!("holds version {}", status.config_version)),
                is_unreachable: false,
            }
        }
        Err(error) => RouterVersion {
            router,
            vm: None,
            config_version: None,
            is_unreachable: error.is_unreachable(),
            reason: Some(error.to_string()),
        },
    }
}

fn report(version: u64, applied: Applied, routers: &[RouterVersion]) -> Report {
    let mut text = match applied {
        Applied::New => format!("version {version} is accepted\n"),
        Applied::Unchanged => format!("version {version} already holds this configuration\n"),
    };
    for entry in routers {
        let vm = entry.vm.as_deref().unwrap_or("-");
        let state = entry.reason.as_deref().unwrap_or("holds it");
        text.push_str(&format!("  {} {vm}: {state}\n", entry.router));
    }
    let lagging = routers.iter().filter(|entry| entry.reason.is_some());
    let exit = if routers.iter().all(|entry| entry.reason.is_none()) {
        Exit::Done
    } else if lagging.clone().all(|entry| entry.is_unreachable) {
        Exit::Unreachable
    } else {
        Exit::Refused
    };
    if !routers.is_empty() {
        let holding = routers.len() - lagging.count();
        text.push_str(&format!("{holding} of {} routers hold it\n", routers.len()));
    }
    let json = serde_json::json!({
        "version": version,
        "is_new": applied == Applied::New,
        "routers": routers,
    });
    Report::done(text, json).exit(exit)
}
