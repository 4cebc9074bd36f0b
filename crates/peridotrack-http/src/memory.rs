//! Memory for messages that are read whole, shared by the connections of a process.
//!
//! A connection asks a [`Memory`] before its message grows, and waits while there is no room.
//! `peridotrack-capacity` decides; this module keeps the time and wakes the tasks that wait. Without
//! a memory, connections are bounded by their own limits only.

use std::{
    collections::BTreeMap,
    future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use bytes::Bytes;
use peridotrack_capacity::account::{self, Account};

/// Period at which a waiting task lets the account drop holders.
const TICK: Duration = Duration::from_millis(50);
/// Unit in which a message of unknown length asks for memory, in bytes.
const STEP_BYTES: usize = 16 * 1024;

/// The message was dropped to make room for others, or has waited too long for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped;

struct State {
    account: Account,
    /// Tasks that wait for a change of their holder.
    wakers: BTreeMap<account::Id, Waker>,
    opened: Instant,
    /// When the account last dropped holders; one of the waiting tasks does it in each period.
    ticked: Instant,
}

impl State {
    fn now_us(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn wake(&mut self, changed: &[account::Id]) {
        for id in changed {
            if let Some(waker) = self.wakers.remove(id) {
                waker.wake();
            }
        }
    }
}

/// Memory for messages of one process. Clones share it.
#[derive(Clone)]
pub struct Memory(Arc<Mutex<State>>);

impl Memory {
    /// Creates a memory with these limits.
    pub fn new(options: account::Options) -> Self {
        Self(Arc::new(Mutex::new(State {
            account: Account::new(options),
            wakers: BTreeMap::new(),
            opened: Instant::now(),
            ticked: Instant::now(),
        })))
    }

    /// Returns the held bytes by holder.
    pub fn usage(&self) -> account::Usage {
        self.lock().account.usage()
    }

    /// Returns whether messages wait for room, or have waited recently.
    pub fn is_holding_back(&self) -> bool {
        let state = self.lock();
        state.account.is_holding_back(state.now_us())
    }

    /// Adds a message that holds nothing yet.
    pub(crate) fn open(&self, kind: account::Kind) -> Share {
        let mut state = self.lock();
        let now_us = state.now_us();
        Share {
            memory: self.clone(),
            id: state.account.open(kind, now_us),
            granted_bytes: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one message, released when it is dropped.
pub(crate) struct Share {
    memory: Memory,
    id: account::Id,
    granted_bytes: usize,
}

impl Share {
    /// Waits until the message may hold `bytes` in all. Asks for no more than that if the length is
    /// known, and otherwise in steps.
    pub(crate) async fn grow_to(&mut self, bytes: usize, is_exact: bool) -> Result<(), Dropped> {
        if bytes <= self.granted_bytes {
            return Ok(());
        }
        let wanted_bytes = match is_exact {
            true => bytes,
            false => bytes.next_multiple_of(STEP_BYTES),
        };
        let asked_bytes = wanted_bytes - self.granted_bytes;
        match self.ask(asked_bytes) {
            account::State::Granted => {}
            account::State::Dropped => return Err(Dropped),
            account::State::Waiting => self.wait_for_room().await?,
        }
        self.granted_bytes = wanted_bytes;
        Ok(())
    }

    /// Waits until the message is dropped.
    pub(crate) async fn dropped(&self) {
        future::poll_fn(|context| match self.poll_state(context) {
            account::State::Dropped => Poll::Ready(()),
            _ => Poll::Pending,
        })
        .await;
    }

    /// Records that bytes of the message have arrived.
    pub(crate) fn received(&self, bytes: usize) {
        self.memory.lock().account.received(self.id, bytes);
    }

    /// Returns the complete message, which counts until its last clone is dropped.
    pub(crate) fn into_bytes(self, data: Vec<u8>) -> Bytes {
        let mut state = self.memory.lock();
        let now_us = state.now_us();
        let changed = state.account.complete(self.id, data.capacity(), now_us);
        state.wakers.remove(&self.id);
        state.wake(&changed);
        drop(state);
        Bytes::from_owner(Held { data, _share: self })
    }

    fn ask(&self, bytes: usize) -> account::State {
        let mut state = self.memory.lock();
        let now_us = state.now_us();
        state.account.ask(self.id, bytes, now_us)
    }

    async fn wait_for_room(&self) -> Result<(), Dropped> {
        loop {
            let changed = future::poll_fn(|context| match self.poll_state(context) {
                account::State::Waiting => Poll::Pending,
                state => Poll::Ready(state),
            });
            match monoio::time::timeout(TICK, changed).await {
                Ok(account::State::Dropped) => return Err(Dropped),
                Ok(_) => return Ok(()),
                Err(_) => {
                    let mut state = self.memory.lock();
                    if state.ticked.elapsed() < TICK {
                        continue;
                    }
                    state.ticked = Instant::now();
                    let now_us = state.now_us();
                    let changed = state.account.on_time(now_us);
                    state.wake(&changed);
                }
            }
        }
    }

    fn poll_state(&self, context: &Context<'_>) -> account::State {
        let mut state = self.memory.lock();
        state.wakers.insert(self.id, context.waker().clone());
        state.account.state(self.id)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        let now_us = state.now_us();
        let changed = state.account.release(self.id, now_us);
        state.wakers.remove(&self.id);
        state.wake(&changed);
    }
}

/// A complete message with its memory. The data is freed before the memory is released.
struct Held {
    data: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
