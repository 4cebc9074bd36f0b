//! Claims of one shard.
