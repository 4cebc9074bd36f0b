//! Fetches the parts of a large configuration and keeps those in use.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use local_sync::oneshot;
use peridotrack_types::{
    collections,
    config::{self, store},
};

use crate::{peer, platform};

/// Longest wait for a part from a peer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 2_000;

/// Parts that are read before other tasks get a turn.
const PARTS_AT_ONCE: usize = 4;
/// Time for other tasks between parts.
const PAUSE: Duration = Duration::from_millis(1);

/// Where a configuration comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// The platform.
    Platform,
    /// The peer that listens on this address.
    Peer(SocketAddr),
}

impl Source {
    /// Returns the source's name for events.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer(_) => "peer",
        }
    }
}

/// Parts by their keys, which are digests of their contents.
pub(super) struct Parts {
    platform: Rc<platform::Platform>,
    link: Rc<peer::Link>,
    held: RefCell<collections::HashMap<String, Bytes>>,
    waiting: RefCell<collections::HashMap<String, Vec<oneshot::Sender<Bytes>>>>,
}

impl Parts {
    pub(super) fn new(platform: Rc<platform::Platform>, link: Rc<peer::Link>) -> Self {
        Self {
            platform,
            link,
            held: RefCell::default(),
            waiting: RefCell::default(),
        }
    }

    /// Returns a part that is held.
    pub(super) fn get(&self, key: &str) -> Option<Bytes> {
        self.held.borrow().get(key).cloned()
    }

    /// Takes a part that a peer was asked for; others are dropped.
    pub(super) fn receive(&self, key: &str, content: &Bytes) {
        for sender in self.waiting.borrow_mut().remove(key).unwrap_or_default() {
            let _ = sender.send(content.clone());
        }
    }

    /// Fetches the parts that are not held and joins all. The parts of other manifests are dropped.
    pub(super) async fn join(
        &self,
        manifest: &store::Manifest,
        source: Source,
    ) -> Result<config::Config, String> {
        let mut parts = collections::HashMap::default();
        let mut joiner = store::Joiner::new(manifest.version);
        for (index, part) in manifest.parts.iter().enumerate() {
            if index % PARTS_AT_ONCE == PARTS_AT_ONCE - 1 {
                monoio::time::sleep(PAUSE).await;
            }
            let key = part.key();
            let content = match self.get(&key) {
                Some(content) => content,
                None => self.fetch(&key, source).await?,
            };
            joiner
                .push(part, &content)
                .map_err(|error| error.to_string())?;
            parts.insert(key, content);
        }
        *self.held.borrow_mut() = parts;
        Ok(joiner.finish())
    }

    async fn fetch(&self, key: &str, source: Source) -> Result<Bytes, String> {
        match source {
            Source::Platform => match self.platform.read(key).await {
                Ok(Some(object)) => Ok(object.body),
                Ok(None) => Err(format!("{key}: the platform has no such part")),
                Err(error) => Err(error.to_string()),
            },
            Source::Peer(peer) => self.ask(key, peer).await,
        }
    }

    async fn ask(&self, key: &str, peer: SocketAddr) -> Result<Bytes, String> {
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .entry(key.to_owned())
            .or_default()
            .push(sender);
        self.link.send(
            peer,
            &peer::Frame::ConfigPartRequest {
                key: key.to_owned(),
            },
        );
        let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
        match monoio::time::timeout(timeout, receiver).await {
            Ok(Ok(content)) => Ok(content),
            _ => Err(format!("{key}: peer {peer} did not send the part")),
        }
    }
}
