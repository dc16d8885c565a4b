//! The border proxy as a daemon. [`settings`] reads and checks its settings file, [`run`] runs it on UDP
//! sockets, [`serve`] runs it with the platform's protocol, and [`control`] is the socket for operators'
//! requests.

#![forbid(unsafe_code)]

pub mod backlog;
pub mod backoff;
mod changelog_client;
pub mod changelog_requests;
mod changelog_stream;
pub mod clock;
mod connections;
pub mod control;
pub mod council;
mod distribution;
pub mod durable_files;
pub mod feed;
pub mod journal;
pub mod journal_disk;
pub mod keys;
pub mod outbox;
mod pending_commands;
pub mod records;
pub mod release;
mod release_agent;
pub mod run;
pub mod running_release;
pub mod saved_file;
pub mod serve;
mod served_proxy;
pub mod settings;
mod sockets;
mod udp_timestamps;
