//! Clients' calls on batch jobs, and the configuration with their route.

use std::{thread, time::Duration};

use crate::{fleet::Fleet, http};

pub const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
/// `MaxQueueS` of the route, in seconds.
pub const MAX_QUEUE_S: u64 = 60;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a configuration with one route for batch jobs, which `service` runs.
pub fn config(version: u64, service: &str, services: &[&str]) -> String {
    let route = format!(
        "{{\"Name\":\"r-plan\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{PREFIX}\",\"Kind\":\"batch\",\
         \"TimeoutMs\":15000,\"TargetLatencyMs\":500,\"TargetCompletionMs\":18000,\
         \"MaxQueueS\":{MAX_QUEUE_S},\"Priority\":2,\"MaxAttempts\":3,\
         \"Service\":\"{service}\",\"Sticky\":true,\"Resumable\":true}}"
    );
    document(version, &route, services)
}

/// Returns a configuration with one route.
pub fn document(version: u64, route: &str, services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":360,\"Protocol\":\"h1\",\
             \"Tls\":false,\"Engine\":{{\"Slots\":8,\"KvCapacityTokens\":147261,\"Models\":[{{\"Name\":\"m\"}}]}}}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{route}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        services.join(",")
    )
}

/// Returns the id of an item.
pub fn item_id(item: usize) -> String {
    format!("e5b2907c14da{item:04x}")
}

/// Submits a job of items that ask for a number of events each, until it is accepted.
/// Returns the time of the 202.
pub fn submit(fleet: &Fleet, job: &str, items: usize, events: u64) -> Result<u64, String> {
    let body = base64(format!("events={events}").as_bytes());
    let items = (0..items).map(|item| {
        format!(
            "{{\"Id\":\"{}\",\"Path\":\"{PREFIX}{item}\",\
             \"Headers\":{{\"Bilberrywind-Model\":\"m\",\"Bilberrywind-Token-Count\":\"340,2000\",\
             \"Bilberrywind-Prompt-Prefix\":\"9c2e41:100,5d07b{item}:240\"}},\
             \"Body\":\"{body}\",\"Tokens\":2340}}",
            item_id(item)
        )
    });
    let items: Vec<String> = items.collect();
    let body = format!("{{\"Requests\":[{}]}}", items.join(","));
    let headers = [
        ("Host", HOST),
        ("Bilberrywind-Request-Id", job),
        ("Content-Type", "application/json"),
        ("Bilberrywind-Deadline-Ms", "4000"),
    ];
    let path = format!("{PREFIX}{job}");
    for attempt in 0..10 {
        let to = fleet.callers(attempt % 2);
        let answer = http::call(to, "POST", &path, &headers, body.as_bytes(), CALL_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.status());
        fleet
            .record
            .note(&format!("client submits batch job {job} to {to}: {status}"));
        if status == 202 {
            return Ok(fleet.record.now_ms());
        }
        thread::sleep(Duration::from_millis(500));
    }
    Err("the batch job was not accepted".to_owned())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = number >> (18 - 6 * digit) & 63;
            text.push(match digit <= group.len() {
                true => char::from(DIGITS[value as usize]),
                false => '=',
            });
        }
    }
    text
}

/// Returns the ids of the listed items with their states; `None` if the job was not read.
pub fn results(fleet: &Fleet, entry: u8, job: &str) -> Option<Vec<(String, String)>> {
    let mut listed = Vec::new();
    loop {
        let path = format!("/lots/{job}?After={}", listed.len());
        let to = fleet.callers(entry);
        let answer = http::call(to, "GET", &path, &[("Host", HOST)], b"", CALL_TIMEOUT);
        let answer = answer.ok().filter(|answer| answer.status() == 200)?;
        let before = listed.len();
        for result in answer.text().split("{\"Id\"").skip(1) {
            let mut words = result.split('"').skip(1);
            let id = words.next()?.to_owned();
            let state = ["completed", "dead_letter"];
            let state = state.iter().find(|state| {
                let named = format!("\"State\":\"{state}\"");
                result.contains(&named)
            })?;
            listed.push((id, (*state).to_owned()));
        }
        if listed.len() == before {
            return Some(listed);
        }
    }
}

/// Waits until a time of the record.
pub fn sleep_until(fleet: &Fleet, at_ms: u64) {
    let left_ms = at_ms.saturating_sub(fleet.record.now_ms());
    thread::sleep(Duration::from_millis(left_ms));
}
