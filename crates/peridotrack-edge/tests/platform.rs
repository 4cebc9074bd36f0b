//! Client of the store: watches after their connections have fallen silent without a reset, responses in
//! an unusual notation or with entries that cannot be decoded, and responses that the store repeats.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Response;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpListener,
};
use peridotrack_edge::platform::{self, Dialect, Platform};
use peridotrack_http::server;
use peridotrack_kernel::{Kernel, Options};
use peridotrack_standin::{
    harness::{http::block_on, relay},
    hosted::{
        repeater::{self, Repeated, When},
        store,
    },
};
use rstest::rstest;

const KINDS: [&str; 3] = ["config", "servers", "evacuations"];
/// Longest time that a call may take which the store answers at once.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Longest time that a call may take whatever the store sends: a few times that of a large response over a
/// slow link.
const CALL_TIME: Duration = Duration::from_secs(12);
/// Pause between two bytes of a response, shorter than the timeout between two reads.
const DRIP_INTERVAL: Duration = Duration::from_millis(300);

/// A client of a store, and the link between them.
struct Fixture {
    platform: Rc<Platform>,
    link: relay::Relay,
    _store: store::Handle,
}

impl Fixture {
    /// Starts a store and leaves an idle connection of a watch of each kind.
    async fn spawn() -> Self {
        let store = store::spawn().unwrap();
        let link = relay::spawn(store.address()).unwrap();
        let kernel = Kernel::open(Options::default()).unwrap();
        let platform = Platform::open(kernel, link.address(), Dialect::Hosted, 0);
        let [config, servers, evacuations] = KINDS.map(|kind| platform.watch_kind(kind, 0, 50));
        let (config, servers, evacuations) = monoio::join!(config, servers, evacuations);
        for watch in [config, servers, evacuations] {
            watch.unwrap();
        }
        Self {
            platform,
            link,
            _store: store,
        }
    }

    /// Watches a kind and returns whether the response came at once.
    async fn is_answered(&self, kind: &str) -> bool {
        let started = Instant::now();
        let result = self.platform.watch_kind(kind, 0, 0).await;
        result.is_ok() && started.elapsed() < ANSWER_TIME
    }
}

/// Starts a store that gives the same response to the first call on each connection.
fn spawn_store(dialect: Dialect, response: Response<Bytes>) -> Rc<Platform> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = server::Connection::new(stream, server::Options::default());
            let _ = connection.next().await;
            let _ = connection.respond(response.clone()).await;
        }
    });
    let kernel = Kernel::open(Options::default()).unwrap();
    Platform::open(kernel, address, dialect, 0)
}

/// Guards against routers that find no peers, because one entry of the list of VMs cannot be decoded.
#[rstest]
#[case::unknown_state(r#"{"name":"vm-2","address":"127.0.0.1:2","state":"starting"}"#)]
#[case::host_name(r#"{"name":"vm-2","address":"vm-2.example:2","state":"live"}"#)]
#[case::no_address(r#"{"name":"vm-2","state":"live"}"#)]
#[case::name_of_another_type(r#"{"name":2,"address":"127.0.0.1:2","state":"live"}"#)]
#[case::null("null")]
fn a_vm_is_listed_beside_entries_that_cannot_be_decoded(#[case] odd: &str) {
    block_on(async {
        let sound = |number: u16| {
            format!(r#"{{"name":"vm-{number}","address":"127.0.0.1:{number}","state":"live"}}"#)
        };
        let body = format!(r#"{{"items":[{},{odd},{}]}}"#, sound(1), sound(3));
        let platform = spawn_store(Dialect::Native, Response::new(body.into()));
        let vms = platform.vms().await.unwrap();
        let names: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
        assert_eq!(names, ["vm-1", "vm-3"]);
    });
}

/// Guards against a ledger that cannot be read, because the store returns its text with escapes. JSON
/// allows one for each character.
#[test]
fn an_object_is_read_whose_text_the_store_has_escaped() {
    block_on(async {
        let content = br#"{"entries":{}}"#;
        let packed: String = serde_json::from_slice(&platform::pack(content)).unwrap();
        let escape = |character: char| format!("\\u{:04x}", u32::from(character));
        let escaped: String = packed.chars().map(escape).collect();
        let body = format!(r#"{{"metadata":{{"name":"0","revision":3}},"spec":"{escaped}"}}"#);
        let platform = spawn_store(Dialect::Hosted, Response::new(body.into()));
        let object = platform.read("ledger/0").await.unwrap().unwrap();
        assert_eq!(&object.body[..], content);
    });
}

/// Starts a store that sends the head of a response to each call, and then its body without an end, byte by
/// byte.
fn spawn_dripping_store() -> Rc<Platform> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            monoio::spawn(async move {
                let (_, _) = stream.read(Vec::with_capacity(4_096)).await;
                let mut sent = stream
                    .write_all(&b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n"[..])
                    .await;
                while sent.0.is_ok() {
                    monoio::time::sleep(DRIP_INTERVAL).await;
                    sent = stream.write_all(&b" "[..]).await;
                }
            });
        }
    });
    let kernel = Kernel::open(Options::default()).unwrap();
    Platform::open(kernel, address, Dialect::Hosted, 0)
}

