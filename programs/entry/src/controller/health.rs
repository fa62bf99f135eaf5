//! Ejection, probing and restoring of unhealthy backend servers.

use std::time;

use bw_policy::health;
use bw_wire::{backend, name};
use bytes::Bytes;

use super::run::{Controller, Outcome};
use crate::{metrics, upstream};

/// Time limit of the probe of an ejected backend server.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The result of a probe of an ejected backend server.
#[derive(Debug)]
pub(super) struct Probed {
    id: name::Name,
    /// Time to the first token, or to the answer of a plain service; `None` if the
    /// probe failed.
    first_ms: Option<u64>,
}

impl Controller {
    /// Passes what is known of the backend servers to the health rules, and the
    /// resulting ejections and penalties to the router.
    pub(super) fn update_health(&mut self) {
        for announcement in self.registry.announcements() {
            let id = &announcement.id;
            let others_online = self.state.online.get(id).copied().unwrap_or(0);
            let group = announcement.loaded.first();
            let group = group.map_or(&announcement.service, |loaded| &loaded.model);
            self.shared.table.with(|state, now_ms| {
                let own = state.router.online_on(id);
                let snapshot = health::Snapshot {
                    id: id.clone(),
                    incarnation: announcement.incarnation,
                    group: group.clone(),
                    capacity: announcement.capacity,
                    requests: (own + others_online) as f32,
                };
                state.health.update(snapshot, now_ms);
            });
        }
        let ids: std::collections::HashSet<name::Name> = self
            .registry
            .announcements()
            .map(|announcement| announcement.id.clone())
            .collect();
        self.shared.table.with(|state, _| {
            state.health.retain(|id| ids.contains(id));
            for id in &ids {
                let ejected = state.health.status(id) != health::Status::Healthy;
                let penalty = state.health.penalty(id);
                state.router.set_health(id, ejected, penalty);
            }
        });
    }

    /// Runs the health rules and applies the changes.
    pub(super) fn check_health(&mut self) {
        let changes = self
            .shared
            .table
            .with(|state, now_ms| state.health.tick(now_ms));
        for change in changes {
            self.apply_change(change);
        }
    }

    /// Applies the result of a probe.
    pub(super) fn finish_health_probe(&mut self, probed: &Probed) {
        let change = self.shared.table.with(|state, now_ms| {
            state
                .health
                .probe_finished(&probed.id, probed.first_ms, now_ms)
        });
        if let Some(change) = change {
            self.apply_change(change);
        }
    }

    fn apply_change(&mut self, change: health::Change) {
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

    /// Probes an ejected backend server. An engine gets a request for one token,
    /// because its HTTP server may answer health checks while decoding hangs.
    fn start_health_probe(&mut self, id: &name::Name) {
        let Some(announcement) = self.registry.get(id).cloned() else {
            return;
        };
        let upstream = self.upstream.clone();
        self.tasks.spawn(async move {
            let sent = time::Instant::now();
            let answered = match announcement.kind {
                backend::Kind::Engine => generates_token(&upstream, &announcement).await,
                backend::Kind::Service => {
                    let healthy = upstream
                        .check_health(&announcement.address, PROBE_TIMEOUT)
                        .await;
                    healthy.unwrap_or(false)
                }
            };
            let first_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
            Outcome::HealthProbed(Probed {
                id: announcement.id,
                first_ms: answered.then_some(first_ms),
            })
        });
    }
}

/// Returns whether an engine generates a token with its first loaded model.
async fn generates_token(
    upstream: &upstream::Client,
    announcement: &backend::Announcement,
) -> bool {
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
            first_token: PROBE_TIMEOUT,
            between_tokens: PROBE_TIMEOUT,
        },
    };
    match upstream.generate(call).await {
        Ok(mut stream) => stream.next().await.is_ok(),
        Err(_) => false,
    }
}
