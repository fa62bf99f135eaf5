//! The periodic exchange (`sync`) with the control leader.

use std::sync;

use bw_client::control;
use bw_wire::{name, sync as wire_sync};

use super::{
    listing, registry,
    run::{Controller, Outcome},
};
use crate::{metrics, snapshot};

/// Shortest time between two exchanges, in milliseconds.
const MIN_INTERVAL_MS: u64 = 50;
/// Longest time between two exchanges while requests wait for a confirmation, in
/// milliseconds. Callers that ask for unknown names cause at most four exchanges
/// a second.
const CONFIRM_INTERVAL_MS: u64 = 250;

/// Decides when the next exchange is due, and keeps the part of the last response
/// that the next request returns.
#[derive(Debug)]
pub(super) struct Schedule {
    running: bool,
    last_sent_ms: u64,
    /// Whether the next exchange is due after the shortest interval.
    urgent: bool,
    /// Whether the next request reports all known announcements.
    full_report: bool,
    leader_term: u64,
    /// Version of the leader's table that [`listing::Listing`] holds; 0 asks for the
    /// whole table.
    table: u64,
    interval_ms: u64,
    origin: Option<listing::Origin>,
}

impl Default for Schedule {
    fn default() -> Self {
        Schedule {
            running: false,
            last_sent_ms: 0,
            urgent: true,
            full_report: true,
            leader_term: 0,
            table: 0,
            interval_ms: wire_sync::SHORT_INTERVAL_MS,
            origin: None,
        }
    }
}

impl Schedule {
    /// Asks for an exchange as soon as possible.
    pub(super) fn expedite(&mut self) {
        self.urgent = true;
    }

    /// Returns when the next exchange is due, `None` while one is running.
    pub(super) fn due_ms(&self, has_waiters: bool) -> Option<u64> {
        let interval_ms = match (self.urgent, has_waiters) {
            (true, _) => MIN_INTERVAL_MS,
            (false, true) => self.interval_ms.min(CONFIRM_INTERVAL_MS),
            (false, false) => self.interval_ms,
        };
        (!self.running).then_some(self.last_sent_ms + interval_ms)
    }
}

/// A finished exchange.
#[derive(Debug)]
pub(super) struct Synced {
    /// Number of the exchange for [`crate::confirmation::Confirmation`].
    number: u64,
    sent_ms: u64,
    reported: Vec<registry::Reported>,
    result: Result<wire_sync::Response, control::Error>,
}

impl Controller {
    /// Starts an exchange, which ends with [`Outcome::Synced`].
    pub(super) fn start_sync(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        self.schedule.running = true;
        self.schedule.urgent = false;
        self.schedule.last_sent_ms = now_ms;
        let number = self.shared.confirmation.begin();
        let (request, reported) = self.sync_request(now_ms);
        let client = self.sync_client.clone();
        self.tasks.spawn(async move {
            let result = client.sync(&request).await;
            Outcome::Synced(Box::new(Synced {
                number,
                sent_ms: now_ms,
                reported,
                result,
            }))
        });
    }

    fn sync_request(&self, now_ms: u64) -> (wire_sync::Request, Vec<registry::Reported>) {
        let settings = &self.shared.settings;
        let origin = self.schedule.origin;
        let origin = origin.unwrap_or(listing::Origin::of_request(now_ms));
        let heard = self.registry.report(origin, self.schedule.full_report);
        let reported = heard.iter();
        let reported = reported
            .map(|dated| registry::Reported::new(&dated.announcement))
            .collect();
        let report = self.listing.encode(heard, self.shared.table.online());
        let request = wire_sync::Request {
            entry: settings.name.clone(),
            incarnation: self.shared.incarnation,
            failure_domain: settings.failure_domain.clone(),
            peer_address: self.peer_address.clone(),
            revision: self.state.revision,
            leader_term: self.schedule.leader_term,
            table: self.schedule.table,
            clock_ms: origin.clock_ms(),
            heard: report.heard,
            renewals: report.renewals,
            online: report.online,
            online_unlisted: report.online_unlisted,
            draining: self.shared.drain.is_draining(),
        };
        (request, reported)
    }

    /// Applies the result of an exchange.
    pub(super) fn finish_sync(&mut self, synced: Synced) {
        self.schedule.running = false;
        match synced.result {
            Ok(response) => {
                metrics::SYNCS.with_label_values(&["answered"]).inc();
                self.registry.mark_reported(&synced.reported);
                self.apply_response(synced.number, synced.sent_ms, response);
            }
            Err(error) => {
                metrics::SYNCS.with_label_values(&["failed"]).inc();
                log::warn!("exchange with control failed: {error}");
            }
        }
    }