/// Guards against calls that never end, and views that are never confirmed again, because a response arrives
/// byte by byte.
#[rstest]
fn a_response_that_never_ends_keeps_the_next_call_from_being_sent(
    #[values("list", "watch", "read", "write")] step: &str,
) {
    block_on(async {
        let platform = spawn_dripping_store();
        let call = async {
            match step {
                "list" => platform.list("config").await.is_err(),
                "watch" => platform.watch_kind("config", 1, 100).await.is_err(),
                "read" => platform.read("ledger/0").await.is_err(),
                _ => {
                    let write = platform.write("ledger/0", None, Bytes::from_static(b"{}"));
                    write.await.is_err()
                }
            }
        };
        let failed = monoio::time::timeout(CALL_TIME, call).await;
        assert_eq!(failed.ok(), Some(true));
    });
}

/// Guards against content that the store has lost since, because a response from before arrives late.
#[test]
fn a_response_of_an_earlier_era_is_taken_for_the_present_state() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(async move {
            for era in [Some("4"), Some("3"), None, Some("none"), Some("5")] {
                let (stream, _) = listener.accept().await.unwrap();
                let mut connection = server::Connection::new(stream, server::Options::default());
                let _ = connection.next().await;
                let mut response = Response::builder().header("connection", "close");
                if let Some(era) = era {
                    response = response.header("store-era", era);
                }
                let page = response.body(r#"{"items":[],"asOf":7}"#.into()).unwrap();
                let _ = connection.respond(page).await;
            }
        });
        let kernel = Kernel::open(Options::default()).unwrap();
        let platform = Platform::open(kernel, address, Dialect::Hosted, 0);
        let mut seen = Vec::new();
        for _ in 0..5 {
            let is_taken = platform.list("config").await.is_ok();
            seen.push((is_taken, platform.era()));
        }
        let unchanged = (true, Some(4));
        let expected = [
            unchanged,
            (false, Some(4)),
            unchanged,
            unchanged,
            (true, Some(5)),
        ];
        assert_eq!(seen, expected);
    });
}

/// Guards against a list without an end, because its pages name one another as the next.
#[test]
fn a_list_whose_pages_come_again_never_ends() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(async move {
            for name in ["a", "b"].into_iter().cycle() {
                let (stream, _) = listener.accept().await.unwrap();
                let mut connection = server::Connection::new(stream, server::Options::default());
                let _ = connection.next().await;
                let object = format!(r#"{{"metadata":{{"name":"{name}","revision":1}}}}"#);
                let page = format!(r#"{{"items":[{object}],"hasMore":true,"asOf":1}}"#);
                let _ = connection.respond(Response::new(page.into())).await;
            }
        });
        let kernel = Kernel::open(Options::default()).unwrap();
        let platform = Platform::open(kernel, address, Dialect::Hosted, 0);
        let list = monoio::time::timeout(CALL_TIME, platform.list("config")).await;
        let list = list.unwrap().unwrap();
        let names = list.objects.iter().map(|object| object.name.as_str());
        assert_eq!(names.collect::<BTreeSet<_>>(), BTreeSet::from(["a", "b"]));
        assert!(!list.is_complete);
    });
}

