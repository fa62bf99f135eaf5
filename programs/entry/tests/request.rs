//! Requests that are invalid, too large, too slow, cut off or over a limit.

mod support;

use std::{
    io::{Read, Write},
    net, thread, time,
};

use rstest::rstest;
use support::{
    backend::{Answer, Backend},
    caller, chat_body, fleet, fleet_with, wait_for,
};

const CHAT: &str = "/v1/chat/completions";

/// Guards against invalid requests that reach a backend server, cause a panic, or
/// are refused without the documented code.
#[rstest]
#[case::not_json(CHAT, b"{".as_slice(), 400, "invalid_json", "")]
#[case::not_an_object(CHAT, b"[1]", 400, "invalid_json", "")]
#[case::invalid_utf8(CHAT, b"{\"model\":\"\xff\"}", 400, "invalid_json", "")]
#[case::deeply_nested(CHAT, &[b'['; 10_000], 400, "invalid_json", "")]
#[case::empty(CHAT, b"", 400, "invalid_json", "")]
#[case::no_model(CHAT, br#"{"messages":[]}"#, 400, "invalid_field", "model")]
#[case::no_messages(CHAT, br#"{"model":"m"}"#, 400, "invalid_field", "messages")]
#[case::content_of_wrong_type(
    CHAT,
    br#"{"model":"m","messages":[{"role":"user","content":3}]}"#,
    400,
    "invalid_field",
    "messages[0].content"
)]
#[case::unknown_field(
    CHAT,
    br#"{"model":"m","messages":[{"role":"u","content":"x"}],"zap":1}"#,
    400,
    "invalid_field",
    "zap"
)]
#[case::internal_field(
    CHAT,
    br#"{"model":"m","messages":[{"role":"u","content":"x"}],"bw_resume_text":"x"}"#,
    400,
    "invalid_field",
    "bw_resume_text"
)]
#[case::two_choices(
    CHAT,
    br#"{"model":"m","messages":[{"role":"u","content":"x"}],"n":2}"#,
    400,
    "invalid_field",
    "n"
)]
#[case::zero_max_tokens(
    CHAT,
    br#"{"model":"m","messages":[{"role":"u","content":"x"}],"max_tokens":0}"#,
    400,
    "invalid_field",
    "max_tokens"
)]
#[case::unknown_model(
    CHAT,
    br#"{"model":"z","messages":[{"role":"u","content":"x"}]}"#,
    404,
    "model_not_found",
    "model"
)]
#[case::prompt_of_wrong_type(
    "/v1/completions",
    br#"{"model":"m","prompt":7}"#,
    400,
    "invalid_field",
    "prompt"
)]
#[case::unknown_path("/v1/nothing", b"{}", 404, "not_found", "")]
#[case::unknown_file_path("/v1/files/x/y/z", b"{}", 404, "not_found", "")]
#[case::unknown_service("/services/nobody/x", b"{}", 404, "service_not_found", "")]
#[case::invalid_announcement("/backend/announce", b"{\"id\":3}", 400, "invalid_field", "")]
#[case::announcement_not_json("/backend/announce", b"{", 400, "invalid_json", "")]
#[case::invalid_cache_events("/backend/cache-events", b"[]", 400, "invalid_field", "")]
fn an_invalid_request_gets_its_code(
    #[case] path: &str,
    #[case] body: &[u8],
    #[case] status: u16,
    #[case] code: &str,
    #[case] param: &str,
) {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    let response = caller::request(&fleet.address(), "POST", path, &[], body);
    assert_eq!(response.status, status, "{}", response.text());
    assert_eq!(response.refusal(), (code.to_owned(), "not_run".to_owned()));
    assert_eq!(
        response.json()["error"]["param"].as_str().unwrap_or(""),
        param
    );
    assert!(response.header("bw-request-id").is_some());
    assert_eq!(fleet.backends[0].count(), 0);
    let line = format!("bw_entry_refusals_total{{reason=\"{code}\",verdict=\"not_run\"}}");
    assert!(fleet.metric(&line) >= 1.0, "{line}");
}

/// Guards against a method that is treated as another one.
#[rstest]
#[case("GET", CHAT)]
#[case("DELETE", "/v1/models")]
#[case("GET", "/backend/announce")]
#[case("PUT", "/v1/batches")]
fn a_wrong_method_is_refused(#[case] method: &str, #[case] path: &str) {
    let fleet = fleet(Vec::new());
    let response = caller::request(&fleet.address(), method, path, &[], b"");
    assert_eq!(response.status, 405);
    assert_eq!(response.refusal().0, "method_not_allowed");
}

