//! CPU time and memory of processes and threads, from `/proc`.

use std::{collections, fs, time};

/// Clock ticks a second in `/proc`; fixed on Linux for all architectures.
const TICKS_PER_S: f64 = 100.0;
/// Position of `utime` in `/proc/PID/stat`, counted after the command name.
const UTIME: usize = 11;

/// Whose CPU time is measured.
#[derive(Clone, Debug)]
pub enum Subject {
    /// Processes by id.
    Processes(Vec<u32>),
    /// Threads of this process by id.
    Threads(Vec<u32>),
}

impl Subject {
    /// Returns the CPU time used so far, if it can be read.
    pub fn used(&self) -> Option<time::Duration> {
        let files: Vec<String> = match self {
            Subject::Processes(ids) => ids.iter().map(|id| format!("/proc/{id}/stat")).collect(),
            Subject::Threads(ids) => ids
                .iter()
                .map(|id| format!("/proc/self/task/{id}/stat"))
                .collect(),
        };
        if files.is_empty() {
            return None;
        }
        let mut ticks = 0;
        for file in files {
            // A process that was killed no longer counts.
            let stat = fs::read_to_string(file).unwrap_or_default();
            ticks += ticks_in(&stat).unwrap_or(0);
        }
        Some(time::Duration::from_secs_f64(ticks as f64 / TICKS_PER_S))
    }
}

/// Returns the ids of the threads of this process.
pub fn threads() -> collections::BTreeSet<u32> {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    let names = tasks.flatten().map(|task| task.file_name());
    names
        .filter_map(|name| name.to_str()?.parse().ok())
        .collect()
}

fn ticks_in(stat: &str) -> Option<u64> {
    // The command name stands in parentheses and may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(UTIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Returns the resident memory of a process in kilobytes, now and at its peak.
pub fn resident_kb(pid: u32) -> Option<(u64, u64)> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |name: &str| -> Option<u64> {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    Some((value("VmRSS:")?, value("VmHWM:")?))
}
