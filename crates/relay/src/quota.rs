//! When the caller of a job that found no room on its route should come back.
//!
//! Whether a job fits is decided by the ledger, in the order of its log. This
//! module estimates when it will fit, from the rate at which waiting work ends.

use std::collections::{BTreeMap, VecDeque};

use crate::route;

/// Limits of the estimate.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Age up to which ended work counts for the rate, in milliseconds: several
    /// items end within it at the smallest deployment.
    pub window_ms: u64,
    /// Shortest time after which a caller returns, in milliseconds. A slot becomes
    /// free about this often.
    pub retry_min_ms: u64,
    /// Longest time after which a caller returns, in milliseconds. Callers of jobs
    /// wait some seconds in all, and an operator may have raised the limit.
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
    /// When work ended, in milliseconds, and its tokens.
    ended: VecDeque<(u64, u64)>,
    /// When the caller that was turned away last is to return.
    last_retry_ms: u64,
}

/// The rate at which waiting work ends, by route.
#[derive(Clone, Debug)]
pub struct Throughput {
    options: Options,
    routes: BTreeMap<route::Key, Record>,
}

impl Throughput {
    /// Starts without ended work.
    pub fn new(options: Options) -> Throughput {
        Throughput {
            options,
            routes: BTreeMap::new(),
        }
    }

    /// Notes that work of some tokens ended on a route.
    pub fn ended(&mut self, route: &route::Key, tokens: u64, now_ms: u64) {
        let record = self.routes.entry(route.clone()).or_default();
        record.ended.push_back((now_ms, tokens));
        record.forget_before(now_ms.saturating_sub(self.options.window_ms));
    }

    /// Returns when the caller of a job should come back, in milliseconds: once
    /// `excess` tokens have ended, and after the callers that were turned away
    /// before, so that they find room in the order in which they came.
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
        record.forget_before(now_ms.saturating_sub(window_ms));
        let ended: u64 = record.ended.iter().map(|(_, tokens)| tokens).sum();
        // Without ended work there is no rate, and the longest time is told.
        let time_ms = |tokens: u64| {
            let time_ms = u128::from(tokens) * u128::from(window_ms) / u128::from(ended.max(1));
            u64::try_from(time_ms).unwrap_or(u64::MAX)
        };
        let room_ms = now_ms.saturating_add(time_ms(excess));
        let turn_ms = match record.last_retry_ms > now_ms {
            true => record.last_retry_ms.saturating_add(time_ms(tokens)),
            false => now_ms,
        };
        let wait_ms = room_ms.max(turn_ms) - now_ms;
        let wait_ms = wait_ms.clamp(retry_min_ms, retry_max_ms);
        record.last_retry_ms = now_ms + wait_ms;
        wait_ms
    }
}

impl Record {
    fn forget_before(&mut self, oldest_ms: u64) {
        while self.ended.front().is_some_and(|(at, _)| *at < oldest_ms) {
            self.ended.pop_front();
        }
    }
}
