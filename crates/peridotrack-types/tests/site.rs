//! A request must reach the route with the longest matching prefix of its host, and be attributed
//! to the account of its key.

use peridotrack_types::site;
use rstest::rstest;

fn route(host: &str, path_prefix: &str) -> site::Route {
    site::Route {
        name: path_prefix.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        retry_policy: site::RetryPolicy::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        event_gap_ms: 0,
        rank: 0,
        max_attempts: 1,
        shares: Vec::new(),
        is_public: false,
    }
}

fn index() -> site::Index {
    let account = site::ClientAccount {
        name: "publisher-1".into(),
        keys: vec!["key-1".into(), "key-2".into()],
        rank: None,
        prepaid_tokens: None,
    };
    site::Index::new(&site::Site {
        routes: vec![
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("b.example", "/"),
        ],
        client_accounts: vec![account],
        ..site::Site::default()
    })
}

#[rstest]
#[case("a.example", "/x/1", Some(0))]
#[case("a.example", "/x/y/1", Some(1))]
#[case("a.example", "/x/y", Some(0))]
#[case("a.example", "/x", None)]
#[case("A.Example:8080", "/x/", Some(0))]
#[case("b.example", "/anything", Some(2))]
#[case("c.example", "/x/1", None)]
fn the_route_with_the_longest_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] position: Option<usize>,
) {
    assert_eq!(index().route(host, path), position);
}

#[test]
fn each_key_identifies_its_account_and_unknown_keys_none() {
    let index = index();
    assert_eq!(index.account("key-1"), Some(0));
    assert_eq!(index.account("key-2"), Some(0));
    assert_eq!(index.account("key-3"), None);
    assert_eq!(index.account(""), None);
}
