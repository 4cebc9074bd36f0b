//! An invalid chat completion request must be refused with the name of its malformed field, and the
//! output of a valid one must be bounded: an unbounded request could spend more than is reserved.

use peridotrack_edge::caller::chat::{Chat, Error};
use peridotrack_types::rules;
use rstest::rstest;
use serde_json::{Value, json};

fn parse(body: &Value) -> Result<Chat, Error> {
    let limits = rules::Limits {
        max_output_tokens: 100,
        ..rules::Limits::default()
    };
    Chat::parse(body.to_string().as_bytes(), &limits)
}

fn body(extra: &Value) -> Value {
    let mut body = json!({"model": "m", "messages": [{"role": "user", "content": "hello"}]});
    let fields = extra.as_object().expect("an object").clone();
    body.as_object_mut().expect("an object").extend(fields);
    body
}

#[rstest]
#[case::none(json!({}), 100)]
#[case::smaller(json!({"max_tokens": 10}), 10)]
#[case::larger(json!({"max_tokens": 5000}), 100)]
#[case::newer_name(json!({"max_completion_tokens": 7}), 7)]
#[case::both(json!({"max_tokens": 9, "max_completion_tokens": 7}), 7)]
#[case::several_completions(json!({"n": 50, "best_of": 50}), 100)]
fn output_bound_is_set_in_the_forwarded_request(#[case] extra: Value, #[case] bound_tokens: u64) {
    let chat = parse(&body(&extra)).expect("a valid request");
    assert_eq!(chat.output_bound_tokens, bound_tokens);
    let forwarded: Value =
        serde_json::from_slice(&chat.into_forwarded_body(rules::Priority::High)).expect("JSON");
    assert_eq!(forwarded["max_tokens"], bound_tokens);
    assert_eq!(forwarded["n"], 1);
    assert_eq!(forwarded["priority"], 1);
    assert!(forwarded.get("max_completion_tokens").is_none());
    assert!(forwarded.get("best_of").is_none());
}

#[rstest]
#[case::no_model(json!({"messages": []}), "model")]
#[case::empty_model(body(&json!({"model": ""})), "model")]
#[case::no_messages(json!({"model": "m"}), "messages")]
#[case::empty_messages(json!({"model": "m", "messages": []}), "messages")]
#[case::negative_bound(body(&json!({"max_tokens": -1})), "max_tokens")]
#[case::zero_bound(body(&json!({"max_completion_tokens": 0})), "max_completion_tokens")]
#[case::stream_as_text(body(&json!({"stream": "yes"})), "stream")]
fn error_names_the_malformed_field(#[case] body: Value, #[case] field: &str) {
    let error = parse(&body).expect_err("malformed");
    assert!(
        matches!(error, Error::Field { field: found, .. } if found == field),
        "{error}"
    );
}

#[test]
fn prompt_bound_is_at_least_one_token_per_byte() {
    let chat = parse(&body(&json!({}))).expect("a valid request");
    assert!(chat.prompt_bound_tokens >= "hello".len() as u64);
    assert_eq!(chat.bound_tokens(), chat.prompt_bound_tokens + 100);
}

#[test]
fn prompts_with_the_same_beginning_have_the_same_prefix_hash() {
    let long = "x".repeat(2_000);
    let with = |end: &str| {
        let content = format!("{long}{end}");
        parse(&body(
            &json!({"messages": [{"role": "user", "content": content}]}),
        ))
        .expect("a valid request")
        .prefix_hash
    };
    assert_eq!(with("a"), with("b"));
    assert_ne!(
        with("a"),
        parse(&body(&json!({})))
            .expect("a valid request")
            .prefix_hash
    );
}
