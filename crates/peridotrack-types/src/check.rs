//! Parsing of operators' JSON input that reports every error at its JSON path.
//!
//! serde stops at the first error. [`parse`] records it, replaces the offending
//! value by one that the type accepts and deserializes again, so that one call
//! reports all errors. Errors inside a substituted value are not reported.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use serde_path_to_error::Segment;

/// Maximum number of problems that one parse reports in full.
pub const MAX_PROBLEMS: usize = 100;

/// Maximum number of deserialization passes of one parse.
const MAX_PASSES: usize = 2_000;

const NOT_AN_OBJECT: &str = "is not a JSON object";

/// An error in operators' input, printed as `path: message`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// JSON path of the offending value, such as `$.engines[3].slots`.
    pub path: String,
    /// Reason why the value is rejected.
    pub message: String,
}

/// One step of a path into a JSON value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Key(String),
    Index(usize),
}

/// How a value is changed so that the next deserialization continues past an error.
enum Repair {
    /// Removes an unknown field.
    Remove,
    /// Replaces an invalid value or adds a missing field.
    Substitute,
}

impl Problem {
    /// Returns a problem with the value at `path`, which begins with `$`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Parses `text` as a JSON object of type `T`.
///
/// # Errors
///
/// Returns every error of syntax, type and field name. Beyond [`MAX_PROBLEMS`] one more problem
/// says that others were omitted.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Vec<Problem>> {
    let first = match serde_json::from_str::<T>(text) {
        // serde also deserializes a struct from an array of its fields.
        Ok(_) if !text.trim_start().starts_with('{') => {
            return Err(vec![Problem::new("$", NOT_AN_OBJECT)]);
        }
        Ok(parsed) => return Ok(parsed),
        Err(error) => error,
    };
    let Ok(value) = serde_json::from_str::<Value>(text) else {
        return Err(vec![Problem::new("$", first.to_string())]);
    };
    if !value.is_object() {
        return Err(vec![Problem::new("$", NOT_AN_OBJECT)]);
    }
    let problems = ErrorCollector::new(value).run::<T>();
    if problems.is_empty() {
        // Deserializing from `Value` does not detect errors such as a duplicate field.
        return Err(vec![Problem::new("$", first.to_string())]);
    }
    Err(problems)
}

/// Truncates `problems` to [`MAX_PROBLEMS`] and adds one that states how many were omitted.
pub(crate) fn truncate(problems: &mut Vec<Problem>) {
    if problems.len() > MAX_PROBLEMS {
        let omitted = problems.len() - MAX_PROBLEMS;
        problems.truncate(MAX_PROBLEMS);
        problems.push(Problem::new("$", format!("{omitted} more problems")));
    }
}

/// Collects the errors of one value: deserializes it repeatedly and repairs one error per pass.
struct ErrorCollector {
    value: Value,
    problems: Vec<Problem>,
    /// Number of substitutes tried at each repaired path.
    attempts: BTreeMap<Vec<Step>, usize>,
}

