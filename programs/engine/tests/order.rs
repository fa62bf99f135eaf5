//! Orders: fencing checks, loading, unloading and leaving.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bw_engine::{Ended, start};
use bw_wire::{
    backend::{ANNOUNCE_PATH, Action, Announcement, CACHE_EVENTS_PATH, CacheEvents, Order, State},
    prefix,
};
use http_body_util::{BodyExt, Full};
use hyper_util::rt;
use rstest::rstest;
use serde_json::json;
use support::{chat, client, engine, get_json, post, send_json, set_faults, streamed};
use tokio::sync::mpsc;

const ORDERS: &str = "/backend/orders";

fn order(fence: u64, model: &str) -> serde_json::Value {
    let action = Action::Unload {
        model: model.into(),
    };
    serde_json::to_value(Order { fence, action }).expect("JSON")
}

/// Guards against a stale order that is obeyed, a resent one that is refused,
/// and an engine without checks that refuses.
#[rstest]
#[case::checks(true, false, &[(5, "a", 200), (4, "b", 409), (5, "a", 200), (5, "b", 409), (6, "b", 200)])]
#[case::no_checks(false, false, &[(5, "a", 200), (4, "b", 200), (6, "b", 200)])]
#[case::ignoring_fault(true, true, &[(5, "a", 200), (4, "b", 200)])]
#[tokio::test]
async fn fencing(
    #[case] checks_fencing: bool,
    #[case] ignore_fencing: bool,
    #[case] orders: &[(u64, &str, u16)],
) {
    let mut settings = engine();
    settings.checks_fencing = checks_fencing;
    settings.faults.ignore_fencing = ignore_fencing;
    let handle = start(settings).expect("starts");
    let client = client();
    for (fence, model, status) in orders {
        let response = send_json(&client, post(&handle, ORDERS), &order(*fence, model)).await;
        assert_eq!(response.status(), *status, "fence {fence} model {model}");
    }
    let recorded = get_json(&client, &handle, "/debug/orders").await;
    let recorded: Vec<_> = recorded
        .as_array()
        .expect("a list")
        .iter()
        .map(|order| (order["order"]["fence"].as_u64(), order["status"].as_u64()))
        .collect();
    let expected: Vec<_> = orders
        .iter()
        .map(|(fence, _, status)| (Some(*fence), Some(u64::from(*status))))
        .collect();
    assert_eq!(recorded, expected);
}

/// Guards against work that runs while weights load, or with a model that was
/// replaced or unloaded.
#[tokio::test]
async fn load_replaces_what_is_loaded() {
    let mut settings = engine();
    settings
        .weights
        .sizes_mb
        .insert("bench-assistant".into(), 400);
    let handle = start(settings).expect("starts");
    let client = client();
    let action =
        json!({"load": {"model": "bench-assistant", "version": "2", "adapters": ["lora"]}});
    let load = json!({"fence": 1, "action": action});
    send_json(&client, post(&handle, ORDERS), &load).await;
    let ask = async |model: &str| {
        let mut body = chat("x", 1, false);
        body["model"] = model.into();
        let response = send_json(&client, post(&handle, "/v1/chat/completions"), &body).await;
        response.status().as_u16()
    };
    assert_eq!(ask("bench-assistant").await, 503);
    while ask("bench-assistant").await != 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(ask("lora").await, 200);
    assert_eq!(ask(support::MODEL).await, 404);
    let unload = json!({"fence": 2, "action": {"unload": {"model": "bench-assistant"}}});
    send_json(&client, post(&handle, ORDERS), &unload).await;
    assert_eq!(ask("bench-assistant").await, 404);
}

/// Guards against a leaving server that takes new work, passes probes or cuts
/// off its running requests.
#[rstest]
#[case::by_order(true)]
#[case::by_stop(false)]
#[tokio::test]
async fn leaving(#[case] by_order: bool) {
    let mut settings = engine();
    settings.batch.step_base_us = 5_000;
    settings.leave_linger_ms = 200;
    let handle = start(settings).expect("starts");
    let client = client();
    let mut body = chat("a long plan", 100, true);
    body["ignore_eos"] = true.into();
    let running = send_json(&client, post(&handle, "/v1/chat/completions"), &body).await;
    let leave = json!({"fence": 1, "action": "leave"});
    if by_order {
        send_json(&client, post(&handle, ORDERS), &leave).await;
    } else {
        handle.stop();
    }
    let uri = format!("http://{}/healthz", handle.address());
    loop {
        let probe = hyper::Request::get(&uri)
            .body(Full::default())
            .expect("valid request");
        if client.request(probe).await.expect("an answer").status() == 503 {
            break;
        }
    }
    let refused = send_json(&client, post(&handle, "/v1/chat/completions"), &body).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["bw-verdict"], "not_run");
    let finished = streamed(running).await;
    assert_eq!(
        (finished.tokens, finished.done, finished.broken),
        (100, 1, false)
    );
    if by_order {
        assert!(!handle.is_finished(), "an order does not end the process");
    } else {
        assert_eq!(handle.wait(), Ended::Stopped { complete: true });
    }
}

