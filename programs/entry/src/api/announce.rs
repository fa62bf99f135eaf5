//! Receives announcements and cache events of backend servers.

use bw_wire::{backend, refusal};
use gotham::http;
use serde::de;

use super::{Body, Head, Response, json, require_method};
use crate::{context, controller, filter};

/// Longest id or service name in an announcement, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Handles an announcement. It is in the routing table before the response is sent;
/// the control thread reports it to control and other entry VMs.
pub(super) async fn announce(
    context: &context::Context,
    head: &Head,
    body: Body,
) -> Result<Response, refusal::Refusal> {
    let announcement: backend::Announcement = parse_body(context, head, body).await?;
    check_fields(&announcement)?;
    let heard_ms = context.shared.clock.now_ms();
    context
        .shared
        .table
        .apply_direct_announcement(&announcement);
    let taken = context.events.send(controller::Event::Announced {
        announcement,
        heard_ms,
    });
    if !taken {
        let message = "too many announcements wait";
        return Err(refusal::Refusal::not_run(
            refusal::Reason::Overloaded,
            message,
        ));
    }
    json(&backend::Announced {
        renew_ms: backend::RENEW_INTERVAL_MS,
    })
}

/// Handles cache events. They are hints for routing, so that losing some is
/// harmless.
pub(super) async fn cache_events(
    context: &context::Context,
    head: &Head,
    body: Body,
) -> Result<Response, refusal::Refusal> {
    let events: backend::CacheEvents = parse_body(context, head, body).await?;
    context.events.send(controller::Event::Cached(events));
    json(&serde_json::json!({}))
}

async fn parse_body<T: de::DeserializeOwned>(
    context: &context::Context,
    head: &Head,
    body: Body,
) -> Result<T, refusal::Refusal> {
    require_method(head, &http::Method::POST)?;
    let shared = &context.shared;
    filter::access::check(&shared.credentials.backends, &head.headers)?;
    let bytes = filter::body::read(&shared.settings.limits, &head.headers, body).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let reason = match error.classify() {
            serde_json::error::Category::Data => refusal::Reason::InvalidField,
            _ => refusal::Reason::InvalidJson,
        };
        refusal::Refusal::not_run(reason, format!("the body is not valid: {error}"))
    })
}

fn check_fields(announcement: &backend::Announcement) -> Result<(), refusal::Refusal> {
    let invalid = |field: &str, reason: &str| {
        let message = format!("{field} {reason}");
        refusal::Refusal::not_run(refusal::Reason::InvalidField, message).param(field)
    };
    for (field, name) in [("id", &announcement.id), ("service", &announcement.service)] {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(invalid(field, "must be 1 to 128 bytes"));
        }
    }
    let address = announcement.address.parse::<std::net::SocketAddr>();
    if address.is_err() {
        return Err(invalid("address", "must be IP:port"));
    }
    if announcement.capacity == 0 {
        return Err(invalid("capacity", "must be positive"));
    }
    Ok(())
}
