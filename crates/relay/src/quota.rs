//! Retry times for callers whose job exceeds the quota of its route.
//!
//! The ledger decides whether a job fits, in the order of its log. This module
//! estimates when a rejected job will fit, from the rate at which waiting items end.

use std::collections::{BTreeMap, VecDeque};

use crate::route;

/// Limits of the estimate.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the window over which the rate is measured, in milliseconds. Several
    /// items end within it in the smallest deployment.
    pub window_ms: u64,
    /// Shortest retry time, in milliseconds. A slot becomes free about this often.
    pub retry_min_ms: u64,
    /// Longest retry time, in milliseconds. Callers of jobs wait some seconds in all, and
    /// an operator may have raised the quota meanwhile.
    pub retry_max_ms: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            window_ms: 5_000,
            retry_min_ms: 200,
            retry_max_ms: 4_000,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// When items ended, in milliseconds, and their tokens.
    ended: VecDeque<(u64, u64)>,
    /// The latest time at which a rejected caller was told to retry.
    last_retry_ms: u64,
}

/// The rate at which waiting items end, by route.
#[derive(Clone, Debug)]
pub struct Throughput {
    options: Options,
    routes: BTreeMap<route::Key, Record>,
}

impl Throughput {
    /// Creates an estimate without ended items.
    pub fn new(options: Options) -> Throughput {
        Throughput {
            options,
            routes: BTreeMap::new(),
        }
    }

    /// Records that an item of some tokens ended on a route.
    pub fn ended(&mut self, route: &route::Key, tokens: u64, now_ms: u64) {
        let record = self.routes.entry(route.clone()).or_default();
        record.ended.push_back((now_ms, tokens));
        record.remove_before(now_ms.saturating_sub(self.options.window_ms));
    }

    /// Returns how long the caller of a rejected job should wait before it retries, in
    /// milliseconds: until `excess` tokens have ended, and until after the callers that
    /// were rejected before, so that jobs are accepted in the order in which they came.
    /// `tokens` is the size of the job, `excess` the part of it beyond the quota.
    pub fn retry_after_ms(
        &mut self,
        route: &route::Key,
        excess: u64,
        tokens: u64,
        now_ms: u64,
    ) -> u64 {
        let Options {
            window_ms,
            retry_min_ms,
            retry_max_ms,
        } = self.options;
        let record = self.routes.entry(route.clone()).or_default();
        record.remove_before(now_ms.saturating_sub(window_ms));
        let ended: u64 = record.ended.iter().map(|(_, tokens)| tokens).sum();
        // Without ended items one token per window is assumed, so that the longest retry
        // time results.
        let duration_ms = |tokens: u64| {
            let duration_ms = u128::from(tokens) * u128::from(window_ms) / u128::from(ended.max(1));
            u64::try_from(duration_ms).unwrap_or(u64::MAX)
        };
        let capacity_ms = now_ms.saturating_add(duration_ms(excess));
        let turn_ms = match record.last_retry_ms > now_ms {
            true => record.last_retry_ms.saturating_add(duration_ms(tokens)),
            false => now_ms,
        };
        let wait_ms = capacity_ms.max(turn_ms) - now_ms;
        let wait_ms = wait_ms.clamp(retry_min_ms, retry_max_ms);
        record.last_retry_ms = now_ms + wait_ms;
        wait_ms
    }
}

impl Record {
    fn remove_before(&mut self, oldest_ms: u64) {
        while self.ended.front().is_some_and(|(at, _)| *at < oldest_ms) {
            self.ended.pop_front();
        }
    }
}
