//! Reads the processor time and memory of the daemons that this process started from `/proc`.

use std::fs;

use serde::Serialize;

/// Unit of the processor times in `/proc/PID/stat`; `USER_HZ` of Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of one daemon.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct ProcessCost {
    /// Name of the daemon's host.
    pub(super) host: String,
    /// Processor time in seconds since the start of the daemon, in user and system mode.
    pub(super) cpu_s: f64,
    /// Resident memory in KiB.
    pub(super) resident_kib: u64,
}

/// Reads the costs of the daemons that are children of this process, sorted by the names of their hosts.
pub(super) fn read_costs() -> Vec<ProcessCost> {
    let entries = fs::read_dir("/proc").into_iter().flatten().flatten();
    let numbered = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let mut costs: Vec<ProcessCost> = numbered.filter_map(read_cost).collect();
    costs.sort_by(|left, right| left.host.cmp(&right.host));
    costs
}

/// Reads the costs of a process; returns `None` if it is no daemon, no child of this process, or has ended.
fn read_cost(process: u32) -> Option<ProcessCost> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (name, fields) = stat.split_once('(')?.1.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let parent: u32 = fields.get(1)?.parse().ok()?;
    if name != "azuretided" || parent != std::process::id() {
        return None;
    }
    let ticks = fields.get(11)?.parse::<u32>().ok()? + fields.get(12)?.parse::<u32>().ok()?;
    let command = fs::read_to_string(format!("/proc/{process}/cmdline")).ok()?;
    let settings = command.trim_end_matches('\0').rsplit('/').next()?;
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(ProcessCost {
        host: settings.trim_end_matches(".ini").to_owned(),
        cpu_s: f64::from(ticks) / TICKS_PER_SECOND,
        resident_kib: resident.split_whitespace().next()?.parse().ok()?,
    })
}
