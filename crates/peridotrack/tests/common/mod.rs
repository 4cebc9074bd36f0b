//! Shared fixture: a runtime, input files, a stand-in of the platform and fake routers.
#![allow(dead_code, reason = "no test file uses all of it")]

use std::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use peridotrack::arguments::{Apply, Inputs, Routers};
use peridotrack_http::{listen, server};
use peridotrack_standin::platform;
use serde_json::{Value, json};

/// Timeout of a whole test, so that a hang is a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Bearer key that fake routers accept.
pub const KEY: &str = "operators-key";

/// Runs a test body on a new runtime.
pub fn run<T>(body: impl Future<Output = T>) -> T {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime
        .block_on(async { monoio::time::timeout(TEST_TIMEOUT, body).await })
        .expect("the test timed out")
}

pub fn platform() -> platform::Handle {
    platform::spawn(&platform::Options::default()).unwrap()
}

/// Returns an address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

pub fn register() -> Value {
    json!({
        "failure_domains": [{"name": "d1", "region": "r"}],
        "client_accounts": [{"name": "a", "key_digests_sha256": ["a".repeat(64)]}],
        "engines": [{"name": "e1", "failure_domain": "d1", "address": "127.0.0.1:1",
                     "models": ["m"], "slots": 8}],
    })
}

pub fn rules(purchased_tokens: u64) -> Value {
    json!({
        "budgets": [
            {"name": "b", "purchased_tokens": purchased_tokens, "client_accounts": ["a"]},
        ],
    })
}

/// Writes a file in a new directory.
pub fn file(test: &str, name: &str, text: &str) -> PathBuf {
    static DIRECTORIES: AtomicU32 = AtomicU32::new(0);
    let number = DIRECTORIES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let directory = format!("{}/{process}-{number}-{test}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::create_dir_all(&directory).unwrap();
    let path = PathBuf::from(directory).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

pub fn inputs(test: &str, register: &Value, rules: &Value) -> Inputs {
    Inputs {
        register: file(test, "register.json", &register.to_string()),
        rules: file(test, "rules.json", &rules.to_string()),
    }
}

pub fn routers(test: &str, addresses: &[SocketAddr], key: &str) -> Routers {
    Routers {
        addresses: addresses.to_vec(),
        key_file: Some(file(test, "key", &format!("{key}\n"))),
    }
}

pub fn apply(test: &str, platform: SocketAddr, rules: &Value) -> Apply {
    Apply {
        inputs: inputs(test, &register(), rules),
        platform,
        routers: no_routers(),
        wait: None,
    }
}

/// Returns the JSON body for a path and query.
type Responder = Rc<RefCell<dyn FnMut(&str) -> Value>>;

pub fn no_routers() -> Routers {
    Routers {
        addresses: Vec::new(),
        key_file: None,
    }
}

/// A fake router that serves GET requests with [`KEY`] from a [`Responder`].
pub struct Router {
    pub address: SocketAddr,
}

impl Router {
    pub fn spawn(responder: impl FnMut(&str) -> Value + 'static) -> Self {
        let listener = listen::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let responder: Responder = Rc::new(RefCell::new(responder));
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(serve(stream, Rc::clone(&responder)));
            }
        });
        Self { address }
    }

    /// Spawns a router that reports version 0 in its first `after` responses, then `version`.
    pub fn holding(vm: &'static str, version: u64, after: u32) -> Self {
        let mut responses = 0;
        Self::spawn(move |_| {
            responses += 1;
            status(vm, if responses > after { version } else { 0 })
        })
    }
}

pub fn status(vm: &str, config_version: u64) -> Value {
    json!({
        "vm": vm, "incarnation": "00000000000000aa", "failure_domain": "d1", "state": "serving",
        "config_version": config_version, "peers": [{"is_live": true}, {"is_live": false}],
        "is_platform_reachable": true,
    })
}

async fn serve(stream: monoio::net::TcpStream, responder: Responder) {
    let mut connection = server::Connection::new(stream, server::Options::default());
    while let Ok(Some(request)) = connection.next().await {
        let key = request.head.headers.get("authorization");
        let is_known = key.is_some_and(|key| key == format!("Bearer {KEY}").as_str());
        let (status, body) = if is_known {
            let path = request.head.uri.path_and_query().unwrap().as_str();
            (200, (responder.borrow_mut())(path).to_string())
        } else {
            (401, String::new())
        };
        let response = http::Response::builder()
            .status(status)
            .body(Bytes::from(body));
        if connection.respond(response.unwrap()).await.is_err() {
            break;
        }
    }
}
