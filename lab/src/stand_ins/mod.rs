//! StandInServer-ins for what surrounds a border proxy: central servers, callers, the pool list, a faulty link,
//! gossip members that misbehave, the platform, and simpler routings to compare ours with.

pub mod baseline;
pub mod callers;
pub mod central;
pub mod feed;
pub mod link;
pub mod peers;
pub mod platform;
