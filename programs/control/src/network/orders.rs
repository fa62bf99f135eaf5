//! Orders to backend servers over HTTP.

use std::time;

use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, body};
use hyper_util::{client::legacy, rt};
use tokio::runtime;
use tokio_util::sync::CancellationToken;

use bw_wire::{backend, name};

use crate::{
    metrics,
    network::call::{Call, Caller},
};

/// An order and the backend server that it is sent to.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) backend: name::Name,
    pub(crate) address: name::Name,
    pub(crate) order: backend::Order,
    /// The order is not sent after this time; none if it may be sent at any time.
    pub(crate) not_after: Option<time::Instant>,
}

/// Sends orders and reports their outcome to the control thread.
pub(crate) struct Sender {
    client: legacy::Client<legacy::connect::HttpConnector, Full<body::Bytes>>,
    runtime: runtime::Handle,
    timeout: time::Duration,
    caller: Caller,
    stop: CancellationToken,
}

impl Sender {
    pub(crate) fn new(
        runtime: runtime::Handle,
        timeout: time::Duration,
        caller: Caller,
        stop: CancellationToken,
    ) -> Sender {
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Sender {
            client,
            runtime,
            timeout,
            caller,
            stop,
        }
    }

    /// Sends an order in the background.
    pub(crate) fn send(&self, order: Order) {
        let client = self.client.clone();
        let (timeout, caller, stop) = (self.timeout, self.caller.clone(), self.stop.clone());
        self.runtime.spawn(async move {
            let backend = order.backend.clone();
            let sent = tokio::time::timeout(timeout, deliver(client, order));
            let result = match stop.run_until_cancelled(sent).await {
                Some(Ok(result)) => result,
                Some(Err(_)) => "timeout",
                None => return,
            };
            metrics::ORDERS.with_label_values(&[result]).inc();
            log::info!(backend = backend.as_str(), result = result; "order sent");
            let obeyed = result == OBEYED;
            caller.send(Call::OrderResult { backend, obeyed });
        });
    }
}

/// The result of an order that the backend server has accepted.
const OBEYED: &str = "obeyed";

async fn deliver(
    client: legacy::Client<legacy::connect::HttpConnector, Full<body::Bytes>>,
    order: Order,
) -> &'static str {
    if order
        .not_after
        .is_some_and(|limit| time::Instant::now() > limit)
    {
        return "lease_too_short";
    }
    let body = serde_json::to_vec(&order.order).unwrap_or_default();
    let request = Request::post(format!("http://{}{}", order.address, backend::ORDERS_PATH))
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body::Bytes::from(body)));
    let Ok(request) = request else {
        return "bad_address";
    };
    match client.request(request).await {
        Ok(response) => {
            let status = response.status();
            // Read to the end, so that the connection can be used again.
            let _ = response.into_body().collect().await;
            match status {
                StatusCode::CONFLICT => "stale_fence",
                status if status.is_success() => OBEYED,
                _ => "refused",
            }
        }
        Err(_) => "no_answer",
    }
}
