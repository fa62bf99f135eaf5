//! CPU time and memory of processes and threads, from `/proc`.

use std::{fs, time};

/// Clock ticks a second in `/proc`; fixed on Linux for all architectures.
const TICKS_PER_S: f64 = 100.0;
/// Position of `utime` in `/proc/PID/stat`, counted after the command name.
const UTIME: usize = 11;

/// Whose CPU time is measured.
#[derive(Clone, Debug)]
pub enum Subject {
    /// Processes by id.
    Processes(Vec<u32>),
    /// Threads of this process whose name starts with a text.
    Threads(&'static str),
}

impl Subject {
    /// Returns the CPU time used so far, if it can be read.
    pub fn used(&self) -> Option<time::Duration> {
        let files: Vec<String> = match self {
            Subject::Processes(ids) => ids.iter().map(|id| format!("/proc/{id}/stat")).collect(),
            Subject::Threads(prefix) => threads(prefix)?,
        };
        if files.is_empty() {
            return None;
        }
        let mut ticks = 0;
        for file in files {
            ticks += ticks_in(&fs::read_to_string(file).ok()?)?;
        }
        Some(time::Duration::from_secs_f64(ticks as f64 / TICKS_PER_S))
    }
}

fn threads(prefix: &str) -> Option<Vec<String>> {
    let mut files = Vec::new();
    for task in fs::read_dir("/proc/self/task").ok()? {
        let folder = task.ok()?.path();
        let name = fs::read_to_string(folder.join("comm")).unwrap_or_default();
        if name.starts_with(prefix) {
            files.push(folder.join("stat").to_string_lossy().into_owned());
        }
    }
    Some(files)
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
