//! Parses a chat completion request and bounds the tokens that it can spend.
//!
//! The bound is reserved on a budget before the request is sent. [`Chat::parse`] therefore
//! overwrites the fields of the body that control how much output the engine generates.

use std::hash::{Hash, Hasher};

use bytes::Bytes;
use peridotrack_types::{name, rules};
use serde_json::{Map, Value};

use crate::engine;

/// Length of the message text that the prefix hash covers, in bytes. Requests are routed by that
/// hash to an engine that may have the prompt's prefix cached.
const PREFIX_BYTES: usize = 1_024;

/// Reason why a request body is not a valid chat completion request; sent as the problem's detail.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is not JSON, or not a JSON object.
    #[error("the body is not JSON: {detail}")]
    NotJson {
        /// Message of the JSON parser, with line and column, or what is expected instead.
        detail: String,
    },
    /// A field is missing or of the wrong type.
    #[error("$.{field}: {expected} is needed")]
    Field {
        /// Name of the field at the top level of the body.
        field: &'static str,
        /// Type or range that the field must have.
        expected: &'static str,
    },
}

/// A valid chat completion request whose output is bounded.
#[derive(Debug, Clone)]
pub struct Chat {
    /// Requested model; not checked against the models that engines serve.
    pub model: name::Model,
    /// Whether the caller requested a stream of server-sent events.
    pub is_stream: bool,
    /// Upper bound of the tokens that an engine counts for the prompt.
    pub prompt_bound_tokens: u64,
    /// Upper bound of the output tokens, set as `max_tokens` in the forwarded request.
    pub output_bound_tokens: u64,
    /// Hash of the model and the beginning of the message texts.
    pub prefix_hash: u64,
    /// Body to forward, except for its priority.
    body: Map<String, Value>,
}

impl Chat {
    /// Parses a request body and limits its output to `limits.max_output_tokens`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body is not a JSON object, or if `model`, `messages`, `stream`
    /// or a token limit is missing or invalid.
    pub fn parse(bytes: &[u8], limits: &rules::Limits) -> Result<Self, Error> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| Error::NotJson {
            detail: error.to_string(),
        })?;
        let Value::Object(mut body) = value else {
            return Err(Error::NotJson {
                detail: "an object is needed".to_owned(),
            });
        };
        let model = text_field(&body, "model")?.into();
        let is_stream = bool_field(&body, "stream")?;
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
        // `max_completion_tokens` is folded into `max_tokens`; `best_of` would generate several
        // completions and exceed the bound.
        body.remove("max_completion_tokens");
        body.remove("best_of");
        body.insert("max_tokens".to_owned(), output_bound_tokens.into());
        // One completion per request, so that the output bound holds for the whole request.
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

    /// Returns the upper bound of the tokens that the request spends, prompt and output together.
    pub fn bound_tokens(&self) -> u64 {
        self.prompt_bound_tokens
            .saturating_add(self.output_bound_tokens)
    }

    /// Returns the body to send to the engine, with the priority from the operators' rules.
    pub fn into_forwarded_body(mut self, priority: rules::Priority) -> Bytes {
        self.body.insert(
            "priority".to_owned(),
            engine::priority_number(priority).into(),
        );
        Bytes::from(serde_json::to_vec(&self.body).expect("a JSON object can be serialized"))
    }
}

fn text_field(body: &Map<String, Value>, field: &'static str) -> Result<String, Error> {
    body.get(field)
        .and_then(Value::as_str)
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .ok_or(Error::Field {
            field,
            expected: "a text",
        })
}

fn bool_field(body: &Map<String, Value>, field: &'static str) -> Result<bool, Error> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(Error::Field {
            field,
            expected: "true or false",
        }),
    }
}

/// Returns the smallest of the limits that the caller requests and `limit_tokens`.
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

/// Hashes the model and the first [`PREFIX_BYTES`] of message text; other content counts as empty.
fn hash_prefix(model: &name::Model, messages: &[Value]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    model.hash(&mut hasher);
    let mut remaining_bytes = PREFIX_BYTES;
    for message in messages {
        let content = message
            .get("content")
            .and_then(Value::as_str)
            .unwrap_or_default();
        let prefix = &content.as_bytes()[..content.len().min(remaining_bytes)];
        prefix.hash(&mut hasher);
        remaining_bytes -= prefix.len();
        if remaining_bytes == 0 {
            break;
        }
    }
    hasher.finish()
}
