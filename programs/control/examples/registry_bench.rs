//! Measures the cost of one `sync` for the control leader in fleets of several sizes.
//!
//! Prints one JSON line per fleet: microseconds of the registry and of JSON encoding
//! per `sync`, bytes of the answer, and the resulting load for two calls a second from
//! every entry VM.

use std::{collections, time};

use bw_control::registry;
use bw_wire::{backend, intent, renewal, sync};

const ROUNDS: u64 = 8;
const CALLS_PER_S: f64 = 2.0;

fn main() {
    for (entries, backends) in [(8, 12), (8, 100), (40, 100), (370, 870)] {
        measure(entries, backends);
    }
}

fn measure(entries: u64, backends: u64) {
    let mut registry = registry::Registry::default();
    registry.reset(0, 1);
    let intent = intent::Intent::default();
    let configuration = registry::Configuration {
        revision: 1,
        intent: &intent,
    };
    let mut registry_time = time::Duration::ZERO;
    let mut encode_time = time::Duration::ZERO;
    let mut bytes = 0;
    let mut tables = vec![0; entries as usize];
    for round in 0..ROUNDS {
        let now_ms = 1_000 + round * sync::SHORT_INTERVAL_MS;
        for entry in 0..entries {
            let table = tables[entry as usize];
            let request = request(entry, entries, backends, round, table);
            let start = time::Instant::now();
            let response = registry
                .sync(now_ms, request, configuration)
                .expect("newest process");
            registry_time += start.elapsed();
            tables[entry as usize] = response.table;
            let start = time::Instant::now();
            bytes += serde_json::to_vec(&response).expect("encodable").len();
            encode_time += start.elapsed();
        }
    }
    let calls = (ROUNDS * entries) as f64;
    let registry_us = registry_time.as_secs_f64() * 1e6 / calls;
    let encode_us = encode_time.as_secs_f64() * 1e6 / calls;
    let size = bytes as f64 / calls;
    let line = serde_json::json!({
        "entry_vms": entries,
        "backends": backends,
        "registry_us_per_sync": registry_us.round(),
        "encode_us_per_sync": encode_us.round(),
        "bytes_per_sync": size.round(),
        "leader_cores": ((registry_us + encode_us) * CALLS_PER_S * entries as f64 / 1e6 * 1e3).round() / 1e3,
        "kilobytes_per_s_and_entry_vm": (size * CALLS_PER_S / 1e3).round(),
    });
    println!("{line}");
}

/// Builds a report. Every backend server renews once a second at one of the entry VMs.
fn request(entry: u64, entries: u64, backends: u64, round: u64, table: u64) -> sync::Request {
    let heard = (0..backends).filter(|backend| (backend + round) % (entries * 2) == entry);
    sync::Request {
        entry: format!("entry-{entry}").into(),
        incarnation: 1,
        failure_domain: "ljub-a".into(),
        peer_address: "10.0.0.1:8082".into(),
        revision: 1,
        leader_term: 1,
        table,
        clock_ms: Some(1_000),
        heard: heard.map(|backend| announce(backend, round)).collect(),
        renewals: renewal::Reports::default(),
        online: renewal::Counts::default(),
        online_unlisted: (0..backends)
            .map(|backend| (format!("batting-desk-{backend}").into(), 3))
            .collect::<collections::BTreeMap<_, _>>(),
        draining: false,
    }
}

fn announce(backend: u64, round: u64) -> sync::Dated {
    let loaded = backend::Loaded {
        model: "batting-desk".into(),
        version: "2026-12".into(),
        adapters: vec!["guild-a".into(), "guild-b".into()],
    };
    sync::Dated {
        announcement: backend::Announcement {
            id: format!("batting-desk-{backend}").into(),
            incarnation: 1_764_800_000_000,
            sequence: round + 1,
            address: "10.0.0.1:9000".into(),
            kind: backend::Kind::Engine,
            service: "batting-desk".into(),
            failure_domain: "ljub-a".into(),
            state: backend::State::Ready,
            loaded: vec![loaded],
            capacity: 64,
            fence: 12,
            load: backend::Load::default(),
        },
        at_ms: -10,
    }
}
