//! Tests of a gateway that uses stand-ins of the store and the backend servers of the users'
//! platform.

mod budget;
mod close_delimited;
mod cold;
mod connections;
mod directory;
mod endless;
mod evacuation;
mod fixture;
mod fleet;
mod http_1_0;
mod late_bytes;
mod leaving_or_paused;
mod odd_entries;
mod peers;
mod prompt_parts;
mod raw;
mod repeated_refusal;
mod requests;
mod requests_that_crash;
mod stated_limit;
mod stopping;
mod streams;
mod tunnel;
mod unanswered;
mod versions;
