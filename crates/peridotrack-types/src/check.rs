//! Checks of operators' JSON inputs that report every error, each at its path.
//!
//! serde stops at the first error. [`parse`] records it, puts a value in its
//! place that the type accepts, and deserialises again, so that one run shows
//! all errors. Errors inside a value that was put in place are not reported.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use serde_path_to_error::Segment;

/// Most problems that one parse reports.
pub const MAX_PROBLEMS: usize = 100;

/// Most deserialisations of one parse.
const MAX_PASSES: usize = 2_000;

const NOT_AN_OBJECT: &str = "is not a JSON object";

/// One error in an input.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// JSON path of the offending value, such as `$.engines[3].slots`.
    pub path: String,
    /// What is wrong with the value.
    pub message: String,
}

/// One step of a path into a JSON value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Key(String),
    Index(usize),
}

/// How an error is taken out of the input.
enum Repair {
    /// Removes the value.
    Remove,
    /// Puts a stand-in in place of the value, or adds it.
    Substitute,
}

impl Problem {
    /// Returns a problem at `path`.
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
/// Returns every error of syntax, type and field name, at most [`MAX_PROBLEMS`].
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Vec<Problem>> {
    let first = match serde_json::from_str::<T>(text) {
        // serde also reads a struct from an array of its fields.
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
    let problems = Search::new(value).run::<T>();
    if problems.is_empty() {
        // Only the text shows the error, such as a field that stands twice.
        return Err(vec![Problem::new("$", first.to_string())]);
    }
    Err(problems)
}

/// Reduces `problems` to the reported maximum and says so.
pub(crate) fn truncate(problems: &mut Vec<Problem>) {
    if problems.len() > MAX_PROBLEMS {
        let omitted = problems.len() - MAX_PROBLEMS;
        problems.truncate(MAX_PROBLEMS);
        problems.push(Problem::new("$", format!("{omitted} more problems")));
    }
}

/// Repeated deserialisation of one value, with the errors taken out one by one.
struct Search {
    value: Value,
    problems: Vec<Problem>,
    /// Substitutes tried so far at each repaired path.
    tried: BTreeMap<Vec<Step>, usize>,
}

impl Search {
    fn new(value: Value) -> Self {
        Self {
            value,
            problems: Vec::new(),
            tried: BTreeMap::new(),
        }
    }

    fn run<T: DeserializeOwned>(mut self) -> Vec<Problem> {
        for _ in 0..MAX_PASSES {
            let Err(error) = serde_path_to_error::deserialize::<_, T>(&self.value) else {
                break;
            };
            let path = steps(error.path());
            let message = error.inner().to_string();
            if !self.take_out(path, &message) {
                break;
            }
            if self.problems.len() > MAX_PROBLEMS {
                self.problems.truncate(MAX_PROBLEMS);
                self.problems
                    .push(Problem::new("$", "more problems were not listed"));
                break;
            }
        }
        self.problems
    }

    /// Records the error and repairs the value. Returns `false` if no repair is left.
    fn take_out(&mut self, mut path: Vec<Step>, message: &str) -> bool {
        let mut repair = Repair::Substitute;
        if let Some(field) = quoted(message, "missing field `") {
            path.push(Step::Key(field.to_owned()));
        } else if let Some(field) = quoted(message, "unknown field `") {
            let field = Step::Key(field.to_owned());
            if path.last() != Some(&field) {
                path.push(field);
            }
            repair = Repair::Remove;
        }
        if !self.is_substituted(&path) {
            self.problems.push(Problem::new(render(&path), message));
        }
        match repair {
            Repair::Remove => remove(&mut self.value, &path),
            Repair::Substitute => self.substitute(&path, message),
        }
    }

    /// Returns whether the path lies at or below a value that was put in place.
    fn is_substituted(&self, path: &[Step]) -> bool {
        (0..=path.len()).any(|len| self.tried.contains_key(&path[..len]))
    }

    fn substitute(&mut self, path: &[Step], message: &str) -> bool {
        let tried = self.tried.entry(path.to_vec()).or_insert(0);
        let index = *tried;
        *tried += 1;
        if let Some(variant) = quoted(message, "expected one of `")
            .or_else(|| quoted(message, ", expected `"))
            .filter(|_| message.starts_with("unknown variant"))
        {
            return set(&mut self.value, path, Value::from(variant));
        }
        let substitutes = substitutes();
        match substitutes.into_iter().nth(index) {
            Some(substitute) => set(&mut self.value, path, substitute),
            None => false,
        }
    }
}

/// Values of which one is accepted by each type that the inputs use.
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
fn quoted<'a>(message: &'a str, prefix: &str) -> Option<&'a str> {
    let (_, rest) = message.split_once(prefix)?;
    rest.split_once('`').map(|(field, _)| field)
}

fn steps(path: &serde_path_to_error::Path) -> Vec<Step> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Step::Index(*index)),
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

fn render(path: &[Step]) -> String {
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

fn find<'a>(value: &'a mut Value, path: &[Step]) -> Option<&'a mut Value> {
    path.iter().try_fold(value, |value, step| match step {
        Step::Key(key) => value.get_mut(key),
        Step::Index(index) => value.get_mut(index),
    })
}

fn set(value: &mut Value, path: &[Step], substitute: Value) -> bool {
    let Some((last, parent)) = path.split_last() else {
        *value = substitute;
        return true;
    };
    match (find(value, parent), last) {
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

fn remove(value: &mut Value, path: &[Step]) -> bool {
    let Some((Step::Key(key), parent)) = path.split_last() else {
        return false;
    };
    match find(value, parent) {
        Some(Value::Object(fields)) => fields.remove(key).is_some(),
        _ => false,
    }
}

/// What is expected of a digest.
pub(crate) const DIGEST_FORM: &str =
    "is not a SHA-256 digest: 64 lower-case hexadecimal digits expected";

/// Returns whether `text` is a SHA-256 digest in lower-case hexadecimal.
pub(crate) fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// Returns why no process can connect to `address`.
pub(crate) fn address_fault(address: SocketAddr) -> Option<&'static str> {
    if address.port() == 0 {
        Some("has port 0, which cannot be connected to")
    } else if address.ip().is_unspecified() || address.ip().is_multicast() {
        Some("is not the address of one host")
    } else {
        None
    }
}
