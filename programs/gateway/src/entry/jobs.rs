//! Calls on batch jobs, carried to the leader.

use std::{rc::Rc, sync::Arc, time};

use bw_relay::{message, route};
use hyper::{HeaderMap, Request, StatusCode, body, header};

use crate::{
    clock,
    dialect::JobCall,
    entry::{
        NO_LEADER_RETRY_MS, answer, confirm, forward,
        reason::Reason,
        state::{Routing, State},
    },
};

/// Longest wait for results, in milliseconds.
const WAIT_MAX_MS: u64 = 1_000;
/// Time for a call beside what the caller lets it wait. An election takes up to
/// a second; callers wait a second and a half longer than they say.
const CALL: time::Duration = time::Duration::from_millis(1_400);
/// Time for a submission if the caller does not say how long it waits.
const SUBMIT_MS: u64 = 4_000;
/// Part of the caller's time that is left for the answer, in milliseconds.
const SUBMIT_MARGIN_MS: u64 = 150;
/// Pause before a submission is sent to the next leader.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Accepts a job: the leader answers once the job is durable.
pub(crate) async fn submit(
    state: &Rc<State>,
    routing: &Routing,
    route: &Arc<route::Route>,
    id: String,
    request: Request<body::Incoming>,
    now_ms: u64,
) -> answer::Answer {
    let names = state.dialect.headers();
    let wait_ms = forward::text(request.headers(), &names.deadline_ms)
        .parse()
        .unwrap_or(SUBMIT_MS);
    let until_ms = now_ms
        .saturating_add(wait_ms)
        .saturating_sub(SUBMIT_MARGIN_MS);
    let (parts, body) = request.into_parts();
    let body = match forward::collect(state, routing, &id, body, until_ms).await {
        Ok(body) => body,
        Err(answer) => return *answer,
    };
    let job = match state
        .dialect
        .decode_job(&id, route, &body, clock::unix_ms())
    {
        Ok(job) => job,
        Err(refused) => {
            let host = forward::text(&parts.headers, &header::HOST);
            // Only a path that takes jobs makes it a malformed one.
            let denies = |newer: &Routing| {
                let route = newer.table.find(host, parts.uri.path());
                route.is_some_and(|route| route.kind == route::Kind::Batch)
            };
            if !confirm::is_denied(state, routing.version, denies).await {
                // The body is gone, so the caller has to send it again.
                return forward::unconfirmed(&id);
            }
            log::warn!(job = id.as_str(), reason = refused.reason.as_str(); "job refused");
            return answer::own(refused.status, &refused.reason);
        }
    };
    let items = job.items.len();
    let reply = submit_until(state, job, until_ms).await;
    let took_ms = clock::monotonic_ms().saturating_sub(now_ms);
    log::info!(job = id.as_str(), items = items, took_ms = took_ms, reply = name(&reply); "job submitted");
    match reply {
        message::Reply::Done => answer::own(StatusCode::ACCEPTED, "accepted"),
        message::Reply::NotLeader | message::Reply::Busy => {
            forward::refuse(&id, Reason::NoLeader, NO_LEADER_RETRY_MS);
            answer::not_run("no leader", NO_LEADER_RETRY_MS)
        }
        message::Reply::Full { retry_after_ms } => {
            forward::refuse(&id, Reason::RouteFull, retry_after_ms);
            let status = StatusCode::TOO_MANY_REQUESTS;
            answer::refused(status, Reason::RouteFull.name(), retry_after_ms)
        }
        _ => answer::own(StatusCode::GATEWAY_TIMEOUT, "outcome unknown"),
    }
}

/// Sends a submission to one leader after the other until its outcome is known.
async fn submit_until(
    state: &State,
    job: bw_relay::ledger::NewJob,
    until_ms: u64,
) -> message::Reply {
    let mut sent = false;
    loop {
        let request = message::Request::Submit(Box::new(job.clone()));
        let reply = state.link.call(request, super::left(until_ms)).await;
        let again = match reply {
            message::Reply::Lost => {
                sent = true;
                true
            }
            message::Reply::NotLeader | message::Reply::Busy => true,
            _ => false,
        };
        if !again || clock::monotonic_ms() + NO_LEADER_RETRY_MS >= until_ms {
            // What one leader may have accepted cannot be refused any more.
            return match reply {
                message::Reply::NotLeader | message::Reply::Busy | message::Reply::Full { .. }
                    if sent =>
                {
                    message::Reply::Lost
                }
                reply => reply,
            };
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Handles any other call on a job.
pub(crate) async fn call(state: &Rc<State>, call: JobCall, headers: &HeaderMap) -> answer::Answer {
    let names = state.dialect.headers();
    let asked: u64 = forward::text(headers, &names.wait_ms).parse().unwrap_or(0);
    let wait_ms = asked.min(WAIT_MAX_MS);
    let (request, after) = match call {
        JobCall::Results { job, after } => (
            message::Request::Results {
                job,
                after,
                wait_ms,
            },
            after,
        ),
        JobCall::Body { job, item } => (message::Request::Body { job, item }, 0),
        JobCall::End { job } => (message::Request::End { job }, 0),
    };
    let limit = CALL + time::Duration::from_millis(wait_ms);
    let reply = state.link.call(request, limit).await;
    match reply {
        message::Reply::Page(Some(page)) => {
            answer::json(StatusCode::OK, state.dialect.encode_page(&page, after))
        }
        message::Reply::Body(Some(bytes)) => {
            let mut response = answer::own(StatusCode::OK, "");
            *response.body_mut() = answer::whole(bytes);
            response
        }
        message::Reply::Page(None) | message::Reply::Body(None) | message::Reply::Unknown => {
            answer::own(StatusCode::NOT_FOUND, "not found")
        }
        message::Reply::Done => answer::own(StatusCode::OK, "ended"),
        reply => {
            log::info!(reply = name(&reply); "call on a job not answered");
            answer::not_run(
                "the state of the job is not known here now",
                NO_LEADER_RETRY_MS,
            )
        }
    }
}

fn name(reply: &message::Reply) -> &'static str {
    match reply {
        message::Reply::Done => "done",
        message::Reply::NotLeader => "no_leader",
        message::Reply::Busy => "busy",
        message::Reply::Full { .. } => "full",
        message::Reply::Lost => "unknown",
        _ => "other",
    }
}
