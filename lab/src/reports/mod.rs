//! Presentation of a drill's result: its summary, tables and the HTML page.

pub mod page;
pub mod summary;
