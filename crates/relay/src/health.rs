//! Which backend servers fail their requests, judged from the results that all
//! entry VMs report.
//!
//! A backend server that answers every request with an error at once looks idle
//! and attracts all requests. Each entry VM alone would learn it with failed
//! requests of its own, so the leader adds the results up. The results of one
//! entry VM do not suffice, as its own link may be at fault.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bw_wire::name::Name;
use serde::Deserialize;

/// Limits of the judgement.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Age up to which results count, in milliseconds.
    pub window_ms: u64,
    /// Failures in the window from which a backend server may be held.
    pub failures: u32,
    /// Entry VMs that must have seen failures.
    pub entries: usize,
    /// Share of failures, in hundredths, from which a backend server is held.
    pub share: u32,
    /// How long it is held first, in milliseconds; doubles each time that it
    /// fails again.
    pub hold_ms: u64,
    /// Longest hold in milliseconds. Each end of a hold costs some failed
    /// requests; each second too long costs the capacity of a backend server that
    /// has recovered (8 s held a third of a fleet out for seconds).
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
struct Result {
    at_ms: u64,
    entry: Name,
    succeeded: u32,
    failed: u32,
}

#[derive(Clone, Debug, Default)]
struct Record {
    results: VecDeque<Result>,
    ejected_until_ms: u64,
    hold_ms: u64,
}

/// The judgement of all backend servers.
#[derive(Clone, Debug)]
pub struct Health {
    options: Options,
    records: BTreeMap<Name, Record>,
}

impl Health {
    /// Starts without results.
    pub fn new(options: Options) -> Health {
        Health {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Takes results of one entry VM. Returns whether the backend server is held
    /// from now on.
    pub fn record(
        &mut self,
        id: &Name,
        entry: &Name,
        succeeded: u32,
        failed: u32,
        now_ms: u64,
    ) -> bool {
        let options = self.options;
        if failed == 0 && !self.records.contains_key(id) {
            return false;
        }
        let record = self.records.entry(id.clone()).or_default();
        record.results.push_back(Result {
            at_ms: now_ms,
            entry: entry.clone(),
            succeeded,
            failed,
        });
        while record
            .results
            .front()
            .is_some_and(|oldest| oldest.at_ms + options.window_ms < now_ms)
        {
            record.results.pop_front();
        }
        if now_ms < record.ejected_until_ms || !fails(record, &options) {
            return false;
        }
        // Failures long after the last hold are a new matter.
        let recent = now_ms < record.ejected_until_ms + options.hold_max_ms;
        record.hold_ms = match record.hold_ms {
            0 => options.hold_ms,
            _ if !recent => options.hold_ms,
            hold_ms => (hold_ms * 2).min(options.hold_max_ms),
        };
        record.ejected_until_ms = now_ms + record.hold_ms;
        record.results.clear();
        true
    }

    /// Returns whether a backend server is ejected.
    pub fn is_ejected(&self, id: &str, now_ms: u64) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| now_ms < record.ejected_until_ms)
    }
}

fn fails(record: &Record, options: &Options) -> bool {
    let failed: u32 = record.results.iter().map(|result| result.failed).sum();
    let succeeded: u32 = record.results.iter().map(|result| result.succeeded).sum();
    let with_failures = record.results.iter().filter(|result| result.failed > 0);
    let entries: BTreeSet<&Name> = with_failures.map(|result| &result.entry).collect();
    failed >= options.failures
        && entries.len() >= options.entries
        && failed * 100 >= (failed + succeeded) * options.share
}