/// Watches of several kinds share their connections. The first timeout shows that all of them may be
/// unusable, so that the others do not wait for theirs.
#[test]
fn only_one_watch_waits_for_connections_that_have_fallen_silent() {
    block_on(async {
        let fixture = Fixture::spawn().await;
        fixture.link.silence_connections();
        assert!(!fixture.is_answered(KINDS[0]).await);
        for kind in KINDS {
            assert!(fixture.is_answered(kind).await, "{kind}");
        }
    });
}

/// A relay keeps the view current for long, and the connection of the last watch falls silent in that
/// time. The first watch after the loss of the relay must not wait for it.
#[test]
fn a_watch_after_a_long_pause_does_not_wait_for_a_connection_that_has_fallen_silent() {
    block_on(async {
        let fixture = Fixture::spawn().await;
        fixture.link.silence_connections();
        monoio::time::sleep(Duration::from_millis(1_200)).await;
        assert!(fixture.is_answered(KINDS[0]).await);
    });
}

/// Watches in succession use one connection.
#[test]
fn a_watch_reuses_the_connection_of_the_one_before_it() {
    block_on(async {
        let fixture = Fixture::spawn().await;
        for _ in 0..5 {
            assert!(fixture.is_answered(KINDS[0]).await);
        }
        fixture.link.refuse_connections();
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(fixture.is_answered(KINDS[0]).await);
    });
}

/// Guards against a write that counts as done although another one was, and against the content of
/// another object, because the response to an earlier call is taken for that to the call.
#[rstest]
#[case::at_once(When::AtOnce)]
#[case::late(When::After(Duration::from_millis(5)))]
#[case::idle(When::Idle(Duration::from_millis(20)))]
#[case::with_the_next(When::WithNext)]
fn a_repeated_response_is_taken_for_that_to_another_call(#[case] when: When) {
    const ROUNDS: u64 = 20;
    const NAMES: [&str; 3] = ["0", "1", "2"];
    block_on(async {
        let store = store::spawn().unwrap();
        let repeater = repeater::spawn(store.address(), Repeated::All, when).unwrap();
        let open = |address| {
            let kernel = Kernel::open(Options::default()).unwrap();
            Platform::open(kernel, address, Dialect::Hosted, 0)
        };
        let (platform, direct) = (open(repeater), open(store.address()));
        let (mut wrong, mut done) = (Vec::new(), 0);
        for round in 0..ROUNDS {
            for name in NAMES {
                let key = format!("ledger/{name}");
                let content = format!("{{\"name\":{name},\"round\":{round}}}");
                let stored = direct.read(&key).await.unwrap();
                let expected = stored.map(|object| object.version);
                let body = Bytes::from(content.clone());
                if let Ok(version) = platform.write(&key, expected, body).await {
                    let stored = direct.read(&key).await.unwrap();
                    let is_done = stored.is_some_and(|object| {
                        object.version == version && object.body == content.as_bytes()
                    });
                    done += u64::from(is_done);
                    wrong.extend((!is_done).then(|| format!("write {content}")));
                }
            }
            for name in NAMES {
                if let Ok(object) = platform.read(&format!("ledger/{name}")).await {
                    let text = object.map_or(Bytes::new(), |object| object.body);
                    let is_named = text.starts_with(format!("{{\"name\":{name},").as_bytes());
                    wrong.extend((!is_named).then(|| format!("read {name}: {text:?}")));
                }
            }
        }
        assert!(wrong.is_empty(), "{} wrong: {wrong:?}", wrong.len());
        assert!(done >= ROUNDS, "{done} writes have a response");
    });
}
