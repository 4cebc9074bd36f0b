//! Sample usage records.

use peridotrack_once::usage;
use peridotrack_types::{id, name};

/// Returns a final record under `key` with `tokens` completion tokens.
pub fn record(key: &str, request_id: id::Request, tokens: u64) -> usage::Record {
    usage::Record {
        account: name::ClientAccount::from("gramedia"),
        key: key.to_owned(),
        budget: name::Budget::from("2026"),
        model: name::Model::from("reviewer"),
        request_id,
        prompt_tokens: 10,
        completion_tokens: tokens,
        settled_tokens: 10 + tokens,
        wall_time_ms: 900,
        is_final: true,
    }
}