impl ErrorCollector {
    fn new(value: Value) -> Self {
        Self {
            value,
            problems: Vec::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn run<T: DeserializeOwned>(mut self) -> Vec<Problem> {
        for _ in 0..MAX_PASSES {
            let Err(error) = serde_path_to_error::deserialize::<_, T>(&self.value) else {
                break;
            };
            let path = path_steps(error.path());
            let message = error.inner().to_string();
            if !self.record_and_repair(path, &message) {
                break;
            }
            if self.problems.len() > MAX_PROBLEMS {
                self.problems.truncate(MAX_PROBLEMS);
                self.problems
                    .push(Problem::new("$", "more problems are not listed"));
                break;
            }
        }
        self.problems
    }

    /// Records the error and repairs the value. Returns `false` if no repair is possible.
    fn record_and_repair(&mut self, mut path: Vec<Step>, message: &str) -> bool {
        let mut repair = Repair::Substitute;
        if let Some(field) = text_in_backticks(message, "missing field `") {
            path.push(Step::Key(field.to_owned()));
        } else if let Some(field) = text_in_backticks(message, "unknown field `") {
            let field = Step::Key(field.to_owned());
            if path.last() != Some(&field) {
                path.push(field);
            }
            repair = Repair::Remove;
        }
        if !self.is_substituted(&path) {
            self.problems
                .push(Problem::new(render_path(&path), message));
        }
        match repair {
            Repair::Remove => remove_field(&mut self.value, &path),
            Repair::Substitute => self.substitute(&path, message),
        }
    }

    /// Returns whether the path is at or below a substituted value.
    fn is_substituted(&self, path: &[Step]) -> bool {
        (0..=path.len()).any(|len| self.attempts.contains_key(&path[..len]))
    }

    fn substitute(&mut self, path: &[Step], message: &str) -> bool {
        let tried = self.attempts.entry(path.to_vec()).or_insert(0);
        let index = *tried;
        *tried += 1;
        if let Some(variant) = text_in_backticks(message, "expected one of `")
            .or_else(|| text_in_backticks(message, ", expected `"))
            .filter(|_| message.starts_with("unknown variant"))
        {
            return set_value(&mut self.value, path, Value::from(variant));
        }
        let substitutes = substitutes();
        match substitutes.into_iter().nth(index) {
            Some(substitute) => set_value(&mut self.value, path, substitute),
            None => false,
        }
    }
}

/// Returns the substitutes to try in order; each type of the inputs accepts one of them.
fn substitutes() -> [Value; 7] {
    [
        Value::from(1),
        Value::from("substitute"),
        Value::from(false),
        Value::from(Vec::<Value>::new()),
        Value::from(serde_json::Map::new()),
        Value::from("127.0.0.1:1"),
        Value::from("0000000000000000"),
    ]
}

/// Returns the text between `prefix` and the next backtick.
fn text_in_backticks<'a>(message: &'a str, prefix: &str) -> Option<&'a str> {
    let (_, rest) = message.split_once(prefix)?;
    rest.split_once('`').map(|(field, _)| field)
}

fn path_steps(path: &serde_path_to_error::Path) -> Vec<Step> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Step::Index(*index)),
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

fn render_path(path: &[Step]) -> String {
    let mut text = "$".to_owned();
    for step in path {
        match step {
            Step::Key(key) => {
                text.push('.');
                text.push_str(key);
            }
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

fn value_at_mut<'a>(value: &'a mut Value, path: &[Step]) -> Option<&'a mut Value> {
    path.iter().try_fold(value, |value, step| match step {
        Step::Key(key) => value.get_mut(key),
        Step::Index(index) => value.get_mut(index),
    })
}

fn set_value(value: &mut Value, path: &[Step], substitute: Value) -> bool {
    let Some((last, parent)) = path.split_last() else {
        *value = substitute;
        return true;
    };
    match (value_at_mut(value, parent), last) {
        (Some(Value::Object(fields)), Step::Key(key)) => {
            fields.insert(key.clone(), substitute);
            true
        }
        (Some(Value::Array(elements)), Step::Index(index)) if *index < elements.len() => {
            elements[*index] = substitute;
            true
        }
        _ => false,
    }
}

fn remove_field(value: &mut Value, path: &[Step]) -> bool {
    let Some((Step::Key(key), parent)) = path.split_last() else {
        return false;
    };
    match value_at_mut(value, parent) {
        Some(Value::Object(fields)) => fields.remove(key).is_some(),
        _ => false,
    }
}

/// Message for a string that is not a SHA-256 digest.
pub(crate) const DIGEST_ERROR: &str =
    "is not a SHA-256 digest: expected 64 lowercase hexadecimal digits";

/// Returns whether `text` is a SHA-256 digest in lowercase hexadecimal.
pub(crate) fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// Returns why a process cannot connect to `address`, or `None` if it can be a target.
pub(crate) fn address_error(address: SocketAddr) -> Option<&'static str> {
    if address.port() == 0 {
        Some("has port 0, to which no connection is possible")
    } else if address.ip().is_unspecified() || address.ip().is_multicast() {
        Some("is not the address of one host")
    } else {
        None
    }
}
