//! What is kept and shown of a drill: its events, its summary, tables and the HTML page.

pub mod events;
pub mod page;
pub mod summary;
