//! The border proxy as a daemon: [`settings`] reads and checks its file, [`run`] drives it on sockets,
//! [`serve`] does the same where the platform's protocol is spoken, [`control`] is the socket that operators
//! ask.

#![forbid(unsafe_code)]

pub mod backlog;
pub mod backoff;
mod changelog_client;
mod clock;
mod connections;
pub mod control;
pub mod council;
mod distribution;
pub mod feed;
pub mod journal;
pub mod keys;
mod pending_commands;
pub mod records;
pub mod release;
mod release_agent;
pub mod run;
pub mod running_release;
pub mod serve;
pub mod settings;
mod sockets;
mod udp_timestamps;
