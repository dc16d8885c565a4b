//! Checks whether the machine can hold a run, before anything is started.

use std::fmt;
use std::fs;

/// Maximum processes of a run, including this one.
pub const MAX_PROCESSES: usize = 300;
/// Maximum share of the free memory and of the allowed descriptors that a run may use.
const MAX_SHARE: f64 = 0.5;

/// The resources that a run needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Estimated bytes.
    pub memory: f64,
    pub processes: usize,
    /// Descriptors of the process that has the most open.
    pub descriptors: u64,
}

/// The resources that are free now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Free {
    /// Bytes.
    pub memory: f64,
    /// Descriptors that a process may have open.
    pub descriptors: u64,
}

/// Refusal of a run, with the resource that is short.
#[derive(Clone, Debug, PartialEq)]
pub struct InsufficientResources(String);

impl fmt::Display for InsufficientResources {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for InsufficientResources {}

impl Free {
    /// Reads the free resources from `/proc`; what cannot be read counts as 0.
    pub fn now() -> Self {
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        Self { memory: parse_available_memory(&memory), descriptors: parse_max_open_files(&limits) }
    }
}

/// Available memory in bytes, from the text of `/proc/meminfo`; 0 if missing.
pub fn parse_available_memory(meminfo: &str) -> f64 {
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

/// Descriptors that this process may have open, from the text of `/proc/self/limits`; 0 if missing.
pub fn parse_max_open_files(limits: &str) -> u64 {
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next());
    soft.map_or(0, |soft| if soft == "unlimited" { u64::MAX } else { soft.parse().unwrap_or(0) })
}

/// Checks that a run fits into half of the free resources.
///
/// # Errors
///
/// Fails with a line that names what the run needs and what is free.
pub fn check(need: &Need, free: &Free) -> Result<(), InsufficientResources> {
    let mib = |bytes: f64| bytes / f64::from(1 << 20);
    if need.processes > MAX_PROCESSES {
        let line = format!("refused: {} processes, {MAX_PROCESSES} at the most", need.processes);
        return Err(InsufficientResources(line));
    }
    if need.memory > MAX_SHARE * free.memory {
        let (wants, half) = (mib(need.memory), mib(MAX_SHARE * free.memory));
        return Err(InsufficientResources(format!(
            "refused: about {wants:.0} MiB, half of what is free is {half:.0} MiB"
        )));
    }
    if need.descriptors as f64 > MAX_SHARE * free.descriptors as f64 {
        let (wants, max) = (need.descriptors, free.descriptors);
        return Err(InsufficientResources(format!(
            "refused: {wants} descriptors, half of {max} may be held"
        )));
    }
    Ok(())
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
