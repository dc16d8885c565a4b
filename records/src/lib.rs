//! Call detail records, without I/O: one rated record per conversation, written once.
//!
//! A proxy writes [`entry::Entry`]s during a conversation, framed by [`journal`]. [`store`] holds them until they are
//! synced; [`commit`] decides when to sync and which entries count as stored. After a crash [`journal::read`] finds the intact entries, and [`ledger`] builds records
//! from them: open tries are recorded as lost and never billed. [`join`] joins a caller's tries through several
//! proxies to one conversation, and [`rating`] prices it by the plan in force. docs/records.md states what is
//! guaranteed.

#![forbid(unsafe_code)]

pub mod commit;
pub mod entry;
pub mod join;
pub mod journal;
pub mod ledger;
pub mod rating;
pub mod store;
