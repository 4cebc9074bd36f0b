//! Delivery of store calls and peer messages, with their latencies and the faults in force.

use peridotrack_budget::{event::Event, ledger, message::Message};
use peridotrack_types::id;

use super::{Fleet, Scheduled, State};

/// Sending of store calls and peer messages, and handling of calls that arrive at the store
impl Fleet {
    /// Returns true with a probability of `per_mille` in 1,000.
    ///
    /// A probability of 0 draws no random number.
    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.u32(0..1_000) < per_mille
    }

    pub(super) fn reaches_store(&self, node: usize) -> bool {
        self.faults.reaches_store(self.nodes[node].domain)
    }

    pub(super) fn send_read(&mut self, node: usize, shard: u32) {
        match self.reaches_store(node) {
            true => {
                let at_us = self.now_us + self.options.store_latency_us;
                self.schedule(at_us, node, Scheduled::Read { shard });
            }
            false => self.respond_after_timeout(node, Event::ReadFailed { shard }),
        }
    }

    /// Delivers the outcome of a store call once the call has timed out.
    pub(super) fn respond_after_timeout(&mut self, node: usize, event: Event) {
        let at_us = self.now_us + self.options.store_timeout_us;
        self.schedule(at_us, node, Scheduled::Event(event));
    }

    /// Delivers the store's response after the one-way latency.
    pub(super) fn respond(&mut self, node: usize, event: Event) {
        let at_us = self.now_us + self.options.store_latency_us;
        self.schedule(at_us, node, Scheduled::Event(event));
    }

    /// Handles a read that arrives at the store.
    pub(super) fn process_read(&mut self, node: usize, shard: u32) {
        let is_lost = self.chance(self.faults.lost_replies_per_mille);
        if is_lost || !self.reaches_store(node) {
            return self.respond_after_timeout(node, Event::ReadFailed { shard });
        }
        let age = match self.chance(self.faults.stale_reads_per_mille) {
            true => self.rng.usize(1..5),
            false => 0,
        };
        let event = match self.store.read(shard, age) {
            Some((version, body)) => Event::ShardRead {
                shard,
                version,
                body,
            },
            None => Event::ShardAbsent { shard },
        };
        self.respond(node, event);
    }

    pub(super) fn send_write(
        &mut self,
        node: usize,
        shard: u32,
        expected: Option<u64>,
        body: ledger::Shard,
    ) {
        let is_late = self.chance(self.faults.late_calls_per_mille);
        let is_sent = self.reaches_store(node);
        let delay_us = match is_late {
            true => self.options.store_timeout_us + self.rng.u64(0..3_000_000),
            false => self.options.store_latency_us,
        };
        if is_late || !is_sent {
            self.respond_after_timeout(node, Event::WriteUnknown { shard });
        }
        if is_sent {
            let item = Scheduled::Write {
                shard,
                expected,
                body,
                is_timed_out: is_late,
            };
            self.schedule(self.now_us + delay_us, node, item);
        }
    }

    /// Handles a write that arrives at the store; it gets no response if it has timed out.
    pub(super) fn process_write(
        &mut self,
        node: usize,
        shard: u32,
        expected: Option<u64>,
        body: ledger::Shard,
        is_timed_out: bool,
    ) {
        let is_reached = self.reaches_store(node);
        if is_reached && self.chance(self.faults.refused_writes_per_mille) {
            let retry_after_ms = self.rng.u64(1..200);
            if !is_timed_out {
                let event = Event::WriteRefused {
                    shard,
                    retry_after_ms,
                };
                self.respond(node, event);
            }
            return;
        }
        let outcome = match is_reached {
            true => self.store.write(shard, expected, body),
            false => None,
        };
        let is_lost = self.chance(self.faults.lost_replies_per_mille);
        if is_timed_out {
            return;
        }
        if is_lost || !is_reached {
            return self.respond_after_timeout(node, Event::WriteUnknown { shard });
        }
        let event = match outcome {
            Some(version) => Event::Written { shard, version },
            None => Event::WriteConflict {
                shard,
                current: self.store.current(shard),
            },
        };
        self.respond(node, event);
    }

    /// Sends a peer message. If the receiver has ended or is cut off, the sender is notified of a
    /// lost connection in half of the cases.
    pub(super) fn send_message(&mut self, node: usize, to: id::Incarnation, message: &Message) {
        self.counts.messages += 1;
        if self.options.counts_bytes {
            let bytes = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
            self.counts.message_bytes += bytes as u64;
        }
        let Some(&receiver) = self.nodes_by_id.get(&to) else {
            return;
        };
        let (sender_domain, receiver_domain) =
            (self.nodes[node].domain, self.nodes[receiver].domain);
        let is_stopped = matches!(self.nodes[receiver].state, State::Dead | State::Closed);
        if is_stopped || !self.faults.reaches(sender_domain, receiver_domain) {
            if self.chance(500) {
                let at_us = self.now_us + self.options.peer_latency_us;
                self.schedule(at_us, node, Scheduled::Event(Event::PeerLost { peer: to }));
            }
            return;
        }
        let repeats = match self.chance(self.faults.duplicated_messages_per_mille) {
            true => 2,
            false => 1,
        };
        for _ in 0..repeats {
            if self.chance(self.faults.lost_messages_per_mille) {
                continue;
            }
            let extra_us = self.rng.u64(0..=self.faults.max_extra_delay_us);
            let event = Event::Peer {
                from: self.nodes[node].holder.id(),
                message: message.clone(),
            };
            let at_us = self.now_us + self.options.peer_latency_us + extra_us;
            self.schedule(at_us, receiver, Scheduled::Event(event));
        }
    }
}
