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
        object::{self, Held},
    },
    fleet::{self, Fleet, Status},
    platform::{Platform, Write},
    report::{Exit, Failure, OrExit, Report},
};

/// Time between two questions to the routers.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Reads after a lost reply, until one shows more than the version known before.
const READ_BACKS: usize = 20;

/// What one router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Holder {
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
    let held = object::read(&platform).await?;
    check_change(arguments, held.as_ref(), &rules)?;
    let (version, applied) = if is_same(held.as_ref(), &register, &rules) {
        (
            held.map_or(0, |held| held.config.version),
            Applied::Unchanged,
        )
    } else {
        let version = next_version(&fleet, held.as_ref()).await;
        let config = Config {
            version,
            register,
            rules,
        };
        write(&platform, held.as_ref(), &config).await?;
        (version, Applied::New)
    };
    let holders = match arguments.wait {
        Some(timeout) => wait(&fleet, version, timeout).await,
        None => Vec::new(),
    };
    Ok(report(version, applied, &holders))
}

/// Refuses a change that must not follow the configuration in force.
fn check_change(arguments: &Apply, held: Option<&Held>, rules: &Rules) -> Result<(), Failure> {
    let problems = held.map_or_else(Vec::new, |held| config::check_change(&held.config, rules));
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

fn is_same(held: Option<&Held>, register: &Register, rules: &Rules) -> bool {
    held.is_some_and(|held| held.config.register == *register && held.config.rules == *rules)
}

/// Returns the version above all that the platform and the routers hold.
///
/// Routers may hold a higher version than a platform that lost its latest objects, and
/// would ignore any version up to that one.
async fn next_version(fleet: &Fleet, held: Option<&Held>) -> u64 {
    let answers = fleet.ask_all::<Status>("/v1/status").await;
    let of_routers = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok())
        .map(|answer| answer.value.config_version);
    let of_platform = held.map_or(0, |held| held.config.version);
    of_routers.max().unwrap_or(0).max(of_platform) + 1
}

/// Writes a configuration in place of the one that was read.
async fn write(platform: &Platform, held: Option<&Held>, config: &Config) -> Result<(), Failure> {
    let encoded = store::encode(config).or_exit(Exit::Usage)?;
    if !encoded.parts.is_empty() {
        object::write_parts(platform, encoded.parts).await?;
    }
    let expected = held.map(|held| held.object_version);
    let content = encoded.current.into();
    let written = platform.write(store::CURRENT_KEY, expected, &content).await;
    match written.or_exit(Exit::Unreachable)? {
        Write::Done => Ok(()),
        Write::Conflict => Err(lost_race(platform).await),
        Write::ConflictAfterLostReply => {
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
/// replaced: an answer with that version is stale.
async fn read_back(platform: &Platform, expected: Option<u64>) -> Result<Option<Held>, Failure> {
    for _ in 0..READ_BACKS {
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
        Ok(Some(held)) => format!("version {}", held.config.version),
        _ => "another version".to_owned(),
    };
    Failure::new(
        Exit::Refused,
        format!("another operator was first: {version} is in place; nothing was applied"),
    )
}

/// Asks the routers until all hold `version` or the time is up.
async fn wait(fleet: &Fleet, version: u64, timeout: Duration) -> Vec<Holder> {
    let start = Instant::now();
    loop {
        let answers = fleet.ask_all::<Status>("/v1/status").await;
        let holders: Vec<_> = answers
            .into_iter()
            .map(|(router, answer)| holder(router, answer, version))
            .collect();
        let all_hold = holders.iter().all(|holder| holder.reason.is_none());
        if all_hold || start.elapsed() >= timeout {
            return holders;
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
}

fn holder(
    router: SocketAddr,
    answer: Result<fleet::Answer<Status>, fleet::Error>,
    version: u64,
) -> Holder {
    match answer {
        Ok(answer) => {
            let status = answer.value;
            let lags = status.config_version < version;
            Holder {
                router,
                vm: Some(status.vm.to_string()),
                config_version: Some(status.config_version),
                reason: lags.then(|| format!("holds version {}", status.config_version)),
                is_unreachable: false,
            }
        }
        Err(error) => Holder {
            router,
            vm: None,
            config_version: None,
            is_unreachable: error.is_unreachable(),
            reason: Some(error.to_string()),
        },
    }
}

fn report(version: u64, applied: Applied, holders: &[Holder]) -> Report {
    let mut text = match applied {
        Applied::New => format!("version {version} is accepted\n"),
        Applied::Unchanged => format!("version {version} already holds this configuration\n"),
    };
    for holder in holders {
        let vm = holder.vm.as_deref().unwrap_or("-");
        let state = holder.reason.as_deref().unwrap_or("holds it");
        text.push_str(&format!("  {} {vm}: {state}\n", holder.router));
    }
    let lagging = holders.iter().filter(|holder| holder.reason.is_some());
    let exit = if holders.iter().all(|holder| holder.reason.is_none()) {
        Exit::Done
    } else if lagging.clone().all(|holder| holder.is_unreachable) {
        Exit::Unreachable
    } else {
        Exit::Refused
    };
    if !holders.is_empty() {
        let holding = holders.len() - lagging.count();
        text.push_str(&format!("{holding} of {} routers hold it\n", holders.len()));
    }
    let json = serde_json::json!({
        "version": version,
        "is_new": applied == Applied::New,
        "routers": holders,
    });
    Report::done(text, json).exit(exit)
}
