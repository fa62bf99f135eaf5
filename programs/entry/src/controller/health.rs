//! Ejection and probing of unhealthy backend servers.

use std::time;

use bw_policy::health;
use bw_wire::{backend, name};
use bytes::Bytes;

use super::run::{Controller, Done};
use crate::{metrics, upstream};

/// Time limit of the probe of an ejected backend server.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The result of a probe: the time to the first token, if there was one.
#[derive(Debug)]
pub(super) struct Probed {
    id: name::Name,
    first_ms: Option<u64>,
}

impl Controller {
    /// Tells the health rules what is known of the backend servers, and the
    /// router how their load counts.
    pub(super) fn update_health(&mut self) {
        for announcement in self.registry.announcements() {
            let id = &announcement.id;
            let elsewhere = self.state.online.get(id).copied().unwrap_or(0);
            let group = announcement.loaded.first();
            let group = group.map_or(&announcement.service, |loaded| &loaded.model);
            self.shared.table.with(|state, now_ms| {
                let own = state.router.online_on(id);
                let facts = health::Snapshot {
                    id: id.clone(),
                    incarnation: announcement.incarnation,
                    group: group.clone(),
                    capacity: announcement.capacity,
                    requests: (own + elsewhere) as f32,
                };
                state.health.update(facts, now_ms);
            });
        }
        let known: std::collections::HashSet<name::Name> = self
            .registry
            .announcements()
            .map(|announcement| announcement.id.clone())
            .collect();
        self.shared.table.with(|state, _| {
            state.health.retain(|id| known.contains(id));
            for id in &known {
                let ejected = state.health.status(id) != health::Status::Healthy;
                let penalty = state.health.penalty(id);
                state.router.set_health(id, ejected, penalty);
            }
        });
    }

    /// Judges the backend servers and acts on what changed.
    pub(super) fn judge(&mut self) {
        let changes = self
            .shared
            .table
            .with(|state, now_ms| state.health.tick(now_ms));
        for change in changes {
            self.take_change(change);
        }
    }

    /// Takes the result of a probe.
    pub(super) fn health_probed(&mut self, probed: &Probed) {
        let change = self.shared.table.with(|state, now_ms| {
            state
                .health
                .probe_finished(&probed.id, probed.first_ms, now_ms)
        });
        if let Some(change) = change {
            self.take_change(change);
        }
    }

    fn take_change(&mut self, change: health::Change) {
        match change {
            health::Change::Ejected { id, reason } => {
                let label: &str = reason.into();
                metrics::EJECTIONS.with_label_values(&[label]).inc();
                log::warn!(backend = id.as_str(), reason = label; "backend server ejected");
                self.shared
                    .table
                    .with(|state, _| state.router.set_health(&id, true, 1.0));
            }
            health::Change::Probe { id } => self.start_health_probe(&id),
            health::Change::Restored { id } => {
                log::info!(backend = id.as_str(); "backend server restored");
                self.shared.table.with(|state, now_ms| {
                    state.router.set_health(&id, false, 1.0);
                    state.router.restart_slow_start(&id, now_ms);
                });
            }
        }
    }

    /// Probes an engine with a request for one token: its HTTP server may
    /// answer while its decoding stands still.
    fn start_health_probe(&mut self, id: &name::Name) {
        let Some(announcement) = self.registry.get(id).cloned() else {
            return;
        };
        let upstream = self.upstream.clone();
        self.tasks.spawn(async move {
            let sent = time::Instant::now();
            let answered = match announcement.kind {
                backend::Kind::Engine => first_token(&upstream, &announcement).await,
                backend::Kind::Service => {
                    let healthy = upstream.check_health(&announcement.address, TIMEOUT).await;
                    healthy.unwrap_or(false)
                }
            };
            let first_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
            Done::HealthProbed(Probed {
                id: announcement.id,
                first_ms: answered.then_some(first_ms),
            })
        });
    }
}

async fn first_token(upstream: &upstream::Client, announcement: &backend::Announcement) -> bool {
    let Some(loaded) = announcement.loaded.first() else {
        return false;
    };
    let body = serde_json::json!({
        "model": loaded.model,
        "messages": [{ "role": "user", "content": "ping" }],
        "max_tokens": 1,
        "stream": true,
        "stream_options": { "include_usage": true },
    });
    let call = upstream::Call {
        address: announcement.address.clone(),
        api: upstream::Api::Chat,
        body: Bytes::from(body.to_string()),
        request_id: format!("probe-{}", ulid::Ulid::new()).into(),
        class: upstream::Class::Online,
        resume_tokens: 0,
        timeouts: upstream::Timeouts {
            first_token: TIMEOUT,
            between_tokens: TIMEOUT,
        },
    };
    match upstream.generate(call).await {
        Ok(mut stream) => stream.next().await.is_ok(),
        Err(_) => false,
    }
}
