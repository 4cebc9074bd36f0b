//! `config apply`: puts a register and rules in force.

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

/// Time between two questions to the routers.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Reads after a lost reply, until one shows more than the version known before.
const MAX_READ_BACKS: usize = 20;

/// What one router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouterVersion {
    /// Operator address of the router.
    pub router: SocketAddr,
    /// Name of its VM, if it answered.
    pub vm: Option<String>,
    /// Version that it holds, if it answered.
    pub config_version: Option<u64>,
    /// Why it does not hold the version that was applied.
    pub reason: Option<String>,
    /// Whether it could not be reached.
    #[serde(skip)]
    is_unreachable: bool,
}

/// What became of the write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Applied {
    /// The platform holds the new version.
    New,
    /// The platform held the same configuration before.
    Unchanged,
}

/// Checks the files, writes them as the next version, and waits for the routers.
///
/// # Errors
///
/// Returns a failure if the files are invalid, the change is refused, another operator
/// was first, or the platform cannot be reached.
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

/// Refuses a change that must not follow the configuration in force.
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

/// Returns the version above all that the platform and the routers hold.
///
/// Routers may hold a higher version than a platform that lost its latest objects, and
/// would ignore any version up to that one.
async fn next_version(fleet: &Fleet, stored: Option<&StoredConfig>) -> u64 {
    let responses = fleet.get_all::<Status>("/v1/status").await;
    let of_routers = responses
        .iter()
        .filter_map(|(_, response)| response.as_ref().ok())
        .map(|response| response.value.config_version);
    let of_platform = stored.map_or(0, |stored| stored.config.version);
    of_routers.max().unwrap_or(0).max(of_platform) + 1
}

/// Writes a configuration in place of the one that was read.
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
        WriteOutcome::Conflict => Err(lost_race(platform).await),
        WriteOutcome::ConflictAfterLostReply => {
            let found = read_back(platform, expected).await?;
            if found.as_ref().is_some_and(|found| found.content == content) {
                Ok(())
            } else {
                Err(lost_race(platform).await)
            }
        }
    }
}

/// Reads the object until it shows another version than `expected`, which is known to be
/// replaced: an response with that version is stale.
async fn read_back(
    platform: &Platform,
    expected: Option<u64>,
) -> Result<Option<StoredConfig>, Failure> {
    for _ in 0..MAX_READ_BACKS {
        let found = object::read(platform).await?;
        if found.as_ref().map(|found| found.object_version) > expected {
            return Ok(found);
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
    Err(Failure::new(
        Exit::Unreachable,
        "the outcome is unknown: the reply was lost and the platform shows stale versions",
    ))
}

/// Returns the failure of an operator who was not first.
async fn lost_race(platform: &Platform) -> Failure {
    let version = match object::read(platform).await {
        Ok(Some(stored)) => format!("version {}", stored.config.version),
        _ => "another version".to_owned(),
    };
    Failure::new(
        Exit::Refused,
        format!("another operator was first: {version} is in place; nothing was applied"),
    )
}

/// Asks the routers until all hold `version` or the time is up.
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
        monoio::time::sleep(POLL_PERIOD).await;
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
