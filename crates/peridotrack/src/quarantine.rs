//! `quarantine show` and `quarantine lift`: which requests and prompt parts the gateways of a fleet
//! refuse, from their statements in the store of the users' platform.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc};

use peridotrack_edge::platform::{self, Platform};
use peridotrack_kernel::{Kernel, log};
use peridotrack_quarantine::{
    event::{Event, Now},
    options::Options,
    quarantine::Quarantine,
    signature::Signature,
    statement::{Clearance, KIND, OPERATOR, Statement},
    verdict::Block,
};
use peridotrack_types::name;
use serde_json::{Value, json};

use crate::report::{Exit, Failure, OrExit, Report};

/// Maximum number of attempts of a write that conflicts with another operator's.
const MAX_ATTEMPTS: usize = 5;

/// Statements in the store, by author.
type Statements = Vec<(name::Vm, Statement)>;

/// Shows the signatures of requests that gateways refuse, with the crashes that prove each.
///
/// # Errors
///
/// Returns a failure if the store cannot be reached.
pub async fn show(store: SocketAddr) -> Result<Report, Failure> {
    let (statements, _) = read(&*open(store)?).await?;
    let quarantine = judge(&statements);
    let blocks = quarantine.blocks();
    let text: String = match blocks.is_empty() {
        true => "no request is blocked\n".to_owned(),
        false => blocks.iter().map(block_text).collect(),
    };
    let json: Vec<Value> = blocks.iter().map(block_json).collect();
    Ok(Report::done(text, json!({ "blocks": json })))
}

/// Withdraws all crashes that were stated under a signature, so that requests with it are sent again.
///
/// # Errors
///
/// Returns a failure if no crash was stated under the signature, the store cannot be reached, or the
/// write keeps conflicting with those of other operators.
pub async fn lift(store: SocketAddr, signature: Signature) -> Result<Report, Failure> {
    let platform = open(store)?;
    for _ in 0..MAX_ATTEMPTS {
        let (statements, revision) = read(&platform).await?;
        let clearances = clearances(&statements, signature);
        if clearances.is_empty() {
            let message = format!("no crash is stated under {}", describe(&signature));
            return Err(Failure::new(Exit::Refused, message));
        }
        let count = clearances.len();
        let statement = extended(&statements, clearances);
        let content = serde_json::to_vec(&statement).or_exit(Exit::Refused)?;
        let key = format!("{KIND}/{OPERATOR}");
        match platform.write(&key, revision, content.into()).await {
            Ok(_) => {
                let text = format!("withdrew {count} crashes under {}\n", describe(&signature));
                let json = json!({ "signature": signature, "withdrawn_crashes": count });
                return Ok(Report::done(text, json));
            }
            Err(platform::Error::Conflict { .. }) => {}
            Err(error) => return Err(error).or_exit(Exit::Unreachable),
        }
    }
    let message = "the write conflicts with those of other operators";
    Err(Failure::new(Exit::Refused, message))
}

fn open(store: SocketAddr) -> Result<Rc<Platform>, Failure> {
    let options = peridotrack_kernel::Options {
        log: log::Output::Off,
        ..peridotrack_kernel::Options::default()
    };
    let kernel = Kernel::open(options).or_exit(Exit::Refused)?;
    Ok(Platform::open(kernel, store, platform::Dialect::Hosted, 0))
}

/// Returns the statements that can be decoded, and the revision of the operators' object.
async fn read(platform: &Platform) -> Result<(Statements, Option<u64>), Failure> {
    let listing = platform.list(KIND).await.or_exit(Exit::Unreachable)?;
    let mut revision = None;
    let mut statements = Vec::new();
    for object in listing.objects {
        if object.name == OPERATOR {
            revision = Some(object.revision);
        }
        let content = platform::unpack(&object.content).unwrap_or_default();
        if let Ok(statement) = serde_json::from_slice(&content) {
            statements.push((object.name.into(), statement));
        }
    }
    Ok((statements, revision))
}

/// Judges as a gateway does that knows just these statements.
fn judge(statements: &Statements) -> Quarantine {
    let wall_ms = chrono::Utc::now().timestamp_millis().unsigned_abs();
    let now = Now {
        monotonic_us: 0,
        wall_ms,
    };
    let mut quarantine = Quarantine::new("".into(), Options::default());
    for (author, statement) in statements {
        let (author, statement) = (author.clone(), statement.clone());
        quarantine.on_event(now, Event::Stated { author, statement });
    }
    quarantine
}

/// Returns clearances for all crashes that are stated under the signature.
fn clearances(statements: &Statements, signature: Signature) -> BTreeSet<Clearance> {
    let crashes = statements
        .iter()
        .flat_map(|(_, statement)| &statement.crashes);
    crashes
        .filter(|crash| crash.signature == signature)
        .map(|crash| Clearance {
            signature,
            backend_server: crash.backend_server.clone(),
        })
        .collect()
}

/// Returns the operators' statement with more clearances, without those of crashes that nobody
/// states any more.
fn extended(statements: &Statements, added: BTreeSet<Clearance>) -> Statement {
    let mut operators = statements.iter();
    let operators = operators.find(|(author, _)| author.as_str() == OPERATOR);
    let (sequence, before) = operators.map_or((0, &[][..]), |(_, statement)| {
        (statement.sequence, &statement.clearances)
    });
    let is_stated = |clearance: &&Clearance| {
        let mut crashes = statements
            .iter()
            .flat_map(|(_, statement)| &statement.crashes);
        crashes.any(|crash| {
            crash.signature == clearance.signature
                && crash.backend_server == clearance.backend_server
        })
    };
    let kept = before.iter().filter(is_stated).cloned();
    let clearances: BTreeSet<Clearance> = kept.chain(added).collect();
    Statement {
        sequence: sequence + 1,
        crashes: Vec::new(),
        clearances: clearances.into_iter().collect(),
    }
}

fn describe(signature: &Signature) -> String {
    match signature {
        Signature::Part(_) => format!("prompt part {signature}"),
        Signature::Request(_) => signature.to_string(),
    }
}

fn block_text(block: &Block) -> String {
    let signatures: Vec<_> = block.signatures.iter().map(describe).collect();
    let mut text = format!("{} is blocked\n", signatures.join(" with "));
    for (server, crash) in &block.crashes {
        let authors: Vec<_> = crash.authors.iter().map(name::Vm::as_str).collect();
        let at = i64::try_from(crash.at_wall_ms).ok();
        let at = at.and_then(chrono::DateTime::from_timestamp_millis);
        let at = at.map_or_else(String::new, |at| at.to_rfc3339());
        text.push_str(&format!(
            "  {at}  {server} ended, reported by {}\n",
            authors.join(", ")
        ));
    }
    text
}

fn block_json(block: &Block) -> Value {
    let crashes = block.crashes.iter().map(|(server, crash)| {
        json!({
            "backend_server": server,
            "depth": crash.depth,
            "at_wall_ms": crash.at_wall_ms,
            "reported_by": crash.authors,
        })
    });
    json!({ "signatures": block.signatures, "crashes": crashes.collect::<Vec<_>>() })
}
