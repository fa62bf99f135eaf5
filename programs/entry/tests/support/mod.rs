//! Fakes at the interfaces of the entry program: control replicas, backend
//! servers and callers.
#![allow(dead_code)]

pub mod backend;
pub mod caller;
pub mod control;
pub mod slow;

use std::{thread, time};

use bw_entry::{Handle, settings};
use bw_wire::name;

/// A running entry program with the fakes around it.
pub struct Fleet {
    pub control: control::Control,
    pub entry: Handle,
    pub backends: Vec<backend::Backend>,
}

/// Starts an entry program with one control replica, and lets the backend servers
/// renew their announcements.
pub fn fleet(backends: Vec<backend::Backend>) -> Fleet {
    fleet_with(backends, |_| {})
}

/// Starts a [`fleet`] whose settings are changed first.
pub fn fleet_with(
    backends: Vec<backend::Backend>,
    change: impl FnOnce(&mut settings::Settings),
) -> Fleet {
    let control = control::Control::start();
    let entry = start(&control, "entry-1", change);
    for backend in &backends {
        backend.start_renewals(&entry.address().to_string());
    }
    Fleet {
        control,
        entry,
        backends,
    }
}

/// Starts an entry program and waits until it takes new work.
pub fn start(
    control: &control::Control,
    name: &str,
    change: impl FnOnce(&mut settings::Settings),
) -> Handle {
    let mut settings = settings::Settings {
        name: name.into(),
        failure_domain: "a".into(),
        address: "127.0.0.1:0".to_owned(),
        peer_address: "127.0.0.1:0".to_owned(),
        admin_address: "127.0.0.1:0".to_owned(),
        control: vec![name::Name::from(control.address().as_str())],
        ..settings::Settings::default()
    };
    settings.timeouts.linger_ms = 0;
    change(&mut settings);
    let entry = bw_entry::start(settings).expect("the entry program starts");
    let admin = entry.admin_address().to_string();
    wait_for("the entry VM to get ready", || {
        caller::get(&admin, "/readyz").status == 200
    });
    entry
}

impl Fleet {
    /// Returns the address for callers.
    pub fn address(&self) -> String {
        self.entry.address().to_string()
    }

    /// Sends a chat request and returns the response.
    pub fn chat(&self, body: &serde_json::Value) -> caller::Response {
        caller::post(
            &self.address(),
            "/v1/chat/completions",
            &[],
            &body.to_string(),
        )
    }

    /// Returns the value of the metric line that starts with `line`, 0 if it is
    /// absent.
    pub fn metric(&self, line: &str) -> f64 {
        let admin = self.entry.admin_address().to_string();
        let text = caller::get(&admin, "/metrics").text();
        text.lines()
            .find_map(|candidate| candidate.strip_prefix(line)?.trim().parse().ok())
            .unwrap_or(0.0)
    }
}

/// Waits until a condition holds. Panics after 30 s.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = time::Instant::now();
    while !condition() {
        assert!(start.elapsed().as_secs() < 30, "waited too long for {what}");
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// Returns a chat request for the declared model.
pub fn chat_body(stream: bool) -> serde_json::Value {
    serde_json::json!({
        "model": "m",
        "stream": stream,
        "messages": [{ "role": "user", "content": "hello" }],
    })
}
