//! Stand-ins for a border proxy's environment: central servers, callers, the pool list, a faulty link,
//! faulty gossip members, the platform, and simpler routings as baselines.

pub mod baseline;
pub mod callers;
pub mod central;
pub mod feed;
pub mod link;
pub mod peers;
pub mod platform;
