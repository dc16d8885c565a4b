//! Hangup causes, as carried by the CAUSECODE information element (RFC 5456, 8.6.33; the numbers are those of
//! Q.850). Only causes that this project sends or distinguishes have a name.

pub const UNALLOCATED: u8 = 1;
pub const NO_ROUTE: u8 = 3;
pub const NORMAL_CLEARING: u8 = 16;
pub const USER_BUSY: u8 = 17;
pub const NO_ANSWER: u8 = 19;
pub const REJECTED: u8 = 21;
pub const OUT_OF_ORDER: u8 = 27;
pub const INVALID_NUMBER: u8 = 28;
pub const NORMAL_UNSPECIFIED: u8 = 31;
pub const NO_CIRCUIT: u8 = 34;
pub const NETWORK_OUT_OF_ORDER: u8 = 38;
pub const TEMPORARY_FAILURE: u8 = 41;
pub const CONGESTION: u8 = 42;
pub const RESOURCE_UNAVAILABLE: u8 = 47;
pub const RECOVERY_ON_TIMER: u8 = 102;
