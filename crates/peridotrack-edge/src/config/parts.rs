//! Fetches the parts of a large configuration from the platform or a peer, and caches those of the
//! active configuration.
//!
//! [`Parts::join`] assembles a configuration from its manifest; parts that did not change since the
//! previous configuration come from the cache.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use local_sync::oneshot;
use peridotrack_types::{
    collections,
    config::{self, store},
};

use crate::{peer, platform};

/// Timeout of a request for a part to a peer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 2_000;

/// Number of parts that are joined between two pauses.
const PARTS_PER_PAUSE: usize = 4;
/// Pause that lets other tasks of the event loop run.
const PAUSE: Duration = Duration::from_millis(1);

/// Source of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// The platform.
    Platform,
    /// The router that listens for peers on this address.
    Peer(SocketAddr),
}

impl Source {
    /// Returns the name of the source in logged events.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer(_) => "peer",
        }
    }
}

/// Cache of parts by their keys, which contain the digests of their contents.
pub(super) struct Parts {
    platform: Rc<platform::Platform>,
    link: Rc<peer::Link>,
    cached: RefCell<collections::HashMap<String, Bytes>>,
    /// Tasks that wait for a part from a peer, by the part's key.
    pending: RefCell<collections::HashMap<String, Vec<oneshot::Sender<Bytes>>>>,
}

impl Parts {
    pub(super) fn new(platform: Rc<platform::Platform>, link: Rc<peer::Link>) -> Self {
        Self {
            platform,
            link,
            cached: RefCell::default(),
            pending: RefCell::default(),
        }
    }

    /// Returns a part from the cache.
    pub(super) fn get(&self, key: &str) -> Option<Bytes> {
        self.cached.borrow().get(key).cloned()
    }

    /// Passes a part to the tasks that requested it; drops one that none requested.
    pub(super) fn receive(&self, key: &str, content: &Bytes) {
        for sender in self.pending.borrow_mut().remove(key).unwrap_or_default() {
            let _ = sender.send(content.clone());
        }
    }

    /// Fetches the parts that are not cached and joins all parts of `manifest`, which are then
    /// cached in place of the previous ones.
    pub(super) async fn join(
        &self,
        manifest: &store::Manifest,
        source: Source,
    ) -> Result<config::Config, String> {
        let mut parts = collections::HashMap::default();
        let mut joiner = store::Joiner::new(manifest.version);
        for (index, part) in manifest.parts.iter().enumerate() {
            if index % PARTS_PER_PAUSE == PARTS_PER_PAUSE - 1 {
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
        *self.cached.borrow_mut() = parts;
        Ok(joiner.finish())
    }

    async fn fetch(&self, key: &str, source: Source) -> Result<Bytes, String> {
        match source {
            Source::Platform => match self.platform.read(key).await {
                Ok(Some(object)) => Ok(object.body),
                Ok(None) => Err(format!("{key}: the platform has no such part")),
                Err(error) => Err(error.to_string()),
            },
            Source::Peer(peer) => self.request(key, peer).await,
        }
    }

    /// Requests a part from a peer and waits for it.
    async fn request(&self, key: &str, peer: SocketAddr) -> Result<Bytes, String> {
        let (sender, receiver) = oneshot::channel();
        self.pending
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
