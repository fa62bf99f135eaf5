//! Outlier detection: ejects backend servers that fail their requests.
//!
//! A backend server that fails every request immediately looks idle, so a
//! load-based placement prefers it. If each entry VM had to find that out by itself,
//! it would cost each of them failed requests, so the leader adds up the results
//! that all entry VMs report. Failures at a single entry VM are not enough for an
//! ejection, as the network link of that VM may be at fault.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bw_wire::name::Name;
use serde::Deserialize;

/// Thresholds and durations of an ejection.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Length of the sliding window in which results count, in milliseconds.
    pub window_ms: u64,
    /// Fewest failures in the window for which a backend server is ejected.
    pub failures: u32,
    /// Fewest entry VMs that must have seen failures in the window.
    pub entries: usize,
    /// Lowest failure rate for which a backend server is ejected, in percent.
    pub share: u32,
    /// Duration of the first ejection, in milliseconds. It doubles each time that the
    /// backend server fails again.
    pub hold_ms: u64,
    /// Longest ejection, in milliseconds. A shorter limit costs more failed requests,
    /// some at the end of each ejection. A longer one wastes the capacity of backend
    /// servers that have recovered: 8 s kept a third of a fleet out for seconds.
    pub hold_max_ms: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            window_ms: 2_000,
            failures: 3,
            entries: 2,
            share: 40,
            hold_ms: 1_000,
            hold_max_ms: 3_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Sample {
    at_ms: u64,
    entry: Name,
    succeeded: u32,
    failed: u32,
}

#[derive(Clone, Debug, Default)]
struct Record {
    samples: VecDeque<Sample>,
    ejected_until_ms: u64,
    /// Duration of the last ejection; 0 before the first one.
    ejection_ms: u64,
}

/// Recent results and ejections of all backend servers.
#[derive(Clone, Debug)]
pub struct Health {
    options: Options,
    records: BTreeMap<Name, Record>,
}

impl Health {
    /// Creates a detector without results.
    pub fn new(options: Options) -> Health {
        Health {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Adds the results that one entry VM reported for a backend server. Returns
    /// whether they cause its ejection, which starts now.
    pub fn record(
        &mut self,
        id: &Name,
        entry: &Name,
        succeeded: u32,
        failed: u32,
        now_ms: u64,
    ) -> bool {
        let options = self.options;
        // Successes before the first failure leave no record.
        if failed == 0 && !self.records.contains_key(id) {
            return false;
        }
        let record = self.records.entry(id.clone()).or_default();
        record.samples.push_back(Sample {
            at_ms: now_ms,
            entry: entry.clone(),
            succeeded,
            failed,
        });
        while record
            .samples
            .front()
            .is_some_and(|oldest| oldest.at_ms + options.window_ms < now_ms)
        {
            record.samples.pop_front();
        }
        if now_ms < record.ejected_until_ms || !is_failing(record, &options) {
            return false;
        }
        // The duration starts over unless the last ejection ended within `hold_max_ms`.
        let recent = now_ms < record.ejected_until_ms + options.hold_max_ms;
        record.ejection_ms = match record.ejection_ms {
            0 => options.hold_ms,
            _ if !recent => options.hold_ms,
            ejection_ms => (ejection_ms * 2).min(options.hold_max_ms),
        };
        record.ejected_until_ms = now_ms + record.ejection_ms;
        record.samples.clear();
        true
    }

    /// Returns whether a backend server is ejected.
    pub fn is_ejected(&self, id: &str, now_ms: u64) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| now_ms < record.ejected_until_ms)
    }
}

fn is_failing(record: &Record, options: &Options) -> bool {
    let failed: u32 = record.samples.iter().map(|sample| sample.failed).sum();
    let succeeded: u32 = record.samples.iter().map(|sample| sample.succeeded).sum();
    let failing = record.samples.iter().filter(|sample| sample.failed > 0);
    let entries: BTreeSet<&Name> = failing.map(|sample| &sample.entry).collect();
    failed >= options.failures
        && entries.len() >= options.entries
        && failed * 100 >= (failed + succeeded) * options.share
}
