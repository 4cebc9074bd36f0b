//! Reads a chat completion request and bounds what it can spend.

use std::hash::{Hash, Hasher};

use bytes::Bytes;
use peridotrack_types::{name, rules};
use serde_json::{Map, Value};

use crate::engine;

/// Bytes of the prompt that decide which engine may hold its prefix.
const PREFIX_BYTES: usize = 1_024;

/// A request that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is not JSON.
    #[error("the body is not JSON: {detail}")]
    NotJson {
        /// Where and why.
        detail: String,
    },
    /// A field is missing or of the wrong type.
    #[error("$.{field}: {expected} is needed")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// What is needed.
        expected: &'static str,
    },
}

/// A chat completion request.
#[derive(Debug, Clone)]
pub struct Chat {
    /// Model that is asked for.
    pub model: name::Model,
    /// Whether the answer is to be streamed.
    pub is_stream: bool,
    /// Most tokens that an engine can count for the prompt.
    pub prompt_bound_tokens: u64,
    /// Most tokens of the answer, as set in the forwarded request.
    pub output_bound_tokens: u64,
    /// Hash of the beginning of the prompt.
    pub prefix_hash: u64,
    body: Map<String, Value>,
}

impl Chat {
    /// Reads a request and sets the bound on its output.
    pub fn parse(bytes: &[u8], limits: &rules::Limits) -> Result<Self, Error> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| Error::NotJson {
            detail: error.to_string(),
        })?;
        let Value::Object(mut body) = value else {
            return Err(Error::NotJson {
                detail: "an object is needed".to_owned(),
            });
        };
        let model = text(&body, "model")?.into();
        let is_stream = flag(&body, "stream")?;
        let messages = body
            .get("messages")
            .and_then(Value::as_array)
            .filter(|messages| !messages.is_empty())
            .ok_or(Error::Field {
                field: "messages",
                expected: "a list of messages",
            })?;
        let prompt_bound_tokens = engine::bound_tokens(bytes.len(), messages.len());
        let prefix_hash = hash_prefix(&model, messages);
        let output_bound_tokens = output_bound(&body, limits.max_output_tokens)?;
        // Fields that would multiply the output beyond its bound.
        body.remove("max_completion_tokens");
        body.remove("best_of");
        body.insert("max_tokens".to_owned(), output_bound_tokens.into());
        // One answer per request, so that the output bound holds for the whole request.
        body.insert("n".to_owned(), 1.into());
        if is_stream {
            let options = serde_json::json!({ "include_usage": true });
            body.insert("stream_options".to_owned(), options);
        }
        Ok(Self {
            model,
            is_stream,
            prompt_bound_tokens,
            output_bound_tokens,
            prefix_hash,
            body,
        })
    }

    /// Returns the most tokens that the request can spend.
    pub fn bound_tokens(&self) -> u64 {
        self.prompt_bound_tokens
            .saturating_add(self.output_bound_tokens)
    }

    /// Returns the body to forward, with the priority that the operators' rules give.
    pub fn forward(mut self, priority: rules::Priority) -> Bytes {
        self.body.insert(
            "priority".to_owned(),
            engine::priority_number(priority).into(),
        );
        Bytes::from(serde_json::to_vec(&self.body).expect("a JSON object can be written"))
    }
}

fn text(body: &Map<String, Value>, field: &'static str) -> Result<String, Error> {
    body.get(field)
        .and_then(Value::as_str)
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .ok_or(Error::Field {
            field,
            expected: "a text",
        })
}

fn flag(body: &Map<String, Value>, field: &'static str) -> Result<bool, Error> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(Error::Field {
            field,
            expected: "true or false",
        }),
    }
}

/// Returns the smaller of what the caller asks for and what the rules allow.
fn output_bound(body: &Map<String, Value>, limit_tokens: u64) -> Result<u64, Error> {
    let mut bound_tokens = limit_tokens;
    for field in ["max_tokens", "max_completion_tokens"] {
        match body.get(field) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let tokens = value
                    .as_u64()
                    .filter(|tokens| *tokens > 0)
                    .ok_or(Error::Field {
                        field,
                        expected: "a whole number above 0",
                    })?;
                bound_tokens = bound_tokens.min(tokens);
            }
        }
    }
    Ok(bound_tokens)
}

fn hash_prefix(model: &name::Model, messages: &[Value]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    model.hash(&mut hasher);
    let mut left_bytes = PREFIX_BYTES;
    for message in messages {
        let content = message
            .get("content")
            .and_then(Value::as_str)
            .unwrap_or_default();
        let prefix = &content.as_bytes()[..content.len().min(left_bytes)];
        prefix.hash(&mut hasher);
        left_bytes -= prefix.len();
        if left_bytes == 0 {
            break;
        }
    }
    hasher.finish()
}
