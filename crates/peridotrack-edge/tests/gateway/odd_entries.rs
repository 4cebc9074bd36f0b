//! Entries of other writers among those of the backend servers, with contents or names that strain a
//! decoder. Whatever they hold, the gateway goes on and follows the entries of the servers.

use std::time::Duration;

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::{backend, store},
};
use rstest::rstest;
use serde_json::json;

use crate::fixture::{Fixture, LIMIT, config, entry};

/// A complete entry of a server at an address where nothing listens, with one field replaced.
fn entry_with(field: &str, value: &str) -> String {
    let mut entry = json!({
        "service": "lm", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 8,
        "state": "resting", "coldRemainingMs": 0, "sequence": 1, "extra": 0,
    });
    entry[field] = json!("@value");
    entry.to_string().replace("\"@value\"", value)
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn nested_objects(depth: usize) -> String {
    format!("{}0{}", "{\"a\":".repeat(depth), "}".repeat(depth))
}

#[rstest]
#[case::nested(nested(9_000))]
#[case::nested_deeper(nested(160_000))]
#[case::nested_objects(nested_objects(160_000))]
#[case::nested_field(entry_with("extra", &nested(160_000)))]
#[case::nested_known_field(entry_with("address", &nested(160_000)))]
#[case::nested_start(entry_with("born", &nested_objects(9_000)))]
#[case::number_of_400_digits(entry_with("slots", &"9".repeat(400)))]
#[case::number_too_large(entry_with("coldRemainingMs", "1e999"))]
#[case::number_of_128_bits(entry_with("sequence", "340282366920938463463374607431768211456"))]
#[case::negative_number(entry_with("slots", "-1"))]
#[case::port_too_large(entry_with("address", "\"127.0.0.1:99999\""))]
#[case::negative_port(entry_with("address", "\"127.0.0.1:-1\""))]
#[case::start_of_another_type(entry_with("born", "\"yesterday\""))]
#[case::start_too_large(entry_with("born", "340282366920938463463374607431768211456"))]
#[case::lone_surrogate(entry_with("zone", "\"\\ud800\""))]
#[case::long_text(entry_with("version", &format!("\"{}\"", "x".repeat(1_000_000))))]
#[case::control_character(entry_with("zone", "\"\u{1}\""))]
#[case::line_feed(entry_with("zone", "\"a\nb\""))]
#[case::field_given_twice(entry_with("extra", "0,\"slots\":9"))]
fn an_odd_entry_keeps_the_gateway_from_following_the_others(#[case] text: String) {
    block_on(async {
        let mut fixture = Fixture::spawn_before_config(2);
        for name in ["a-odd", "i-0-odd", "z-odd"] {
            fixture.store.put_text("servers", name, &text);
        }
        fixture
            .store
            .put("config", "main", crate::fixture::config(4, 1_000_000));
        fixture.ready().await;
        fixture.until_status("/safe/x", 200, LIMIT).await;
        // The next odd entry comes as a change, and new servers replace all.
        fixture
            .store
            .put_text("servers", "m-odd", &format!("{text} "));
        let replacements: Vec<_> = (0..2).map(|_| backend::spawn().unwrap()).collect();
        for (number, replacement) in replacements.iter().enumerate() {
            let name = format!("n-{number}");
            fixture.store.put("servers", &name, entry(replacement));
            fixture.store.remove("servers", &format!("i-{number}"));
        }
        monoio::time::sleep(Duration::from_millis(800)).await;
        fixture.backends = replacements;
        for _ in 0..10 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
        assert!(fixture.runs() >= 10);
    });
}

/// Guards against requests to the address of an entry of which bytes cannot be read.
#[test]
fn an_entry_with_unreadable_bytes_names_no_server() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let other = backend::spawn().unwrap();
        let text = entry(&other).to_string();
        let text = text.replace(r#""zone":"a""#, "\"zone\":\"a\u{1}\"");
        assert!(text.contains('\u{1}'));
        fixture.store.put_text("servers", "i-odd", &text);
        fixture.store.remove("servers", "i-0");
        fixture.until_status("/safe/x", 503, LIMIT).await;
        for _ in 0..10 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 503);
        }
        assert_eq!(other.arrivals(), 0);
    });
}

/// Asserts that a gateway that starts now becomes ready and serves requests with a server whose entry
/// stands behind those in the store.
async fn assert_server_is_listed_after_entries(store: store::Handle) {
    let backend = backend::spawn().unwrap();
    store.put("servers", "n-0", entry(&backend));
    store.put("config", "main", config(4, 1_000_000));
    let fixture = Fixture::spawn_with(store, vec![backend]);
    fixture.ready().await;
    assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
}

/// Guards against names of other writers' entries that become a part of the address of the next page:
/// gateways that were started while they stood ended, or never knew the servers.
#[rstest]
#[case::plain("batch")]
#[case::blank("batch job")]
#[case::ampersand("batch&waitMs=1")]
#[case::plus("batch+job")]
#[case::hash("batch#1")]
#[case::percent("batch%20job")]
#[case::lone_percent("batch%")]
#[case::question_mark("batch?watch=1")]
#[case::slash("batch/job")]
#[case::dots("../batch")]
#[case::quotes("\"batch\"")]
#[case::control("batch\r\n\tjob")]
#[case::other_script("batch-タスク")]
#[case::long(&"batch ".repeat(1_000))]
fn a_server_is_listed_after_entries_with_odd_names(#[case] name: &str) {
    block_on(async {
        let store = store::spawn().unwrap();
        // The stand-in returns two objects in a page, so that the first page ends with an odd name.
        for number in 0..3 {
            let name = format!("{name}{number}");
            store.put("servers", &name, json!({"service": "batch"}));
            store.put("config", &name, json!("not a configuration"));
        }
        assert_server_is_listed_after_entries(store).await;
    });
}

/// Guards against a list that was taken to end with a page none of whose objects can be decoded.
#[test]
fn a_server_is_listed_after_a_page_of_malformed_objects() {
    block_on(async {
        let store = store::spawn().unwrap();
        for number in 0..4 {
            let name = format!("batch-{number}");
            store.put("servers", &name, json!({"service": "batch"}));
            store.make_malformed("servers", &name, store::Flaw::Revision);
        }
        assert_server_is_listed_after_entries(store).await;
    });
}

/// Guards against the removal of servers that stand in a part of the list which cannot be read.
#[test]
fn a_known_server_is_kept_if_the_list_cannot_be_read_to_its_end() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        for name in ["batch-0", "batch-1"] {
            fixture
                .store
                .put("servers", name, json!({"service": "batch"}));
            fixture
                .store
                .make_malformed("servers", name, store::Flaw::Name);
        }
        let calls = fixture.store.counters().calls;
        fixture.store.clear_history();
        let has_listed = || fixture.store.counters().calls > calls + 8;
        wait::until(LIMIT, "listings", has_listed).await.unwrap();
        for _ in 0..5 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
    });
}
