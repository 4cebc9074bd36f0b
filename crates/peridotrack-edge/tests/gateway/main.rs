//! A gateway before stand-ins of the users' platform.

mod budget;
mod directory;
mod peers;
mod requests;
mod rig;
mod streams;
