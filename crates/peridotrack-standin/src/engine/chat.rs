//! Chat completion messages and the text that the engine generates.
//!
//! ```
//! use peridotrack_standin::engine::chat;
//!
//! let messages = [chat::Message::user("hello")];
//! let text = chat::completion_text("request-1", &messages, 3);
//! assert_eq!(text.split_whitespace().count(), 3);
//! ```

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Tokens that each message costs beside its content.
const MESSAGE_TOKENS: u64 = 3;
/// Bytes of content for each prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Output tokens of a request that states no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Bytes of the digest that begin each token.
const SEED_BYTES: usize = 4;

/// A chat completion request; further fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Model to run.
    pub model: String,
    /// The prompt.
    pub messages: Vec<Message>,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed answer.
    #[serde(default)]
    pub stream_options: StreamOptions,
    /// Requests with a higher priority leave the queue first.
    #[serde(default)]
    pub priority: i64,
}

/// Options of a streamed answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk carries the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a prompt or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// The text.
    pub content: String,
}

impl Message {
    /// A message of the user.
    pub fn user(content: impl Into<String>) -> Self {
        Self {
            role: "user".to_owned(),
            content: content.into(),
        }
    }
}

impl Request {
    /// Most tokens that the answer may hold.
    pub fn max_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        let tokens = |message: &Message| {
            MESSAGE_TOKENS + (message.content.len() as u64).div_ceil(BYTES_PER_TOKEN)
        };
        self.messages.iter().map(tokens).sum()
    }
}

/// What the provider counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Their sum.
    pub total_tokens: u64,
}

impl Usage {
    /// Usage of a prompt and its answer.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// `chatcmpl-` and the request id.
    pub id: String,
    /// `chat.completion`.
    pub object: String,
    /// Always 0, so that answers can be compared.
    pub created: u64,
    /// Model that ran.
    pub model: String,
    /// One choice.
    pub choices: Vec<Choice>,
    /// What was counted.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<Usage>,
}

/// The choice of a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// `length` or `stop`.
    pub finish_reason: Option<String>,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// `chatcmpl-` and the request id.
    pub id: String,
    /// `chat.completion.chunk`.
    pub object: String,
    /// Always 0, so that answers can be compared.
    pub created: u64,
    /// Model that ran.
    pub model: String,
    /// One choice, or none in the chunk that carries the usage.
    pub choices: Vec<ChunkChoice>,
    /// What was counted.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<Usage>,
}

/// The choice of one event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// What this event adds.
    pub delta: Delta,
    /// `length` or `stop` in the event after the last token.
    pub finish_reason: Option<String>,
}

/// What one event adds to the answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// `assistant` in the first event.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub role: Option<String>,
    /// The token.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub content: Option<String>,
}

/// What a cancelled stream used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// `chatcmpl-` and the request id.
    pub id: String,
    /// Whether the whole answer had been generated before.
    pub finished: bool,
    /// What was counted.
    pub usage: Usage,
}

/// The whole text that the engine generates for a request.
pub fn completion_text(request_id: &str, messages: &[Message], tokens: u64) -> String {
    let seed = seed(request_id, messages);
    (0..tokens).map(|index| token(&seed, index)).collect()
}

/// The id in place of the request id in [`completion_text`] for the `run`th run, from 1, of an
/// engine that varies its runs.
pub fn run_id(request_id: &str, run: u64) -> String {
    match run {
        1 => request_id.to_owned(),
        _ => format!("{request_id}#{run}"),
    }
}

/// Eight hexadecimal digits that depend on the request id and the prompt.
pub(crate) fn seed(request_id: &str, messages: &[Message]) -> String {
    let mut digest = Sha256::new();
    digest.update(request_id.as_bytes());
    for message in messages {
        digest.update(b"\n");
        digest.update(message.role.as_bytes());
        digest.update(b":");
        digest.update(message.content.as_bytes());
    }
    hex::encode(&digest.finalize()[..SEED_BYTES])
}

/// The token at `index`, from 0.
pub(crate) fn token(seed: &str, index: u64) -> String {
    format!("{seed}.{index} ")
}
