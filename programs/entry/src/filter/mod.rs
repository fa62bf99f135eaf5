//! The filter chain of online requests.
//!
//! A request passes the checks in this order: shutdown and configuration lease,
//! number of open requests, credentials and team, body limits, parsing, deadline,
//! model, suspects, admission. Routing, the call to the backend server and the
//! answer follow in [`crate::online`]. The server loop enforces connection limits
//! and the header timeout.

pub mod access;
pub mod admission;
pub mod body;
pub mod deadline;
mod lookup;
pub mod open;
pub mod parse;
pub mod part;
pub mod suspect;

use std::{sync, time};

use bw_wire::{fingerprint, name, refusal};

use crate::{api, context, upstream};

pub use admission::Admission;
pub use lookup::lookup;
pub use open::Limiter;

/// A request that may be sent to a backend server.
pub struct Admitted {
    /// The request id.
    pub id: name::Name,
    /// The request id with a suffix that makes it unique.
    pub unique_id: name::Name,
    /// When the request arrived.
    pub received: time::Instant,
    /// The team that sends the request.
    pub team: name::Name,
    /// The API that it calls.
    pub api: upstream::Api,
    /// The checked body.
    pub body: parse::Body,
    /// The model and adapter.
    pub target: parse::Target,
    /// When the caller stops waiting, in milliseconds of the process clock.
    pub deadline_ms: u64,
    /// The fingerprint by which suspects are recognized.
    pub fingerprint: fingerprint::Fingerprint,
    /// The parts of the prompt.
    pub parts: sync::Arc<bw_suspect::Request>,
    /// The permit to run, given back when it is dropped.
    pub permit: admission::Permit,
    /// The permit to be open, given back when it is dropped.
    pub open: open::Permit,
}

/// Passes an online request through the filter chain.
///
/// # Errors
///
/// Returns the refusal of the first filter that refuses.
pub async fn online(
    context: &sync::Arc<context::Context>,
    head: &api::Head,
    api: upstream::Api,
    body: api::Body,
) -> Result<Admitted, refusal::Refusal> {
    let shared = &context.shared;
    admission::check_accepting(shared)?;
    let open = context.open.acquire()?;
    let team = access::team(&shared.credentials, &head.headers)?;
    let bytes = body::read(&shared.settings.limits, &head.headers, body).await?;
    let body = parse::online(api, &bytes)?;
    drop(bytes);
    let deadline_ms = deadline::of(shared, head)?;
    let target = lookup(shared, |snapshot| {
        parse::target(&snapshot.intent, &body.model)
    })
    .await?;
    let fingerprint = body.fingerprint();
    suspect::check_confirmed(context, fingerprint).await?;
    let parts = part::of(&body.value);
    part::check(shared, &parts)?;
    let service = target.model.clone();
    let request = admission::Request {
        team: team.clone(),
        service,
        deadline_ms: Some(deadline_ms),
    };
    let permit = Admission::admit(shared, request).await?;
    Ok(Admitted {
        id: head.id.clone(),
        unique_id: head.unique_id.clone(),
        received: head.received,
        team,
        api,
        body,
        target,
        deadline_ms,
        fingerprint,
        parts: sync::Arc::new(parts),
        permit,
        open,
    })
}
