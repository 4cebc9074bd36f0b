//! Inputs of a [`crate::holder::Holder`]: outcomes of store calls, peer messages and ticks.

use peridotrack_types::id;

use crate::{ledger, message};

/// An input of a [`crate::holder::Holder`].
///
/// The driver reports exactly one outcome for every [`crate::action::Action::Read`] and
/// [`crate::action::Action::Write`], however late it is. A timeout of the driver is reported as
/// `ReadFailed` or `WriteUnknown`. At most one such action per shard is outstanding.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed; expected about every 20 ms.
    Tick,
    /// A read returned the shard object.
    ShardRead {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
        /// Version of the object that was read.
        version: u64,
        /// Contents of the object at that version.
        body: ledger::Shard,
    },
    /// The shard object does not exist yet.
    ShardAbsent {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
    },
    /// A read failed or timed out.
    ReadFailed {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
    },
    /// A write took effect.
    Written {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
        /// Version that the write produced.
        version: u64,
    },
    /// A write found another version than expected and had no effect.
    WriteConflict {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
        /// Current contents of the object, if the store returned them.
        current: Option<ledger::Versioned>,
    },
    /// The outcome of a write is unknown: it may take effect now, later or never.
    WriteUnknown {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
    },
    /// The store refused a write, for example because of a rate limit; the write had no effect.
    WriteRefused {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
        /// Time after which the store may accept writes again, in milliseconds.
        retry_after_ms: u64,
    },
    /// A shard may have changed, for example by an operator's release; it is checked at once.
    Refresh {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
    },
    /// A message arrived from another holder.
    Peer {
        /// Holder that sent the message.
        from: id::Incarnation,
        /// Contents of the message.
        message: message::Message,
    },
    /// The connection to another holder was lost.
    PeerLost {
        /// Holder at the other end of the connection.
        peer: id::Incarnation,
    },
}
