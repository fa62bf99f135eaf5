//! Measures what the judgement of requests costs: time per request and per change, memory
//! and bytes of evidence, with a number of suspects.
//!
//! `cargo run --release -p bw-suspect --example cost`

use std::{hint, time::Instant};

use bw_suspect::{Evidence, Fingerprint, Incarnation, Request, Run, Suspects};

/// Requests in flight on each backend server that crashes.
const IN_FLIGHT: u64 = 8;
/// Shared parts of each prompt.
const PARTS: u64 = 5;
const REPEATS: u32 = 1_000;

fn request(number: u64, deadly: bool) -> Request {
    let mut ids: Vec<String> = (0..PARTS)
        .map(|part| match part {
            0 => "lead".to_owned(),
            _ => format!("part-{}-{part}", number % 200),
        })
        .collect();
    if deadly {
        ids.push("dead".to_owned());
    }
    ids.push(format!("own-{number}"));
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    Request::new(Fingerprint::new("host", &number.to_string(), b""), &ids)
}

/// Returns the suspects after some crashes, each under a deadly request and others.
fn suspects(crashes: u64) -> Suspects {
    let mut known = Suspects::default();
    for crash in 0..crashes {
        let incarnation = Incarnation::new(&format!("server-{crash}"), 1);
        for run in 0..IN_FLIGHT {
            let request = request(crash * IN_FLIGHT + run, run == 0);
            known.request_crashed(&request, incarnation, Run::sent(crash), crash);
        }
    }
    known
}

fn micros(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

fn main() {
    println!("crashes suspects evidence_bytes refusal_us changed_us answered_us");
    for crashes in [3, 30, 300, 870] {
        let mut known = suspects(crashes);
        let all = known.all();
        let bytes: usize = all.iter().map(encoded_bytes).sum();
        let probe = request(7, true);
        let began = Instant::now();
        for _ in 0..REPEATS {
            hint::black_box(known.refusal(&probe));
        }
        let refusal_us = micros(began);
        let began = Instant::now();
        for number in 0..u64::from(REPEATS) {
            let incarnation = Incarnation::new("next", number);
            known.request_crashed(&request(number, true), incarnation, Run::sent(0), 1_000_000);
            hint::black_box(known.refusal(&probe));
        }
        let changed_us = micros(began);
        let began = Instant::now();
        for number in 0..u64::from(REPEATS) {
            known.request_answered(&request(number, false), true, 1_000_001, 1_000_002);
        }
        let answered_us = micros(began);
        println!(
            "{crashes} {} {bytes} {refusal_us:.2} {changed_us:.1} {answered_us:.1}",
            all.len()
        );
    }
}

/// Returns the size of evidence in JSON, an upper bound of the binary encoding.
fn encoded_bytes(evidence: &Evidence) -> usize {
    serde_json::to_string(evidence).map_or(0, |text| text.len())
}
