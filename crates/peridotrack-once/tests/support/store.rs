//! A simulated object store with conditional writes, lost responses, late writes and stale reads.

use std::collections::BTreeMap;

use peridotrack_once::{claim, shard_object};

/// Limit of the platform on the size of an object, in bytes.
pub const OBJECT_BYTES: usize = 1_000_000;
/// Timeout of a router's call, in microseconds.
const CALL_TIMEOUT_US: u64 = 40_000;

/// Frequencies of faults, in 1,000 calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost_requests: u32,
    pub lost_replies: u32,
    /// Writes that take effect long after the call timed out.
    pub late_writes: u32,
    pub refused: u32,
    pub stale_reads: u32,
    pub slow: u32,
}

/// The result of a call.
pub struct Effect {
    /// When the router receives the event.
    pub reply_us: u64,
    pub event: claim::Event,
    /// The time and content of a write that takes effect later.
    pub late_write: Option<(u64, Write)>,
}

#[derive(Clone)]
pub struct Write {
    pub object: String,
    pub expected: Option<u64>,
    pub body: shard_object::ShardObject,
}

#[derive(Default)]
pub struct Store {
    /// All versions of each object, from 1.
    objects: BTreeMap<String, Vec<shard_object::ShardObject>>,
    pub faults: Faults,
    /// The store does not respond before this time.
    pub unavailable_until_us: u64,
    pub reads: u64,
    pub writes: u64,
    pub conflicts: u64,
}

impl Store {
    pub fn read(&mut self, now_us: u64, rng: &mut fastrand::Rng, object: String) -> Effect {
        self.reads += 1;
        let is_lost = now_us < self.unavailable_until_us || chance(rng, self.faults.lost_requests);
        if is_lost {
            let event = claim::Event::ReadFailed { object };
            return Effect::reply(now_us + CALL_TIMEOUT_US, event);
        }
        let versions = self.objects.get(&object).map_or(0, Vec::len);
        let version = if chance(rng, self.faults.stale_reads) {
            rng.usize(0..=versions)
        } else {
            versions
        };
        let reply_us = now_us + self.latency_us(rng);
        if version == 0 {
            return Effect::reply(reply_us, claim::Event::Absent { object });
        }
        let body = self.objects[&object][version - 1].clone();
        let version = version as u64;
        Effect::reply(
            reply_us,
            claim::Event::Read {
                object,
                version,
                body,
            },
        )
    }

    pub fn write(&mut self, now_us: u64, rng: &mut fastrand::Rng, write: Write) -> Effect {
        self.writes += 1;
        let object = write.object.clone();
        let unknown = claim::Event::WriteUnknown {
            object: object.clone(),
        };
        let timeout_us = now_us + CALL_TIMEOUT_US;
        if now_us < self.unavailable_until_us || chance(rng, self.faults.lost_requests) {
            return Effect::reply(timeout_us, unknown);
        }
        if chance(rng, self.faults.refused) {
            return Effect::reply(
                now_us + self.latency_us(rng),
                claim::Event::WriteRefused {
                    object,
                    retry_after_ms: 20,
                },
            );
        }
        if chance(rng, self.faults.late_writes) {
            let late_us = now_us + rng.u64(1_000..2_000_000);
            let mut effect = Effect::reply(timeout_us, unknown);
            effect.late_write = Some((late_us, write));
            return effect;
        }
        let event = self.apply(&write);
        if chance(rng, self.faults.lost_replies) {
            return Effect::reply(timeout_us, unknown);
        }
        Effect::reply(now_us + self.latency_us(rng), event)
    }

    pub fn apply(&mut self, write: &Write) -> claim::Event {
        let object = write.object.clone();
        let versions = self.objects.entry(object.clone()).or_default();
        if versions.len() as u64 != write.expected.unwrap_or(0) {
            self.conflicts += 1;
            return claim::Event::Conflict { object };
        }
        let text = serde_json::to_string(&write.body).expect("a shard object is JSON");
        assert!(
            text.len() < OBJECT_BYTES,
            "{object} has {} bytes",
            text.len()
        );
        versions.push(serde_json::from_str(&text).expect("JSON reads back"));
        let version = versions.len() as u64;
        claim::Event::Written { object, version }
    }

    pub fn latest(&self, object: &str) -> Option<&shard_object::ShardObject> {
        self.objects.get(object)?.last()
    }

    pub fn remove(&mut self, object: &str) {
        self.objects.remove(object);
    }

    pub fn pages(&self) -> usize {
        let names = self.objects.keys();
        names.filter(|name| name.matches('/').count() == 2).count()
    }

    fn latency_us(&self, rng: &mut fastrand::Rng) -> u64 {
        let slow_us = if chance(rng, self.faults.slow) {
            30_000
        } else {
            0
        };
        rng.u64(2_000..6_000) + slow_us
    }
}

impl Effect {
    fn reply(reply_us: u64, event: claim::Event) -> Self {
        Self {
            reply_us,
            event,
            late_write: None,
        }
    }
}

/// Returns true with a probability of `per_mille` in 1,000.
pub fn chance(rng: &mut fastrand::Rng, per_mille: u32) -> bool {
    rng.u32(0..1_000) < per_mille
}
