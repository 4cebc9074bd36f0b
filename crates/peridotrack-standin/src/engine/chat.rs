//! Messages of the chat completions API and the text that the engine generates.
//!
//! The text is a function of the request id and the prompt, so that a test can compute the
//! expected completion with [`completion_text`].
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

/// Prompt tokens counted per message in addition to its content.
const MESSAGE_TOKENS: u64 = 3;
/// Bytes of message content counted as one prompt token, rounded up.
const BYTES_PER_TOKEN: u64 = 4;
/// Output limit of a request without `max_tokens`, in tokens.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Bytes of the digest that each token starts with, in hexadecimal.
const SEED_BYTES: usize = 4;

/// Chat completion request; unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the requested model; any name is accepted.
    pub model: String,
    /// Messages of the prompt.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate; 16 if absent.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether to respond with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed response.
    #[serde(default)]
    pub stream_options: StreamOptions,
    /// Priority in the queue; higher values run first.
    #[serde(default)]
    pub priority: i64,
}

/// Options of a streamed response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk with the usage is sent.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a prompt or a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl Message {
    /// Creates a message with the role `user`.
    pub fn user(content: impl Into<String>) -> Self {
        Self {
            role: "user".to_owned(),
            content: content.into(),
        }
    }
}

impl Request {
    /// Returns the output limit in tokens, with the default applied.
    pub fn max_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns the number of tokens that the prompt counts as.
    pub fn prompt_tokens(&self) -> u64 {
        let tokens = |message: &Message| {
            MESSAGE_TOKENS + (message.content.len() as u64).div_ceil(BYTES_PER_TOKEN)
        };
        self.messages.iter().map(tokens).sum()
    }
}

/// Token counts that the engine reports for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated so far.
    pub completion_tokens: u64,
    /// Sum of prompt and completion tokens.
    pub total_tokens: u64,
}

impl Usage {
    /// Computes the sum of both counts.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }
}

/// Body of a response that is not streamed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// `chatcmpl-` followed by the request id.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Always 0, so that responses can be compared.
    pub created: u64,
    /// Name of the model as requested.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts; absent by the faults `omit_usage` and `truncate`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<Usage>,
}

/// The choice of a response that is not streamed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Generated message.
    pub message: Message,
    /// `length` or `stop`; `None` if the response is truncated.
    pub finish_reason: Option<String>,
}

/// Data of one event of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// `chatcmpl-` followed by the request id.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Always 0, so that responses can be compared.
    pub created: u64,
    /// Name of the model as requested.
    pub model: String,
    /// One choice, or none in the chunk that carries the usage.
    pub choices: Vec<ChunkChoice>,
    /// Token counts, in the chunk that carries the usage.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub usage: Option<Usage>,
}

/// The choice of one event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// Part of the message that this event adds.
    pub delta: Delta,
    /// `length` or `stop` in the event after the last token.
    pub finish_reason: Option<String>,
}

/// Part of a message that one event adds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// `assistant` in the first event.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub role: Option<String>,
    /// One token of text; absent in the event with the finish reason.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub content: Option<String>,
}

/// Response to the cancellation of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// `chatcmpl-` followed by the request id.
    pub id: String,
    /// Whether the completion had already been generated in full.
    pub finished: bool,
    /// Token counts up to the cancellation.
    pub usage: Usage,
}

/// Returns the first `tokens` tokens of the text that the engine generates for a request.
pub fn completion_text(request_id: &str, messages: &[Message], tokens: u64) -> String {
    let seed = seed(request_id, messages);
    (0..tokens).map(|index| token(&seed, index)).collect()
}

/// Returns the id to pass to [`completion_text`] for the given run (from 1) of a request id, on an
/// engine that varies its runs.
pub fn run_id(request_id: &str, run: u64) -> String {
    match run {
        1 => request_id.to_owned(),
        _ => format!("{request_id}#{run}"),
    }
}

/// Returns eight hexadecimal digits derived from the request id and the prompt.
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

/// Returns the token at `index`, from 0.
pub(crate) fn token(seed: &str, index: u64) -> String {
    format!("{seed}.{index} ")
}
