//! What is shown of a drill: its summary, tables and the HTML page.

pub mod page;
pub mod summary;
