//! Announcements for tests.

#![allow(dead_code)] // Each test program uses some of the functions.

use bw_wire::{backend, name};
use rand::SeedableRng;

/// Capacity of announced replicas.
pub const CAPACITY: u32 = 32;

/// Returns a generator with a fixed seed.
pub fn random() -> rand_pcg::Pcg64Mcg {
    rand_pcg::Pcg64Mcg::seed_from_u64(20_261_204)
}

/// Returns a ready engine with the model `m` in version 1.
pub fn engine(id: &str) -> backend::Announcement {
    backend::Announcement {
        id: id.into(),
        incarnation: 1,
        sequence: 1,
        address: name::Name::from(format!("{id}:1")),
        kind: backend::Kind::Engine,
        service: "default".into(),
        failure_domain: "ljub-a".into(),
        state: backend::State::Ready,
        loaded: vec![loaded("m", "1")],
        capacity: CAPACITY,
        fence: 0,
        load: backend::Load::default(),
    }
}

/// Returns a loaded model.
pub fn loaded(model: &str, version: &str) -> backend::Loaded {
    backend::Loaded {
        model: model.into(),
        version: version.into(),
        adapters: Vec::new(),
    }
}

/// Returns a load report.
pub fn load(running: u32, waiting: u32) -> backend::Load {
    backend::Load {
        running,
        waiting,
        kv_used: 0.5,
        step_ms: 25.0,
        age_ms: 0,
    }
}
