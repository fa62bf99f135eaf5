//! Tests of uploads of batch files, with a real work state machine.

mod support;

use std::io::Write;

use bw_wire::command::work;
use rstest::rstest;
use support::{Fleet, caller, fleet, wait_for};

const PATH: &str = "/v1/files";
const BOUNDARY: &str = "boundary-5b1c";
/// Number of items in a file whose first chunks are stored before half of it has
/// arrived.
const MANY_ITEMS: usize = 12 * work::CHUNK_ITEMS;

/// Returns a multipart body with a file of that many items.
fn multipart(items: usize) -> String {
    let lines: String = (0..items).map(line).collect();
    format!(
        "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"a.jsonl\"\r\n\r\n\
         {lines}\r\n--{BOUNDARY}--\r\n"
    )
}

fn line(item: usize) -> String {
    let request = serde_json::json!({
        "custom_id": format!("item-{item}"),
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": { "model": "m", "messages": [{ "role": "user", "content": "hello" }] },
    });
    format!("{request}\n")
}

fn content_type() -> String {
    format!("multipart/form-data; boundary={BOUNDARY}")
}

fn upload(fleet: &Fleet, key: &str, items: usize) -> caller::Response {
    let content_type = content_type();
    let headers = [("content-type", &*content_type), ("idempotency-key", key)];
    caller::post(&fleet.address(), PATH, &headers, &multipart(items))
}

/// Uploads a file and returns its id.
fn uploaded(fleet: &Fleet, key: &str, items: usize) -> String {
    let response = upload(fleet, key, items);
    assert_eq!(response.status, 200, "{}", response.text());
    response.json()["id"].as_str().expect("an id").to_owned()
}

fn delete(fleet: &Fleet, file: &str) {
    let path = format!("{PATH}/{file}");
    let response = caller::request(&fleet.address(), "DELETE", &path, &[], b"");
    assert_eq!(response.status, 200, "{}", response.text());
}

fn file_ids(fleet: &Fleet) -> Vec<String> {
    let list = caller::get(&fleet.address(), PATH).json();
    let files = list["data"].as_array().expect("a list").iter();
    // The fake answers for all work groups from one state machine, so that each file is
    // listed several times.
    let mut ids: Vec<String> = files
        .map(|file| file["id"].as_str().expect("an id").to_owned())
        .collect();
    ids.sort();
    ids.dedup();
    ids
}

/// Uploads a file, but loses the command that seals it, and closes the connection
/// without a response.
fn fail_upload_before_seal(fleet: &Fleet, key: &str, items: usize) {
    fleet.control.lock().drops_seals = true;
    let content_type = content_type();
    let headers = [("content-type", &*content_type), ("idempotency-key", key)];
    let body = multipart(items);
    let mut stream = caller::connect(&fleet.address());
    let head = caller::head("POST", PATH, &headers, body.len());
    stream.write_all(&head).expect("head sent");
    stream.write_all(body.as_bytes()).expect("body sent");
    wait_for("the seal", || fleet.control.lock().seals > 0);
    drop(stream);
}

/// Advances the time until the chunks of unsealed files are dropped.
fn pass_unsealed_retention(fleet: &Fleet) {
    let unsealed_ms = work::Retention::default().unsealed_ms;
    fleet.control.lock().store.advance(unsealed_ms + 1);
}

/// Guards against status 500 for the retry of an upload that failed after its key was
/// bound and before its file was sealed, once its chunks have been dropped.
#[rstest]
fn a_late_retry_completes_an_upload_that_failed_before_its_seal() {
    let fleet = fleet(Vec::new());
    fail_upload_before_seal(&fleet, "k", 3);
    pass_unsealed_retention(&fleet);
    fleet.control.lock().drops_seals = false;
    let file = uploaded(&fleet, "k", 3);
    assert_eq!(
        uploaded(&fleet, "k", 3),
        file,
        "the retry created another file"
    );
    assert_eq!(file_ids(&fleet), [file]);
    let refused = upload(&fleet, "k", 4);
    assert_eq!(
        (refused.status, refused.refusal().0),
        (409, "key_conflict".to_owned())
    );
}

/// Guards against status 500 for the retry of an upload whose file was deleted.
#[rstest]
fn a_retry_after_the_file_was_deleted_creates_a_new_file() {
    let fleet = fleet(Vec::new());
    let first = uploaded(&fleet, "k", 3);
    delete(&fleet, &first);
    let second = uploaded(&fleet, "k", 3);
    assert_ne!(second, first);
    // The deletion itself is forgotten after this time.
    pass_unsealed_retention(&fleet);
    assert_eq!(uploaded(&fleet, "k", 3), second);
    assert_eq!(file_ids(&fleet), [second]);
}

/// Guards against an unbounded chain of deleted files per key, and against status 500 at
/// its end.
#[rstest]
fn a_key_of_many_deleted_files_is_refused() {
    let fleet = fleet(Vec::new());
    let refused = (0..100).find_map(|_| {
        let response = upload(&fleet, "k", 1);
        if response.status != 200 {
            return Some(response);
        }
        delete(&fleet, response.json()["id"].as_str().expect("an id"));
        None
    });
    let refused = refused.expect("a refusal");
    let expected = ("key_conflict".to_owned(), "not_run".to_owned());
    assert_eq!((refused.status, refused.refusal()), (409, expected));
}

/// Guards against a client error, or status 500, after the chunks of an upload were
/// dropped while it was in progress.
#[rstest]
#[case::with_key(Some("k"))]
#[case::without_key(None)]
fn an_upload_whose_chunks_were_dropped_can_be_retried(#[case] key: Option<&str>) {
    let fleet = fleet(Vec::new());
    let body = multipart(MANY_ITEMS);
    let (first, rest) = body.split_at(body.len() / 2);
    let content_type = content_type();
    let mut headers = vec![("content-type", content_type.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let mut stream = caller::connect(&fleet.address());
    let head = caller::head("POST", PATH, &headers, body.len());
    stream.write_all(&head).expect("head sent");
    stream.write_all(first.as_bytes()).expect("first part sent");
    wait_for("a chunk", || fleet.control.lock().store.machine.bytes() > 0);
    pass_unsealed_retention(&fleet);
    stream.write_all(rest.as_bytes()).expect("rest sent");
    let refused = caller::read(&mut stream);
    let expected = ("control_unavailable".to_owned(), "not_run".to_owned());
    assert_eq!((refused.status, refused.refusal()), (503, expected));
    assert!(refused.header("retry-after").is_some());
    if let Some(key) = key {
        uploaded(&fleet, key, MANY_ITEMS);
    }
}