/// Guards against bodies over the limit that are buffered in memory.
#[rstest]
#[case::declared(true)]
#[case::chunked(false)]
fn an_oversized_body_is_refused(#[case] declared: bool) {
    let fleet = fleet_with(Vec::new(), |settings| settings.limits.body_bytes = 2_000);
    let body = vec![b' '; 5_000];
    let response = if declared {
        caller::request(&fleet.address(), "POST", CHAT, &[], &body)
    } else {
        let mut stream = caller::connect(&fleet.address());
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             transfer-encoding: chunked\r\n\r\n{:x}\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).expect("sent");
        stream.write_all(&body).expect("sent");
        stream.write_all(b"\r\n0\r\n\r\n").expect("sent");
        caller::read(&mut stream)
    };
    assert_eq!(response.status, 413);
    assert_eq!(response.refusal().0, "body_too_large");
}

/// Guards against callers that keep requests open without sending their body.
#[rstest]
fn a_slow_body_is_refused() {
    let fleet = fleet_with(Vec::new(), |settings| settings.limits.body_timeout_ms = 100);
    let mut stream = caller::connect(&fleet.address());
    stream
        .write_all(&caller::head("POST", CHAT, &[], 100))
        .expect("sent");
    stream.write_all(b"{").expect("sent");
    let response = caller::read(&mut stream);
    assert_eq!(response.status, 408);
    assert_eq!(response.refusal().0, "request_timeout");
}

/// Guards against connections that never send their headers.
#[rstest]
fn slow_headers_end_the_connection() {
    let fleet = fleet_with(Vec::new(), |settings| {
        settings.limits.header_timeout_ms = 100
    });
    let mut stream = caller::connect(&fleet.address());
    stream.write_all(b"POST / HTTP/1.1\r\nhost:").expect("sent");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("closed");
    let text = String::from_utf8_lossy(&rest);
    assert!(text.is_empty() || text.contains("408"), "{text}");
}

/// Guards against requests that run, hang or crash the program when the caller
/// closes its side of the connection early.
#[rstest]
#[case::within_the_head(20)]
#[case::within_the_body(150)]
fn an_incomplete_request_does_not_run(#[case] sent: usize) {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    let body = chat_body(true).to_string();
    let head = caller::head("POST", CHAT, &[], body.len());
    let request = [head.as_slice(), body.as_bytes()].concat();
    let mut stream = caller::connect(&fleet.address());
    stream.write_all(&request[..sent]).expect("sent");
    stream.shutdown(net::Shutdown::Write).expect("half closed");
    let response = caller::read(&mut stream);
    assert!(
        response.status == 0 || response.status == 400,
        "{response:?}"
    );
    assert_eq!(fleet.backends[0].count(), 0);
    assert_eq!(fleet.chat(&chat_body(true)).status, 200);
}

/// Guards against a deadline header that is ignored or accepted when invalid.
#[rstest]
#[case::not_a_number("soon", 400, "invalid_field", "not_run")]
#[case::passed("0", 503, "deadline_unreachable", "not_run")]
#[case::too_short("150", 503, "deadline_unreachable", "may_have_run")]
fn the_deadline_of_the_caller_is_enforced(
    #[case] value: &str,
    #[case] status: u16,
    #[case] code: &str,
    #[case] verdict: &str,
) {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Freeze])]);
    let headers = [("bw-deadline-ms", value)];
    let body = chat_body(true).to_string();
    let response = caller::post(&fleet.address(), CHAT, &headers, &body);
    assert_eq!(response.status, status, "{}", response.text());
    assert_eq!(response.refusal(), (code.to_owned(), verdict.to_owned()));
}

/// Guards against more open requests than the limit allows.
#[rstest]
fn too_many_open_requests_are_refused() {
    let backend = Backend::engine("e1", &[Answer::Freeze]);
    let fleet = fleet_with(vec![backend], |settings| settings.limits.open_streams = 1);
    let address = fleet.address();
    let first = thread::spawn(move || {
        let headers = [("bw-deadline-ms", "2000")];
        caller::post(&address, CHAT, &headers, &chat_body(true).to_string())
    });
    wait_for("the first request to run", || {
        fleet.backends[0].count() == 1
    });
    let response = fleet.chat(&chat_body(true));
    assert_eq!(
        response.refusal(),
        ("overloaded".to_owned(), "not_run".to_owned())
    );
    assert_eq!(response.header("retry-after"), Some("1"));
    first.join().expect("ended");
}

