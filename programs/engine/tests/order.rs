//! Orders: fencing checks, loading, unloading and leaving.

mod support;

use std::{sync::Arc, time::Duration};

use bw_engine::{Ended, start};
use bw_wire::backend::{Action, Announcement, Order, State};
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

/// A server that takes announcements, in the place of an entry VM.
async fn entry() -> (String, mpsc::UnboundedReceiver<Announcement>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds");
    let address = listener.local_addr().expect("bound").to_string();
    let (sender, receiver) = mpsc::unbounded_channel();
    let sender = Arc::new(sender);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = Arc::clone(&sender);
            let service = hyper::service::service_fn(move |request: hyper::Request<_>| {
                let sender = Arc::clone(&sender);
                async move {
                    let path = request.uri().path().to_owned();
                    let body: hyper::body::Incoming = request.into_body();
                    let body = body.collect().await?.to_bytes();
                    if path == "/backend/announce" {
                        let announcement = serde_json::from_slice(&body).expect("announcement");
                        let _ = sender.send(announcement);
                    }
                    let answer = Full::<bytes::Bytes>::from("{\"renew_ms\":1000}");
                    Ok::<_, hyper::Error>(hyper::Response::new(answer))
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    (address, receiver)
}

/// Guards against missing renewals, a leaving notice that is late, and renewals
/// after it.
#[tokio::test]
async fn announcements() {
    let (address, mut heard) = entry().await;
    let mut settings = engine();
    // The first address refuses connections; a load balancer would pass it over.
    settings.announce = vec!["127.0.0.1:1".to_owned(), address];
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
    let (address, mut heard) = entry().await;
    let mut settings = engine();
    settings.announce = vec![address];
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
