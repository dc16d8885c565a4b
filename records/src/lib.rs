//! Call detail records, without I/O: one a conversation, written once, rated.
//!
//! A proxy writes [`entry::Entry`]s as a conversation goes on, framed by [`journal`]; [`commit`] says when to sync and
//! which answers wait for it. After a crash [`journal::read`] finds what is sound, and [`ledger`] makes records of it:
//! what was open is lost, never billed, never left out. [`join`] makes one of a caller's tries through several
//! proxies, [`rating`] prices it by the plan in force. docs/records.md has the promise.

#![forbid(unsafe_code)]

pub mod commit;
pub mod entry;
pub mod join;
pub mod journal;
pub mod ledger;
pub mod rating;
