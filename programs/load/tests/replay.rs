//! Stored traces of failures, replayed with real processes.

use std::{path::Path, sync, time::Duration};

use bw_engine::text;
use bw_load::{call, fleet, scenario, trace};
use bw_wire::{fingerprint::Fingerprint, prefix};
use rstest::rstest;
use serde_json::Value;

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/traces");

fn stored(name: &str) -> Vec<trace::Entry> {
    let file = Path::new(FOLDER).join(format!("{name}.jsonl"));
    let text = std::fs::read(file).expect("trace");
    trace::read(text.as_slice()).expect("a trace")
}

/// Guards against outcomes that change when something fails: lost, doubled or
/// crossed answers and results, keys that are forgotten, jobs that do not stop,
/// calls that run twice.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stated_outcomes_hold(
    #[values(
        "resends",
        "cancelled",
        "poison",
        "engines-lost",
        "entry-lost",
        "control-lost"
    )]
    name: &str,
) {
    let file = Path::new(FOLDER).join("fleet.yaml");
    let scenario: scenario::Scenario = bw_base::settings::load(&file).expect("scenario");
    let fleet = fleet::Fleet::start(&scenario, scenario::Policy::Bilberrywind, 1).await;
    let fleet = sync::Arc::new(fleet.expect("a fleet"));
    let destination = trace::Destination {
        addresses: fleet.entry_addresses.clone(),
        token: None,
        limit: Duration::from_secs(60),
        speed: 1.0,
    };
    let entries = stored(name);
    let replayed = trace::replay(&entries, &destination, Some(sync::Arc::clone(&fleet))).await;
    let repeated = fleet.repeated_calls();
    let fleet = sync::Arc::into_inner(fleet).expect("the only reference");
    tokio::task::spawn_blocking(|| fleet.stop())
        .await
        .expect("the fleet stops");
    let differences = replayed.expect("a replay");
    assert!(differences.is_empty(), "{differences:#?}");
    assert_eq!(repeated, 0, "a call that may run once ran again");
}

/// Guards against a trace that states a wrong answer, for example one that was
/// recorded while something was broken. The stand-in engine's text follows from
/// the prompt, so the whole answer is known without a run.
#[rstest]
fn stated_texts_are_whole(
    #[values(
        "resends",
        "cancelled",
        "poison",
        "engines-lost",
        "entry-lost",
        "control-lost"
    )]
    name: &str,
) {
    let mut checked = 0;
    for entry in stored(name) {
        let Some(stated) = entry.outcome.as_ref() else {
            continue;
        };
        let expected = match &entry.event {
            trace::Event::Chat(body) => answer(body),
            trace::Event::Call { body, .. } => body.to_string(),
            trace::Event::Batch { items, .. } => results(items),
            _ => continue,
        };
        let is_whole = match &stated.job {
            Some(job) => job.status == "completed",
            None => stated.end == call::End::Answered,
        };
        if is_whole {
            let expected = Fingerprint::of_bytes(expected.as_bytes()).to_string();
            assert_eq!(stated.text.as_ref(), Some(&expected), "{entry:?}");
            checked += 1;
        }
    }
    assert!(checked > 1);
}

fn answer(body: &Value) -> String {
    let limit = body["max_tokens"]
        .as_u64()
        .and_then(|limit| u32::try_from(limit).ok());
    let model = body["model"].as_str().expect("model");
    text::Answer::new(model, &prefix::prompt(body), limit, false).text_from(0)
}

/// Returns the results of all items in the order of their custom ids. Wrong
/// lines have the code of their error in place of a text.
fn results(items: &[Value]) -> String {
    let mut ids = std::collections::BTreeSet::new();
    let mut results: Vec<String> = Vec::new();
    for item in items {
        let id = item["custom_id"].as_str().unwrap_or_default();
        let known = item["body"]["model"] == "batting-desk";
        let (code, text) = match item["url"].as_str() {
            None => ("invalid_field", String::new()),
            Some(_) if !ids.insert(id) => ("invalid_field", String::new()),
            Some("/v1/chat/completions") if known => ("", answer(&item["body"])),
            Some("/v1/chat/completions") => ("model_not_found", String::new()),
            Some(_) => ("invalid_field", String::new()),
        };
        results.push(format!("{id}\t{code}\t{text}\n"));
    }
    results.sort();
    results.concat()
}

/// Guards against a replay that leaves faults out without saying so.
#[tokio::test]
async fn faults_need_a_fleet() {
    let destination = trace::Destination {
        addresses: vec!["127.0.0.1:1".to_owned()],
        token: None,
        limit: Duration::from_secs(1),
        speed: 1.0,
    };
    let replayed = trace::replay(&stored("entry-lost"), &destination, None).await;
    let error = replayed.expect_err("no fleet");
    assert!(error.to_string().contains("fleet"), "{error}");
}