    fn apply_response(&mut self, number: u64, sent_ms: u64, response: wire_sync::Response) {
        let term_changed = response.leader_term != self.schedule.leader_term;
        self.schedule.full_report = term_changed || response.report_all;
        self.schedule.leader_term = response.leader_term;
        self.schedule.interval_ms = response
            .interval_ms
            .clamp(MIN_INTERVAL_MS, wire_sync::LONG_INTERVAL_MS);
        let now_ms = self.shared.clock.now_ms();
        self.schedule.origin = Some(listing::Origin::of_response(&response, now_ms));
        if self.schedule.full_report {
            // A new leader does not know the backend servers yet, or not when they
            // were heard.
            self.schedule.expedite();
        }
        let (heard, online) = match self.listing.apply(&response) {
            Ok(changes) => {
                self.schedule.table = response.table;
                changes
            }
            Err(listing::Mismatch) => {
                log::warn!("response does not match the local table, requesting the whole table");
                self.schedule.table = 0;
                self.schedule.expedite();
                return;
            }
        };
        self.apply_announcements(sent_ms, &heard);
        let now_ms = self.shared.clock.now_ms();
        self.shared
            .table
            .with(|state, now_ms| state.router.set_fleet_online(&online, now_ms));
        self.state.online = online;
        self.shared
            .with_suspects(|suspects, now_ms| suspects.sync(&response.suspects, now_ms));
        let mut changed = false;
        if let Some(peers) = response.peers {
            self.peers.update(&peers);
            self.track_absent(&peers, now_ms);
            changed |= replace(&mut self.state.peers, peers);
        }
        if let Some(owners) = response.owners {
            changed |= replace(&mut self.state.owners, sync::Arc::new(owners));
        }
        let revision = self.state.revision;
        if let Some(intent) = response.intent
            && response.revision > revision
        {
            log::info!(revision = response.revision; "configuration applied");
            self.state.revision = response.revision;
            self.state.intent = sync::Arc::new(*intent);
            let drained = &self.state.intent.drained;
            self.shared
                .table
                .with(|state, _| state.router.set_drained(drained));
            // The next request reports the revision, so that operators see soon that
            // it is in force.
            self.schedule.expedite();
            changed = true;
        }
        if changed {
            self.publish();
        }
        self.extend_lease(number, sent_ms, response.revision, response.lease_ms);
    }

    /// Extends the lease and confirms the configuration if the revision published
    /// here is the leader's.
    ///
    /// The lease counts from the sending of the request, so that it ends here no
    /// later than the leader assumes, however long the response took.
    fn extend_lease(&self, number: u64, sent_ms: u64, revision: u64, lease_ms: u64) {
        if revision != self.state.revision {
            log::warn!(
                served = self.state.revision, leader = revision;
                "configuration lease not extended: the leader has another revision"
            );
            return;
        }
        if revision == 0 {
            log::debug!("no configuration has been declared yet");
        }
        let lease_ms = lease_ms.min(wire_sync::CONFIG_LEASE_MS);
        self.shared.lease.extend(sent_ms + lease_ms);
        self.shared.confirmation.confirm(number);
    }

    /// Records which entry VMs are missing from the leader's list, and since when.
    fn track_absent(&mut self, listed: &[wire_sync::Peer], now_ms: u64) {
        let is_listed = |entry: &name::Name| listed.iter().any(|peer| peer.entry == *entry);
        let mut absent = (*self.state.absent).clone();
        absent.retain(|entry, _| !is_listed(entry));
        for peer in &self.state.peers {
            if !is_listed(&peer.entry) {
                let absence = absent
                    .entry(peer.entry.clone())
                    .or_insert(snapshot::Absence {
                        incarnation: peer.incarnation,
                        since_ms: now_ms,
                    });
                absence.incarnation = absence.incarnation.max(peer.incarnation);
            }
        }
        if absent != *self.state.absent {
            self.state.absent = sync::Arc::new(absent);
        }
    }

    fn apply_announcements(&mut self, sent_ms: u64, backends: &[wire_sync::Heard]) {
        let now_ms = self.shared.clock.now_ms();
        for heard in backends {
            // The age is the one at the writing of the response, which came after
            // the sending of the request. Counting from the sending makes the
            // announcement look older rather than newer.
            let heard_ms = sent_ms.saturating_sub(heard.age_ms);
            let announcement = &heard.announcement;
            self.registry.apply(announcement, heard_ms, false);
            let age_ms = now_ms.saturating_sub(heard_ms);
            self.shared.table.apply_announcement(announcement, age_ms);
        }
    }

    /// Publishes a snapshot of the control state for the traffic threads.
    pub(super) fn publish(&self) {
        let entry_count = u32::try_from(self.state.peers.len() + 1).unwrap_or(u32::MAX);
        self.shared
            .admission
            .configure(&self.state.intent, entry_count);
        self.shared.snapshot.store(snapshot::Snapshot {
            revision: self.state.revision,
            intent: sync::Arc::clone(&self.state.intent),
            peers: self.state.peers.clone(),
            absent: sync::Arc::clone(&self.state.absent),
            owners: sync::Arc::clone(&self.state.owners),
        });
    }
}

/// Replaces a value and returns whether it changed.
fn replace<T: PartialEq>(current: &mut T, next: T) -> bool {
    if *current == next {
        return false;
    }
    *current = next;
    true
}