/// Guards against a team that exceeds its rate limit, and against a limit that
/// applies to other teams too.
#[rstest]
fn a_team_over_its_rate_is_refused() {
    let fleet = fleet(vec![Backend::engine("e1", &[Answer::Whole])]);
    {
        let mut control = fleet.control.lock();
        control.intent.teams = [(
            "small".into(),
            bw_wire::intent::Limits {
                requests_per_s: 1,
                burst: 1,
                ..bw_wire::intent::Limits::default()
            },
        )]
        .into();
        control.revision = 2;
    }
    wait_for("the limits to apply", || {
        fleet.entry.shared().snapshot.load().revision == 2
    });
    let headers = [("authorization", "Bearer small")];
    let body = chat_body(false).to_string();
    let statuses: Vec<u16> = (0..3)
        .map(|_| caller::post(&fleet.address(), CHAT, &headers, &body).status)
        .collect();
    assert_eq!(statuses[0], 200);
    assert!(statuses.contains(&429), "{statuses:?}");
    let other = [("authorization", "Bearer other")];
    assert_eq!(
        caller::post(&fleet.address(), CHAT, &other, &body).status,
        200
    );
}

/// Guards against requests of callers and backend servers that are accepted with
/// missing or wrong credentials.
#[rstest]
#[case::caller("POST", CHAT, None, 401)]
#[case::wrong_caller("POST", CHAT, Some("wrong"), 401)]
#[case::known_caller("POST", CHAT, Some("sesame"), 400)]
#[case::models("GET", "/v1/models", Some("sesame"), 200)]
#[case::files("GET", "/v1/files", None, 401)]
#[case::backend("POST", "/backend/announce", Some("sesame"), 401)]
#[case::known_backend("POST", "/backend/announce", Some("engine-secret"), 400)]
#[case::health("GET", "/healthz", None, 200)]
fn credentials_are_checked(
    #[case] method: &str,
    #[case] path: &str,
    #[case] token: Option<&str>,
    #[case] status: u16,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        Some(path)
    };
    let fleet = fleet_with(Vec::new(), |settings| {
        settings.tokens.callers = file("callers", "desk: sesame\n");
        settings.tokens.backends = file("backends", "e1: engine-secret\n");
    });
    let value = token.map(|token| format!("Bearer {token}"));
    let headers: Vec<(&str, &str)> = value
        .iter()
        .map(|value| ("authorization", value.as_str()))
        .collect();
    let response = caller::request(&fleet.address(), method, path, &headers, b"{");
    assert_eq!(response.status, status, "{}", response.text());
}

/// Guards against missing models and adapters, for clients that look a model up
/// before they use it.
#[rstest]
#[case("/v1/models/m", 200)]
#[case("/v1/models/m-fine", 200)]
#[case("/v1/models/z", 404)]
fn models_are_described(#[case] path: &str, #[case] status: u16) {
    let fleet = fleet(Vec::new());
    assert_eq!(caller::get(&fleet.address(), path).status, status);
    let listed = caller::get(&fleet.address(), "/v1/models").json();
    let ids: Vec<&str> = listed["data"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|model| model["id"].as_str())
        .collect();
    assert_eq!(ids, ["m", "m-fine"]);
}

/// Guards against a queued request that waits forever: it must get the permit of
/// a request that ends.
#[rstest]
fn a_queued_request_runs_when_another_one_ends() {
    let slow = Answer::Slow(time::Duration::from_millis(20));
    let fleet = fleet(vec![Backend::engine("e1", &[slow])]);
    fleet.entry.shared().admission.set_concurrency_limit(
        &"m".into(),
        1,
        fleet.entry.shared().clock.now_ms(),
    );
    let requests: Vec<_> = (0..8)
        .map(|_| {
            let address = fleet.address();
            thread::spawn(move || caller::post(&address, CHAT, &[], &chat_body(true).to_string()))
        })
        .collect();
    for request in requests {
        let response = request.join().expect("ended");
        assert_eq!(response.status, 200);
        assert_eq!(response.events().last().map(String::as_str), Some("[DONE]"));
    }
}
