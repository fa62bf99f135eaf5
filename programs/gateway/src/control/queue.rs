//! Watches the items that wait, for metrics and logs.

use std::{collections::BTreeMap, rc::Rc, time};

use bw_relay::{
    dispatch::{self, wait},
    suspect,
};
use strum::IntoEnumIterator;

use crate::{clock, control::hub::Hub, metrics};

/// Time between two looks at the items.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Longest time for which an item waits for its next run in a calm fleet with room, in
/// milliseconds, unless it is itself suspected of crashing backend servers.
const WAIT_MAX_MS: u64 = 2_000;
/// Time after which a log line says why an item waits, in milliseconds. Most items wait
/// for less.
const LOGGED_WAIT_MS: u64 = 1_000;
/// Most items that are looked at one by one each time, those that have waited for longest.
const LONGEST_MAX: usize = 64;
/// Most log lines for each look, those of the items that have waited for longest.
const LINES_MAX: usize = 16;

/// What the logs have said about an item that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Logged {
    reason: wait::Reason,
    is_overdue: bool,
}

/// The items that wait, over several looks.
#[derive(Default)]
struct Watch {
    logged: BTreeMap<dispatch::Key, Logged>,
    /// Since when there has been room for all items, in Unix milliseconds.
    room_since_ms: u64,
}

/// Watches the items that wait while this replica is the leader.
pub(super) async fn watch(hub: Rc<Hub>) {
    let mut watch = Watch::default();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if hub.is_leader() {
            watch.look(&hub);
        } else {
            watch = Watch::default();
            set_gauges(&BTreeMap::new(), 0);
        }
    }
}

impl Watch {
    fn look(&mut self, hub: &Hub) {
        let servers = hub.ready_servers();
        let routes = Rc::clone(&hub.routes.borrow());
        let now_ms = hub.unix_ms();
        let dispatch = hub.dispatch.borrow();
        let queue = dispatch.queue(&servers, &routes, LONGEST_MAX, now_ms);
        set_gauges(&queue.groups, now_ms);
        let has_room = queue.items <= queue.free_slots as usize;
        if !has_room || self.room_since_ms == 0 {
            self.room_since_ms = now_ms;
        }
        let since_ms = self.room_since_ms.max(calm_since_ms(hub, now_ms));
        let mut lines = 0;
        let mut logged = BTreeMap::new();
        for wait in &queue.longest {
            let waited_ms = now_ms.saturating_sub(wait.since_ms);
            let kept_ms = now_ms.saturating_sub(wait.since_ms.max(since_ms));
            let is_overdue = has_room && kept_ms > WAIT_MAX_MS && !dispatch.is_suspect(&wait.key);
            let known = self.logged.get(&wait.key).copied();
            let was_overdue = known.is_some_and(|known| known.is_overdue);
            let current = Logged {
                reason: wait.reason,
                is_overdue: is_overdue || was_overdue,
            };
            if waited_ms < LOGGED_WAIT_MS {
                continue;
            }
            if known == Some(current) || lines == LINES_MAX {
                logged.extend(known.map(|known| (wait.key.clone(), known)));
                continue;
            }
            lines += 1;
            log_wait(hub, wait, waited_ms, is_overdue && !was_overdue);
            logged.insert(wait.key.clone(), current);
        }
        self.logged = logged;
    }
}

/// Returns since when no backend server is known to have crashed, in Unix milliseconds: the
/// time after the last crash from which the fleet is calm, or when this replica became the
/// leader.
fn calm_since_ms(hub: &Hub, now_ms: u64) -> u64 {
    let last_ms = hub.suspects.borrow().last_any_crash_ms();
    let calm_ms = last_ms.map_or(0, |last_ms| last_ms + suspect::CALM_MS);
    let since_ms = calm_ms.max(hub.leading_since_ms());
    let age_ms = clock::monotonic_ms().saturating_sub(since_ms);
    now_ms.saturating_sub(age_ms)
}

fn set_gauges(groups: &BTreeMap<wait::Reason, wait::Group>, now_ms: u64) {
    for reason in wait::Reason::iter() {
        let name: &'static str = reason.into();
        let group = groups.get(&reason);
        let items = group.map_or(0, |group| group.items);
        let oldest_ms = group.map_or(0, |group| now_ms.saturating_sub(group.since_ms));
        metrics::WAITING_ITEMS
            .with_label_values(&[name])
            .set(items as i64);
        metrics::OLDEST_WAIT_MS
            .with_label_values(&[name])
            .set(oldest_ms as i64);
    }
}

/// Logs why an item does not run now, since when, by which evidence and until when.
fn log_wait(hub: &Hub, wait: &wait::Wait, waited_ms: u64, is_overdue: bool) {
    let reason: &'static str = wait.reason.into();
    let now_ms = hub.unix_ms();
    let until_in_ms = wait
        .until_ms
        .map(|until_ms| until_ms.saturating_sub(now_ms));
    let part = wait.part.map_or(0, |part| part.0);
    let strikes = wait
        .part
        .map_or(0, |part| hub.suspects.borrow().strikes(part));
    if is_overdue {
        metrics::OVERDUE_ITEMS.with_label_values(&[reason]).inc();
        log::warn!(
            job = &*wait.key.job, item = wait.key.item, request = &*wait.id, reason = reason,
            waited_ms = waited_ms, until_in_ms = until_in_ms.unwrap_or(0), fingerprint = part,
            strikes = strikes, breaks = wait.breaks;
            "item waits beyond its bound although backend servers have room"
        );
    } else {
        log::info!(
            job = &*wait.key.job, item = wait.key.item, request = &*wait.id, reason = reason,
            waited_ms = waited_ms, until_in_ms = until_in_ms.unwrap_or(0), fingerprint = part,
            strikes = strikes, breaks = wait.breaks;
            "item waits"
        );
    }
}