/// What an entry VM hears from backend servers.
struct Entry {
    address: String,
    announcements: mpsc::UnboundedReceiver<Announcement>,
    cache_events: mpsc::UnboundedReceiver<CacheEvents>,
}

/// Starts a server that listens in the place of an entry VM.
async fn entry() -> Entry {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds");
    let address = listener.local_addr().expect("bound").to_string();
    let (announcement, announcements) = mpsc::unbounded_channel();
    let (cache_event, cache_events) = mpsc::unbounded_channel();
    let senders = Arc::new((announcement, cache_event));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let senders = Arc::clone(&senders);
            let service = hyper::service::service_fn(move |request: hyper::Request<_>| {
                let senders = Arc::clone(&senders);
                async move {
                    let path = request.uri().path().to_owned();
                    let body: hyper::body::Incoming = request.into_body();
                    let body = body.collect().await?.to_bytes();
                    // A test that has ended no longer listens.
                    let _ = match path.as_str() {
                        ANNOUNCE_PATH => {
                            let message = serde_json::from_slice(&body).expect("announcement");
                            senders.0.send(message).is_ok()
                        }
                        CACHE_EVENTS_PATH => {
                            let message = serde_json::from_slice(&body).expect("cache events");
                            senders.1.send(message).is_ok()
                        }
                        path => panic!("unexpected path {path}"),
                    };
                    let answer = Full::<bytes::Bytes>::from("{\"renew_ms\":1000}");
                    Ok::<_, hyper::Error>(hyper::Response::new(answer))
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Entry {
        address,
        announcements,
        cache_events,
    }
}

/// Guards against cache events that are early, miss blocks, or hide a loss: an
/// entry VM sees a gap only by a jump of the sequence.
#[rstest]
#[case::all(0.0, 3)]
#[case::none(1.0, 0)]
#[tokio::test]
async fn cache_events(#[case] loss: f64, #[case] messages: usize) {
    let mut entry = entry().await;
    let mut settings = engine();
    settings.announce = vec![entry.address.clone()];
    settings.cache_events.interval_ms = 20;
    settings.cache_events.delay_ms = 200;
    settings.cache_events.loss = loss;
    let handle = start(settings).expect("starts");
    let client = client();
    let mut next = 1;
    for number in 0..messages.max(1) {
        let prompt = format!("{number} {}", "batting ".repeat(40));
        let body = chat(&prompt, 4, false);
        let asked = Instant::now();
        send_json(&client, post(&handle, "/v1/chat/completions"), &body).await;
        if messages == 0 {
            let heard = tokio::time::timeout(Duration::from_millis(600), entry.cache_events.recv());
            assert!(heard.await.is_err(), "a lost message arrived");
            continue;
        }
        let prompt = prefix::prompt(&body);
        let blocks = prefix::blocks(support::MODEL, &prompt);
        let heard = entry.cache_events.recv().await.expect("cache events");
        assert!(asked.elapsed() >= Duration::from_millis(200));
        assert_eq!((heard.sequence, heard.stored), (next, blocks.clone()));
        next += blocks.len() as u64;
    }
}

/// Guards against missing renewals, a leaving notice that is late, and renewals
/// after it.
#[tokio::test]
async fn announcements() {
    let entry = entry().await;
    let mut heard = entry.announcements;
    let mut settings = engine();
    // The first address refuses connections; a load balancer would pass it over.
    settings.announce = vec!["127.0.0.1:1".to_owned(), entry.address];
    settings.incarnation = Some(7);
    let handle = start(settings).expect("starts");
    let first = heard.recv().await.expect("an announcement");
    assert_eq!((first.state, first.incarnation), (State::Ready, 7));
    assert_eq!(first.address.as_str(), handle.address().to_string());
    assert_eq!(first.loaded[0].model.as_str(), support::MODEL);
    let second = heard.recv().await.expect("a renewal");
    assert!(second.sequence > first.sequence);
    handle.leave();
    let last = heard.recv().await.expect("a leaving notice");
    assert_eq!(last.state, State::Leaving);
    let more = tokio::time::timeout(Duration::from_millis(1_500), heard.recv()).await;
    assert!(more.is_err(), "renewed after leaving: {more:?}");
}

/// Guards against a frozen process that is still heard, where that is asked for.
#[tokio::test]
async fn frozen_announcements_stop() {
    let entry = entry().await;
    let mut heard = entry.announcements;
    let mut settings = engine();
    settings.announce = vec![entry.address];
    let handle = start(settings).expect("starts");
    heard.recv().await.expect("an announcement");
    let client = client();
    let frozen = json!({"freeze": true, "freeze_announcements": true});
    set_faults(&client, &handle, frozen).await;
    let more = tokio::time::timeout(Duration::from_millis(1_500), heard.recv()).await;
    assert!(more.is_err(), "announced while frozen: {more:?}");
    set_faults(&client, &handle, json!({})).await;
    heard
        .recv()
        .await
        .expect("an announcement after the freeze");
}
