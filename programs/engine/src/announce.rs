//! Announcements and cache events to entry VMs.

use std::{collections, sync, time};

use bw_wire::{backend, fingerprint};
use bytes::Bytes;
use gotham::hyper;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt};
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::server;

/// Time limit of one call to an entry VM.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Interval at which load figures are sampled.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Pause before the next address after a failed announcement.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Announces the server until it has said that it leaves.
///
/// Several addresses are used in turn, as a load balancer would do.
pub async fn run(server: sync::Arc<server::Server>) {
    let mut sender = Sender::new(&server);
    if sender.addresses.is_empty() {
        return;
    }
    let mut reports = Reports::new(server.settings.load_report_lag_ms);
    let mut renew = tokio::time::interval(time::Duration::from_millis(backend::RENEW_INTERVAL_MS));
    renew.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sample = tokio::time::interval(SAMPLE_INTERVAL);
    sample.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sequence = 0;
    loop {
        tokio::select! {
            _ = sample.tick() => {
                reports.sample(server.load(), time::Instant::now());
                continue;
            }
            _ = renew.tick() => {}
            () = server.announce.notified() => renew.reset(),
        }
        if is_silent(&server) {
            continue;
        }
        sequence += 1;
        let load = reports.report(time::Instant::now());
        let announcement = server.announcement(sequence, load);
        let leaving = announcement.state == backend::State::Leaving;
        let sent = sender.send(backend::ANNOUNCE_PATH, &announcement).await;
        if leaving && sent {
            return;
        }
        if !sent {
            renew.reset_after(RETRY_PAUSE);
        }
    }
}

/// Publishes cache events late and with gaps; never returns while it is enabled.
pub async fn publish_cache_events(server: sync::Arc<server::Server>) {
    let settings = &server.settings.cache_events;
    let mut sender = Sender::new(&server);
    if settings.interval_ms == 0 || sender.addresses.is_empty() {
        return;
    }
    let delay = time::Duration::from_millis(settings.delay_ms);
    let mut losses = rand_pcg::Pcg64Mcg::seed_from_u64(settings.seed);
    let mut interval = tokio::time::interval(time::Duration::from_millis(settings.interval_ms));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sequence = 1;
    loop {
        interval.tick().await;
        let Some(until) = time::Instant::now().checked_sub(delay) else {
            continue;
        };
        let changes = server.model().take_changes(until);
        if changes.is_empty() || is_silent(&server) {
            continue;
        }
        let pick = |stored| -> Vec<fingerprint::Fingerprint> {
            let picked = changes.iter().filter(|change| change.stored == stored);
            picked.map(|change| change.block).collect()
        };
        let events = backend::CacheEvents {
            id: server.settings.id.clone(),
            incarnation: server.incarnation,
            sequence,
            stored: pick(true),
            removed: pick(false),
        };
        sequence += changes.len() as u64;
        if !losses.random_bool(settings.loss) {
            // A failed call is a gap, like a lost one.
            let _ = sender.send(backend::CACHE_EVENTS_PATH, &events).await;
        }
    }
}

fn is_silent(server: &server::Server) -> bool {
    let faults = server.faults();
    faults.freeze && faults.freeze_announcements
}

/// Load reports that lag behind by a set time.
#[derive(Debug)]
pub struct Reports {
    lag: time::Duration,
    samples: collections::VecDeque<(time::Instant, backend::Load)>,
}

impl Reports {
    /// Creates reports with a lag in milliseconds.
    pub fn new(lag_ms: u64) -> Reports {
        Reports {
            lag: time::Duration::from_millis(lag_ms),
            samples: collections::VecDeque::new(),
        }
    }

    /// Adds the figures as of now.
    pub fn sample(&mut self, load: backend::Load, now: time::Instant) {
        self.samples.push_back((now, load));
        // Of the samples that are old enough, only the newest is of use.
        while let Some((at, _)) = self.samples.get(1) {
            if now.saturating_duration_since(*at) < self.lag {
                break;
            }
            self.samples.pop_front();
        }
    }

    /// Returns the newest figures that are as old as the lag.
    ///
    /// Before there are any, the engine reports that it is idle.
    pub fn report(&self, now: time::Instant) -> backend::Load {
        let age = |at: &time::Instant| now.saturating_duration_since(*at);
        let old = self
            .samples
            .iter()
            .rev()
            .find(|(at, _)| age(at) >= self.lag);
        match old {
            Some((at, load)) => backend::Load {
                age_ms: u32::try_from(age(at).as_millis()).unwrap_or(u32::MAX),
                ..*load
            },
            None => backend::Load::default(),
        }
    }
}

/// Posts JSON to the announce addresses in turn.
struct Sender {
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    addresses: Vec<String>,
    next: usize,
}

impl Sender {
    fn new(server: &server::Server) -> Sender {
        let addresses = server.settings.announce.clone();
        // Different servers start at different addresses.
        let hash = fingerprint::Fingerprint::of_bytes(server.settings.id.as_bytes()).1;
        Sender {
            client: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
            next: hash as usize % addresses.len().max(1),
            addresses,
        }
    }

    /// Sends to the first address that accepts, starting with the next in turn.
    async fn send<T: Serialize>(&mut self, path: &str, message: &T) -> bool {
        let Ok(body) = serde_json::to_vec(message) else {
            return false;
        };
        let body = Bytes::from(body);
        for _ in 0..self.addresses.len() {
            let address = &self.addresses[self.next % self.addresses.len()];
            self.next = self.next.wrapping_add(1);
            let uri = format!("http://{address}{path}");
            match tokio::time::timeout(CALL_TIMEOUT, self.post(&uri, body.clone())).await {
                Ok(Ok(status)) if status.is_success() => return true,
                Ok(Ok(status)) => log::debug!("{uri} answered {status}"),
                Ok(Err(error)) => log::debug!("{uri}: {error:#}"),
                Err(_) => log::debug!("{uri} did not answer in time"),
            }
        }
        false
    }

    async fn post(&self, uri: &str, body: Bytes) -> anyhow::Result<hyper::StatusCode> {
        let request = hyper::Request::post(uri)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let response = self.client.request(request).await?;
        let status = response.status();
        // The body is read so that the connection can be used again.
        let _ = response.into_body().collect().await;
        Ok(status)
    }
}
